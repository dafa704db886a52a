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

// drainPoll is how often Drain looks whether the work has ended.
const drainPoll = 20 * time.Millisecond

// drainReaders bounds how long Drain waits for the readers of ended generations.
const drainReaders = 2 * time.Second

// Engine is one stand-in model engine. Run must be running for it to generate.
type Engine struct {
	options     Options
	incarnation string
	wake        chan struct{}

	mu       sync.Mutex
	attempts map[string]*attempt
	records  []*record
	arrivals uint64
	running  []*attempt
	// waiting is sorted by servedBefore.
	waiting     []*attempt
	preemptions uint64
	leaving     time.Time
	cache       *prefixCache
	reports     reportHistory
	orders      orderBook

	faults  faultSwitch
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
		orders:      newOrderBook(options.Loaded, options.Role),
		faults:      newFaultSwitch(),
	}
	engine.journal = journal.NewWriter(options.Journal, options.Name, engine.incarnation)
	engine.reports.add(time.Now(), engine.report())
	return engine
}

// Run generates until ctx ends.
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
		if !pause.For(ctx, time.Duration(float64(duration)*e.faults.slowness())) {
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

// submit queues the request, or says why the engine does not take it.
func (e *Engine) submit(request enginewire.GenerationRequest, now time.Time) (*attempt, enginewire.RefusalKind) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refused := e.refusal(request); refused != "" {
		e.records = append(e.records, refusedRecord(request, refused, now))
		e.log(journal.EventRefused, request, refused, now)
		return nil, refused
	}
	e.arrivals++
	a := newAttempt(e.options, request, e.arrivals, now)
	e.attempts[request.AttemptID] = a
	e.records = append(e.records, &record{attempt: a})
	e.log(journal.EventTaken, request, "", now)
	e.enqueue(a)
	e.reports.add(now, e.report())
	e.wakeUp()
	return a, ""
}

func (e *Engine) log(event journal.Event, request enginewire.GenerationRequest, refused enginewire.RefusalKind, now time.Time) {
	e.journal.Append(journal.Entry{
		Event:     event,
		RequestID: request.RequestID,
		AttemptID: request.AttemptID,
		Head:      promptHead(request.Prompt),
		Refused:   refused,
	}, now)
}

func (e *Engine) enqueue(a *attempt) {
	at, _ := slices.BinarySearchFunc(e.waiting, a, servedBefore)
	e.waiting = slices.Insert(e.waiting, at, a)
}

// refusal returns why a request is not taken, or nothing.
func (e *Engine) refusal(request enginewire.GenerationRequest) enginewire.RefusalKind {
	if !e.leaving.IsZero() {
		return enginewire.RefusedLeaving
	}
	if kind := e.faults.refusal(); kind != "" {
		return kind
	}
	if request.AttemptID == "" || promptTokens(request.Prompt) >= e.options.MemoryTokens {
		return enginewire.RefusedBadRequest
	}
	if e.attempts[request.AttemptID] != nil {
		return enginewire.RefusedDuplicateAttempt
	}
	if !e.orders.serves(request) {
		return enginewire.RefusedNotLoaded
	}
	if len(e.waiting) >= e.options.MaxWaiting {
		return enginewire.RefusedQueueFull
	}
	return ""
}

// cancel ends the attempt. It reports whether the attempt is known.
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

// finish ends an attempt that has not ended and takes it out of the batch and the queue.
func (e *Engine) finish(a *attempt, reason enginewire.FinishReason, now time.Time) {
	if a.finished != "" {
		return
	}
	e.running = without(e.running, a)
	e.waiting = without(e.waiting, a)
	a.end(reason, now)
	e.reports.add(now, e.report())
}

func without(attempts []*attempt, gone *attempt) []*attempt {
	return slices.DeleteFunc(attempts, func(a *attempt) bool { return a == gone })
}

// Leave refuses new work from now on; what runs and waits goes on.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving.IsZero() {
		e.leaving = time.Now()
		e.journal.Append(journal.Entry{Event: journal.EventLeaving}, e.leaving)
	}
}

// Drain leaves and returns when all work has ended and its readers have gone.
func (e *Engine) Drain() {
	e.Leave()
	for e.countWork() > 0 {
		time.Sleep(drainPoll)
	}
	last := time.Now().Add(drainReaders)
	for e.countReaders() > 0 && time.Now().Before(last) {
		time.Sleep(drainPoll)
	}
}

func (e *Engine) countWork() int {
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
