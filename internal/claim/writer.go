package claim

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

const (
	// maxUnproductiveRounds limits the consecutive rounds of a batch in which no operation completes.
	maxUnproductiveRounds = 16
	// commitBackoffBase, doubled in each unproductive round, is the limit of the random pause before
	// the next round.
	commitBackoffBase = time.Millisecond
	// maxCommitBackoff is the largest such limit.
	maxCommitBackoff = 100 * time.Millisecond
	// shutdownFlushTimeout limits the last write of a manager that is stopping.
	shutdownFlushTimeout = 2 * time.Second
)

// writer reads and writes one shard. It is the only goroutine of this VM that does so.
type writer struct {
	manager *Manager
	shard   int
	queue   chan *operation
	// view is nil until the shard is first read, and again after it proved stale.
	view *shardView
	// deferred holds the operations that wait for a write that they can share.
	deferred      []*operation
	deferredTimer *time.Timer
	// nextBatchAt is the earliest time of the next batch.
	nextBatchAt time.Time
	// writePermitted means that the rate limiter has admitted the batch's first write. The batch's
	// later writes do not wait, because the view would become stale, but they delay later batches.
	writePermitted bool
	// contended means that other VMs write the shard too. Reading a slot before writing it then avoids
	// conflicts, and the platform allows more reads than writes.
	contended bool
}

func newWriter(manager *Manager, shard int) *writer {
	return &writer{manager: manager, shard: shard, queue: make(chan *operation, manager.options.QueueLimit)}
}

func (w *writer) run(ctx context.Context) {
	w.deferredTimer = time.NewTimer(w.manager.options.EndDelay)
	defer w.deferredTimer.Stop()
	for {
		batch, ok := w.collect(ctx)
		if !ok {
			w.shutdown(ctx)
			return
		}
		w.nextBatchAt = time.Now().Add(w.manager.options.BatchInterval)
		w.commit(ctx, batch)
	}
}

// collect returns the next batch: the deferred operations, then up to Options.BatchLimit urgent ones. It
// waits until an urgent operation is queued or the deferred ones are due, and then for the batch
// interval and the write limiter; the batch includes what is queued meanwhile. While the platform is
// unavailable, deferred operations alone do not start a batch. If ctx ends, collect fails the urgent
// operations that it has taken from the queue and returns false.
func (w *writer) collect(ctx context.Context) ([]*operation, bool) {
	var urgent []*operation
	due := false
	for len(urgent) == 0 && !due {
		select {
		case o := <-w.queue:
			urgent = w.classify(o, urgent)
		case <-w.deferredTimer.C:
			if wait := w.manager.unavailableFor(); wait > 0 {
				w.deferredTimer.Reset(wait + rand.N(time.Second))
			} else {
				due = len(w.deferred) > 0
			}
		case <-ctx.Done():
			return nil, false
		}
	}
	if !pause.For(ctx, time.Until(w.nextBatchAt)) || w.manager.writeLimiter.Wait(ctx) != nil {
		w.fail(urgent, errStopping)
		return nil, false
	}
	w.writePermitted = true
	for len(urgent) < w.manager.options.BatchLimit {
		select {
		case o := <-w.queue:
			urgent = w.classify(o, urgent)
			continue
		default:
		}
		break
	}
	return append(w.takeDeferred(), urgent...), true
}

// classify defers an operation if it is deferrable. Otherwise it appends the operation to urgent,
// unless it is finished. It returns urgent.
func (w *writer) classify(o *operation, urgent []*operation) []*operation {
	if o.deferrable {
		w.deferOperation(o, o.maxDelay)
		return urgent
	}
	if o.finished.Load() {
		return urgent
	}
	return append(urgent, o)
}

// deferOperation keeps an operation for a later write. A positive delay restarts the timer of that
// write. A zero delay starts it with Options.EndDelay, but only if no other operation is deferred. The
// oldest operations above Options.QueueLimit are dropped.
func (w *writer) deferOperation(o *operation, delay time.Duration) {
	if delay > 0 {
		w.deferredTimer.Reset(delay)
	} else if len(w.deferred) == 0 {
		w.deferredTimer.Reset(w.manager.options.EndDelay)
	}
	w.deferred = append(w.deferred, o)
	if excess := len(w.deferred) - w.manager.options.QueueLimit; excess > 0 {
		w.manager.metrics.dropped.Inc(int64(excess))
		w.deferred = w.deferred[excess:]
	}
}

