package claim

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// tickKey is the key of the object that stores the shared tick counter.
const tickKey = "claims-tick"

// tickCounter tracks the shared tick counter. Claims expire by this counter, so expiry does not depend
// on wall clocks.
//
// A VM increments the counter only after it has observed the current value for a whole tick on its own
// monotonic clock. Two increments are therefore at least one tick apart in real time, even if VM
// clocks disagree or a VM was paused.
type tickCounter struct {
	store  object.Store
	period time.Duration

	mu sync.Mutex
	// count was read by a call sent at readAt. This VM first saw its version at firstSeenAt.
	count               uint64
	version             uint64
	readAt, firstSeenAt time.Time
}

func newTickCounter(store object.Store, period time.Duration) *tickCounter {
	return &tickCounter{store: store, period: period}
}

// lowerBound returns a lower bound of the counter. It returns false if the counter was never read.
func (t *tickCounter) lowerBound() (uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count, !t.readAt.IsZero()
}

// upperBound returns an upper bound of the counter at the time now: within a duration d there are at
// most d/period + 1 increments.
func (t *tickCounter) upperBound(now time.Time) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.count + uint64(now.Sub(t.readAt)/t.period) + 1
}

// refresh reads the counter, and increments it if this VM has observed its value for a whole tick. It
// returns nil if another VM wrote the counter first.
func (t *tickCounter) refresh(ctx context.Context) error {
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
	if !t.record(count, stored.Version, sentAt, time.Now()) {
		return nil
	}
	value := strconv.FormatUint(count+1, 10)
	_, err = t.store.Put(ctx, tickKey, []byte(value), stored.Version)
	if _, conflict := object.AsConflict(err); conflict {
		return nil
	}
	return err
}

// record stores a value read by a call that was sent at sentAt and answered at now. It reports whether
// the counter is due for an increment.
func (t *tickCounter) record(count, version uint64, sentAt, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.IsZero() || version != t.version {
		t.firstSeenAt = now
	}
	t.count = count
	t.version = version
	t.readAt = sentAt
	return now.Sub(t.firstSeenAt) >= t.period
}

// run refreshes the counter until ctx ends. It ignores errors because the next read retries.
func (t *tickCounter) run(ctx context.Context, interval time.Duration) {
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
