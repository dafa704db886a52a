package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// attempt is one generation. request and contentHash never change; Engine.mu guards all other fields.
type attempt struct {
	request     enginewire.GenerationRequest
	contentHash uint64
	// plannedTokens is the length of the output and plannedReason why it ends there.
	plannedTokens int
	plannedReason enginewire.FinishReason

	produced    int
	preemptions int
	// waiting is true while the attempt is queued and uses no token memory.
	waiting bool
	// finishReason is empty until the generation has ended.
	finishReason enginewire.FinishReason

	arrivalNumber uint64
	receivedAt    time.Time
	endedAt       time.Time

	readers int
	// orphanedAt is when a reader last disconnected, or the time of arrival if none has disconnected yet.
	orphanedAt time.Time
	// changed is closed and replaced at every change, to wake the readers.
	changed chan struct{}
}

func newAttempt(options Options, request enginewire.GenerationRequest, arrivalNumber uint64, now time.Time) *attempt {
	plannedTokens, plannedReason := outputLength(options, request)
	return &attempt{
		request:       request,
		contentHash:   contentHash(request),
		plannedTokens: plannedTokens,
		plannedReason: plannedReason,
		waiting:       true,
		arrivalNumber: arrivalNumber,
		receivedAt:    now,
		orphanedAt:    now,
		changed:       make(chan struct{}),
	}
}

// memoryTokens is the token memory that the attempt uses while it runs.
func (a *attempt) memoryTokens() int { return countPromptTokens(a.request.Prompt) + a.produced }

func (a *attempt) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *attempt) end(reason enginewire.FinishReason, now time.Time) {
	a.finishReason = reason
	a.endedAt = now
	a.waiting = false
	a.notify()
}

// compareQueueOrder sorts the queue by descending priority; within a priority preempted attempts come first, then those
// that arrived earlier.
func compareQueueOrder(a, b *attempt) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if a.preemptions > 0 != (b.preemptions > 0) {
		if a.preemptions > 0 {
			return -1
		}
		return 1
	}
	if a.arrivalNumber < b.arrivalNumber {
		return -1
	}
	return 1
}

// isPreemptedBefore reports whether a is to be preempted before b: the lowest priority goes first, then the fewest
// produced tokens, then the latest arrival.
func isPreemptedBefore(a, b *attempt) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if a.produced != b.produced {
		return a.produced < b.produced
	}
	return a.arrivalNumber > b.arrivalNumber
}
