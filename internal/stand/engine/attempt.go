package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// attempt is one generation. All its fields but id and request are guarded by Engine.mu.
type attempt struct {
	request enginewire.GenerationRequest
	content uint64
	// target is how many tokens it will produce, reason why it then ends.
	target int
	reason enginewire.FinishReason

	produced    int
	preemptions int
	// waiting tells that it holds no memory.
	waiting bool
	// finished is empty until the generation has ended.
	finished enginewire.FinishReason

	arrival  uint64
	received time.Time
	ended    time.Time

	readers int
	// orphaned is when the last reader went.
	orphaned time.Time
	// changed is closed and replaced at every change.
	changed chan struct{}
}

func newAttempt(options Options, request enginewire.GenerationRequest, arrival uint64, now time.Time) *attempt {
	target, reason := outputLength(options, request)
	return &attempt{
		request:  request,
		content:  contentHash(request),
		target:   target,
		reason:   reason,
		waiting:  true,
		arrival:  arrival,
		received: now,
		orphaned: now,
		changed:  make(chan struct{}),
	}
}

// memory is how many tokens the attempt holds while it runs.
func (a *attempt) memory() int { return promptTokens(a.request.Prompt) + a.produced }

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) end(reason enginewire.FinishReason, now time.Time) {
	a.finished = reason
	a.ended = now
	a.waiting = false
	a.notify()
}

// servedBefore orders the queue: the higher priority first, then whoever came first. A
// preempted attempt keeps its arrival and so is at the head of its priority.
func servedBefore(a, b *attempt) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if a.preemptions > 0 != (b.preemptions > 0) {
		if a.preemptions > 0 {
			return -1
		}
		return 1
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// preemptedBefore orders the victims: the lowest priority, then the fewest tokens produced,
// then the latest arrival.
func preemptedBefore(a, b *attempt) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if a.produced != b.produced {
		return a.produced < b.produced
	}
	return a.arrival > b.arrival
}
