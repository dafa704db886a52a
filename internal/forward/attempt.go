package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/lengths"
	"godwitcart/internal/placement"
	"godwitcart/internal/upstream"
)

// ending says how an attempt ended without an answer for the caller.
type ending struct {
	// notRun says that the target did not run the call.
	notRun bool
	// outcome is what the attempt says of its target.
	outcome placement.Outcome
	cause   error
	// failure is the target's own answer that says so; nil where there is none.
	failure *heldAnswer
}

// heldAnswer is a whole answer of a target.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Error implements error.
func (e *ending) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *ending) Unwrap() error { return e.cause }

// maxTries bounds the targets that one call is offered to, also where none of them runs it.
const maxTries = 4

// refusedRetryAfter is when a caller comes back whose request no target took.
const refusedRetryAfter = 400 * time.Millisecond

func (x *exchange) query() placement.Query {
	query := placement.Query{Service: x.service.Name, Zone: x.options.Zone, Priority: x.priority(), Objective: x.route.Objective, Excluded: x.excluded}
	if engine := x.service.Engine; engine != nil && x.call.Prompt.Tokens > 0 {
		query.MemoryTokens = engine.MemoryTokens
		query.PromptTokens = x.call.Prompt.Tokens
		query.OutputTokens = x.expectedOutput()
	}
	return query
}

// expectedOutput is the expected length of the output in tokens.
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

// waitShare is the part of the latency objective for which a request may wait for room: the rest is for
// reading the prompt. One that has no objective waits for unboundedWait.
const (
	waitShare     = 0.25
	unboundedWait = time.Second
)

// place chooses a target for the next attempt, and waits for room for a while.
func (x *exchange) place(ctx context.Context) (*placement.Lease, error) {
	patience := unboundedWait
	if x.route.Objective > 0 {
		patience = time.Duration(waitShare * float64(x.route.Objective))
	}
	lease, err := x.options.Table.Await(ctx, x.query(), min(patience, time.Until(x.deadline)))
	if err != nil {
		return nil, apierror.Typed(err).WithRetryAfter(x.returnAfter())
	}
	return lease, nil
}

// The bounds of the time after which a refused caller comes back: generations last for seconds, and callers
// that come back together are refused together.
const (
	minReturn = 1500 * time.Millisecond
	maxReturn = 4500 * time.Millisecond
	// returnShare is the part of the time left after which a return is of use.
	returnShare = 0.3
)

// returnAfter draws when a refused caller comes back.
func (x *exchange) returnAfter() time.Duration {
	if x.call.Prompt.Tokens == 0 {
		return refusedRetryAfter
	}
	drawn := minReturn + rand.N(maxReturn-minReturn)
	return min(drawn, time.Duration(returnShare*float64(time.Until(x.deadline))))
}

// offer sends the call to the target of the lease.
func (x *exchange) offer(ctx context.Context, lease *placement.Lease, send Send) (*upstream.Response, *ending) {
	x.attempts++
	send.Target = lease.Target
	send.Account = x.account.Name
	send.Priority = x.priority()
	send.Left = time.Until(x.deadline)
	x.log("sent", "target", lease.Target.ID, "zone", lease.Target.Zone, "attempt", x.attempts, "expected_ms", lease.Expected.Milliseconds(),
		"candidates", lease.Candidates, "prompt_tokens", x.call.Prompt.Tokens, "from", send.From != nil, "backup", send.BackupAddress, "after_event", send.LastEventID)
	request := x.options.Codec.NewRequest(x.call, send)
	fresh := !x.route.Idempotent && !x.route.Resumable
	answer, err := x.options.Client.Do(ctx, lease.Target.Address, request, x.call.Body, fresh)
	if err != nil {
		return nil, x.unanswered(ctx, err)
	}
	verdict := x.options.Codec.Judge(x.call, answer.Response)
	switch {
	case verdict.OtherTarget:
		answer.Close(true)
		x.options.Table.MarkLeaving(lease.Target)
		return nil, &ending{notRun: true, outcome: placement.Refused, cause: errors.New("another target has the address")}
	case verdict.NotRun:
		answer.Close(true)
		return nil, &ending{notRun: true, outcome: placement.Refused, cause: errors.Newf("the target refused with status %d", answer.StatusCode)}
	case verdict.Foreign:
		answer.Close(true)
		return nil, &ending{outcome: placement.Failed, cause: errors.Newf("the answer with status %d belongs to no request", answer.StatusCode)}
	}
	return answer, nil
}

