package admission

import (
	"time"

	"godwitcart/internal/apierror"
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// grantRateWindow is the time over which the grant rate is averaged.
	grantRateWindow = 10 * time.Second
	// grantRateMaxAge is how long a measured rate is used.
	grantRateMaxAge = 30 * time.Second
)

// grantRateAverage is a moving average of a service's grants per second while requests wait. At other times the
// grant rate equals the arrival rate and says nothing about capacity.
type grantRateAverage struct {
	perSecond     float64
	pendingGrants int
	// backlogged is the time with waiters since the last update; backloggedSince is zero while none wait.
	backlogged      time.Duration
	backloggedSince time.Time
	measuredAt      time.Time
}

func (r *grantRateAverage) addGrant() {
	if !r.backloggedSince.IsZero() {
		r.pendingGrants++
	}
}

// setBacklogged sets whether requests wait from now on, and updates the average after a second of backlog.
func (r *grantRateAverage) setBacklogged(waiting bool, now time.Time) {
	if !r.backloggedSince.IsZero() {
		r.backlogged += now.Sub(r.backloggedSince)
	}
	r.backloggedSince = time.Time{}
	if waiting {
		r.backloggedSince = now
	}
	if r.backlogged < time.Second {
		return
	}
	measured := float64(r.pendingGrants) / r.backlogged.Seconds()
	weight := min(r.backlogged.Seconds()/grantRateWindow.Seconds(), 1)
	if r.measuredAt.IsZero() || now.Sub(r.measuredAt) > grantRateMaxAge {
		weight = 1
	}
	r.perSecond += weight * (measured - r.perSecond)
	r.pendingGrants = 0
	r.backlogged = 0
	r.measuredAt = now
}

// expectedWait returns how long count grants are expected to take, or false if the rate is unknown.
func (r *grantRateAverage) expectedWait(count int, now time.Time) (time.Duration, bool) {
	if r.perSecond <= 0 || now.Sub(r.measuredAt) > grantRateMaxAge {
		return 0, false
	}
	return time.Duration(float64(count) / r.perSecond * float64(time.Second)), true
}

// countAhead returns the number of waiters served up to and including this one: those of higher classes, those of
// its own account, and at most as many of each other account in its class. For a retry, it counts those of higher
// classes only.
func (q *serviceQueue) countAhead(w *waiter) int {
	count := 0
	for _, c := range q.classes {
		if c.priority > w.ticket.Priority {
			count += c.waiterCount
		}
	}
	if w.accountQueue == nil {
		return count
	}
	c := q.classQueueFor(w.ticket.Class, w.ticket.Priority)
	ownWaiters := len(w.accountQueue.waiters)
	for _, queue := range c.active {
		if queue != w.accountQueue {
			count += min(len(queue.waiters), ownWaiters)
		}
	}
	return count + ownWaiters
}

// retryAfter returns the delay after which a refused caller should retry: the time to serve the waiters ahead of
// it.
func (q *serviceQueue) retryAfter(w *waiter, now time.Time) time.Duration {
	wait, known := q.grantRate.expectedWait(q.countAhead(w), now)
	if !known {
		wait = time.Second
	}
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}

func (q *serviceQueue) overloadedError(w *waiter, now time.Time) *apierror.Error {
	q.controller.counters.overloaded.Add(1)
	return apierror.Newf(apierror.KindOverloaded, "come back after the time given; the request did not run",
		"%d requests wait for service %q", q.waiterCount, q.service).WithRetryAfter(q.retryAfter(w, now))
}

func (q *serviceQueue) refusal(w *waiter, err *apierror.Error) delivery {
	return delivery{deliver: w.deliver, err: err}
}

// refuseIfLate refuses the newcomer if the waiters ahead of it take longer than its deadline allows, and appends the
// refusal to the deliveries. Retries are never refused here.
func (q *serviceQueue) refuseIfLate(deliveries []delivery, w *waiter, now time.Time) []delivery {
	if w.ticket.Retry {
		return deliveries
	}
	wait, known := q.grantRate.expectedWait(q.countAhead(w), now)
	if !known || !now.Add(wait).After(w.deadline) {
		return deliveries
	}
	err := q.overloadedError(w, now)
	if !w.ticket.Deadline.IsZero() {
		// Reverts the count of overloadedError.
		q.controller.counters.overloaded.Add(^uint64(0))
		err = q.deadlineError(w, now)
	}
	q.removeWaiter(w)
	return append(deliveries, q.refusal(w, err))
}

func (q *serviceQueue) deadlineError(w *waiter, now time.Time) *apierror.Error {
	q.controller.counters.deadlineExceeded.Add(1)
	return apierror.Newf(apierror.KindDeadlineExceeded, "come back after the time given or allow more time; the request did not run",
		"service %q has no room before the request's deadline", q.service).WithRetryAfter(q.retryAfter(w, now))
}

// expireWaiters ends the waits whose deadline has passed.
func (q *serviceQueue) expireWaiters(deliveries []delivery, now time.Time) []delivery {
	var expired []*waiter
	q.forEachWaiter(func(w *waiter) {
		if !now.Before(w.deadline) {
			expired = append(expired, w)
		}
	})
	for _, w := range expired {
		err := q.expiryError(w, now)
		q.removeWaiter(w)
		deliveries = append(deliveries, q.refusal(w, err))
	}
	return deliveries
}

func (q *serviceQueue) expiryError(w *waiter, now time.Time) *apierror.Error {
	if !w.ticket.Deadline.IsZero() {
		return q.deadlineError(w, now)
	}
	return q.overloadedError(w, now)
}

// forEachWaiter calls visit for every waiter of the service.
func (q *serviceQueue) forEachWaiter(visit func(*waiter)) {
	for _, c := range q.classes {
		for _, w := range c.retries {
			visit(w)
		}
		for _, queue := range c.active {
			for _, w := range queue.waiters {
				visit(w)
			}
		}
	}
}
