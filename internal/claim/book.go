package claim

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

// Defaults of Options; docs/design/claims.md explains the choices.
const (
	DefaultShards          = 16
	DefaultSlots           = 1024
	DefaultSegmentEntries  = 64
	DefaultBatchInterval   = 10 * time.Millisecond
	DefaultBatchLimit      = 128
	DefaultWritesPerSecond = 30
	DefaultQueueLimit      = 1024
	DefaultEndDelay        = time.Second
	DefaultTimeout         = time.Second
	DefaultTick            = 10 * time.Minute
	DefaultRetentionTicks  = 8
)

// writeBurstWindow is the period whose writes the rate limiter admits as one burst.
const writeBurstWindow = 200 * time.Millisecond

// maxSlots is the largest number of slots in a ring: a shardView stores slot indexes in 16 bits.
const maxSlots = 1 << 16

// readsPerTick is how often each VM reads the tick counter during one tick.
const readsPerTick = 10

// Options configures a Manager. Zero fields take their defaults. Shards, Slots, Tick and
// RetentionTicks must be the same on every VM.
type Options struct {
	Store object.Store
	// Shards is the number of shards. Each VM runs one writer per shard.
	Shards int
	// Slots is the number of segments in each shard's ring, at most 65,536.
	Slots int
	// SegmentEntries is the number of claims at which a segment is sealed.
	SegmentEntries int
	// BatchInterval is the minimum time between two batches that this VM writes to the same shard.
	BatchInterval time.Duration
	// WritesPerSecond limits this VM's claim writes. A batch is assembled only once its write is
	// permitted, so that it includes every waiting operation and uses a fresh view. The store client's
	// own limit must be higher.
	WritesPerSecond float64
	// BatchLimit limits the number of urgent operations in one write.
	BatchLimit int
	// QueueLimit limits the number of operations that wait in each shard.
	QueueLimit int
	// EndDelay is how long an ending may wait for a write that it can share.
	EndDelay time.Duration
	// Timeout limits how long Claim, Rebind and Lookup wait.
	Timeout time.Duration
	// Tick is the unit of claim expiry, and RetentionTicks the number of ticks for which a claim is
	// kept. A claim is kept for at least (RetentionTicks - 1) * Tick.
	Tick           time.Duration
	RetentionTicks int
	// Registry receives the metrics. If it is nil, the manager creates a private registry.
	Registry metrics.Registry
}

func (o Options) withDefaults() Options {
	o.Shards = cmp.Or(o.Shards, DefaultShards)
	o.Slots = min(cmp.Or(o.Slots, DefaultSlots), maxSlots)
	o.SegmentEntries = cmp.Or(o.SegmentEntries, DefaultSegmentEntries)
	o.BatchInterval = cmp.Or(o.BatchInterval, DefaultBatchInterval)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSecond)
	o.BatchLimit = cmp.Or(o.BatchLimit, DefaultBatchLimit)
	o.QueueLimit = cmp.Or(o.QueueLimit, DefaultQueueLimit)
	o.EndDelay = cmp.Or(o.EndDelay, DefaultEndDelay)
	o.Timeout = cmp.Or(o.Timeout, DefaultTimeout)
	o.Tick = cmp.Or(o.Tick, DefaultTick)
	o.RetentionTicks = cmp.Or(o.RetentionTicks, DefaultRetentionTicks)
	if o.Registry == nil {
		o.Registry = metrics.NewRegistry()
	}
	return o
}

// Manager claims requests for one VM. It is safe for concurrent use.
type Manager struct {
	options Options
	ticks   *tickCounter
	writers []*writer
	metrics *claimMetrics
	// writeLimiter limits the rate of writes.
	writeLimiter *rate.Limiter
	// unavailableUntil is a time in Unix nanoseconds. Until then, new claims are refused immediately
	// because the platform has just failed.
	unavailableUntil atomic.Int64
}

// NewManager returns a manager. Operations wait in its queues until Run is called.
func NewManager(options Options) *Manager {
	options = options.withDefaults()
	m := &Manager{
		options:      options,
		ticks:        newTickCounter(options.Store, options.Tick),
		metrics:      newClaimMetrics(options.Registry),
		writeLimiter: rate.NewLimiter(rate.Limit(options.WritesPerSecond), writeBurst(options.WritesPerSecond)),
	}
	for shard := range options.Shards {
		m.writers = append(m.writers, newWriter(m, shard))
	}
	return m
}

