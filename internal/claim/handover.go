package claim

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// HandoverOptions configures a Handover.
type HandoverOptions struct {
	// Self is the name of this VM.
	Self   string
	Sender Sender
	// DirectFleet is the largest number of live entry VMs that all write claims themselves; zero
	// stands for DefaultDirectFleet.
	DirectFleet int
}

// Handover carries out operations on claims either in this VM's Book or, in a large fleet, in the Book
// of the VM that usually writes the shard. It is safe for concurrent use.
//
// Invariant: an operation whose outcome is unknown is carried out again in this VM's Book with the
// same attempt ids, so a claim is won only if the platform names the attempt. A claim that is refused
// after that is withdrawn.
type Handover struct {
	book    *Book
	options HandoverOptions
	fleet   atomic.Pointer[fleet]

	mu    sync.Mutex
	lanes map[string]*lane
	// stopping means that nothing more is handed over without waiting.
	stopping bool
	// pending counts the operations that are handed over and that nobody waits for.
	pending sync.WaitGroup
}

// NewHandover returns a Handover that writes directly until SetFleet names a large fleet.
func NewHandover(book *Book, options HandoverOptions) *Handover {
	options.DirectFleet = cmp.Or(options.DirectFleet, DefaultDirectFleet)
	h := &Handover{book: book, options: options, lanes: make(map[string]*lane)}
	h.fleet.Store(&fleet{})
	return h
}

// Run runs the Book until ctx ends and what was handed over is answered or queued in the Book.
func (h *Handover) Run(ctx context.Context) error {
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-running.Done():
		}
		h.stop()
	}()
	return h.book.Run(running)
}

func (h *Handover) stop() {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	h.pending.Wait()
}

// SetFleet takes over the names of the live entry VMs, this one among them, and sets its share of the
// writes.
func (h *Handover) SetFleet(entries []string) {
	if slices.Equal(entries, h.fleet.Load().entries) {
		return
	}
	next := newFleet(h.options.Self, entries, h.book.options.Shards, h.options.DirectFleet)
	h.fleet.Store(next)
	h.book.SetWritesPerSecond(next.writesPerSecond())
	h.mu.Lock()
	defer h.mu.Unlock()
	live := make(map[string]bool, len(next.batchers))
	for _, vm := range next.batchers {
		live[vm] = true
	}
	for vm := range h.lanes {
		if !live[vm] {
			delete(h.lanes, vm)
		}
	}
}

// Claim is like Book.Claim.
func (h *Handover) Claim(ctx context.Context, record Record) (existing Record, won bool, err error) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return Record{}, false, refuse(err)
	}
	message := &peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_CLAIM, Key: record.Key, Attempt: record.AttemptID, Record: encoded,
	}
	outcome, sent := h.handOver(ctx, message)
	if outcome != nil && outcome.err == nil {
		h.book.counts.claimed(outcome.won)
		return outcome.record, outcome.won, nil
	}
	existing, won, err = h.book.Claim(ctx, record)
	if err != nil && sent {
		h.release(&peerpb.ClaimOperation{
			Kind: peerpb.ClaimOperation_KIND_RELEASE, Key: record.Key, Attempt: record.AttemptID, Withdraw: true,
		})
	}
	return existing, won, err
}

// Rebind is like Book.Rebind.
func (h *Handover) Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error {
	outcome, _ := h.handOver(ctx, &peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_REBIND, Key: key, Attempt: oldAttempt, NewAttempt: newAttempt, NewTarget: newTarget,
	})
	if outcome != nil && (outcome.err == nil || apierror.Is(outcome.err, apierror.KindConflict)) {
		return outcome.err
	}
	return h.book.Rebind(ctx, key, oldAttempt, newAttempt, newTarget)
}

// End is like Book.End.
func (h *Handover) End(key, attempt string, ending Ending) {
	encoded, err := json.Marshal(ending)
	if err != nil {
		h.book.End(key, attempt, ending)
		return
	}
	h.release(&peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_END, Key: key, Attempt: attempt, Ending: encoded,
	})
}

// Release is like Book.Release.
func (h *Handover) Release(key, attempt string) {
	h.release(&peerpb.ClaimOperation{Kind: peerpb.ClaimOperation_KIND_RELEASE, Key: key, Attempt: attempt})
}

// Lookup is like Book.Lookup.
func (h *Handover) Lookup(ctx context.Context, key string) (Record, error) {
	outcome, _ := h.handOver(ctx, &peerpb.ClaimOperation{Kind: peerpb.ClaimOperation_KIND_LOOKUP, Key: key})
	if outcome != nil {
		return outcome.record, outcome.err
	}
	return h.book.Lookup(ctx, key)
}

// handOver returns the batcher's answer, or nil when the operation is to be carried out here. sent
// means that the batcher may carry it out as well.
func (h *Handover) handOver(ctx context.Context, message *peerpb.ClaimOperation) (outcome *result, sent bool) {
	l := h.lane(message.Key)
	if l == nil {
		return nil, false
	}
	waiting := l.push(message)
	if waiting == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultHandoverTimeout)
	defer cancel()
	select {
	case answer := <-waiting.answer:
		if known, ok := resultOf(answer); ok {
			return &known, true
		}
	case <-ctx.Done():
		if l.remove(waiting) {
			return nil, false
		}
	}
	h.book.counts.unanswered.Inc(1)
	return nil, true
}

// release hands over an operation that nobody waits for, and queues it here without an answer.
func (h *Handover) release(message *peerpb.ClaimOperation) {
	if h.lane(message.Key) == nil || !h.begin() {
		h.enqueue(message)
		return
	}
	go func() {
		defer h.pending.Done()
		if outcome, _ := h.handOver(context.Background(), message); outcome == nil {
			h.enqueue(message)
		}
	}()
}

// begin counts an operation as pending, and reports false when the VM is stopping.
func (h *Handover) begin() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.stopping {
		h.pending.Add(1)
	}
	return !h.stopping
}

func (h *Handover) enqueue(message *peerpb.ClaimOperation) {
	if o, err := operationOf(message); err == nil {
		h.book.enqueue(message.Key, o)
	}
}

// lane returns the lane to the batcher of the key's shard, or nil when this VM writes itself.
func (h *Handover) lane(key string) *lane {
	vm, other := h.fleet.Load().batcher(h.book.shard(key))
	if !other {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.lanes[vm]
	if l == nil {
		l = &lane{vm: vm, sender: h.options.Sender, counts: h.book.counts}
		h.lanes[vm] = l
	}
	return l
}
