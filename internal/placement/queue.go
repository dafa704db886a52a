package placement

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/pause"
)

const (
	// defaultGrantInterval is the assumed wait at the head of the queue: for each request until a wait has been
	// observed, and always for a request that would be first.
	defaultGrantInterval = 50 * time.Millisecond
	// grantIntervalWeight is the weight of one wait in the moving average.
	grantIntervalWeight = 0.2
	// noObjectiveWait orders requests without an objective among the others.
	noObjectiveWait = time.Second
)

// queue holds the requests of a service that wait for capacity, in the order of their precedence. It protects engines
// whose memory is full: one more generation would make an engine preempt another, whose prefill is then repeated, so
// that both miss their objective.
type queue struct {
	// waiting is in the order of arrival.
	waiting []*waiter
	// grantInterval is a moving average of the time that a request spends at the head of the queue.
	grantInterval time.Duration
	// current is the head of the queue when it was last asked for, and headSince when it became the head.
	current   *waiter
	headSince time.Time
}

// Interruption shortens the wait of a request for capacity when its VM begins to shut down.
type Interruption struct {
	// Begun is closed when the shutdown begins.
	Begun <-chan struct{}
	// LongestWait returns how much longer the request may wait then.
	LongestWait func() time.Duration
}

// ErrInterrupted marks the error of Acquire for a request whose wait was cut short by its Interruption.
var ErrInterrupted = errors.New("the wait for room was cut short")

// begun returns the channel that signals the start of the shutdown; nil for none.
func (i *Interruption) begun() <-chan struct{} {
	if i == nil {
		return nil
	}
	return i.Begun
}

// limit returns the longest wait, and whether the shutdown that has begun makes it shorter.
func (i *Interruption) limit(wait time.Duration) (time.Duration, bool) {
	select {
	case <-i.begun():
		if limit := i.LongestWait(); limit < wait {
			return limit, true
		}
	default:
	}
	return wait, false
}

// Acquire chooses and reserves a target, waiting for capacity up to maxWait. A request that is not expected to get
// capacity in that time is refused at once. The error is an *apierror.Error, or marked with ErrInterrupted if the wait was
// shortened by the query's Interruption.
func (t *Table) Acquire(ctx context.Context, q Query, maxWait time.Duration) (*Lease, error) {
	maxWait, interrupted := q.Interruption.limit(maxWait)
	lease, err := t.acquire(ctx, q, maxWait, &interrupted)
	if err != nil && interrupted {
		return nil, errors.Mark(err, ErrInterrupted)
	}
	return lease, err
}

