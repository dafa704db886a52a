package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// tickKey is the object that holds the shared tick counter.
const tickKey = "claims-tick"

// ticker knows the shared tick counter, by which claims expire without trust in any wall clock.
//
// A VM raises the counter by one only after it has seen the present value for a whole tick on
// its own monotonic clock. Two raises are therefore at least one tick apart in real time,
// whatever the VMs' clocks show and however long one of them was paused.
type ticker struct {
	store object.Store
	tick  time.Duration

	mu sync.Mutex
	// count was read by a call that was sent at readAt; it was first seen at seenAt.
	count          uint64
	version        uint64
	readAt, seenAt time.Time
}

func newTicker(store object.Store, tick time.Duration) *ticker {
	return &ticker{store: store, tick: tick}
}

// lower returns a lower bound of the counter, and false before it was ever read.
func (t *ticker) lower() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count, !t.readAt.IsZero()
}

// upper returns an upper bound of the counter at the time now: within a time span d there are
// at most d/tick + 1 raises.
func (t *ticker) upper(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count + uint64(now.Sub(t.readAt)/t.tick) + 1
}

// refresh reads the counter and raises it when this VM has seen its value for a whole tick.
func (t *ticker) refresh(ctx context.Context) error {
	sentAt := time.Now()
	stored, err := t.store.Get(ctx, tickKey)
	if err != nil && !object.IsNotFound(err) {
		return err
	}
	count := uint64(0)
	if err == nil {
		if count, err = strconv.ParseUint(string(stored.Value), 10, 64); err != nil {
			return errors.Wrap(err, "decode the tick counter")
		}
	}
	if !t.observe(count, stored.Version, sentAt, time.Now()) {
		return nil
	}
	value := strconv.FormatUint(count+1, 10)
	_, err = t.store.Put(ctx, tickKey, []byte(value), stored.Version)
	if _, lost := object.AsConflict(err); lost {
		return nil
	}
	return err
}

// observe takes in a value read by a call from sentAt to now, and reports whether to raise it.
func (t *ticker) observe(count, version uint64, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.IsZero() || version != t.version {
		t.seenAt = now
	}
	t.count = count
	t.version = version
	t.readAt = sentAt
	return now.Sub(t.seenAt) >= t.tick
}

// run keeps the counter fresh until the context ends; failures are met by the next read.
func (t *ticker) run(ctx context.Context, interval time.Duration) {
	timer := time.NewTicker(interval)
	defer timer.Stop()
	for {
		_ = t.refresh(ctx)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}
