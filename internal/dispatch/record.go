package dispatch

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/apierror"
	"godwitcart/internal/request"
)

// The dispatcher's counters.
var (
	// badTransitions counts transitions that the state machine rejected. A value above zero indicates a bug.
	badTransitions = metrics.GetOrRegisterCounter("request.bad_transitions", nil)
	preemptions    = metrics.GetOrRegisterCounter("request.preemptions", nil)
	retries        = metrics.GetOrRegisterCounter("request.retries", nil)
	// resumes counts streams that were reopened at their target after they broke or stalled.
	resumes = metrics.GetOrRegisterCounter("request.resumes", nil)
	// joins counts duplicates that were served from the attempt of an earlier duplicate.
	joins = metrics.GetOrRegisterCounter("request.joins", nil)
)

func recordStep(record *request.Record, step request.Step) {
	if err := record.Transition(step); err != nil {
		badTransitions.Inc(1)
	}
}

// finalStep returns the last step of a request that ended with err while in state from.
func finalStep(err error, from request.State, mayHaveRun bool) request.Step {
	step := request.Step{At: time.Now(), State: request.StateAnswered, Reason: "answered"}
	if err == nil {
		return step
	}
	step.Reason = err.Error()
	switch {
	case apierror.Is(err, apierror.KindCanceled):
		step.State = request.StateCanceled
	case from == request.StateWaiting && !mayHaveRun:
		step.State = request.StateRefused
	default:
		step.State = request.StateFailed
	}
	return step
}