// unanswered judges an attempt that brought no answer.
func (x *exchange) unanswered(ctx context.Context, err error) *ending {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent) && ctx.Err() == nil:
		return &ending{notRun: true, outcome: placement.Unreachable, cause: err}
	case errors.As(err, &notSent) && errors.Is(ctx.Err(), context.Canceled):
		return &ending{notRun: true, outcome: placement.Canceled, cause: err}
	case errors.As(err, &notSent):
		return &ending{notRun: true, outcome: placement.Unreachable, cause: err}
	case errors.Is(ctx.Err(), context.Canceled):
		return &ending{outcome: placement.Canceled, cause: err}
	default: // broken off, or silent until the time for the request was over
		return &ending{outcome: placement.Failed, cause: err}
	}
}

// mayRetry decides whether the call is offered to another target after the ending, and takes the retry from
// the budget. A connection that could not be made costs the service nothing.
func (x *exchange) mayRetry(ctx context.Context, end *ending, target string) bool {
	x.excluded = append(x.excluded, target)
	x.mayHaveRun = x.mayHaveRun || !end.notRun
	if ctx.Err() != nil || x.attempts >= maxTries {
		return false
	}
	if end.outcome == placement.Unreachable {
		return true
	}
	if !end.notRun && (!x.repeatable() || x.attempts >= x.route.MaxAttempts) {
		return false
	}
	if !x.options.Table.Serves(x.service.Name, x.excluded, time.Now()) {
		return false
	}
	return x.options.Budget.Spend(x.service.Name)
}

// repeatable reports whether the call may run more than once.
func (x *exchange) repeatable() bool {
	return x.route.Idempotent || x.route.Streaming && x.route.Resumable
}

// finalError turns the last ending into what the caller is told.
func (x *exchange) finalError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return apierror.Wrap(err, apierror.KindDeadlineExceeded, "the time for the request is over", "send it again with more time")
	}
	var end *ending
	if !errors.As(err, &end) && !x.mayHaveRun {
		return err
	}
	if x.mayHaveRun {
		return apierror.Wrap(err, apierror.KindOutcomeUnknown, "the request was sent and its answer was not received", "repeat it if running it twice is harmless")
	}
	return apierror.Wrap(err, apierror.KindNotRun, "no target took the request; it did not run", "come back after the time given").WithRetryAfter(refusedRetryAfter)
}

// whole answers a call whose answer is held until it is complete.
func (x *exchange) whole(ctx context.Context) error {
	for {
		lease, err := x.place(ctx)
		if err != nil {
			return x.finalError(ctx, err)
		}
		end := x.wholeAttempt(ctx, lease)
		if end == nil {
			return nil
		}
		lease.Done(end.outcome, time.Now())
		x.log("attempt ended", "target", lease.Target.ID, "not_run", end.notRun, "reason", end)
		if x.mayRetry(ctx, end, lease.Target.ID) {
			continue
		}
		if end.failure != nil {
			x.passFailure(end.failure, lease.Target.ID)
			return nil
		}
		return x.finalError(ctx, end)
	}
}

// wholeAttempt offers the call to a target and passes its answer on; nil means that the caller has it.
func (x *exchange) wholeAttempt(ctx context.Context, lease *placement.Lease) *ending {
	answer, end := x.offer(ctx, lease, Send{LastEventID: x.call.LastEventID})
	if end != nil {
		return end
	}
	return x.relayWhole(ctx, lease, answer)
}

// relayWhole passes a whole answer on. A failure of the target's own is handed back, for the caller if no
// other target is tried.
func (x *exchange) relayWhole(ctx context.Context, lease *placement.Lease, answer *upstream.Response) *ending {
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		answer.Close(true)
		return x.unanswered(ctx, errors.Wrap(err, "the answer broke off"))
	}
	answer.Close(false)
	held := &heldAnswer{status: answer.StatusCode, header: x.options.Codec.AnswerHeader(answer.Header), body: body}
	if held.status >= http.StatusInternalServerError {
		return &ending{outcome: placement.Failed, failure: held, cause: errors.Newf("the target answered with status %d", held.status)}
	}
	lease.FirstEvent(time.Now())
	lease.Done(placement.Answered, time.Now())
	x.writeWhole(held)
	x.log("request ended", "outcome", "answered", "status", held.status, "target", lease.Target.ID, "attempts", x.attempts)
	return nil
}

// passFailure gives the caller the target's own failure.
func (x *exchange) passFailure(failure *heldAnswer, target string) {
	x.writeWhole(failure)
	x.log("request ended", "outcome", "failed by the target", "status", x.status, "target", target, "attempts", x.attempts)
}

func (x *exchange) writeWhole(held *heldAnswer) {
	header := x.w.Header()
	for name, values := range held.header {
		header[name] = values
	}
	x.status = held.status
	x.begun = true
	x.w.WriteHeader(held.status)
	if _, err := x.w.Write(held.body); err != nil {
		x.log("answer not delivered", "error", err)
	}
}
