package membership

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// Source says where a sign came from.
type Source int

// The sources of signs.
const (
	// SourceTarget is the VM's own word: an answer to a probe or to a request.
	SourceTarget Source = iota
	// SourceList is the platform's list.
	SourceList
	// SourcePeer is another entry VM.
	SourcePeer
)

// Sign is one piece of evidence about a VM.
type Sign struct {
	VM string
	// Incarnation is the incarnation that the sign speaks of; empty means the current one.
	Incarnation string
	// State is what the sign says. StateUnknown withdraws the confirmation: the VM could not be reached.
	State  State
	Source Source
	// At is a time on this VM's clock at which the sign was still true: for an answer, the moment
	// before the call was sent.
	At time.Time
	// Load is the load report that came with the sign, or nil.
	Load *enginewire.LoadReport
}

// Live returns the sign of a VM that answered a call sent at the given time.
func Live(vm, incarnation string, at time.Time) Sign {
	return Sign{VM: vm, Incarnation: incarnation, State: StateLive, At: at}
}

// Leaving returns the sign of a VM that said that it is leaving.
func Leaving(vm, incarnation string, at time.Time) Sign {
	return Sign{VM: vm, Incarnation: incarnation, State: StateLeaving, At: at}
}

// Unreachable returns the sign of a VM that could not be reached by a call sent at the given time.
func Unreachable(vm string, at time.Time) Sign {
	return Sign{VM: vm, State: StateUnknown, At: at}
}

// Reported returns the sign that a load report is.
func Reported(vm string, report enginewire.LoadReport, at time.Time) Sign {
	sign := Live(vm, report.Incarnation, at)
	if report.Leaving {
		sign.State = StateLeaving
	}
	sign.Load = &report
	return sign
}
