package placement

import (
	"context"
	"slices"
	"time"

	"godwitcart/internal/apierror"
)

const (
	// assumedGrantInterval is the time between two grants of room before any was seen.
	assumedGrantInterval = 50 * time.Millisecond
	// grantWeight is the weight of one grant in the observed interval.
	grantWeight = 0.2
)

// queue holds the requests of a service that wait for room, the most urgent first and then by arrival. It
// answers a load that fills the memory of all engines: a generation that is sent all the same preempts
// another, which is read again, so that both are late.
type queue struct {
	waiting []*waiter
	// grantInterval is the observed time between two grants, and grantedAt the last one.
	grantInterval time.Duration
	grantedAt     time.Time
}

type waiter struct {
	priority int
}

// Await chooses a target and reserves it, and waits for room up to patience. What cannot have room in time is
// refused at once. The error is an *apierror.Error.
func (t *Table) Await(ctx context.Context, q Query, patience time.Duration) (*Lease, error) {
	started := time.Now()
	lease, entered, err := t.enter(&q, patience, started)
	if entered == nil {
		return lease, err
	}
	defer t.leave(q.Service, entered)
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		lease, changed, err := t.tryFirst(&q, entered, time.Now())
		if lease != nil {
			return lease, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

// enter returns a lease or a refusal, or a waiter that has joined the queue.
func (t *Table) enter(q *Query, patience time.Duration, now time.Time) (*Lease, *waiter, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	if s == nil {
		return nil, nil, apierror.Newf(apierror.KindNotRun, "come back after the time given", "no target of service %q is known", q.Service)
	}
	ahead := s.queue.ahead(q.Priority)
	if ahead == 0 {
		lease, err := t.pick(s, q, now)
		if err == nil || !apierror.Is(err, apierror.KindOverloaded) {
			return lease, nil, err
		}
	}
	if expected := s.queue.expectedWait(ahead + 1); expected > patience {
		return nil, nil, apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"%d requests wait for room at service %q, about %d ms", ahead, q.Service, expected.Milliseconds())
	}
	return nil, s.queue.join(q.Priority), nil
}

// tryFirst picks a target if no other request comes first, and returns what tells of the next change.
func (t *Table) tryFirst(q *Query, w *waiter, now time.Time) (*Lease, <-chan struct{}, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[q.Service]
	refusal := apierror.Newf(apierror.KindOverloaded, "come back after the time given", "service %q has no room", q.Service)
	if s.queue.waiting[0] != w {
		return nil, t.changed, refusal
	}
	lease, err := t.pick(s, q, now)
	if err != nil {
		return nil, t.changed, err
	}
	s.queue.granted(now)
	return lease, nil, nil
}

func (t *Table) leave(service string, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service].queue.remove(w)
	t.wakeWaiters()
}

// wakeWaiters is called with the lock held.
func (t *Table) wakeWaiters() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// ahead returns the number of waiting requests that come before a new one of the priority.
func (q *queue) ahead(priority int) int {
	count := 0
	for _, w := range q.waiting {
		if w.priority <= priority {
			count++
		}
	}
	return count
}

func (q *queue) join(priority int) *waiter {
	w := &waiter{priority: priority}
	q.waiting = slices.Insert(q.waiting, q.ahead(priority), w)
	return w
}

func (q *queue) remove(w *waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(held *waiter) bool { return held == w })
}

func (q *queue) expectedWait(position int) time.Duration {
	interval := q.grantInterval
	if interval == 0 {
		interval = assumedGrantInterval
	}
	return time.Duration(position) * interval
}

// granted notes that a waiting request got room.
func (q *queue) granted(now time.Time) {
	if q.grantInterval == 0 {
		q.grantInterval = assumedGrantInterval
	}
	if !q.grantedAt.IsZero() {
		// A pause without waiting requests says nothing about the rate; it counts as a second at most.
		passed := min(now.Sub(q.grantedAt), time.Second)
		q.grantInterval += time.Duration(grantWeight * float64(passed-q.grantInterval))
	}
	q.grantedAt = now
}
