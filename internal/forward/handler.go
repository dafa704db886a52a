package forward

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"math/rand/v2"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/delivery"
	"godwitcart/internal/inforce"
	"godwitcart/internal/ingress"
	"godwitcart/internal/lengths"
	"godwitcart/internal/membudget"
	"godwitcart/internal/placement"
	"godwitcart/internal/poison"
	"godwitcart/internal/policy"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
	"godwitcart/internal/trail"
	"godwitcart/internal/upstream"
)

// Options are the dependencies and settings of a Forwarder.
type Options struct {
	Codec    Codec
	Mover    Mover
	Reports  Reports
	Poller   *inforce.Poller
	Table    *placement.Table
	Client   *upstream.Client
	Budget   *retrybudget.Budget
	Lengths  *lengths.Estimator
	Limits   *targetlimit.Ledger
	Origins  Origins
	Versions Versions
	Poison   *poison.Registry
	Logger   *log.Logger
	// Trail keeps the log lines of recent requests for operators' queries.
	Trail *trail.Recorder
	Zone  string
	// TargetLeaving is called when a target has said in an answer that it is leaving. It must not block.
	TargetLeaving func(roster.Target)
	// TargetPaused is called when a target has asked for a pause, with the IP address of the entry VM through which it was
	// asked; that is not valid if there was none. It must not block.
	TargetPaused func(target roster.Target, retryAfter time.Duration, carrier netip.Addr)
	// Stopping reports whether the VM is shutting down gracefully, and the timing of the shutdown.
	Stopping func() (stop Stop, stopping bool)
	// ShutdownStarted is closed when a graceful shutdown begins.
	ShutdownStarted <-chan struct{}
	// MaxConfigurationAge is the maximum age of the configuration's last confirmation at which an unknown route or key
	// is denied. After that the request is refused as unavailable, since a newer configuration may allow it.
	MaxConfigurationAge time.Duration
	// EvacuateWithin is the time in which a zone in evacuation gets its last request; zero means that no zones are evacuated.
	EvacuateWithin time.Duration
	// Memory bounds what requests and answers hold together; nil stands for a budget of the Forwarder's own.
	Memory *membudget.Budget
}

// Forwarder is the HTTP handler for callers' requests. It is safe for concurrent use.
type Forwarder struct {
	options   Options
	streams   streamSet
	durations *routeDurations
	metrics   *requestMetrics
	// leaving counts the runs that are being left.
	leaving *atomic.Int64
	// unanswered ends when requests without an answer are given up.
	unanswered    context.Context
	endUnanswered context.CancelFunc
}

// New returns a Forwarder.
func New(options Options) *Forwarder {
	if options.Memory == nil {
		options.Memory = membudget.New(membudget.DefaultLimit)
	}
	f := &Forwarder{options: options, streams: newStreamSet(), durations: newRouteDurations(), metrics: newRequestMetrics(), leaving: &atomic.Int64{}}
	f.unanswered, f.endUnanswered = context.WithCancel(context.Background())
	return f
}

const (
	// maxBufferedBytes bounds the body of a buffered response.
	maxBufferedBytes = 8 << 20
	// defaultBodyBytes bounds a request's body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// memoryRetryAfter is the Retry-After of a request for whose body there is no memory; other VMs may have some.
	memoryRetryAfter = time.Second
	// staleRetryAfter is the Retry-After of a request refused because the configuration is stale.
	staleRetryAfter = 700 * time.Millisecond
	// startRetryAfter is the Retry-After before the first configuration has been read.
	startRetryAfter = 500 * time.Millisecond
)

