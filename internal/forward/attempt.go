package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/delivery"
	"godwitcart/internal/lengths"
	"godwitcart/internal/placement"
	"godwitcart/internal/upstream"
)

// attemptError describes an attempt that ended without a response for the caller.
type attemptError struct {
	// notRun is true when the target certainly did not run the call, and notSent when it was not even asked.
	notRun, notSent bool
	// final is true if the call must not be sent again.
	final bool
	// outcome is reported to the placement table for the target's health.
	outcome placement.Outcome
	cause   error
	// targetResponse is the target's own error response; nil if there is none.
	targetResponse *bufferedResponse
	// answerEnd describes the end of an answer that had begun, for the log; empty for none.
	answerEnd string
}

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	head delivery.Head
	body upstream.Body
}

// Error implements error.
func (e *attemptError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *attemptError) Unwrap() error { return e.cause }

// maxAttempts bounds the attempts of one call, including those that targets refused without running it.
const maxAttempts = 4

// refusedRetryAfter is the Retry-After of a request that no target accepted.
const refusedRetryAfter = 400 * time.Millisecond

func (x *exchange) query() placement.Query {
	query := placement.Query{Service: x.service.Name, Zone: x.options.Zone, Priority: x.priority(), FirstEventObjective: x.route.LatencyObjective, Excluded: x.excluded}
	if x.route.LatencyObjective > 0 && !x.caller.HasBegun() {
		query.ObjectiveEnds = x.arrivedAt.Add(x.route.LatencyObjective)
	}
	query.NotResumable = x.route.Streaming && !x.route.Resumable
	query.Interruption = x.interruption()
	if engine := x.service.Engine; engine != nil && x.call.Prompt.Tokens > 0 {
		query.MemoryTokens = engine.KVCacheTokens
		query.PromptTokens = x.call.Prompt.Tokens
		query.OutputTokens = x.expectedOutput()
	}
	return query
}

// boundQuery is query for the next attempt of a request, which continues a stream at its software version.
func (x *exchange) boundQuery() placement.Query {
	query := x.query()
	if x.versionFixed {
		query.FixVersion(x.version)
	} else {
		query.RecordedVersion = x.route.Streaming && x.route.Resumable
	}
	return query
}

// expectedOutput returns the expected length of the output in tokens.
func (x *exchange) expectedOutput() int {
	expected := int(x.options.Lengths.Curve(x.lengthKey()).Mean())
	if limit := x.call.Prompt.MaxOutput; limit > 0 {
		expected = min(expected, limit)
	}
	return expected
}

func (x *exchange) lengthKey() lengths.Key {
	return lengths.Key{Service: x.service.Name, Class: x.route.Name, Account: x.account.Name}
}

// queueWaitShare is the share of the latency objective that a plain request or a stream under way may spend waiting for
// capacity. A request without an objective waits for up to defaultQueueWait. A stream that continues at one of several
// software versions has few targets, and waits for up to continuedQueueWaitShare.
const (
	queueWaitShare          = 0.25
	continuedQueueWaitShare = 0.75
	defaultQueueWait        = time.Second
)

// queueWait returns how long the request may wait for capacity: a share of the latency objective or, where objectives compete
// for memory and the caller has no part of the answer yet, as long as waiting helps.
func (x *exchange) queueWait(query placement.Query) time.Duration {
	switch objective := x.route.LatencyObjective; {
	case objective == 0:
		return defaultQueueWait
	case query.MemoryTokens > 0 && !x.caller.HasBegun() && x.options.Table.ObjectivesCompete(query.Service):
		return placement.Patience{Objective: objective, Elapsed: time.Since(x.arrivedAt), Left: time.Until(x.deadline), FirstEvent: x.options.Table.FirstEventTime(query)}.LongestWait()
	case x.versionFixed && !x.hasSoleVersion():
		return time.Duration(continuedQueueWaitShare * float64(objective))
	default:
		return time.Duration(queueWaitShare * float64(objective))
	}
}

func (x *exchange) hasSoleVersion() bool {
	_, sole := x.options.Table.SoleVersion(x.service.Name, time.Now())
	return sole
}

