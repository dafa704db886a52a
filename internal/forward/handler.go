package forward

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"math/rand/v2"

	"github.com/charmbracelet/log"

	"godwitcart/internal/apierror"
	"godwitcart/internal/inforce"
	"godwitcart/internal/lengths"
	"godwitcart/internal/placement"
	"godwitcart/internal/policy"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/trail"
	"godwitcart/internal/upstream"
)

// Options are the parts of a Forwarder.
type Options struct {
	Codec   Codec
	Mover   Mover
	Keeper  *inforce.Keeper
	Table   *placement.Table
	Client  *upstream.Client
	Budget  *retrybudget.Budget
	Lengths *lengths.Book
	Logger  *log.Logger
	// Trail remembers the lines about recent requests.
	Trail *trail.Book
	Zone  string
	// Stopping reports whether the VM is shutting down gracefully, since when, and when it cuts off what still runs.
	Stopping func() (stop Stop, stopping bool)
	// FreshWithin is the age of the configuration's proof up to which an unknown route or key is denied.
	FreshWithin time.Duration
}

// Stop is a graceful shutdown in progress.
type Stop struct {
	// Since is the time since its start, and Left the time until what still runs is cut off.
	Since, Left time.Duration
}

// Forwarder is the callers' HTTP handler. It is safe for concurrent use.
type Forwarder struct {
	options Options
	streams streamSet
	metrics *requestMetrics
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	return &Forwarder{options: options, streams: newStreamSet(), metrics: newRequestMetrics()}
}

const (
	// maxAnswerBytes bounds an answer that is held until it is whole.
	maxAnswerBytes = 8 << 20
	// defaultBodyBytes bounds a body where the configuration names no limit.
	defaultBodyBytes = 4 << 20
	// proofRetryAfter is when a caller comes back that was refused for want of a fresh configuration.
	proofRetryAfter = 700 * time.Millisecond
	// settleTime is how long a VM that stops takes every request: the balancer learns of it meanwhile.
	settleTime = 2500 * time.Millisecond
	// stoppingRetryAfter is when a caller comes back whose request a stopping VM did not take; another VM gets it.
	stoppingRetryAfter = 50 * time.Millisecond
	// startRetryAfter is when a caller comes back that found no configuration at all.
	startRetryAfter = 500 * time.Millisecond
)

// exchange is one request of a caller while it is answered.
type exchange struct {
	*Forwarder
	w       http.ResponseWriter
	call    *Call
	route   *policy.Route
	service policy.RoutedService
	account policy.RoutedAccount
	// deadline is when the final answer is due.
	deadline  time.Time
	arrivedAt time.Time

	attempts int
	excluded []string
	// mayHaveRun is set once an attempt has an outcome other than "did not run".
	mayHaveRun bool
	// begun is set once a part of the answer has left.
	begun  bool
	status int
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Forwarder: f, w: w, arrivedAt: time.Now()}
	if _, stopping := f.options.Stopping(); stopping {
		w.Header().Set("Connection", "close")
	}
	err := x.serve(r)
	if err == nil {
		f.metrics.answered(x)
		return
	}
	if r.Context().Err() != nil {
		x.log("request ended", "outcome", "caller left")
		f.metrics.left(x)
		panic(http.ErrAbortHandler)
	}
	typed := apierror.Typed(err)
	x.log("request ended", "outcome", string(typed.Kind), "reason", typed, "attempts", x.attempts)
	f.metrics.failed(x, typed.Kind)
	if x.begun {
		panic(http.ErrAbortHandler) // ends the connection, so that the answer cannot look complete
	}
	x.writeError(typed)
}

// serve answers the request or returns the error that it ends with.
func (x *exchange) serve(r *http.Request) error {
	call, err := x.options.Codec.ParseCall(r)
	if err != nil {
		return err
	}
	x.call = call
	if err := x.admit(); err != nil {
		return err
	}
	if call.Body, err = x.readBody(r); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.options.Budget.Earn(x.service.Name)
	if x.route.Streaming {
		return x.stream(ctx)
	}
	return x.whole(ctx)
}

