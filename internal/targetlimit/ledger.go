// Package targetlimit keeps the request limits that targets name in their answers: the requests a second that a target
// takes from all entry VMs together.
//
// One VM, the coordinator, gives out the permits at limited targets, each for one request. The others ask it when they
// need one, so that no VM keeps a share that would add up with those of many others.
//
// Invariants: the newest statement about an incarnation of a target counts, whoever received it; an answer ends a limit
// only if its request was sent after the limit was stated; an incarnation that has stated nothing has no limit; each VM
// of the directory counts towards the share of one coordinator at most.
package targetlimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/roster"
)

const (
	// announceTime is how long a VM repeats what it learned from an answer. Some datagrams are lost.
	announceTime = 2 * time.Second
	// endedLimitTTL is how long the end of a limit is remembered, so that an outdated statement does not restore it.
	endedLimitTTL = 10 * time.Second
	// unlistedTTL is how long the limit of a target is kept that is no longer listed: after an outage of the platform it
	// may be listed again.
	unlistedTTL = 30 * time.Second
	// defaultCapacity is the estimated capacity of a brittle target of which nothing is known, in requests a second.
	defaultCapacity = 20.0
)

// Statement is what one answer of a target says about its limit.
type Statement struct {
	// Limited is false if the answer names no limit.
	Limited bool
	// PerSecond is the number of requests a second that the target takes from all entry VMs together.
	PerSecond float64
	// Brittle is the number of requests that the target can turn away in a second without falling over; zero if it does not
	// say that it is brittle.
	Brittle int
}

// isInForce reports whether requests need permits.
func (s Statement) isInForce() bool { return s.Limited || s.Brittle > 0 }

// Incarnation identifies one run of a target.
type Incarnation struct {
	ID        string
	StartedAt int64
}

// IncarnationOf returns the identity of the target's run.
func IncarnationOf(target roster.Target) Incarnation {
	return Incarnation{ID: target.ID, StartedAt: target.StartedAt}
}

// Announcement is a statement of a target as one VM tells it to others.
type Announcement struct {
	Target Incarnation
	Statement
	// Age is the time since the statement.
	Age time.Duration
}

// Options configures a Ledger.
type Options struct {
	// VM is the name of this entry VM.
	VM     string
	Logger *log.Logger
	// Changed is called when this VM has learned something from an answer that other VMs should know at once. It must
	// not block.
	Changed func()
	// Transmit sends a message to another VM, or to all without a name. It must not block; messages may be lost.
	Transmit func(vm string, message Message)
	// PermitAvailable is called when requests that wait for a permit should try again after the given time. It must not block.
	PermitAvailable func(after time.Duration)
	// Capacity estimates how many requests a second a target takes; nil means that it cannot be told. It is called without
	// a lock held.
	Capacity func(target Incarnation) float64
	// Cold limits the requests to cold targets; nil means that cold targets have no limit.
	Cold *ColdTargets
}

// Ledger holds what one VM knows about the limits of targets. It is safe for concurrent use.
type Ledger struct {
	options Options
	metrics *ledgerMetrics
	// limitCount is the number of limits in force. Requests to targets without a limit take no lock.
	limitCount atomic.Int64

	mu           sync.Mutex
	limits       map[Incarnation]*limit
	coordination Coordination
	// askNumber is the number of the last Ask.
	askNumber uint32
}

// limit is the newest statement about one incarnation.
type limit struct {
	Statement
	// statedAt is when the statement was made: at the latest for a limit, at the earliest for its end.
	statedAt time.Time
	// observedAt is when this VM last received such an answer itself; zero for never.
	observedAt time.Time
	// source is the VM that received the answer.
	source string
	// unlistedSince is when the target was no longer listed; zero while it is.
	unlistedSince time.Time
	// permits are those of this VM, and schedule spaces those that it gives out as coordinator.
	permits  permits
	schedule schedule
	// adaptive is the rate of a brittle target.
	adaptive adaptiveRate
}

// NewLedger returns a Ledger without limits.
func NewLedger(options Options) *Ledger {
	// Numbers begin at random, so that an answer to an earlier run of this VM fits no question.
	return &Ledger{options: options, metrics: newLedgerMetrics(), limits: make(map[Incarnation]*limit), askNumber: rand.Uint32()}
}

// Active reports whether a target has a limit in force.
func (l *Ledger) Active() bool { return l.limitCount.Load() > 0 }

// Observe records what the answer to a request says; sentAt is when this VM sent the request.
func (l *Ledger) Observe(target roster.Target, statement Statement, sentAt, now time.Time) {
	if !statement.isInForce() && !l.Active() {
		return
	}
	capacity := l.capacity(IncarnationOf(target), statement)
	l.mu.Lock()
	defer l.mu.Unlock()
	statedAt := now
	if !statement.isInForce() {
		statedAt = sentAt
	}
	accepted, changed := l.record(IncarnationOf(target), statement, capacity, statedAt, l.options.VM, now)
	if accepted {
		l.limits[IncarnationOf(target)].observedAt = now
	}
	if changed && l.options.Changed != nil {
		l.options.Changed()
	}
}