func (w *writer) takeDeferred() []*operation {
	deferred := w.deferred
	w.deferred = nil
	return deferred
}

// shutdown fails the queued operations and tries once to write the deferred ones.
func (w *writer) shutdown(ctx context.Context) {
	for {
		select {
		case o := <-w.queue:
			w.fail(w.classify(o, nil), errStopping)
			continue
		default:
		}
		break
	}
	if len(w.deferred) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownFlushTimeout)
	defer cancel()
	w.commit(ctx, w.takeDeferred())
}

// commit executes the operations of a batch in rounds, one slot in each round. It reads the shard again
// if the view is stale. After any other error, after too many unproductive rounds, or if ctx ends
// during a backoff, it fails the operations that are left.
func (w *writer) commit(ctx context.Context, pending []*operation) {
	// verified holds the indexes of the slots whose stored state was read during this batch.
	verified := make(map[int]bool)
	for unproductiveRounds := 0; len(pending) > 0; {
		remaining, err := w.commitSlot(ctx, pending, verified)
		if errors.Is(err, errStaleView) {
			w.view = nil
			w.manager.metrics.reloads.Inc(1)
			clear(verified)
		} else if err != nil {
			w.manager.recordFailure(err)
			w.fail(remaining, err)
			return
		}
		if len(remaining) < len(pending) {
			unproductiveRounds = 0
		}
		pending = remaining
		if unproductiveRounds++; unproductiveRounds > maxUnproductiveRounds {
			w.fail(pending, errTooManyConflicts)
			return
		}
		if unproductiveRounds > 2 && !pause.For(ctx, rand.N(min(commitBackoffBase<<unproductiveRounds, maxCommitBackoff))) {
			w.fail(pending, errStopping)
			return
		}
	}
	w.manager.recordSuccess()
	for index := range verified {
		w.view.evictSegment(index)
	}
}

// commitSlot executes the operations that affect the same slot as the first one. It returns the
// operations that are not complete: all of pending if the slot had to be read first or was not
// written, otherwise those that affect other slots. Results that need no write are delivered only from
// a verified slot, because no conditional update checks them.
func (w *writer) commitSlot(ctx context.Context, pending []*operation, verified map[int]bool) ([]*operation, error) {
	if w.view == nil {
		if err := w.loadView(ctx); err != nil {
			return pending, err
		}
	}
	index, needsSegment := w.view.locate(pending[0].digest)
	var group, others []*operation
	for _, o := range pending {
		if opIndex, opNeedsSegment := w.view.locate(o.digest); opIndex == index && opNeedsSegment == needsSegment {
			group = append(group, o)
		} else {
			others = append(others, o)
		}
	}
	mustRead := w.view.slots[index].segment == nil || (w.contended && !verified[index])
	if (needsSegment && !verified[index]) || (!needsSegment && mustRead) {
		return pending, w.refreshSlot(ctx, index, verified)
	}
	next, results, changed, err := w.evaluate(index, needsSegment, group)
	if err != nil {
		w.fail(group, err)
		return others, nil
	}
	if !changed {
		if !verified[index] {
			return pending, w.refreshSlot(ctx, index, verified)
		}
		w.deliver(group, results)
		return others, nil
	}
	written, err := w.writeSegment(ctx, index, next, group, verified)
	if err != nil || !written {
		return pending, err
	}
	w.deliver(group, results)
	return others, nil
}

// evaluate applies a group of operations to a copy of the slot's segment or, if needsSegment is set, to
// a new segment. It returns that segment, the result of each operation, and whether the segment must be
// written. The error is errShardFull if the slot for a new segment still holds unexpired claims.
func (w *writer) evaluate(index int, needsSegment bool, group []*operation) (next segment, results []result, changed bool, err error) {
	cached := &w.view.slots[index]
	if needsSegment {
		if !w.expired(cached) {
			return segment{}, nil, false, errShardFull
		}
		next = segment{Generation: w.view.head + 1}
	} else {
		next = *cached.segment
		next.Entries = append([]entry(nil), cached.segment.Entries...)
	}
	for _, o := range group {
		current := next.find(o.digest)
		applied := o.apply(current)
		results = append(results, applied.result)
		changed = changed || applied.forceWrite || applied.next != nil
		switch {
		case applied.next == nil:
		case current == nil:
			next.Entries = append(next.Entries, *applied.next)
		default:
			*current = *applied.next
		}
	}
	next.MaxClaimTick = max(next.MaxClaimTick, w.manager.ticks.upperBound(time.Now()))
	next.Sealed = next.Sealed || len(next.Entries) >= w.manager.options.SegmentEntries
	return next, results, changed, nil
}

