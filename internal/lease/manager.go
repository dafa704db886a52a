package lease

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
)

const (
	// DefaultTerm is how long a lease is valid without renewal.
	DefaultTerm = 6 * time.Second
	// renewalsPerTerm is the number of renewals per term.
	renewalsPerTerm = 3
	// retriesPerTerm is the rate of retries per term after a failed renewal.
	retriesPerTerm = 12
	// releaseTimeout limits how long a stopping VM waits to release a lease.
	releaseTimeout = 2 * time.Second
)

// Options configures a Manager. Zero fields take their defaults.
type Options struct {
	Store object.Store
	// Holder identifies this process. It must change when the process restarts.
	Holder string
	// Term must be the same on every VM.
	Term time.Duration
	// Registry receives the metrics. If it is nil, the manager creates a private registry.
	Registry metrics.Registry
}

// observation is a version of a lease and the time at which this VM first saw it.
type observation struct {
	version uint64
	since   time.Time
}

// Manager acquires and renews leases for one process. It is safe for concurrent use.
type Manager struct {
	options                 Options
	acquired, renewed, lost metrics.Counter

	mu           sync.Mutex
	observations map[string]observation
}

// NewManager returns a manager without leases.
func NewManager(options Options) *Manager {
	if options.Term == 0 {
		options.Term = DefaultTerm
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	return &Manager{
		options:      options,
		acquired:     metrics.GetOrRegisterCounter("lease.taken", options.Registry),
		renewed:      metrics.GetOrRegisterCounter("lease.renewed", options.Registry),
		lost:         metrics.GetOrRegisterCounter("lease.lost", options.Registry),
		observations: make(map[string]observation),
	}
}

// Acquire tries once to acquire a lease. It returns a HeldError if another VM holds the lease or acquires
// it first. The caller must run KeepAlive on the returned lease.
func (m *Manager) Acquire(ctx context.Context, name string) (*Lease, error) {
	key := Prefix + name
	stored, err := m.options.Store.Get(ctx, key)
	if err != nil && !object.IsNotFound(err) {
		return nil, err
	}
	current, err := Parse(stored)
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	predecessorExpiry, acquirable := m.observe(name, stored.Version, current, sentAt)
	if !acquirable {
		return nil, &HeldError{Name: name, Holder: current.Holder, RetryAfter: predecessorExpiry.Sub(sentAt)}
	}
	record := Record{Holder: m.options.Holder, TermMillis: m.options.Term.Milliseconds(), Renewals: rand.Uint64() >> 1}
	written, applied, err := m.write(ctx, key, record, stored.Version)
	if err != nil {
		return nil, err
	}
	if !applied {
		winner, _ := Parse(written)
		m.observe(name, written.Version, winner, time.Now())
		return nil, &HeldError{Name: name, Holder: winner.Holder, RetryAfter: m.options.Term}
	}
	m.acquired.Inc(1)
	return &Lease{
		manager: m, name: name, fencing: written.Version, predecessorExpiry: predecessorExpiry,
		version: written.Version, renewals: record.Renewals, validFrom: sentAt, lost: make(chan struct{}),
	}, nil
}

// observe records that a version was read. expiry is the time from which no holder of that version
// considers its lease valid. acquirable reports whether the lease may be acquired now. If the object
// does not exist (version zero), the lease can be acquired at once, and expiry is one term from now.
func (m *Manager) observe(name string, version uint64, current Record, now time.Time) (expiry time.Time, acquirable bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == 0 {
		return now.Add(m.options.Term), true
	}
	seen := m.observations[name]
	if seen.version != version {
		seen = observation{version: version, since: now}
		m.observations[name] = seen
	}
	term := max(m.options.Term, time.Duration(current.TermMillis)*time.Millisecond)
	expiry = seen.since.Add(term)
	return expiry, current.Holder == "" || !now.Before(expiry)
}

// write stores a lease record if the object still has the expected version. It returns the object that
// is stored then and whether it contains this record. A conflict is not an error: write returns the
// object that is stored instead. If the response is lost, write reads the object to find out.
func (m *Manager) write(ctx context.Context, key string, record Record, expected uint64) (object.Object, bool, error) {
	value, err := record.encode()
	if err != nil {
		return object.Object{}, false, err
	}
	written, err := m.options.Store.Put(ctx, key, value, expected)
	if err == nil {
		return written, true, nil
	}
	applied := func(current object.Object) bool {
		stored, err := Parse(current)
		return err == nil && stored.Holder == record.Holder && stored.Renewals == record.Renewals
	}
	if conflict, ok := object.AsConflict(err); ok {
		return conflict.Current, applied(conflict.Current), nil
	}
	if object.IsUnknownOutcome(err) {
		return object.ResolveOutcome(ctx, m.options.Store, key, value, expected, applied)
	}
	return object.Object{}, false, err
}

// KeepAlive renews the lease until it is lost, which KeepAlive returns as an error, or until ctx ends.
// In the latter case it releases the lease and returns nil. It retries a failed renewal while the lease
// is valid.
func (l *Lease) KeepAlive(ctx context.Context) error {
	defer l.end()
	term := l.manager.options.Term
	timer := time.NewTimer(term / renewalsPerTerm)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			l.release(ctx)
			return nil
		}
		err := l.renew(ctx)
		if ctx.Err() != nil {
			l.release(ctx)
			return nil
		}
		if errors.Is(err, errLost) || !l.Valid(time.Now()) {
			l.manager.lost.Inc(1)
			return lostError(l.name, err)
		}
		if err == nil {
			timer.Reset(term / renewalsPerTerm)
		} else {
			timer.Reset(term / retriesPerTerm)
		}
	}
}

