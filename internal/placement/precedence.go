package placement

import "time"

// levelHeadStart is how much later the time limit of a waiting request may be than that of one of the next level for it to go
// first all the same. Together with the objective it bounds starvation: a request is passed only by those whose limit, moved by
// this time for each level between them, is earlier, however many arrive.
const levelHeadStart = 5 * time.Second

// strictHeadStart is longer than any request waits: where objectives do not compete, a lower level goes first in any case.
const strictHeadStart = 24 * time.Hour

// firstEventFactor is the expected time to the first event in times to prefill the prompt alone: other prompts and decoding steps
// come between.
const firstEventFactor = 2

// waiter is a request that waits for capacity.
type waiter struct {
	priority int
	// byObjective is set where objectives compete. Other requests wait in the order of priority and arrival.
	byObjective bool
	// tokens is the memory that the request needs.
	tokens int
	// urgent is the part of the urgent demand that ends with the wait.
	urgent UrgentDemand
	// inTimeUntil is the last moment at which capacity lets the request meet its latency objective. Where objectives do not
	// compete it is the arrival.
	inTimeUntil time.Time
	wait        Wait
}

// Wait says why a request waited for capacity, for logs.
type Wait struct {
	Duration time.Duration
	// Ahead counts the requests of this VM that went before it when it began to wait, and VMsAhead the other VMs that had
	// such requests.
	Ahead, VMsAhead int
	// Lacking says what the targets lacked, if any was looked at.
	Lacking string
}

// precedence orders the waiting requests of all VMs: the earliest goes first. Within a priority that is the order in
// which their objectives run out. One that cannot meet its objective any more counts as of the next level: those that still can go first.
func (w *waiter) precedence(now time.Time) time.Time {
	if !w.byObjective {
		return w.inTimeUntil.Add(time.Duration(w.priority) * strictHeadStart)
	}
	level := w.priority
	if now.After(w.inTimeUntil) {
		level++
	}
	return w.inTimeUntil.Add(time.Duration(level) * levelHeadStart)
}

// newWaiter returns the waiter of the query. A request without an objective is in time for as long as such requests wait.
func (s *service) newWaiter(q *Query, now time.Time) *waiter {
	if !s.objectivesCompete() {
		return &waiter{priority: q.Priority, tokens: q.memory(), inTimeUntil: now}
	}
	w := &waiter{priority: q.Priority, tokens: q.memory(), byObjective: true, inTimeUntil: now.Add(noObjectiveWait)}
	if !q.ObjectiveEnds.IsZero() {
		w.inTimeUntil = q.ObjectiveEnds.Add(-firstEventFactor * s.prefillTime(q))
	}
	if s.isUrgent(q) {
		w.urgent = UrgentDemand{Waiting: 1, Tokens: w.tokens}
	}
	return w
}

// elapsed returns what the time waited takes off the longest wait for a turn. Where objectives do not compete the last turn may come
// after the request's longest wait.
func (w *waiter) elapsed(waited time.Duration) time.Duration {
	if w.byObjective {
		return waited
	}
	return 0
}

// prefillTime returns the expected time to prefill the prompt at an engine without a backlog.
func (s *service) prefillTime(q *Query) time.Duration {
	return time.Duration(float64(q.prefill()) / s.prefillRate * float64(time.Millisecond))
}
