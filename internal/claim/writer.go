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
	// commitTries bounds the rounds of one batch that settle no operation.
	commitTries = 16
	// commitBackoff is the first bound of the random pause after a conflict; it doubles.
	commitBackoff = time.Millisecond
	// commitBackoffLimit bounds the pause.
	commitBackoffLimit = 100 * time.Millisecond
	// flushTimeout bounds the last write of a book that is stopping.
	flushTimeout = 2 * time.Second
)

// writer is the only goroutine of this VM that reads and writes one shard.
type writer struct {
	book  *Book
	shard int
	inbox chan *operation
	// view is nil until the shard has been read, and after it proved too old.
	view *view
	// lazy holds the operations that wait for a write that they can join.
	lazy      []*operation
	lazyTimer *time.Timer
	// nextWrite is the earliest time of the next batch.
	nextWrite time.Time
	// permitted means that the batch's first write has its permit. Those that follow do not wait
	// for theirs, because their view would grow old, but delay later batches.
	permitted bool
	// contended means that others write the shard too, so that a read before the write, of which
	// the platform allows more, saves a write that meets a conflict.
	contended bool
}

func newWriter(b *Book, shard int) *writer {
	return &writer{book: b, shard: shard, inbox: make(chan *operation, b.options.QueueLimit)}
}

func (w *writer) run(ctx context.Context) {
	w.lazyTimer = time.NewTimer(w.book.options.EndDelay)
	defer w.lazyTimer.Stop()
	for {
		batch, ok := w.collect(ctx)
		if !ok {
			w.stop(ctx)
			return
		}
		w.nextWrite = time.Now().Add(w.book.options.BatchInterval)
		w.commit(ctx, batch)
	}
}

// collect returns the next batch, and false when the context has ended.
func (w *writer) collect(ctx context.Context) ([]*operation, bool) {
	var urgent []*operation
	due := false
	for len(urgent) == 0 && !due {
		select {
		case o := <-w.inbox:
			urgent = w.sort(o, urgent)
		case <-w.lazyTimer.C:
			if wait := w.book.away(); wait > 0 {
				w.lazyTimer.Reset(wait + rand.N(time.Second))
			} else {
				due = len(w.lazy) > 0
			}
		case <-ctx.Done():
			return nil, false
		}
	}
	if !pause.For(ctx, time.Until(w.nextWrite)) || w.book.permits.Wait(ctx) != nil {
		w.fail(urgent, errEnded)
		return nil, false
	}
	w.permitted = true
	for len(urgent) < w.book.options.BatchLimit {
		select {
		case o := <-w.inbox:
			urgent = w.sort(o, urgent)
			continue
		default:
		}
		break
	}
	return append(w.takeLazy(), urgent...), true
}

// sort puts an operation among the lazy or the urgent ones, which it returns.
func (w *writer) sort(o *operation, urgent []*operation) []*operation {
	if o.lazy {
		w.postpone(o, o.delay)
		return urgent
	}
	if o.settled.Load() {
		return urgent
	}
	return append(urgent, o)
}

// postpone keeps a lazy operation for a write within the delay, of which zero stands for
// Options.EndDelay, and drops the oldest when there are too many.
func (w *writer) postpone(o *operation, delay time.Duration) {
	if delay > 0 {
		w.lazyTimer.Reset(delay)
	} else if len(w.lazy) == 0 {
		w.lazyTimer.Reset(w.book.options.EndDelay)
	}
	w.lazy = append(w.lazy, o)
	if excess := len(w.lazy) - w.book.options.QueueLimit; excess > 0 {
		w.book.counts.dropped.Inc(int64(excess))
		w.lazy = w.lazy[excess:]
	}
}

func (w *writer) takeLazy() []*operation {
	taken := w.lazy
	w.lazy = nil
	return taken
}

// stop fails what waits and tries once to write the endings that are left.
func (w *writer) stop(ctx context.Context) {
	for {
		select {
		case o := <-w.inbox:
			w.fail(w.sort(o, nil), errEnded)
			continue
		default:
		}
		break
	}
	if len(w.lazy) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	defer cancel()
	w.commit(ctx, w.takeLazy())
}

// commit carries out the operations of a batch, one slot of the ring after the other.
func (w *writer) commit(ctx context.Context, pending []*operation) {
	proved := make(map[int]bool)
	for try := 0; len(pending) > 0; {
		left, err := w.round(ctx, pending, proved)
		if errors.Is(err, errStale) {
			w.view = nil
			w.book.counts.reloads.Inc(1)
			clear(proved)
		} else if err != nil {
			w.book.noteFailure(err)
			w.fail(left, err)
			return
		}
		if len(left) < len(pending) {
			try = 0
		}
		pending = left
		if try++; try > commitTries {
			w.fail(pending, errTries)
			return
		}
		if try > 2 && !pause.For(ctx, rand.N(min(commitBackoff<<try, commitBackoffLimit))) {
			w.fail(pending, errEnded)
			return
		}
	}
	w.book.noteSuccess()
	for index := range proved {
		w.view.trim(index)
	}
}