// exchange is one request of a caller while it is served.
type exchange struct {
	*Forwarder
	// caller is the answer to the caller.
	caller  *delivery.Answer
	call    *Call
	route   *policy.Route
	service policy.RoutedService
	account policy.RoutedAccount
	// deadline is when the complete response is due.
	deadline  time.Time
	arrivedAt time.Time

	// features are what the call has in common with others under which targets may crash.
	features poison.Features
	// crashes counts the targets that crashed under the call.
	crashes int

	// attempts may be read while a takeover that is no longer needed makes one more.
	attempts atomic.Int64
	excluded []string
	// version is the software version at which a stream began, once versionFixed is set: from the first event on that
	// its caller received, here or at another VM.
	version      string
	versionFixed bool
	// mayHaveRun is set once an attempt may have run the call at its target.
	mayHaveRun bool
	// sentAt is when the call was first sent to a target.
	sentAt time.Time
	// readInterrupted is set if this VM has ended the reading of the body, which net/http takes for the end of the connection.
	readInterrupted bool
	// held is what the request holds in memory, and bodies are those of answers that were read whole.
	held *membudget.Holding
	// bodyBytes is the part of held that is the body.
	bodyBytes int64
	bodies    []upstream.Body
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{Forwarder: f, caller: delivery.New(w, r), arrivedAt: time.Now(), held: f.holdingOf(r)}
	defer x.releaseMemory()
	if _, stopping := f.options.Stopping(); stopping {
		x.caller.CloseConnection()
	}
	x.finish(r, x.serve(w, r))
	x.caller.Close()
}

// holdingOf returns the holding of the request's client, which outlives the request, or one of the request's own if its
// connection has none.
func (f *Forwarder) holdingOf(r *http.Request) *membudget.Holding {
	if holding := ingress.Holding(r); holding != nil {
		return holding
	}
	return f.options.Memory.Request()
}

// finish records how the request has ended, and writes the error unless the caller has a part of an answer.
func (x *exchange) finish(r *http.Request, err error) {
	if err == nil {
		x.metrics.recordResponse(x)
		return
	}
	if r.Context().Err() != nil && !x.readInterrupted {
		x.log("request ended", "outcome", "caller left")
		x.metrics.recordDisconnect(x)
		return
	}
	apiErr := apierror.FromError(err)
	x.log("request ended", "outcome", string(apiErr.Kind), "reason", apiErr, "attempts", x.attempts.Load())
	x.metrics.recordError(x, apiErr.Kind)
	if x.caller.HasBegun() {
		return
	}
	if err := x.caller.WriteError(apiErr); err != nil {
		x.log("answer not delivered to the caller", "error", err)
	}
}

// serve serves the request or returns the error for the caller.
func (x *exchange) serve(w http.ResponseWriter, r *http.Request) error {
	call, err := x.options.Codec.ParseCall(r)
	if err != nil {
		return err
	}
	x.call = call
	ingress.SetRequestID(r, call.ID)
	if err := x.admit(); err != nil {
		return err
	}
	if err := x.readBodyInTime(w, r); err != nil {
		return err
	}
	x.features = featuresOf(x.service.Name, x.account.Name, call)
	if err := x.options.Poison.Check(x.features); err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, stopWatching := x.watchShutdown(ctx)
	defer stopWatching()
	x.options.Budget.Earn(x.service.Name)
	if x.route.Streaming {
		return x.serveStream(ctx)
	}
	return x.serveBuffered(ctx)
}

// admit checks the call against the configuration in force and sets its route, account, service and deadline.
func (x *exchange) admit() error {
	table := x.options.Poller.Current()
	if table == nil {
		return apierror.New(apierror.KindUnavailable, "no configuration is known yet", "come back after the time given").WithRetryAfter(startRetryAfter)
	}
	route := table.Find(x.call.Host, x.call.Path)
	if route == nil {
		return x.deny(apierror.New(apierror.KindNotFound, "no route leads from the host and path", "check the address"))
	}
	x.route = route
	if table.NeedsKeys() && !route.Anonymous {
		if !x.options.Poller.CanAcceptKeys() {
			return x.staleConfigurationError()
		}
		account, found := table.Account(x.call.Key)
		if !found {
			return x.deny(apierror.New(apierror.KindUnauthenticated, "the API key is missing or unknown", "send a key of your account"))
		}
		x.account = account
	}
	name := route.PickService(rand.Float64())
	service, found := table.Services[name]
	if !found {
		service = policy.RoutedService{Name: name}
	}
	x.service = service
	x.deadline = x.arrivedAt.Add(requestTimeout(x.call.Timeout, route.Timeout))
	return x.refuseIfStopping()
}

