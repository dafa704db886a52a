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
	// DefaultTerm is how long a lease is valid without a renewal.
	DefaultTerm = 6 * time.Second
	// renewalsPerTerm is how often a holder renews within one term.
	renewalsPerTerm = 3
	// retriesPerTerm is how often a failed renewal is tried again within one term.
	retriesPerTerm = 12
	// releaseTimeout bounds the release of a lease by a VM that is stopping.
	releaseTimeout = 2 * time.Second
)

// Options configures a Manager. A zero field takes its default.
type Options struct {
	Store object.Store
	// Holder names this process; a restarted process must have another name.
	Holder string
	// Term must be the same on every VM.
	Term time.Duration
	// Registry receives the metrics; nil makes one of the manager's own.
	Registry metrics.Registry
}

// sighting is a version of a lease that this VM has seen, and since when.
type sighting struct {
	version uint64
	since   time.Time
}

// Manager takes and renews leases for one process. It is safe for concurrent use.
type Manager struct {
	options                Options
	taken, renewed, losses metrics.Counter

	mu   sync.Mutex
	seen map[string]sighting
}

// NewManager returns a manager that holds no lease.
func NewManager(options Options) *Manager {
	if options.Term == 0 {
		options.Term = DefaultTerm
	}
	if options.Registry == nil {
		options.Registry = metrics.NewRegistry()
	}
	return &Manager{
		options: options,
		taken:   metrics.GetOrRegisterCounter("lease.taken", options.Registry),
		renewed: metrics.GetOrRegisterCounter("lease.renewed", options.Registry),
		losses:  metrics.GetOrRegisterCounter("lease.lost", options.Registry),
		seen:    make(map[string]sighting),
	}
}

// Acquire tries once to take a lease. A HeldError says that another VM holds it. The caller
// runs Keep on the lease that it gets.
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
	predecessorEnd, free := m.sight(name, stored.Version, current, sentAt)
	if !free {
		return nil, &HeldError{Name: name, Holder: current.Holder, RetryAfter: predecessorEnd.Sub(sentAt)}
	}
	wanted := Info{Holder: m.options.Holder, TermMillis: m.options.Term.Milliseconds(), Renewals: rand.Uint64() >> 1}
	written, applied, err := m.write(ctx, key, wanted, stored.Version)
	if err != nil {
		return nil, err
	}
	if !applied {
		other, _ := Parse(written)
		m.sight(name, written.Version, other, time.Now())
		return nil, &HeldError{Name: name, Holder: other.Holder, RetryAfter: m.options.Term}
	}
	m.taken.Inc(1)
	return &Lease{
		manager: m, name: name, fencing: written.Version, predecessorEnd: predecessorEnd,
		version: written.Version, renewals: wanted.Renewals, validFrom: sentAt, lost: make(chan struct{}),
	}, nil
}

// sight notes that a version was read. It returns the time from which no holder can believe
// itself valid by that version, and whether the lease may be taken now.
func (m *Manager) sight(name string, version uint64, current Info, now time.Time) (end time.Time, free bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version == 0 {
		return now.Add(m.options.Term), true
	}
	known := m.seen[name]
	if known.version != version {
		known = sighting{version: version, since: now}
		m.seen[name] = known
	}
	term := max(m.options.Term, time.Duration(current.TermMillis)*time.Millisecond)
	end = known.since.Add(term)
	return end, current.Holder == "" || !now.Before(end)
}

// write stores a lease, and settles a lost answer.
func (m *Manager) write(ctx context.Context, key string, wanted Info, expected uint64) (object.Object, bool, error) {
	value, err := wanted.encode()
	if err != nil {
		return object.Object{}, false, err
	}
	written, err := m.options.Store.Put(ctx, key, value, expected)
	if err == nil {
		return written, true, nil
	}
	applied := func(current object.Object) bool {
		found, err := Parse(current)
		return err == nil && found.Holder == wanted.Holder && found.Renewals == wanted.Renewals
	}
	if conflict, ok := object.AsConflict(err); ok {
		return conflict.Current, applied(conflict.Current), nil
	}
	if object.IsUnknownOutcome(err) {
		return object.Settle(ctx, m.options.Store, key, value, expected, applied)
	}
	return object.Object{}, false, err
}

// Keep renews the lease until it is lost, which is an error, or the context ends, when it
// releases the lease.
func (l *Lease) Keep(ctx context.Context) error {
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
			l.manager.losses.Inc(1)
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

// renew extends the validity; any error but errLost may be followed by another try.
func (l *Lease) renew(ctx context.Context) error {
	ctx, cancel := context.WithDeadline(ctx, l.Until())
	defer cancel()
	l.mu.Lock()
	version, renewals := l.version, l.renewals+1
	l.mu.Unlock()
	sentAt := time.Now()
	wanted := Info{
		Holder: l.manager.options.Holder, Fencing: l.fencing,
		TermMillis: l.manager.options.Term.Milliseconds(), Renewals: renewals,
	}
	written, applied, err := l.manager.write(ctx, Prefix+l.name, wanted, version)
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

// release gives the lease up, as far as that succeeds in one write.
func (l *Lease) release(ctx context.Context) {
	l.end()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	freed := Info{Fencing: l.fencing, TermMillis: l.manager.options.Term.Milliseconds(), Renewals: l.renewals + 1}
	value, err := freed.encode()
	if err != nil {
		return
	}
	_, _ = l.manager.options.Store.Put(ctx, Prefix+l.name, value, l.version)
}

// Hold runs a duty whenever this VM has the lease, until the context ends. The duty's context
// is canceled when the lease is lost.
func (m *Manager) Hold(ctx context.Context, name string, duty func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		held, err := m.Acquire(ctx, name)
		if err == nil {
			m.perform(ctx, held, duty)
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

func (m *Manager) perform(ctx context.Context, held *Lease, duty func(context.Context, *Lease) error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan struct{})
	go func() {
		defer close(kept)
		defer cancel()
		_ = held.Keep(ctx)
	}()
	_ = duty(ctx, held)
	cancel()
	<-kept
}
