package engine

import (
	"context"
	"crypto/rand"
	"slices"
	"sync"
	"time"

	"godwitcart/internal/pause"
	"godwitcart/internal/stand/journal"
	"godwitcart/internal/wire/enginewire"
)

// drainPollInterval is the interval at which Drain checks for unfinished work and readers.
const drainPollInterval = 20 * time.Millisecond

// drainReaderTimeout bounds how long Drain waits for the readers of finished generations.
const drainReaderTimeout = 2 * time.Second

// Engine simulates one model engine. It generates tokens only while Run is running.
type Engine struct {
	options     Options
	incarnation string
	wake        chan struct{}

	mu          sync.Mutex
	attempts    map[string]*attempt
	submissions []*submission
	lastArrival uint64
	running     []*attempt
	// waiting is sorted by compareQueueOrder.
	waiting      []*attempt
	preemptions  uint64
	leavingSince time.Time
	cache        *prefixCache
	loadHistory  reportHistory
	orders       orderState

	faults  faultState
	journal *journal.Writer
}

// New returns an idle engine.
func New(options Options) *Engine {
	options = options.withDefaults()
	engine := &Engine{
		options:     options,
		incarnation: rand.Text(),
		wake:        make(chan struct{}, 1),
		attempts:    make(map[string]*attempt),
		cache:       newPrefixCache(options.CacheBlocks, options.CacheEventLoss, options.Seed),
		orders:      newOrderState(options.Loaded, options.Role),
		faults:      newFaultState(),
	}
	engine.journal = journal.NewWriter(options.Journal, options.Name, engine.incarnation)
	engine.loadHistory.add(time.Now(), engine.currentLoad())
	return engine
}

// Run executes steps while there is work, until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		duration, busy := e.beginStep(time.Now())
		if !busy {
			select {
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		if !pause.For(ctx, time.Duration(float64(duration)*e.faults.slowdown())) {
			return
		}
		e.endStep(time.Now())
	}
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// submit queues the request, or returns the kind of refusal. It records both cases.
func (e *Engine) submit(request enginewire.GenerationRequest, now time.Time) (*attempt, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.refusal(request); refused != "" {
		e.submissions = append(e.submissions, newRefusedSubmission(request, refused, now))
		e.logEvent(journal.EventRefused, request, refused, now)
		return nil, refused
	}
	e.lastArrival++
	a := newAttempt(e.options, request, e.lastArrival, now)
	e.attempts[request.AttemptID] = a
	e.submissions = append(e.submissions, &submission{attempt: a})
	e.logEvent(journal.EventAccepted, request, "", now)
	e.enqueue(a)
	e.loadHistory.add(now, e.currentLoad())
	e.wakeUp()
	return a, ""
}

func (e *Engine) logEvent(event journal.Event, request enginewire.GenerationRequest, refused enginewire.RefusalKind, now time.Time) {
	e.journal.Append(journal.Entry{
		Event:     event,
		RequestID: request.RequestID,
		AttemptID: request.AttemptID,
		Head:      promptHead(request.Prompt),
		Refused:   refused,
	}, now)
}

func (e *Engine) enqueue(a *attempt) {
	index, _ := slices.BinarySearchFunc(e.waiting, a, compareQueueOrder)
	e.waiting = slices.Insert(e.waiting, index, a)
}

// refusal returns why the request is refused, or an empty kind if it is accepted.
func (e *Engine) refusal(request enginewire.GenerationRequest) enginewire.RefusalKind {
	if !e.leavingSince.IsZero() {
		return enginewire.RefusedLeaving
	}
	if kind := e.faults.refusal(); kind != "" {
		return kind
	}
	if request.AttemptID == "" || countPromptTokens(request.Prompt) >= e.options.MemoryTokens {
		return enginewire.RefusedBadRequest
	}
	if e.attempts[request.AttemptID] != nil {
		return enginewire.RefusedDuplicateAttempt
	}
	if !e.orders.hasLoaded(request) {
		return enginewire.RefusedNotLoaded
	}
	if len(e.waiting) >= e.options.MaxWaiting {
		return enginewire.RefusedQueueFull
	}
	return ""
}

// cancel ends the attempt and reports whether it is known.
func (e *Engine) cancel(id string, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	a, ok := e.attempts[id]
	if !ok {
		return false
	}
	e.finish(a, enginewire.FinishCanceled, now)
	return true
}

// finish ends an attempt and removes it from the batch and the queue, unless it has ended already.
func (e *Engine) finish(a *attempt, reason enginewire.FinishReason, now time.Time) {
	if a.finishReason != "" {
		return
	}
	e.running = without(e.running, a)
	e.waiting = without(e.waiting, a)
	a.end(reason, now)
	e.loadHistory.add(now, e.currentLoad())
}

func without(attempts []*attempt, removed *attempt) []*attempt {
	return slices.DeleteFunc(attempts, func(a *attempt) bool { return a == removed })
}

// Leave makes the engine refuse new submissions; running and queued generations continue.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leavingSince.IsZero() {
		e.leavingSince = time.Now()
		e.journal.Append(journal.Entry{Event: journal.EventLeaving}, e.leavingSince)
	}
}

// Drain calls Leave and returns when all generations have ended and their readers have disconnected, or
// drainReaderTimeout after the last generation ended.
func (e *Engine) Drain() {
	e.Leave()
	for e.countUnfinished() > 0 {
		time.Sleep(drainPollInterval)
	}
	deadline := time.Now().Add(drainReaderTimeout)
	for e.countReaders() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPollInterval)
	}
}

func (e *Engine) countUnfinished() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

func (e *Engine) countReaders() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	readers := 0
	for _, a := range e.attempts {
		readers += a.readers
	}
	return readers
}