// defaultTimeout applies where neither the caller nor the route sets a timeout, and caps both.
const defaultTimeout = 10 * time.Minute

func requestTimeout(caller, route time.Duration) time.Duration {
	timeout := defaultTimeout
	if caller > 0 {
		timeout = min(timeout, caller)
	}
	if route > 0 {
		timeout = min(timeout, route)
	}
	return timeout
}

// deny returns the denial, or "unavailable" if the configuration is stale and a newer one might allow the request.
func (x *exchange) deny(denial *apierror.Error) error {
	if age, known := x.options.Poller.ProofAge(); known && age <= x.options.MaxConfigurationAge {
		return denial
	}
	return x.staleConfigurationError()
}

func (x *exchange) staleConfigurationError() error {
	age, _ := x.options.Poller.ProofAge()
	return apierror.Newf(apierror.KindUnavailable, "come back after the time given",
		"the configuration was last confirmed %d ms ago, which is too old to check API keys", age.Milliseconds()).WithRetryAfter(staleRetryAfter)
}

func (x *exchange) readBody(r *http.Request) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if table := x.options.Poller.Current(); table.Limits.MaxBodyBytes > 0 {
		limit = table.Limits.MaxBodyBytes
	}
	if r.ContentLength > limit {
		return nil, bodyTooLargeError(limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > 0 {
		return x.readSizedBody(r)
	}
	return x.readUnsizedBody(r, limit)
}

// readSizedBody reads a body whose length is known. It is refused before it is read if there is no memory for it.
func (x *exchange) readSizedBody(r *http.Request) ([]byte, error) {
	if err := x.held.Grow(r.ContentLength); err != nil {
		return nil, noMemoryError(err)
	}
	x.bodyBytes = r.ContentLength
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, bodyBrokenError(err)
	}
	return body, nil
}

// readUnsizedBody reads a body of unknown length.
func (x *exchange) readUnsizedBody(r *http.Request, limit int64) ([]byte, error) {
	body, err := membudget.ReadAll(r.Body, x.held, limit)
	x.bodyBytes = int64(cap(body))
	switch {
	case errors.Is(err, membudget.ErrTooLong):
		return nil, bodyTooLargeError(limit)
	case errors.Is(err, membudget.ErrNoRoom):
		return nil, noMemoryError(err)
	case err != nil:
		return nil, bodyBrokenError(err)
	}
	return body, nil
}

// releaseMemory ends what the request has held.
func (x *exchange) releaseMemory() {
	x.held.Shrink(x.bodyBytes)
	for _, body := range x.bodies {
		body.Release()
	}
}

func bodyBrokenError(cause error) error {
	return apierror.Wrap(cause, apierror.KindBadRequest, "the body broke off", "send the request again")
}

func noMemoryError(cause error) error {
	return apierror.Wrap(cause, apierror.KindNotRun, "this VM has no memory left for the body", "come back after the time given, on a new connection").WithRetryAfter(memoryRetryAfter)
}

func bodyTooLargeError(limit int64) error {
	return apierror.Newf(apierror.KindTooLarge, "send less", "the body is larger than %d bytes", limit)
}

func (x *exchange) priority() int {
	if x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// log writes one line about the request and records it in the trail for operators' queries.
func (x *exchange) log(message string, fields ...any) {
	if x.call != nil {
		x.options.Trail.Record(x.call.ID, time.Now(), message, slices.Clip(fields))
		fields = append(fields, "request", x.call.ID)
	}
	if x.route != nil {
		fields = append(fields, "route", x.route.Name)
	}
	fields = append(fields, "ms", time.Since(x.arrivedAt).Milliseconds())
	x.options.Logger.Info(message, fields...)
}
