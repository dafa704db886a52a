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

// The defaults of Options; docs/design/claims.md weighs them.
const (
	DefaultShards         = 16
	DefaultSlots          = 1024
	DefaultSegmentEntries = 64
	DefaultBatchInterval  = 10 * time.Millisecond
	DefaultBatchLimit     = 128
	DefaultWritesPerSec   = 30
	DefaultQueueLimit     = 1024
	DefaultEndDelay       = time.Second
	DefaultTimeout        = time.Second
	DefaultTick           = 10 * time.Minute
	DefaultRetentionTicks = 8
)

// permitBurst is the span whose writes may be made at once.
const permitBurst = 200 * time.Millisecond

// maxSlots is the largest ring; a view counts slots in 16 bits.
const maxSlots = 1 << 16

// tickReads is how often the tick counter is read within one tick.
const tickReads = 10

// Options configures a Book. A zero field takes its default. Shards, Slots, Tick and
// RetentionTicks must be the same on every VM.
type Options struct {
	Store object.Store
	// Shards is the number of shards, each with one writer per VM.
	Shards int
	// Slots is the number of segments in a shard's ring, at most 65,536.
	Slots int
	// SegmentEntries is the number of claims at which a segment is sealed.
	SegmentEntries int
	// BatchInterval is the shortest time between two writes of this VM to the same shard.
	BatchInterval time.Duration
	// WritesPerSecond bounds the writes of this VM's claims. A batch is put together only once it
	// may be written, so that it holds all that waits and is based on a fresh view. The limit of
	// the store's own client must be higher.
	WritesPerSecond float64
	// BatchLimit bounds the operations of one write.
	BatchLimit int
	// QueueLimit bounds the operations that wait in each shard.
	QueueLimit int
	// EndDelay is how long an ending may wait for a write that it can join.
	EndDelay time.Duration
	// Timeout bounds Claim and Rebind.
	Timeout time.Duration
	// Tick is the unit of expiry, and RetentionTicks how many ticks a claim is kept. A claim
	// is kept for at least (RetentionTicks - 1) * Tick.
	Tick           time.Duration
	RetentionTicks int
	// Registry receives the metrics; nil makes one of the book's own.
	Registry metrics.Registry
}

func (o Options) withDefaults() Options {
	o.Shards = cmp.Or(o.Shards, DefaultShards)
	o.Slots = min(cmp.Or(o.Slots, DefaultSlots), maxSlots)
	o.SegmentEntries = cmp.Or(o.SegmentEntries, DefaultSegmentEntries)
	o.BatchInterval = cmp.Or(o.BatchInterval, DefaultBatchInterval)
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, DefaultWritesPerSec)
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

// Book claims requests for one VM. It is safe for concurrent use.
type Book struct {
	options Options
	ticker  *ticker
	writers []*writer
	counts  *counts
	// permits paces the writes.
	permits *rate.Limiter
	// awayUntil is the time, in Unix nanoseconds, before which new claims are refused at once
	// because the platform has just failed.
	awayUntil atomic.Int64
}

// NewBook returns a book; it claims nothing until Run is called.
func NewBook(options Options) *Book {
	options = options.withDefaults()
	b := &Book{
		options: options,
		ticker:  newTicker(options.Store, options.Tick),
		counts:  newCounts(options.Registry),
		permits: rate.NewLimiter(rate.Limit(options.WritesPerSecond), permitBurstOf(options.WritesPerSecond)),
	}
	for shard := range options.Shards {
		b.writers = append(b.writers, newWriter(b, shard))
	}
	return b
}

// SetWritesPerSecond changes Options.WritesPerSecond, so that the writes of a growing fleet can
// stay within what the platform takes.
func (b *Book) SetWritesPerSecond(perSecond float64) {
	b.permits.SetLimit(rate.Limit(perSecond))
	b.permits.SetBurst(permitBurstOf(perSecond))
}

func permitBurstOf(perSecond float64) int {
	return max(1, int(perSecond*permitBurst.Seconds()))
}