var errLost = errors.New("another VM took the lease")

func lostError(name string, cause error) error {
	return apierror.Wrap(cause, apierror.KindConflict, "lease \""+name+"\" was lost", "stop the duty; it goes on under another holder")
}

// renew tries once to extend the validity, until the lease expires at the latest. After any error except
// errLost the caller may retry.
func (l *Lease) renew(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, l.ValidUntil())
	defer cancel()
	l.mu.Lock()
	version, renewals := l.version, l.renewals+1
	l.mu.Unlock()
	sentAt := time.Now()
	record := Record{
		Holder: l.manager.options.Holder, Fencing: l.fencing,
		TermMillis: l.manager.options.Term.Milliseconds(), Renewals: renewals,
	}
	written, applied, err := l.manager.write(ctx, Prefix+l.name, record, version)
	if err != nil {
		return err
	}
	if !applied {
		return errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = written.Version
	l.renewals = renewals
	l.validFrom = sentAt
	l.manager.renewed.Inc(1)
	return nil
}

// release ends the lease on this VM and tries once to release it in the store, ignoring errors.
func (l *Lease) release(ctx context.Context) {
	l.end()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	released := Record{Fencing: l.fencing, TermMillis: l.manager.options.Term.Milliseconds(), Renewals: l.renewals + 1}
	value, err := released.encode()
	if err != nil {
		return
	}
	_, _ = l.manager.options.Store.Put(ctx, Prefix+l.name, value, l.version)
}

// RunExclusive runs a task whenever this VM holds the lease, until ctx ends, and then returns nil. The
// task's context is canceled when the lease is lost. If the lease could not be acquired or the task has
// returned, it tries again after a random delay of one to two thirds of a term.
func (m *Manager) RunExclusive(ctx context.Context, name string, task func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		lease, err := m.Acquire(ctx, name)
		if err == nil {
			m.runTask(ctx, lease, task)
		}
		timer := time.NewTimer(m.options.Term/renewalsPerTerm + rand.N(m.options.Term/renewalsPerTerm))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	return nil
}

// runTask runs the task once and keeps the lease alive meanwhile. When the task returns, a lease that was
// not lost is released. The task's error is ignored.
func (m *Manager) runTask(ctx context.Context, lease *Lease, task func(context.Context, *Lease) error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	renewalDone := make(chan struct{})
	go func() {
		defer close(renewalDone)
		defer cancel()
		_ = lease.KeepAlive(ctx)
	}()
	_ = task(ctx, lease)
	cancel()
	<-renewalDone
}