// place reserves a target for the next attempt, waiting for capacity if necessary.
func (x *exchange) place(ctx context.Context) (*placement.Lease, error) {
	if x.attempts.Load() > 0 {
		if err := x.placedInTime(); err != nil {
			return nil, err
		}
	}
	query := x.boundQuery()
	lease, err := x.options.Table.Acquire(ctx, query, min(x.queueWait(query), time.Until(x.deadline)))
	if errors.Is(err, placement.ErrInterrupted) {
		stop, _ := x.options.Stopping()
		return nil, x.stoppingError(stop)
	}
	if err != nil {
		return nil, x.withRetryAfter(apierror.FromError(err))
	}
	if wait := lease.Wait; wait.Duration > 0 {
		x.metrics.roomWait.Update(int64(wait.Duration))
		x.log("waited for room", "waited_ms", wait.Duration.Milliseconds(), "ahead", wait.Ahead, "vms_ahead", wait.VMsAhead, "lacking", wait.Lacking, "priority", query.Priority)
	}
	return lease, nil
}

// withRetryAfter adds a Retry-After to the refusal of a request, unless the stream has to begin anew. One that tells when
// a place is free is only bounded by the time left.
func (x *exchange) withRetryAfter(refusal *apierror.Error) *apierror.Error {
	if x.versionFixed && refusal.Kind == apierror.KindNotRun {
		return refusal
	}
	if refusal.RetryAfter == 0 {
		return refusal.WithRetryAfter(x.retryAfter())
	}
	return refusal.WithRetryAfter(min(refusal.RetryAfter, time.Duration(retryAfterShare*float64(time.Until(x.deadline)))))
}

// The range of the Retry-After of refused generations while no memory is observed to be released; the value is random
// because callers that retry together would be refused together.
const (
	minRetryAfter = 1500 * time.Millisecond
	maxRetryAfter = 4500 * time.Millisecond
	// retryAfterShare bounds the Retry-After to a share of the time left until the deadline, so that the retry
	// still has time to complete.
	retryAfterShare = 0.3
)

// retryAfter returns the Retry-After for a refused request, which is when room is expected for it.
func (x *exchange) retryAfter() time.Duration {
	if x.call.Prompt.Tokens == 0 {
		return refusedRetryAfter
	}
	delay, known := x.options.Table.ReturnAfter(x.boundQuery(), time.Now())
	if !known {
		delay = minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	}
	return min(delay, time.Duration(retryAfterShare*float64(time.Until(x.deadline))))
}

// sendAttempt sends the call to the target of the lease and returns a response that the target made for this call.
func (x *exchange) sendAttempt(ctx context.Context, lease *placement.Lease, attempt Attempt) (*answer, *attemptError) {
	if x.versionFixed && lease.Target.Version != x.version {
		return nil, &attemptError{notRun: true, outcome: placement.Canceled, cause: errors.Newf("the stream began at software version %q, and target %s has %q", x.version, lease.Target.ID, lease.Target.Version)}
	}
	ctx, trial, blocked := x.beginTrial(ctx, lease.Target)
	if blocked != nil {
		return nil, blocked
	}
	x.attempts.Add(1)
	attempt.Target = lease.Target
	attempt.Account = x.account.Name
	attempt.Priority = x.priority()
	attempt.Remaining = time.Until(x.deadline)
	x.log("sent", "target", lease.Target.ID, "zone", lease.Target.Zone, "version", lease.Target.Version, "attempt", x.attempts.Load(), "expected_ms", lease.ExpectedFirstEvent.Milliseconds(),
		"candidates", lease.CandidateCount, "prompt_tokens", x.call.Prompt.Tokens, "shared_parts", strings.Join(x.call.Prompt.SharedParts, ","), "from", attempt.From != nil, "backup", attempt.BackupAddress, "after_event", attempt.LastEventID, "resumes", x.call.Resumes, "limit", lease.Limit(time.Now()), "passed_over", lease.PassedOver(time.Now()))
	request := x.options.Codec.NewRequest(x.call, attempt)
	// An idle connection may turn out to be closed by the target; then it is unknown whether the call has run.
	freshConnection := !x.isRepeatable()
	sentAt := time.Now()
	if x.sentAt.IsZero() {
		x.sentAt = sentAt
	}
	lease.CountSend(sentAt)
	check := func() error { return lease.CheckLapsed(time.Now()) }
	if attempt.From != nil {
		check = func() error { return lease.CheckEvacuated(time.Now()) } // the generation would be lost
	}
	mayBeSent := func() error {
		if err := check(); err != nil {
			return err
		}
		if attempt.Sending != nil {
			return attempt.Sending()
		}
		return nil
	}
	response, err := x.options.Client.DoIf(ctx, lease.Target.Address, request, x.call.Body, freshConnection, mayBeSent)
	if err != nil {
		var brokenOff *upstream.BrokenOffError
		isRelayed := errors.As(err, &brokenOff) && brokenOff.Relayed
		return nil, x.endTrial(ctx, trial, lease.Target, x.classifyError(ctx, err), isRelayed)
	}
	verdict := x.options.Codec.CheckResponse(x.call, response.Response)
	x.recordStatements(lease.Target, verdict, sentAt, response.Carrier())
	switch {
	case verdict.WrongTarget:
		trial.Done()
		response.Close(true)
		x.options.Table.MarkLeaving(lease.Target)
		return nil, &attemptError{notRun: true, outcome: placement.Refused, cause: errors.New("the target's address now belongs to another target")}
	case verdict.NotRun:
		trial.Refused()
		response.Close(true)
		return nil, &attemptError{notRun: true, outcome: placement.Refused, cause: errors.Newf("the target refused the call with status %d", response.StatusCode)}
	case verdict.Mismatched:
		trial.Done()
		response.Close(true)
		return nil, &attemptError{outcome: placement.Failed, cause: errors.Newf("the answer with status %d belongs to another request or is not from the target", response.StatusCode)}
	}
	return &answer{Response: response, ctx: ctx, trial: trial}, nil
}

