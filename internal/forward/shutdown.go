package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/ingress"
	"godwitcart/internal/placement"
)

const (
	// drainDelay is how long a VM that shuts down still accepts every request, until the load balancer has noticed.
	drainDelay = 2500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of a request refused by a VM that shuts down. It is short, since
	// another VM receives the retry.
	stoppingRetryAfter = 50 * time.Millisecond
	// FinalAnswerTime is the end of the grace period, in which requests whose answer has not begun get their final one.
	FinalAnswerTime = 250 * time.Millisecond
)

// errStopping is why a request is given up that has no answer at the end of a graceful shutdown.
var errStopping = errors.New("this VM is shutting down")

// Stop is a graceful shutdown in progress.
type Stop struct {
	// Since is the time since its start, and Remaining the time until requests still in progress are aborted.
	Since, Remaining time.Duration
}

// EndUnanswered gives up the requests of which the caller has received nothing: they get their final answer at once. It is
// called when FinalAnswerTime is left until requests are aborted.
func (f *Forwarder) EndUnanswered() { f.endUnanswered() }

// LeavingRuns returns the number of runs whose targets are still to learn that they are not wanted any more.
func (f *Forwarder) LeavingRuns() int64 { return f.leaving.Load() }

// watchShutdown makes the request end with errStopping at the end of a graceful shutdown, unless its answer has begun.
func (x *exchange) watchShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWatching := context.AfterFunc(x.unanswered, func() { cancel(errStopping) })
	x.caller.OnBegin(func() { stopWatching() })
	return ctx, func() {
		stopWatching()
		cancel(nil)
	}
}

// refuseIfStopping refuses a request that this VM might abort before it completes because it is shutting down. Callers
// still send to it until the load balancer has noticed, and longer if all VMs of a zone shut down.
func (x *exchange) refuseIfStopping() error {
	stop, stopping := x.options.Stopping()
	if !stopping || x.completesBefore(stop) {
		return nil
	}
	return x.stoppingError(stop)
}

// readBodyInTime reads the body of the request. One that is not there by the request's deadline, or during a shutdown too late for
// the answer, is refused: the request has not been sent to a target.
func (x *exchange) readBodyInTime(w http.ResponseWriter, r *http.Request) (err error) {
	control := http.NewResponseController(w)
	isWhole := ingress.IsWhole(r)
	if !isWhole {
		_ = control.SetReadDeadline(x.deadline) // without it, the body ends with the connection
	}
	stopWatching := context.AfterFunc(x.unanswered, func() { _ = control.SetReadDeadline(time.Now()) })
	defer stopWatching()
	x.call.Body, err = x.readBody(r)
	if err == nil {
		if !isWhole {
			_ = control.SetReadDeadline(time.Time{})
		}
		return x.refuseIfStopping()
	}
	if x.unanswered.Err() != nil {
		x.readInterrupted = true
		stop, _ := x.options.Stopping()
		return x.stoppingError(stop)
	}
	if x.readInterrupted = !time.Now().Before(x.deadline); x.readInterrupted {
		x.caller.CloseConnection()
		return apierror.New(apierror.KindNotRun, "the body of the request was not there by its deadline", "send it with more time, on a new connection")
	}
	return err
}

func (x *exchange) stoppingError(stop Stop) error {
	x.caller.CloseConnection()
	return apierror.Newf(apierror.KindNotRun, "send it again on a new connection",
		"this VM stops in %d ms, which may be before the answer is complete", stop.Remaining.Milliseconds()).WithRetryAfter(stoppingRetryAfter)
}

// completesBefore reports whether the request is accepted during the shutdown. Until drainDelay has passed, only
// streams are refused that no target can continue and that last too long; then all except buffered requests whose
// deadline is before requests are aborted.
func (x *exchange) completesBefore(stop Stop) bool {
	if stop.Since >= drainDelay {
		return !x.route.Streaming && time.Until(x.deadline) < stop.Remaining
	}
	return !x.route.Streaming || x.route.Resumable || x.durations.completesWithin(x.route.Name, stop.Remaining)
}

// longestWait returns how long a request of which the caller has received nothing may wait for capacity during the
// shutdown: until its answer would not be complete in time. Where it is not known how long an answer takes, another VM
// is the better choice.
func (x *exchange) longestWait() time.Duration {
	stop, _ := x.options.Stopping()
	needed, known := x.durations.expected(x.route.Name)
	if !known {
		return 0
	}
	return max(0, stop.Remaining-FinalAnswerTime-needed)
}

// interruption makes waits for capacity end when this VM begins to shut down; nil for a stream that has begun, which is
// lost if it does not continue here.
func (x *exchange) interruption() *placement.Interruption {
	if x.caller.HasBegun() {
		return nil
	}
	return &placement.Interruption{Begun: x.options.ShutdownStarted, LongestWait: x.longestWait}
}

// placedInTime returns an error if this VM is shutting down and the request, which has waited or failed at a target, would
// not be complete before it is aborted.
func (x *exchange) placedInTime() error {
	stop, stopping := x.options.Stopping()
	if !stopping || x.caller.HasBegun() || x.durations.completesWithin(x.route.Name, stop.Remaining-FinalAnswerTime) {
		return nil
	}
	return x.stoppingError(stop)
}

// abandonedError returns the error for the caller of a request that was given up at the end of the shutdown, or nil if it
// was not. It says "not run" only if no attempt can have run.
func (x *exchange) abandonedError(ctx context.Context, cause error) error {
	if !errors.Is(context.Cause(ctx), errStopping) {
		return nil
	}
	x.caller.CloseConnection()
	if x.mayHaveRun {
		return apierror.Wrap(cause, apierror.KindOutcomeUnknown, "this VM stopped before the target answered", "repeat it if running it twice is harmless")
	}
	stop, _ := x.options.Stopping()
	return x.stoppingError(stop)
}
