package placement

import (
	"context"
	"slices"
	"time"

	"godwitcart/internal/apierror"
)

const (
	// assumedGrantInterval is the time until room for the first that waits, before any wait was seen.
	assumedGrantInterval = 50 * time.Millisecond
	// grantWeight is the weight of one wait in the observed interval.
	grantWeight = 0.2
)

// queue holds the requests of a service that wait for room, the most urgent first and then by arrival. It
// answers a load that fills the memory of all engines: a generation that is sent all the same preempts
// another, which is read again, so that both are late.
type queue struct {
	waiting []*waiter
	// grantInterval is the observed time for which the first of those waiting waits.
	grantInterval time.Duration
	// firstSince is when the one that is first now became it.
	firstSince time.Time
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
	if expected := s.queue.expectedWait(ahead); expected > patience {
		return nil, nil, apierror.Newf(apierror.KindOverloaded, "come back after the time given",
			"%d requests wait for room at service %q, about %d ms, before this one of %d tokens", ahead, q.Service, expected.Milliseconds(), q.memory())
	}
	return nil, s.queue.join(q.Priority, now), nil
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
	return lease, nil, nil
}

func (t *Table) leave(service string, w *waiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[service].queue.remove(w, time.Now())
	t.wakeWaiters()
}

// wakeWaiters is called with the lock held.
func (t *Table) wakeWaiters() {
	for _, s := range t.services {
		if len(s.queue.waiting) > 0 {
			close(t.changed)
			t.changed = make(chan struct{})
			return
		}
	}
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

func (q *queue) join(priority int, now time.Time) *waiter {
	w := &waiter{priority: priority}
	position := q.ahead(priority)
	q.waiting = slices.Insert(q.waiting, position, w)
	if position == 0 {
		q.firstSince = now
	}
	return w
}

// remove takes out one that got room or has given up. The first of them tells how long room takes, also when
// it got none: a longer wait would have been needed.
func (q *queue) remove(w *waiter, now time.Time) {
	if q.waiting[0] == w {
		if q.grantInterval == 0 {
			q.grantInterval = assumedGrantInterval
		}
		q.grantInterval += time.Duration(grantWeight * float64(now.Sub(q.firstSince)-q.grantInterval))
		q.firstSince = now
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(held *waiter) bool { return held == w })
}

// expectedWait is the time until room for one that has so many ahead of it. One that would be first is let in
// whatever was observed: nothing else shows that room has become free again.
func (q *queue) expectedWait(ahead int) time.Duration {
	interval := q.grantInterval
	if interval == 0 {
		interval = assumedGrantInterval
	}
	return assumedGrantInterval + time.Duration(ahead)*interval
}