// classifyError classifies an attempt that failed without a complete response.
func (x *exchange) classifyError(ctx context.Context, err error) *attemptError {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent) && notSent.Lapsed:
		return &attemptError{notRun: true, notSent: true, outcome: placement.Refused, cause: err}
	case errors.As(err, &notSent) && ctx.Err() == nil:
		return &attemptError{notRun: true, outcome: placement.Unreachable, cause: err}
	case errors.As(err, &notSent) && errors.Is(ctx.Err(), context.Canceled):
		return &attemptError{notRun: true, outcome: placement.Canceled, cause: err}
	case errors.As(err, &notSent): // the deadline passed before a connection was made
		return &attemptError{notRun: true, outcome: placement.Unreachable, cause: err}
	case errors.Is(ctx.Err(), context.Canceled), upstream.IsCarrierLost(err):
		return &attemptError{outcome: placement.Canceled, cause: err}
	default: // the connection broke, or no response came before the deadline
		return &attemptError{outcome: placement.Failed, cause: err}
	}
}

// prepareRetry reports whether the call may be sent to another target after the failure, and charges the retry
// budget for it. Retries after a failed connect are not charged: they put no load on the service.
func (x *exchange) prepareRetry(ctx context.Context, failure *attemptError, target string) bool {
	if !upstream.IsCarrierLost(failure.cause) {
		x.excluded = append(x.excluded, target)
	}
	x.mayHaveRun = x.mayHaveRun || !failure.notRun
	if ctx.Err() != nil || failure.final || x.attempts.Load() >= maxAttempts || !x.mayRepeatAfterCrashes() {
		return false
	}
	if failure.notSent || failure.outcome == placement.Unreachable {
		return true
	}
	if !failure.notRun && (!x.isRepeatable() || x.attempts.Load() >= int64(x.route.MaxAttempts)) {
		return false
	}
	if !x.options.Table.HasUsableTarget(x.boundQuery(), time.Now()) {
		return false
	}
	return x.options.Budget.Spend(x.service.Name)
}

// isRepeatable reports whether the call may run more than once.
func (x *exchange) isRepeatable() bool {
	return x.route.Idempotent || x.route.Streaming && x.route.Resumable
}

