package routing

import "time"

const (
	// failuresToOpen is the number of consecutive failures that open a circuit.
	failuresToOpen = 3
	minOpenFor     = time.Second
	maxOpenFor     = 30 * time.Second
)

// circuit stops sending to a target that keeps failing. After a pause one attempt at a time
// probes it; a success closes the circuit and a failure doubles the pause.
type circuit struct {
	failures  int
	openFor   time.Duration
	openUntil time.Time
	probing   bool
}

// allows reports whether an attempt may be sent now.
func (c *circuit) allows(now time.Time) bool {
	if c.openFor == 0 {
		return true
	}
	return !c.probing && !now.Before(c.openUntil)
}

// sent records an attempt.
func (c *circuit) sent() {
	if c.openFor > 0 {
		c.probing = true
	}
}

// succeeded closes the circuit.
func (c *circuit) succeeded() { *c = circuit{} }

// failed counts a failure and opens the circuit when there are too many.
func (c *circuit) failed(now time.Time) {
	c.failures++
	c.probing = false
	if c.failures < failuresToOpen {
		return
	}
	c.openFor = min(max(2*c.openFor, minOpenFor), maxOpenFor)
	c.openUntil = now.Add(c.openFor)
}

// released ends an attempt that says nothing about the target's health.
func (c *circuit) released() { c.probing = false }

// name returns the state as operators read it.
func (c *circuit) name(now time.Time) string {
	switch {
	case c.openFor == 0:
		return "closed"
	case c.probing || !now.Before(c.openUntil):
		return "half_open"
	default:
		return "open"
	}
}