// admit decides whether the configuration in force allows the call, and what it bounds.
func (x *exchange) admit() error {
	table := x.options.Keeper.Current()
	if table == nil {
		return apierror.New(apierror.KindUnavailable, "no configuration is known yet", "come back after the time given").WithRetryAfter(startRetryAfter)
	}
	route := table.Find(x.call.Host, x.call.Path)
	if route == nil {
		return x.deny(apierror.New(apierror.KindNotFound, "no route leads from the host and path", "check the address"))
	}
	x.route = route
	if table.NeedsKeys() && !route.Anonymous {
		if !x.options.Keeper.KeysProven() {
			return x.unproven()
		}
		account, found := table.Account(x.call.Key)
		if !found {
			return x.deny(apierror.New(apierror.KindUnauthenticated, "the API key is missing or unknown", "send a key of your account"))
		}
		x.account = account
	}
	name := route.Destination(rand.Float64())
	service, found := table.Services[name]
	if !found {
		service = policy.RoutedService{Name: name}
	}
	x.service = service
	x.deadline = x.arrivedAt.Add(patience(x.call.Patience, route.Timeout))
	return x.endsInTime()
}

// endsInTime refuses a request that a stopping VM might have to cut off. It answers callers that go on sending
// to a VM whose readiness has failed, as while all VMs of a zone stop.
func (x *exchange) endsInTime() error {
	stop, stopping := x.options.Stopping()
	if !stopping || stop.Since < settleTime || !x.route.Streaming && time.Until(x.deadline) < stop.Left {
		return nil
	}
	return apierror.Newf(apierror.KindNotRun, "send it again on a new connection",
		"this VM stops in %d ms, which may be before the answer is complete", stop.Left.Milliseconds()).WithRetryAfter(stoppingRetryAfter)
}

// unlimited stands for the time of a request that neither its caller nor its route bounds.
const unlimited = 10 * time.Minute

func patience(caller, route time.Duration) time.Duration {
	bound := unlimited
	if caller > 0 {
		bound = min(bound, caller)
	}
	if route > 0 {
		bound = min(bound, route)
	}
	return bound
}

// deny returns the denial, or a refusal where a newer configuration might allow the request.
func (x *exchange) deny(denial *apierror.Error) error {
	if age, known := x.options.Keeper.ProofAge(); known && age <= x.options.FreshWithin {
		return denial
	}
	return x.unproven()
}

func (x *exchange) unproven() error {
	age, _ := x.options.Keeper.ProofAge()
	return apierror.Newf(apierror.KindUnavailable, "come back after the time given",
		"the configuration was last confirmed %d ms ago, which is too old to check API keys", age.Milliseconds()).WithRetryAfter(proofRetryAfter)
}

func (x *exchange) readBody(r *http.Request) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if table := x.options.Keeper.Current(); table.Limits.MaxBodyBytes > 0 {
		limit = table.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, tooLarge(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the body broke off", "send the request again")
	}
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

func tooLarge(limit int64) error {
	return apierror.Newf(apierror.KindTooLarge, "send less", "the body is larger than %d bytes", limit)
}

func (x *exchange) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

func (x *exchange) writeError(typed *apierror.Error) {
	header := x.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(typed.RetryAfter.Seconds(), 'f', 3, 64))
	}
	x.status = typed.Kind.HTTPStatus()
	x.w.WriteHeader(x.status)
	if _, err := io.WriteString(x.w, typed.Message+"; "+typed.Remedy+"\n"); err != nil {
		x.log("answer not delivered", "error", err)
	}
}

// log writes one line about the request, and keeps it for operators who ask.
func (x *exchange) log(message string, fields ...any) {
	if x.call != nil {
		x.options.Trail.Note(x.call.ID, time.Now(), message, slices.Clip(fields))
		fields = append(fields, "request", x.call.ID)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	fields = append(fields, "ms", time.Since(x.arrivedAt).Milliseconds())
	x.options.Logger.Info(message, fields...)
}
