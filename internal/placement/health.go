package placement

import "time"

const (
	// failureRateWeight is the weight of one outcome in the moving average of failures. The average covers about ten
	// outcomes.
	failureRateWeight = 0.1
	// initialBackoff and maxBackoff bound the time during which an unreachable target gets no work.
	initialBackoff = 200 * time.Millisecond
	maxBackoff     = 3 * time.Second
)

// health tracks the outcomes of requests to a target.
type health struct {
	// smoothedFailures is the exponentially weighted share of recent outcomes that were failures.
	smoothedFailures float64
	unreachableCount int
	blockedUntil     time.Time
	// unreachableAt is when this VM last could not connect to the target, and answeredAt when it last had an answer.
	unreachableAt, answeredAt time.Time
	// saidUnreachableUntil is until when the word of other VMs counts that they could not connect.
	saidUnreachableUntil time.Time
}

// available reports whether the target may get work. An unreachable target is retried when its backoff ends.
func (h *health) available(now time.Time) bool { return !now.Before(h.blockedUntil) }

func (h *health) failureRate() float64 { return h.smoothedFailures }

func (h *health) record(outcome Outcome, now time.Time) {
	switch outcome {
	case Answered:
		h.smoothedFailures -= failureRateWeight * h.smoothedFailures
		h.unreachableCount = 0
		h.answered(now)
	case Failed:
		h.smoothedFailures += failureRateWeight * (1 - h.smoothedFailures)
	case Unreachable:
		backoff := min(initialBackoff<<min(h.unreachableCount, 5), maxBackoff)
		h.unreachableCount++
		h.blockedUntil = now.Add(backoff)
		h.unreachableAt = now
	case Refused, Canceled, Moved:
		// These outcomes say nothing about the target's health.
	}
}

// answered records that the target has answered, which refutes what was said of it before.
func (h *health) answered(now time.Time) {
	h.answeredAt = now
	h.unreachableAt, h.saidUnreachableUntil = time.Time{}, time.Time{}
}