// SetWritesPerSecond changes Options.WritesPerSecond, so that a growing fleet stays within the
// platform's write limit.
func (m *Manager) SetWritesPerSecond(perSecond float64) {
	m.writeLimiter.SetLimit(rate.Limit(perSecond))
	m.writeLimiter.SetBurst(writeBurst(perSecond))
}

func writeBurst(perSecond float64) int {
	return max(1, int(perSecond*writeBurstWindow.Seconds()))
}

// Run writes claims until ctx ends. It then fails waiting operations and tries once more to write
// pending endings and releases.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		m.ticks.run(ctx, m.options.Tick/readsPerTick)
		return nil
	})
	for _, w := range m.writers {
		group.Go(func() error {
			w.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Claim claims a request for the record's attempt. If won is true, the caller may dispatch that
// attempt and no other attempt may be dispatched. If won is false, existing is the earlier claim. An
// error means that the request is not claimed and did not run: the caller must not dispatch it, and
// the error tells when to retry.
func (m *Manager) Claim(ctx context.Context, record Record) (existing Record, won bool, err error) {
	if wait := m.unavailableFor(); wait > 0 {
		m.metrics.refused.Inc(1)
		return Record{}, false, notRunError(object.NewUnavailableError(wait, false, nil))
	}
	outcome := m.execute(ctx, record.Key, claimOperation(record))
	if outcome.err != nil {
		m.metrics.refused.Inc(1)
		return Record{}, false, notRunError(outcome.err)
	}
	m.metrics.recordClaim(outcome.won)
	return outcome.record, outcome.won, nil
}

// Rebind moves a claim to a new attempt after the old one certainly did not run. The new attempt may
// be dispatched only if Rebind returns nil. After an error the caller must dispatch neither attempt
// and must release both.
func (m *Manager) Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error {
	err := m.execute(ctx, key, rebindOperation(key, oldAttempt, newAttempt, newTarget)).err
	if err == nil || apierror.Is(err, apierror.KindConflict) {
		return err
	}
	return notRunError(err)
}

// End records how the claimed request ended. It does not wait: the ending is part of a later write,
// and is lost if this VM crashes before that.
func (m *Manager) End(key, attempt string, ending Ending) {
	m.enqueue(key, endOperation(key, attempt, ending))
}

// Release releases the claim of an attempt that certainly did not run, so that a copy of the request
// can be claimed. Like End it does not wait.
func (m *Manager) Release(key, attempt string) {
	m.enqueue(key, releaseOperation(key, attempt, false))
}

// Lookup returns the claim of a key. If there is none, the kind of the error is not_found.
func (m *Manager) Lookup(ctx context.Context, key string) (Record, error) {
	outcome := m.execute(ctx, key, lookupOperation(key))
	if outcome.err == nil || apierror.Is(outcome.err, apierror.KindNotFound) {
		return outcome.record, outcome.err
	}
	return Record{}, apierror.Wrap(outcome.err, apierror.KindUnavailable, "the claim could not be read", "ask again later").
		WithRetryAfter(retryAfter(outcome.err))
}

// execute queues an operation and waits for its result, at most for Options.Timeout.
func (m *Manager) execute(ctx context.Context, key string, o *operation) result {
	ctx, cancel := context.WithTimeout(ctx, m.options.Timeout)
	defer cancel()
	if !m.enqueue(key, o) {
		return result{err: errQueueFull}
	}
	return o.wait(ctx)
}

// enqueue queues an operation for its shard's writer. It returns false if the queue is full.
func (m *Manager) enqueue(key string, o *operation) bool {
	select {
	case m.writers[m.shardOf(key)].queue <- o:
		return true
	default:
		m.metrics.overflows.Inc(1)
		return false
	}
}

func (m *Manager) shardOf(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(m.writers)))
}

// unavailableFor returns how long new claims are still refused after a platform failure.
func (m *Manager) unavailableFor() time.Duration {
	return time.Until(time.Unix(0, m.unavailableUntil.Load()))
}

// recordFailure makes new claims fail immediately for a short time if the platform is unavailable.
// Throttling does not count as a failure.
func (m *Manager) recordFailure(err error) {
	if unavailable, ok := object.AsUnavailable(err); ok && !unavailable.Throttled {
		wait := max(minRetryAfter, min(unavailable.RetryAfter, time.Second))
		m.unavailableUntil.Store(time.Now().Add(wait).UnixNano())
	}
}

// recordSuccess ends the refusal of new claims after a platform failure.
func (m *Manager) recordSuccess() { m.unavailableUntil.Store(0) }