// acquire is Acquire that sets interrupted when the wait is shortened.
func (t *Table) acquire(ctx context.Context, q Query, maxWait time.Duration, interrupted *bool) (*Lease, error) {
	started := time.Now()
	lease, w, err := t.pickOrEnqueue(&q, maxWait, started)
	if w == nil {
		return lease, err
	}
	defer t.dequeue(&q, w)
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	begun := q.Interruption.begun()
	if w.byObjective {
		demotion := time.AfterFunc(max(0, w.inTimeUntil.Sub(started))+time.Millisecond, t.wakeAll)
		defer demotion.Stop()
	}
	for {
		lease, changed, err := t.pickIfFirst(&q, w, time.Now())
		if lease != nil {
			w.wait.Duration = time.Since(started)
			lease.Wait = w.wait
			return lease, nil
		}
		if evacuated := (*evacuationError)(nil); errors.As(err, &evacuated) {
			return nil, err
		}
		var limited *limitError
		isLimited := errors.As(err, &limited)
		if isLimited && !limited.inTime(maxWait-time.Since(started)) {
			return nil, err
		}
		var pauseEnds <-chan time.Time
		var paused *pauseError
		if errors.As(err, &paused) {
			if time.Until(paused.end) > maxWait-time.Since(started) {
				return nil, err
			}
			pauseEnds = time.After(time.Until(paused.end))
		}
		select {
		case <-pauseEnds:
		case <-changed:
			if !isLimited { // permits are given out one by one
				pause.For(ctx, min(t.turnWait(&q, w, time.Now()), maxWait-w.elapsed(time.Since(started))))
			}
		case <-begun:
			begun = nil
			left := maxWait - time.Since(started)
			if limit, shortened := q.Interruption.limit(left); shortened {
				*interrupted = true
				maxWait -= left - limit
				timer.Reset(limit)
			}
		case <-timer.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

// pickOrEnqueue returns a lease, an error, or the waiter that was added to the queue.
func (t *Table) pickOrEnqueue(q *Query, maxWait time.Duration, now time.Time) (*Lease, *waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	s := t.services[q.Service]
	if s == nil {
		return nil, nil, apierror.Newf(apierror.KindNotRun, "come back after the time given", "no target of service %q is known", q.Service)
	}
	ahead := s.queueOf(q).countAhead(s.newWaiter(q, now), now)
	if ahead == 0 {
		lease, err := t.pick(s, q, now)
		if err == nil || !apierror.Is(err, apierror.KindOverloaded) {
			return lease, nil, err
		}
	}
	if limited := t.limitedTarget(s, q, now); limited != nil {
		return t.enqueueForPermit(s, q, limited, ahead, maxWait, now)
	}
	if paused := t.pausedTargets(s, q, now); paused != nil && !t.hasCandidate(s, q, now) && paused.end.Sub(now) > maxWait {
		return nil, nil, paused
	}
	if evacuated := t.evacuatedTargets(s, q, now); evacuated != nil {
		return nil, nil, evacuated
	}
	if expected := s.queueOf(q).expectedWait(ahead); expected > maxWait {
		return nil, nil, apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"%d requests wait for room at service %q, about %d ms, before this one of %d tokens", ahead, q.Service, expected.Milliseconds(), q.memory())
	}
	return nil, t.enqueue(s, q, now), nil
}

// enqueue adds a waiter. The caller holds the lock.
func (t *Table) enqueue(s *service, q *Query, now time.Time) *waiter {
	queue := s.queueOf(q)
	w := s.newWaiter(q, now)
	w.wait = Wait{Ahead: queue.countAhead(w, now), VMsAhead: t.countVMsAhead(q, w, now), Lacking: q.lacking.String()}
	queue.waiting = append(queue.waiting, w)
	s.recordUrgent(w.urgent, now)
	if t.onLoadChange != nil && (len(queue.waiting) == 1 || w.byObjective && queue.head(now) == w) {
		t.onLoadChange()
	}
	return w
}

// enqueueForPermit asks for a permit at the limited target and returns a waiter, or the error if no permit is expected
// within maxWait. The wait for a permit does not depend on earlier waits for capacity. The caller holds the lock.
func (t *Table) enqueueForPermit(s *service, q *Query, limited *limitError, ahead int, maxWait time.Duration, now time.Time) (*Lease, *waiter, error) {
	if ahead >= t.limits.MaxWaiting(limited.target.Target, now) || !limited.inTime(maxWait) {
		return nil, nil, limited
	}
	t.limits.Ask(limited.target.Target, true, maxWait, now)
	if ahead == 0 {
		if lease, err := t.pick(s, q, now); err == nil {
			return lease, nil, nil // this VM gives out the permits itself
		}
	}
	return nil, t.enqueue(s, q, now), nil
}

// pickIfFirst picks a target if the waiter is first in the queue; otherwise, or if the pick fails, it returns the
// channel that signals the next change of capacity.
func (t *Table) pickIfFirst(q *Query, w *waiter, now time.Time) (*Lease, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	s := t.services[q.Service]
	if s.queueOf(q).head(now) != w {
		return nil, t.capacityChanged, apierror.Newf(apierror.KindOverloaded, "come back after the time given", "service %q has no room, and other requests go before this one", q.Service)
	}
	lease, err := t.pick(s, q, now)
	if err != nil {
		return nil, t.capacityChanged, err
	}
	return lease, nil, nil
}

// HasWaiting reports whether requests of this VM wait for capacity.
func (t *Table) HasWaiting() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasWaiting()
}

func (t *Table) hasWaiting() bool {
	for _, s := range t.services {
		if s.hasWaiting() {
			return true
		}
	}
	return false
}

func (t *Table) dequeue(q *Query, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.services[q.Service], time.Now()
	s.queueOf(q).remove(w, now)
	s.recordUrgent(w.urgent.times(-1), now)
	if t.onLoadChange != nil && !t.hasWaiting() {
		t.onLoadChange()
	}
	t.wakeWaiters()
}

// queueOf returns the queue of the query. Streams that continue at a software version wait apart: while its engines are
// full, those of other versions may have capacity for new ones.
func (s *service) queueOf(q *Query) *queue {
	if !q.VersionFixed {
		return &s.queue
	}
	if s.versionQueues[q.Version] == nil {
		s.versionQueues[q.Version] = &queue{}
	}
	return s.versionQueues[q.Version]
}

// hasWaiting reports whether requests wait for capacity at the service.
func (s *service) hasWaiting() bool {
	if len(s.queue.waiting) > 0 {
		return true
	}
	for _, queue := range s.versionQueues {
		if len(queue.waiting) > 0 {
			return true
		}
	}
	return false
}

// wakeAll is wakeWaiters for a caller without the lock.
func (t *Table) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wakeWaiters()
}

// wakeWaiters signals the waiters of all services. The caller holds the lock.
func (t *Table) wakeWaiters() {
	if t.hasWaiting() {
		close(t.capacityChanged)
		t.capacityChanged = make(chan struct{})
	}
}

// head returns the waiter that goes first, or nil if none waits.
func (q *queue) head(now time.Time) *waiter {
	var first *waiter
	for _, w := range q.waiting {
		if first == nil || w.precedence(now).Before(first.precedence(now)) {
			first = w
		}
	}
	if first != q.current {
		q.current, q.headSince = first, now
	}
	return first
}

// countAhead returns the number of waiting requests that precede a new one.
func (q *queue) countAhead(added *waiter, now time.Time) int {
	count := 0
	for _, w := range q.waiting {
		if !w.precedence(now).After(added.precedence(now)) {
			count++
		}
	}
	return count
}

// remove removes a waiter that was granted capacity or has given up. Only the head of the queue updates the grant
// interval; one that gave up does too, since its wait is a lower bound.
func (q *queue) remove(w *waiter, now time.Time) {
	if q.head(now) == w {
		if q.grantInterval == 0 {
			q.grantInterval = defaultGrantInterval
		}
		q.grantInterval += time.Duration(grantIntervalWeight * float64(now.Sub(q.headSince)-q.grantInterval))
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(other *waiter) bool { return other == w })
	q.head(now)
}

// expectedWait returns the expected wait of a request behind the given number of others. A request that would be
// first always gets the default, whatever the observed interval: if it were refused because of a long interval, no
// request would wait, and none could show that capacity has become free again.
func (q *queue) expectedWait(ahead int) time.Duration {
	interval := q.grantInterval
	if interval == 0 {
		interval = defaultGrantInterval
	}
	return defaultGrantInterval + time.Duration(ahead)*interval
}
