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

// ForwarderOptions configures a Forwarder.
type ForwarderOptions struct {
	Self   string
	Sender Sender
	// MaxDirectVMs is the largest number of live entry VMs at which every VM writes claims directly.
	// Zero means DefaultMaxDirectVMs.
	MaxDirectVMs int
}

// Forwarder executes claim operations in this VM's Manager or, in a large fleet, forwards them to the
// Manager of the VM that usually writes the shard. It is safe for concurrent use.
//
// Invariant: an operation with an unknown outcome is executed again in this VM's Manager with the same
// attempt IDs, so a claim is won only if the stored claim names the attempt. If that claim is refused,
// the Forwarder withdraws it.
type Forwarder struct {
	manager    *Manager
	options    ForwarderOptions
	assignment atomic.Pointer[shardAssignment]

	mu     sync.Mutex
	queues map[string]*batcherQueue
	// stopping means that operations without a waiting caller are no longer forwarded.
	stopping bool
	// pending counts the forwarded operations that have no waiting caller.
	pending sync.WaitGroup
}

// NewForwarder returns a Forwarder that writes directly until SetFleet names more than MaxDirectVMs
// entry VMs.
func NewForwarder(manager *Manager, options ForwarderOptions) *Forwarder {
	options.MaxDirectVMs = cmp.Or(options.MaxDirectVMs, DefaultMaxDirectVMs)
	f := &Forwarder{manager: manager, options: options, queues: make(map[string]*batcherQueue)}
	f.assignment.Store(&shardAssignment{})
	return f
}

// Run runs the Manager until ctx ends and every forwarded operation is answered or queued in the
// Manager.
func (f *Forwarder) Run(ctx context.Context) error {
	managerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-ctx.Done():
		case <-managerCtx.Done():
		}
		f.stop()
	}()
	return f.manager.Run(managerCtx)
}

func (f *Forwarder) stop() {
	f.mu.Lock()
	f.stopping = true
	f.mu.Unlock()
	f.pending.Wait()
}

// SetFleet sets the names of the live entry VMs, which must include this VM, and updates this VM's
// share of the write rate.
func (f *Forwarder) SetFleet(entryVMs []string) {
	if slices.Equal(entryVMs, f.assignment.Load().entryVMs) {
		return
	}
	next := newShardAssignment(f.options.Self, entryVMs, f.manager.options.Shards, f.options.MaxDirectVMs)
	f.assignment.Store(next)
	f.manager.SetWritesPerSecond(next.writesPerSecond())
	f.mu.Lock()
	defer f.mu.Unlock()
	current := make(map[string]bool, len(next.batchers))
	for _, vm := range next.batchers {
		current[vm] = true
	}
	for vm := range f.queues {
		if !current[vm] {
			delete(f.queues, vm)
		}
	}
}

// Claim is like Manager.Claim. If it returns an error although the batcher may have received the claim,
// it also withdraws the claim there.
func (f *Forwarder) Claim(ctx context.Context, record Record) (existing Record, won bool, err error) {
	encoded, err := json.Marshal(record)
	if err != nil {
		return Record{}, false, notRunError(err)
	}
	message := &peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_CLAIM, Key: record.Key, Attempt: record.AttemptID, Record: encoded,
	}
	outcome, maybeSent := f.forward(ctx, message)
	if outcome != nil && outcome.err == nil {
		f.manager.metrics.recordClaim(outcome.won)
		return outcome.record, outcome.won, nil
	}
	existing, won, err = f.manager.Claim(ctx, record)
	if err != nil && maybeSent {
		f.forwardAsync(&peerpb.ClaimOperation{
			Kind: peerpb.ClaimOperation_KIND_RELEASE, Key: record.Key, Attempt: record.AttemptID, Withdraw: true,
		})
	}
	return existing, won, err
}

// Rebind is like Manager.Rebind.
func (f *Forwarder) Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error {
	outcome, _ := f.forward(ctx, &peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_REBIND, Key: key, Attempt: oldAttempt, NewAttempt: newAttempt, NewTarget: newTarget,
	})
	if outcome != nil && (outcome.err == nil || apierror.Is(outcome.err, apierror.KindConflict)) {
		return outcome.err
	}
	return f.manager.Rebind(ctx, key, oldAttempt, newAttempt, newTarget)
}

// End is like Manager.End.
func (f *Forwarder) End(key, attempt string, ending Ending) {
	encoded, err := json.Marshal(ending)
	if err != nil {
		f.manager.End(key, attempt, ending)
		return
	}
	f.forwardAsync(&peerpb.ClaimOperation{
		Kind: peerpb.ClaimOperation_KIND_END, Key: key, Attempt: attempt, Ending: encoded,
	})
}

// Release is like Manager.Release.
func (f *Forwarder) Release(key, attempt string) {
	f.forwardAsync(&peerpb.ClaimOperation{Kind: peerpb.ClaimOperation_KIND_RELEASE, Key: key, Attempt: attempt})
}

// Lookup is like Manager.Lookup.
func (f *Forwarder) Lookup(ctx context.Context, key string) (Record, error) {
	outcome, _ := f.forward(ctx, &peerpb.ClaimOperation{Kind: peerpb.ClaimOperation_KIND_LOOKUP, Key: key})
	if outcome != nil {
		return outcome.record, outcome.err
	}
	return f.manager.Lookup(ctx, key)
}

// forward sends an operation to its shard's batcher and returns the outcome. The outcome is nil if the
// operation must be executed locally: this VM writes the shard itself, the queue is full or paused, or
// the batcher's answer is missing or does not tell the outcome. maybeSent reports whether the batcher
// may have received the operation.
func (f *Forwarder) forward(ctx context.Context, message *peerpb.ClaimOperation) (outcome *result, maybeSent bool) {
	queue := f.queueFor(message.Key)
	if queue == nil {
		return nil, false
	}
	queued := queue.push(message)
	if queued == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultForwardTimeout)
	defer cancel()
	select {
	case answer := <-queued.answer:
		if decoded, ok := decodeAnswer(answer); ok {
			return &decoded, true
		}
	case <-ctx.Done():
		if queue.remove(queued) {
			return nil, false
		}
	}
	f.manager.metrics.forwardedUnanswered.Inc(1)
	return nil, true
}

// forwardAsync forwards an operation without waiting. Without an answer it queues the operation in
// this VM's Manager.
func (f *Forwarder) forwardAsync(message *peerpb.ClaimOperation) {
	if f.queueFor(message.Key) == nil || !f.addPending() {
		f.enqueue(message)
		return
	}
	go func() {
		defer f.pending.Done()
		if outcome, _ := f.forward(context.Background(), message); outcome == nil {
			f.enqueue(message)
		}
	}()
}

// addPending counts an operation as pending. It returns false if the VM is stopping.
func (f *Forwarder) addPending() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.stopping {
		f.pending.Add(1)
	}
	return !f.stopping
}

func (f *Forwarder) enqueue(message *peerpb.ClaimOperation) {
	if o, err := decodeOperation(message); err == nil {
		f.manager.enqueue(message.Key, o)
	}
}

// queueFor returns the queue of the key's batcher, or nil if this VM writes the key's shard itself.
func (f *Forwarder) queueFor(key string) *batcherQueue {
	vm, remote := f.assignment.Load().remoteBatcher(f.manager.shardOf(key))
	if !remote {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	queue := f.queues[vm]
	if queue == nil {
		queue = &batcherQueue{vm: vm, sender: f.options.Sender, metrics: f.manager.metrics}
		f.queues[vm] = queue
	}
	return queue
}