// Run writes claims until the context ends. It then fails what waits, and writes the endings
// that it still holds in one last attempt.
func (b *Book) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		b.ticker.run(ctx, b.options.Tick/tickReads)
		return nil
	})
	for _, w := range b.writers {
		group.Go(func() error {
			w.run(ctx)
			return nil
		})
	}
	return group.Wait()
}

// Claim claims a request for the record's attempt. When won is true the caller may dispatch
// that attempt, and nobody else may. When won is false the record returned is the claim that
// came first. An error means that the request is not claimed and must not be dispatched: it
// did not run, and the error says when to come back.
func (b *Book) Claim(ctx context.Context, record Record) (existing Record, won bool, err error) {
	if wait := b.away(); wait > 0 {
		b.counts.refused.Inc(1)
		return Record{}, false, refuse(object.NewUnavailableError(wait, false, nil))
	}
	outcome := b.do(ctx, record.Key, newClaim(record))
	if outcome.err != nil {
		b.counts.refused.Inc(1)
		return Record{}, false, refuse(outcome.err)
	}
	b.counts.claimed(outcome.won)
	return outcome.record, outcome.won, nil
}

// Rebind moves a claim from an attempt that certainly did not run to a new one, which may be
// dispatched only if Rebind returns nil. After an error the holder dispatches no more and
// releases both attempts.
func (b *Book) Rebind(ctx context.Context, key, oldAttempt, newAttempt, newTarget string) error {
	err := b.do(ctx, key, newRebind(key, oldAttempt, newAttempt, newTarget)).err
	if err == nil || apierror.Is(err, apierror.KindConflict) {
		return err
	}
	return refuse(err)
}

// End records how the claimed request ended. It does not wait: the ending joins a later
// write, and is lost if this VM dies before.
func (b *Book) End(key, attempt string, ending Ending) {
	b.enqueue(key, newEnd(key, attempt, ending))
}

// Release gives up the claim of an attempt that certainly did not run, so that a copy of the
// request may be claimed again. Like End it does not wait.
func (b *Book) Release(key, attempt string) {
	b.enqueue(key, newRelease(key, attempt, false))
}

// Lookup reads the claim of a key; without one the error's kind is not_found.
func (b *Book) Lookup(ctx context.Context, key string) (Record, error) {
	outcome := b.do(ctx, key, newLookup(key))
	if outcome.err == nil || apierror.Is(outcome.err, apierror.KindNotFound) {
		return outcome.record, outcome.err
	}
	return Record{}, apierror.Wrap(outcome.err, apierror.KindUnavailable, "the claim could not be read", "ask again later").
		WithRetryAfter(retryAfter(outcome.err))
}

// do queues an operation and waits for its result within the book's timeout.
func (b *Book) do(ctx context.Context, key string, o *operation) result {
	ctx, cancel := context.WithTimeout(ctx, b.options.Timeout)
	defer cancel()
	if !b.enqueue(key, o) {
		return result{err: errBusy}
	}
	return o.wait(ctx)
}

// enqueue hands an operation to its shard's writer; false means that the queue is full.
func (b *Book) enqueue(key string, o *operation) bool {
	select {
	case b.writers[b.shard(key)].inbox <- o:
		return true
	default:
		b.counts.overflows.Inc(1)
		return false
	}
}

func (b *Book) shard(key string) int {
	return int(xxhash.Sum64String(key) % uint64(len(b.writers)))
}

// away returns how long new claims are still refused after a failure of the platform.
func (b *Book) away() time.Duration {
	return time.Until(time.Unix(0, b.awayUntil.Load()))
}

// noteFailure makes the following claims be refused at once for a short while.
func (b *Book) noteFailure(err error) {
	if unavailable, ok := object.AsUnavailable(err); ok && !unavailable.Throttled {
		wait := max(minRetryAfter, min(unavailable.RetryAfter, time.Second))
		b.awayUntil.Store(time.Now().Add(wait).UnixNano())
	}
}

// noteSuccess ends the refusals after a failure.
func (b *Book) noteSuccess() { b.awayUntil.Store(0) }
