package membership

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// Source is the origin of an observation.
type Source int

// The sources of observations.
const (
	// SourceTarget is the VM itself: a response to a probe or to a request.
	SourceTarget Source = iota
	// SourceList is the platform's list.
	SourceList
	// SourcePeer is another entry VM.
	SourcePeer
)

// Observation is one piece of evidence about the state of a VM.
type Observation struct {
	VM string
	// Incarnation is the incarnation that the observation refers to; empty means the current one.
	Incarnation string
	// State is the observed state. StateUnknown invalidates the confirmation: the VM could not be reached.
	State  State
	Source Source
	// At is a time on this VM's clock at which the observation was still valid: for a response, the time just
	// before the call was sent.
	At time.Time
	// Load is the load report that came with the observation, or nil.
	Load *enginewire.LoadReport
}

// Live returns the observation of a VM that answered a call sent at the given time.
func Live(vm, incarnation string, at time.Time) Observation {
	return Observation{VM: vm, Incarnation: incarnation, State: StateLive, At: at}
}

// Leaving returns the observation of a VM that reported that it is leaving.
func Leaving(vm, incarnation string, at time.Time) Observation {
	return Observation{VM: vm, Incarnation: incarnation, State: StateLeaving, At: at}
}

// Unreachable returns the observation of a VM that could not be reached by a call sent at the given time.
func Unreachable(vm string, at time.Time) Observation {
	return Observation{VM: vm, State: StateUnknown, At: at}
}

// FromLoadReport returns the observation that a load report implies.
func FromLoadReport(vm string, report enginewire.LoadReport, at time.Time) Observation {
	observation := Live(vm, report.Incarnation, at)
	if report.Leaving {
		observation.State = StateLeaving
	}
	observation.Load = &report
	return observation
}