// finalError returns the error that the caller receives after the last attempt. It says "not run" only if no attempt
// can have run, also at the deadline: the caller may then repeat a call that may run only once.
func (x *exchange) finalError(ctx context.Context, err error) error {
	var failure *attemptError
	attempted := errors.As(err, &failure)
	x.mayHaveRun = x.mayHaveRun || attempted && !failure.notRun
	if blocked := x.blockedError(err); blocked != nil {
		return blocked
	}
	if abandoned := x.abandonedError(ctx, err); abandoned != nil {
		return abandoned
	}
	if !attempted && !x.mayHaveRun {
		return err
	}
	if !x.mayHaveRun {
		query := x.boundQuery()
		query.Excluded = nil // targets that have turned this call away may ask for a pause
		if paused := x.options.Table.PauseError(query, time.Now()); paused != nil {
			return x.withRetryAfter(paused)
		}
		return apierror.Wrap(err, apierror.KindNotRun, "no target took the request; it did not run", "come back after the time given").WithRetryAfter(refusedRetryAfter)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.Wrap(err, apierror.KindDeadlineExceeded, "the time for the request is over", "send it again with more time")
	}
	return apierror.Wrap(err, apierror.KindOutcomeUnknown, "the request was sent and its answer was not received", "repeat it if running it twice is harmless")
}

// serveBuffered serves a call whose response is buffered until it is complete.
func (x *exchange) serveBuffered(ctx context.Context) error {
	for {
		lease, err := x.place(ctx)
		if err != nil {
			return x.finalError(ctx, err)
		}
		failure := x.attemptBuffered(ctx, lease)
		if failure == nil {
			return nil
		}
		lease.Done(failure.outcome, time.Now())
		x.log("attempt ended", "target", lease.Target.ID, "not_run", failure.notRun, "reason", failure)
		if x.prepareRetry(ctx, failure, lease.Target.ID) {
			continue
		}
		if failure.targetResponse != nil {
			x.relayTargetFailure(failure.targetResponse, lease.Target.ID)
			return nil
		}
		return x.finalError(ctx, failure)
	}
}

// attemptBuffered sends the call to a target and relays the response; nil means that the caller has received it.
func (x *exchange) attemptBuffered(ctx context.Context, lease *placement.Lease) *attemptError {
	response, failure := x.sendAttempt(ctx, lease, Attempt{LastEventID: x.call.LastEventID})
	if failure != nil {
		return failure
	}
	return x.relayBuffered(ctx, lease, response)
}

// relayBuffered reads the complete response and relays it. A 5xx response is returned in the error instead: the
// caller receives it only if no other target is tried.
func (x *exchange) relayBuffered(ctx context.Context, lease *placement.Lease, response *answer) *attemptError {
	body, err := response.ReadWhole(maxBufferedBytes)
	if err != nil {
		response.Close(true)
		return x.endTrial(response.ctx, response.trial, lease.Target, x.classifyError(ctx, errors.Wrap(err, "the target's answer was cut off")), response.IsRelayed())
	}
	x.bodies = append(x.bodies, body)
	response.trial.Answered()
	response.Close(false)
	if promisesNotRun(response.StatusCode) {
		return &attemptError{outcome: placement.Failed, cause: errors.Newf("the target answered with status %d and does not state that it did not run the call", response.StatusCode)}
	}
	buffered := &bufferedResponse{head: x.headOf(response), body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return &attemptError{outcome: placement.Failed, targetResponse: buffered, cause: errors.Newf("the target answered with status %d", response.StatusCode)}
	}
	lease.FirstEvent(time.Now())
	lease.Done(placement.Answered, time.Now())
	x.durations.observe(x.route.Name, time.Since(x.sentAt))
	x.writeBuffered(buffered)
	x.log("request ended", "outcome", "answered", "status", response.StatusCode, "target", lease.Target.ID, "attempts", x.attempts.Load())
	return nil
}

// promisesNotRun reports whether callers take the status for a statement that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// relayTargetFailure sends the caller the target's own error response.
func (x *exchange) relayTargetFailure(failure *bufferedResponse, target string) {
	x.writeBuffered(failure)
	x.log("request ended", "outcome", "failed by the target", "status", x.caller.Status(), "target", target, "attempts", x.attempts.Load())
}

func (x *exchange) writeBuffered(buffered *bufferedResponse) {
	if err := x.caller.WriteWhole(buffered.head, buffered.body); err != nil {
		x.log("answer not delivered to the caller", "error", err)
	}
}

// headOf returns the head with which a target's response is passed on.
func (x *exchange) headOf(response *answer) delivery.Head {
	return delivery.Head{Status: response.StatusCode, Header: x.options.Codec.ResponseHeader(response.Header)}
}
