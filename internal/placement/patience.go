package placement

import "time"

const (
	// maxLateness is how long a request waits at most, in latency objectives: a late answer is still of use, but its caller
	// is then better off with the time at which to come back.
	maxLateness = 2
	// lateWaitShare is the share of the time left until the deadline that a late request may spend waiting; the rest is for
	// its answer.
	lateWaitShare = 0.5
)

// Patience describes a request that needs capacity, for LongestWait.
type Patience struct {
	// Objective is the latency objective of the first event, Elapsed the time since the request has arrived, and Left the
	// time until its deadline.
	Objective, Elapsed, Left time.Duration
	// FirstEvent is the expected time from the placement to the first event.
	FirstEvent time.Duration
}

// LongestWait returns how long the request may wait for capacity: as long as its first event can meet the objective, and
// beyond that while a late answer still fits into the time left. It is zero for a request that is hopeless.
func (p Patience) LongestWait() time.Duration {
	inTime := p.Objective - p.Elapsed - p.FirstEvent
	late := min(maxLateness*p.Objective-p.Elapsed, time.Duration(lateWaitShare*float64(p.Left))-p.FirstEvent)
	return max(0, min(max(inTime, late), p.Left-p.FirstEvent))
}

// FirstEventTime returns the expected time to the first event of the query.
func (t *Table) FirstEventTime(q Query) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[q.Service]; s != nil {
		return firstEventFactor * s.prefillTime(&q)
	}
	return 0
}
