package measure

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_700_000_000, 0)

// event is a callback that is scheduled for a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// clock is a virtual clock. It runs events in the order of their times, and events of the same time in the order
// in which they were scheduled.
type clock struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at schedules run for a virtual time; a time in the past means now.
func (c *clock) at(when time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: max(when, c.now), sequence: c.sequence, run: run})
}

// after schedules run after a delay.
func (c *clock) after(delay time.Duration, run func()) { c.at(c.now+delay, run) }

// time returns the virtual time as a time.Time, for the routing and admission code.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// run runs events until none is scheduled, the time reaches end, or done returns true.
func (c *clock) run(end time.Duration, done func() bool) {
	for len(c.events) > 0 && c.now < end && !done() {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
