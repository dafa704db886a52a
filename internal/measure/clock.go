package measure

import (
	"container/heap"
	"time"
)

// epoch is when virtual time begins.
var epoch = time.Unix(1_700_000_000, 0)

// event is something that happens at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// clock plays events in the order of their times, and of their scheduling where times are equal.
type clock struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

// at schedules run at a time.
func (c *clock) at(when time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, event{at: max(when, c.now), sequence: c.sequence, run: run})
}

// after schedules run after a wait.
func (c *clock) after(wait time.Duration, run func()) { c.at(c.now+wait, run) }

// time returns the virtual time as the decisions see it.
func (c *clock) time() time.Time { return epoch.Add(c.now) }

// play runs events until none is left, until reaches the end, or until done says so.
func (c *clock) play(end time.Duration, done func() bool) {
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
