package request

import (
	"godwitcart/internal/apierror"
)

// State is the state of a request.
type State string

// The states of a request.
const (
	StateWaiting    State = "waiting"
	StateDispatched State = "dispatched"
	StateStreaming  State = "streaming"
	StatePreempted  State = "preempted"
	StateAnswered   State = "answered"
	StateRefused    State = "refused"
	StateFailed     State = "failed"
	StateCanceled   State = "canceled"
)

// Final reports whether the state has no successors.
func (s State) Final() bool {
	switch s {
	case StateAnswered, StateRefused, StateFailed, StateCanceled:
		return true
	default:
		return false
	}
}

// transitions lists the permitted successors of each state.
//
// Invariant: StateRefused, which is reported to the caller as "not run", is reachable only from StateWaiting.
// StateDispatched returns to StateWaiting only when the attempt is known not to have run or the request is idempotent.
var transitions = map[State][]State{
	StateWaiting:    {StateDispatched, StateRefused, StateFailed, StateCanceled},
	StateDispatched: {StateWaiting, StateStreaming, StatePreempted, StateAnswered, StateFailed, StateCanceled},
	StateStreaming:  {StatePreempted, StateWaiting, StateAnswered, StateFailed, StateCanceled},
	StatePreempted:  {StateStreaming, StateWaiting, StateAnswered, StateFailed, StateCanceled},
}

// CheckTransition returns an error of kind internal when the transition is not permitted.
func CheckTransition(from, to State) error {
	for _, allowed := range transitions[from] {
		if allowed == to {
			return nil
		}
	}
	return apierror.Newf(apierror.KindInternal, "report this with the state dump",
		"a request cannot go from %s to %s", from, to)
}

// AttemptState is what is known about one attempt at a target.
type AttemptState string

// The states of an attempt.
const (
	// AttemptNotSent means that no byte of the request reached the target.
	AttemptNotSent AttemptState = "not_sent"
	// AttemptUnknown means that the request was sent and its outcome is unknown.
	AttemptUnknown AttemptState = "unknown"
	// AttemptRefused means that the target reported that it did not run the request.
	AttemptRefused AttemptState = "refused"
	// AttemptRunning means that the target has accepted the request.
	AttemptRunning AttemptState = "running"
	// AttemptEnded means that the generation or the call is complete.
	AttemptEnded AttemptState = "ended"
)

// DidNotRun reports whether the attempt certainly had no effect.
func (s AttemptState) DidNotRun() bool {
	return s == AttemptNotSent || s == AttemptRefused
}

// MayRetry reports whether a new attempt may follow one in the given state, where delivered is the number of
// tokens already sent to the caller. It guarantees that a non-idempotent request runs at most once and that
// a response consists of tokens of one generation only.
func MayRetry(state AttemptState, nonIdempotent bool, delivered int) bool {
	if delivered > 0 {
		return false
	}
	return state.DidNotRun() || !nonIdempotent
}