// expired reports whether a new segment may overwrite a slot.
func (w *writer) expired(cached *slot) bool {
	if cached.generation == 0 {
		return true
	}
	count, _ := w.manager.ticks.lowerBound()
	return count >= cached.maxClaimTick+uint64(w.manager.options.RetentionTicks)
}

// writeSegment writes a segment if the slot is unchanged since this VM read it, and updates the view. It
// returns false without an error if another round is needed: after a conflict, or after a write with
// unknown outcome, which also marks the group's operations as in doubt.
func (w *writer) writeSegment(ctx context.Context, index int, next segment, group []*operation, verified map[int]bool) (bool, error) {
	value, err := next.encode()
	if err != nil {
		return false, err
	}
	if !w.writePermitted {
		w.manager.writeLimiter.Reserve()
	}
	w.writePermitted = false
	w.manager.metrics.writes.Inc(1)
	w.manager.metrics.batchSize.Update(int64(len(group)))
	written, err := w.manager.options.Store.Put(ctx, slotKey(w.shard, index), value, w.view.slots[index].version)
	if err == nil {
		return true, w.view.apply(index, newSlot(written.Version, next))
	}
	if conflict, ok := object.AsConflict(err); ok {
		w.manager.metrics.conflicts.Inc(1)
		w.contended = true
		verified[index] = true
		return false, w.applySlot(index, conflict.Current)
	}
	if object.IsUnknownOutcome(err) {
		w.manager.metrics.unknownOutcomes.Inc(1)
		for _, o := range group {
			o.inDoubt = true
		}
		delete(verified, index)
		return false, w.refreshSlot(ctx, index, verified)
	}
	return false, err
}

// loadView reads the whole shard, and also the tick counter if it was never read.
func (w *writer) loadView(ctx context.Context) error {
	if _, known := w.manager.ticks.lowerBound(); !known {
		if err := w.manager.ticks.refresh(ctx); err != nil {
			return err
		}
	}
	listing, err := w.manager.options.Store.List(ctx, shardPrefix(w.shard))
	if err != nil {
		return err
	}
	w.view, err = newShardView(w.manager.options.Slots, listing.Objects)
	return err
}

// refreshSlot reads one slot again and marks it as verified. It sets contended if the stored version is
// not the cached one, and clears it otherwise.
func (w *writer) refreshSlot(ctx context.Context, index int, verified map[int]bool) error {
	key := slotKey(w.shard, index)
	stored, err := w.manager.options.Store.Get(ctx, key)
	if err != nil && !object.IsNotFound(err) {
		return err
	}
	verified[index] = true
	w.contended = stored.Version != w.view.slots[index].version
	return w.applySlot(index, stored)
}

func (w *writer) applySlot(index int, stored object.Object) error {
	latest, err := decodeSlot(stored)
	if err != nil {
		return err
	}
	return w.view.apply(index, latest)
}

// deliver delivers results. If a claim was won after its caller stopped waiting, deliver releases it.
func (w *writer) deliver(group []*operation, results []result) {
	for i, o := range group {
		if !o.finish(results[i]) && results[i].won && o.undo != nil {
			w.deferOperation(o.undo, 0)
		}
	}
}

// fail completes operations with an error. Deferrable operations are kept for the next write instead.
// An in-doubt operation is undone by that write.
func (w *writer) fail(group []*operation, err error) {
	for _, o := range group {
		if o.deferrable {
			w.deferOperation(o, 0)
			continue
		}
		o.finish(result{err: err})
		if o.inDoubt && o.undo != nil {
			w.deferOperation(o.undo, 0)
		}
	}
}
