package placement

import "time"

const (
	// outcomeWeight is the weight of one outcome in the share of failures: about ten count.
	outcomeWeight = 0.1
	// firstBackoff and maxBackoff bound the time for which an unreachable target gets no work.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 3 * time.Second
)

// health is what the outcomes of requests say of a target.
type health struct {
	// failures is the share of late outcomes that were failures.
	failures     float64
	unreachable  int
	blockedUntil time.Time
}

// allows reports whether the target may get work; a target that could not be reached is tried now and then.
func (h *health) allows(now time.Time) bool { return !now.Before(h.blockedUntil) }

func (h *health) failureShare() float64 { return h.failures }

func (h *health) record(outcome Outcome, now time.Time) {
	switch outcome {
	case Answered:
		h.failures -= outcomeWeight * h.failures
		h.unreachable = 0
	case Failed:
		h.failures += outcomeWeight * (1 - h.failures)
	case Unreachable:
		backoff := min(firstBackoff<<min(h.unreachable, 5), maxBackoff)
		h.unreachable++
		h.blockedUntil = now.Add(backoff)
	case Refused, Canceled, Moved:
		// These say nothing of the target's health.
	}
}