// round carries out the operations that fall into the slot of the first one, and returns
// those that are not settled.
func (w *writer) round(ctx context.Context, pending []*operation, proved map[int]bool) ([]*operation, error) {
	if w.view == nil {
		if err := w.load(ctx); err != nil {
			return pending, err
		}
	}
	index, begins := w.view.place(pending[0].digest)
	var group, rest []*operation
	for _, o := range pending {
		if at, first := w.view.place(o.digest); at == index && first == begins {
			group = append(group, o)
		} else {
			rest = append(rest, o)
		}
	}
	unread := w.view.slots[index].segment == nil || (w.contended && !proved[index])
	if (begins && !proved[index]) || (!begins && unread) {
		return pending, w.refresh(ctx, index, proved)
	}
	next, results, changed, err := w.evaluate(index, begins, group)
	if err != nil {
		w.fail(group, err)
		return rest, nil
	}
	if !changed {
		if !proved[index] {
			return pending, w.refresh(ctx, index, proved)
		}
		w.settle(group, results)
		return rest, nil
	}
	written, err := w.write(ctx, index, next, group, proved)
	if err != nil || !written {
		return pending, err
	}
	w.settle(group, results)
	return rest, nil
}

// evaluate applies a group of operations to a copy of the slot's segment.
func (w *writer) evaluate(index int, begins bool, group []*operation) (next segment, results []result, changed bool, err error) {
	known := &w.view.slots[index]
	if begins {
		if !w.expired(known) {
			return segment{}, nil, false, errFull
		}
		next = segment{Generation: w.view.head + 1}
	} else {
		next = *known.segment
		next.Entries = append([]entry(nil), known.segment.Entries...)
	}
	for _, o := range group {
		current := next.find(o.digest)
		made := o.decide(current)
		results = append(results, made.result)
		changed = changed || made.touch || made.next != nil
		switch {
		case made.next == nil:
		case current == nil:
			next.Entries = append(next.Entries, *made.next)
		default:
			*current = *made.next
		}
	}
	next.Stamp = max(next.Stamp, w.book.ticker.upper(time.Now()))
	next.Sealed = next.Sealed || len(next.Entries) >= w.book.options.SegmentEntries
	return next, results, changed, nil
}

// expired reports whether a slot may be overwritten by a new segment.
func (w *writer) expired(known *slot) bool {
	if known.generation == 0 {
		return true
	}
	count, _ := w.book.ticker.lower()
	return count >= known.stamp+uint64(w.book.options.RetentionTicks)
}

// write stores a segment if the slot is still as this VM knows it.
func (w *writer) write(ctx context.Context, index int, next segment, group []*operation, proved map[int]bool) (bool, error) {
	value, err := next.encode()
	if err != nil {
		return false, err
	}
	if !w.permitted {
		w.book.permits.Reserve()
	}
	w.permitted = false
	w.book.counts.writes.Inc(1)
	w.book.counts.batch.Update(int64(len(group)))
	written, err := w.book.options.Store.Put(ctx, slotKey(w.shard, index), value, w.view.slots[index].version)
	if err == nil {
		return true, w.view.install(index, newSlot(written.Version, next))
	}
	if conflict, ok := object.AsConflict(err); ok {
		w.book.counts.conflicts.Inc(1)
		w.contended = true
		proved[index] = true
		return false, w.install(index, conflict.Current)
	}
	if object.IsUnknownOutcome(err) {
		w.book.counts.unknown.Inc(1)
		for _, o := range group {
			o.open = true
		}
		delete(proved, index)
		return false, w.refresh(ctx, index, proved)
	}
	return false, err
}

// load reads the whole shard, and the tick counter where it is not yet known.
func (w *writer) load(ctx context.Context) error {
	if _, known := w.book.ticker.lower(); !known {
		if err := w.book.ticker.refresh(ctx); err != nil {
			return err
		}
	}
	listing, err := w.book.options.Store.List(ctx, shardPrefix(w.shard))
	if err != nil {
		return err
	}
	w.view, err = newView(w.book.options.Slots, listing.Objects)
	return err
}

// refresh reads one slot again.
func (w *writer) refresh(ctx context.Context, index int, proved map[int]bool) error {
	key := slotKey(w.shard, index)
	stored, err := w.book.options.Store.Get(ctx, key)
	if err != nil && !object.IsNotFound(err) {
		return err
	}
	proved[index] = true
	w.contended = stored.Version != w.view.slots[index].version
	return w.install(index, stored)
}

func (w *writer) install(index int, stored object.Object) error {
	known, err := readSlot(stored)
	if err != nil {
		return err
	}
	return w.view.install(index, known)
}

// settle hands out results; a claim whose caller has given up meanwhile is released.
func (w *writer) settle(group []*operation, results []result) {
	for i, o := range group {
		if !o.finish(results[i]) && results[i].won && o.undo != nil {
			w.postpone(o.undo, 0)
		}
	}
}

// fail ends operations that did not take effect or may still do so: lazy ones are kept for
// the next write, and a claim with an open outcome is undone by it.
func (w *writer) fail(group []*operation, err error) {
	for _, o := range group {
		if o.lazy {
			w.postpone(o, 0)
			continue
		}
		o.finish(result{err: err})
		if o.open && o.undo != nil {
			w.postpone(o.undo, 0)
		}
	}
}
