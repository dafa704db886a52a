package routing

import "time"

const (
	// failureThreshold is the number of consecutive failures that open a circuit.
	failureThreshold = 3
	minOpenDuration  = time.Second
	maxOpenDuration  = 30 * time.Second
)

// circuitBreaker stops attempts to a target that keeps failing. After openDuration it lets one attempt at a time
// through as a probe: a success closes the circuit, a failure doubles the duration.
type circuitBreaker struct {
	consecutiveFailures int
	openDuration        time.Duration
	openUntil           time.Time
	probeInFlight       bool
}

// allowsAttempt reports whether an attempt may be sent now.
func (c *circuitBreaker) allowsAttempt(now time.Time) bool {
	if c.openDuration == 0 {
		return true
	}
	return !c.probeInFlight && !now.Before(c.openUntil)
}

// onSent records an attempt.
func (c *circuitBreaker) onSent() {
	if c.openDuration > 0 {
		c.probeInFlight = true
	}
}

func (c *circuitBreaker) onSuccess() { *c = circuitBreaker{} }

// onFailure counts a failure, and opens the circuit when failureThreshold is reached.
func (c *circuitBreaker) onFailure(now time.Time) {
	c.consecutiveFailures++
	c.probeInFlight = false
	if c.consecutiveFailures < failureThreshold {
		return
	}
	c.openDuration = min(max(2*c.openDuration, minOpenDuration), maxOpenDuration)
	c.openUntil = now.Add(c.openDuration)
}

// onNeutralEnd ends an attempt whose outcome says nothing about the target's health.
func (c *circuitBreaker) onNeutralEnd() { c.probeInFlight = false }

// stateName returns the state as shown to operators.
func (c *circuitBreaker) stateName(now time.Time) string {
	switch {
	case c.openDuration == 0:
		return "closed"
	case c.probeInFlight || !now.Before(c.openUntil):
		return "half_open"
	default:
		return "open"
	}
}
