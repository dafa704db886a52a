package admission

import (
	"time"

	"godwitcart/internal/apierror"
)

const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 60 * time.Second
	// drainWindow is the time over which the rate of grants is averaged.
	drainWindow = 10 * time.Second
	// drainValidFor is the age at which a measured rate is no longer used.
	drainValidFor = 30 * time.Second
)

// drainRate averages the grants per second of a lane over the times in which requests waited;
// in between, the rate of grants is that of arrivals and says nothing about room.
type drainRate struct {
	perSecond float64
	pending   int
	// backlogged is the time with waiters since the last average; since is zero when none wait.
	backlogged time.Duration
	since      time.Time
	measuredAt time.Time
}

// count notes one grant.
func (d *drainRate) count() {
	if !d.since.IsZero() {
		d.pending++
	}
}

// observe notes whether requests wait from now on.
func (d *drainRate) observe(waiting bool, now time.Time) {
	if !d.since.IsZero() {
		d.backlogged += now.Sub(d.since)
	}
	d.since = time.Time{}
	if waiting {
		d.since = now
	}
	if d.backlogged < time.Second {
		return
	}
	measured := float64(d.pending) / d.backlogged.Seconds()
	weight := min(d.backlogged.Seconds()/drainWindow.Seconds(), 1)
	if d.measuredAt.IsZero() || now.Sub(d.measuredAt) > drainValidFor {
		weight = 1
	}
	d.perSecond += weight * (measured - d.perSecond)
	d.pending = 0
	d.backlogged = 0
	d.measuredAt = now
}

// wait returns how long count grants take, and false while the rate is not known.
func (d *drainRate) wait(count int, now time.Time) (time.Duration, bool) {
	if d.perSecond <= 0 || now.Sub(d.measuredAt) > drainValidFor {
		return 0, false
	}
	return time.Duration(float64(count) / d.perSecond * float64(time.Second)), true
}

// ahead returns the number of waiters that are served before the waiter: those of higher
// classes, and its account's part of its own class.
func (l *lane) ahead(w *waiter) int {
	count := 0
	for _, c := range l.classes {
		if c.priority > w.ticket.Priority {
			count += c.count
		}
	}
	if w.queue == nil {
		return count
	}
	c := l.class(w.ticket.Class, w.ticket.Priority)
	own := len(w.queue.waiters)
	for _, queue := range c.active {
		if queue != w.queue {
			count += min(len(queue.waiters), own)
		}
	}
	return count + own
}

// retryAfter returns when a refused caller should come back: once what is ahead has been served.
func (l *lane) retryAfter(w *waiter, now time.Time) time.Duration {
	wait, known := l.drain.wait(l.ahead(w), now)
	if !known {
		wait = time.Second
	}
	return min(max(wait, minRetryAfter), maxRetryAfter).Round(time.Millisecond)
}

func (l *lane) overloaded(w *waiter, now time.Time) *apierror.Error {
	l.controller.counters.overloaded.Add(1)
	return apierror.Newf(apierror.KindOverloaded, "come back after the time given; the request did not run",
		"%d requests wait for service %q", l.waiting, l.service).WithRetryAfter(l.retryAfter(w, now))
}

func (l *lane) refuse(w *waiter, err *apierror.Error) delivery {
	return delivery{deliver: w.deliver, err: err}
}

// refuseLate refuses the newcomer when the queue ahead of it takes longer than its deadline.
func (l *lane) refuseLate(deliveries []delivery, w *waiter, now time.Time) []delivery {
	if w.ticket.Retry {
		return deliveries
	}
	wait, known := l.drain.wait(l.ahead(w), now)
	if !known || !now.Add(wait).After(w.deadline) {
		return deliveries
	}
	err := l.overloaded(w, now)
	if !w.ticket.Deadline.IsZero() {
		l.controller.counters.overloaded.Add(^uint64(0))
		err = l.tooLate(w, now)
	}
	l.drop(w)
	return append(deliveries, l.refuse(w, err))
}

func (l *lane) tooLate(w *waiter, now time.Time) *apierror.Error {
	l.controller.counters.deadlineExceeded.Add(1)
	return apierror.Newf(apierror.KindDeadlineExceeded, "come back after the time given or allow more time; the request did not run",
		"service %q has no room before the request's deadline", l.service).WithRetryAfter(l.retryAfter(w, now))
}

// expire ends the waiters whose time is over.
func (l *lane) expire(deliveries []delivery, now time.Time) []delivery {
	var late []*waiter
	l.each(func(w *waiter) {
		if !now.Before(w.deadline) {
			late = append(late, w)
		}
	})
	for _, w := range late {
		err := l.expired(w, now)
		l.drop(w)
		deliveries = append(deliveries, l.refuse(w, err))
	}
	return deliveries
}

func (l *lane) expired(w *waiter, now time.Time) *apierror.Error {
	if !w.ticket.Deadline.IsZero() {
		return l.tooLate(w, now)
	}
	return l.overloaded(w, now)
}

// each calls visit for every waiter of the lane.
func (l *lane) each(visit func(*waiter)) {
	for _, c := range l.classes {
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