// Hear records the announcements of another VM.
func (l *Ledger) Hear(vm string, announcements []Announcement, now time.Time) {
	if len(announcements) == 0 {
		return
	}
	capacities := make([]float64, len(announcements))
	for i, heard := range announcements {
		capacities[i] = l.capacity(heard.Target, heard.Statement)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, heard := range announcements {
		l.record(heard.Target, heard.Statement, capacities[i], now.Add(-heard.Age), vm, now)
	}
}

// record replaces the known statement unless it is newer. The end of a limit that is not known is not recorded. The
// caller holds mu.
func (l *Ledger) record(target Incarnation, statement Statement, capacity float64, statedAt time.Time, source string, now time.Time) (accepted, changed bool) {
	known := l.limits[target]
	if known == nil && !statement.isInForce() || known != nil && statedAt.Before(known.statedAt) {
		return false, false
	}
	if known == nil {
		known = &limit{}
		l.limits[target] = known
	}
	changed = known.Statement != statement
	startsLimit := statement.isInForce() && !known.isInForce()
	if statement.isInForce() != known.isInForce() {
		l.countLimit(statement.isInForce())
	}
	if statement.Brittle > 0 && known.Brittle == 0 {
		known.adaptive.begin(capacity, now)
	}
	if startsLimit {
		known.permits, known.schedule = permits{}, schedule{updatedAt: now}
	} else {
		known.schedule.advance(l.rate(known), now)
	}
	known.Statement, known.statedAt, known.source = statement, statedAt, source
	if changed {
		l.logChange(target, known, now)
		l.permitAvailable(0)
	}
	return true, changed
}

// capacity returns the estimated capacity of a target that says that it is brittle, in requests a second; zero for others.
// The caller must not hold mu, since Options.Capacity takes the lock of a caller of the Ledger.
func (l *Ledger) capacity(target Incarnation, statement Statement) float64 {
	switch {
	case statement.Brittle == 0:
		return 0
	case l.options.Capacity == nil:
		return defaultCapacity
	default:
		return l.options.Capacity(target)
	}
}

// TurnedAway records that the target had no room for a request of this VM. Of a brittle one all VMs hear, since each part
// of a large fleet has a coordinator of its own.
func (l *Ledger) TurnedAway(target roster.Target, now time.Time) {
	if !l.Active() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	incarnation := IncarnationOf(target)
	if known := l.inForce(incarnation); known != nil && known.Brittle > 0 {
		l.recordTurnedAway(known, now)
		l.options.Transmit("", Message{TurnedAway: &incarnation})
	}
}

// recordTurnedAway requires the lock.
func (l *Ledger) recordTurnedAway(known *limit, now time.Time) {
	known.schedule.advance(l.rate(known), now)
	if known.adaptive.turnedAway(now) {
		known.schedule.balance = min(known.schedule.balance, 0)
		l.metrics.rateCuts.Inc(1)
	}
}

func (l *Ledger) countLimit(inForce bool) {
	delta := int64(-1)
	if inForce {
		delta = 1
	}
	l.metrics.limits.Update(l.limitCount.Add(delta))
}

func (l *Ledger) logChange(target Incarnation, known *limit, now time.Time) {
	message := "target named a request limit"
	if !known.isInForce() {
		message = "target ended its request limit"
	}
	l.options.Logger.Info(message, "target", target.ID, "per_second", known.PerSecond, "brittle", known.Brittle, "source", known.source, "age_ms", now.Sub(known.statedAt).Milliseconds())
}

// Announcements returns the statements that this VM tells the others: those that it received itself lately and, with
// relay, all limits in force.
func (l *Ledger) Announcements(relay bool, now time.Time) []Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var announcements []Announcement
	for target, known := range l.limits {
		isRecent := !known.observedAt.IsZero() && now.Sub(known.observedAt) <= announceTime
		if isRecent || relay && known.isInForce() {
			announcements = append(announcements, Announcement{Target: target, Statement: known.Statement, Age: now.Sub(known.statedAt)})
		}
	}
	return announcements
}

// Retain drops the limits of incarnations that have restarted or are no longer listed, and ends of limits that are no
// longer needed.
func (l *Ledger) Retain(listed map[string]roster.Target, now time.Time) {
	l.options.Cold.Retain(listed, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, known := range l.limits {
		if known.isNeeded(target, listed, now) {
			continue
		}
		if known.isInForce() {
			l.countLimit(false)
		}
		delete(l.limits, target)
	}
}

func (k *limit) isNeeded(target Incarnation, listed map[string]roster.Target, now time.Time) bool {
	current, found := listed[target.ID]
	switch {
	case found && IncarnationOf(current) != target:
		return false
	case found:
		k.unlistedSince = time.Time{}
	case k.unlistedSince.IsZero():
		k.unlistedSince = now
	case now.Sub(k.unlistedSince) > unlistedTTL:
		return false
	}
	return k.isInForce() || now.Sub(k.statedAt) <= endedLimitTTL
}

// ledgerMetrics are the metrics of a Ledger.
type ledgerMetrics struct {
	limits metrics.Gauge
	// granted and refused count the answers of the coordinator, sent the requests to limited targets, and overdrawn those
	// without a permit.
	granted, refused, sent, overdrawn metrics.Counter
	// rateCuts counts the refusals of brittle targets that made their rates smaller.
	rateCuts metrics.Counter
}

func newLedgerMetrics() *ledgerMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("targetlimit."+name, nil) }
	return &ledgerMetrics{
		limits:  metrics.GetOrRegisterGauge("targetlimit.limits", nil),
		granted: counter("permits_granted"), refused: counter("permits_refused"), sent: counter("sent"), overdrawn: counter("sent_without_permit"), rateCuts: counter("brittle_rate_cuts"),
	}
}
