// Package gateway is the callers' HTTP interface: OpenAI-compatible generations, streamed and
// whole, resume by cursor, and calls to plain services.
package gateway

import (
	"cmp"
	"context"
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/policy"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
)

// The headers of the callers' interface.
const (
	// HeaderRequest carries the request's id in every answer.
	HeaderRequest = "Godwitcart-Request"
	// HeaderClass names the priority class.
	HeaderClass = "Godwitcart-Class"
	// HeaderDeadline bounds the request, in milliseconds.
	HeaderDeadline = "Godwitcart-Deadline-Ms"
	// HeaderIdempotent is "false" for a request that may run at most once.
	HeaderIdempotent = "Godwitcart-Idempotent"
	// HeaderService chooses among services that run the same model.
	HeaderService = "Godwitcart-Service"
	// HeaderResumable is "true" when the caller comes back with its cursor if its stream breaks.
	HeaderResumable = "Godwitcart-Resumable"
	// HeaderKey carries the caller's idempotency key.
	HeaderKey = "Idempotency-Key"
	// HeaderLastEvent carries a cursor.
	HeaderLastEvent = "Last-Event-ID"
	// HeaderShouldRetry tells client libraries that retry on their own whether to do so.
	HeaderShouldRetry = "X-Should-Retry"
)

// Policy is the configuration in force on this VM.
type Policy interface {
	// Index returns the lookups of the configuration, or nil before one is known.
	Index() *policy.Index
	// Decide answers what the configuration says about a request. It refuses, as not run, while the
	// answer depends on a change whose outcome is not known.
	Decide(query policy.Query) (policy.Decision, error)
}

// Dispatcher drives the requests.
type Dispatcher interface {
	Generate(ctx context.Context, r *request.Request, record *request.Record, sink dispatch.Sink) error
	Resume(ctx context.Context, record *request.Record, binding dispatch.Binding, from int, sink dispatch.Sink) error
	Call(ctx context.Context, r *request.Request, record *request.Record, call target.PlainCall, body dispatch.Body) (*dispatch.PlainResponse, error)
}

// Options are the parts and limits of a Gateway.
type Options struct {
	Policy     Policy
	Dispatcher Dispatcher
	Registry   *request.Registry
	Sealer     *request.Sealer
	// MaxBodyBytes bounds the body of a generation request.
	MaxBodyBytes int64
	// Deadline bounds a request when neither the caller nor its class does; zero means ten minutes.
	Deadline time.Duration
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	mux     *http.ServeMux
	drain   drainState
}

// New returns a gateway.
func New(options Options) *Gateway {
	options.Deadline = cmp.Or(options.Deadline, defaultDeadline)
	g := &Gateway{options: options, mux: http.NewServeMux()}
	g.drain.handOver = make(chan struct{})
	g.mux.HandleFunc("POST /v1/completions", g.serve(g.completions))
	g.mux.HandleFunc("POST /v1/chat/completions", g.serve(g.chatCompletions))
	g.mux.HandleFunc("GET /v1/completions", g.serve(g.resume))
	g.mux.HandleFunc("GET /v1/chat/completions", g.serve(g.resume))
	g.mux.HandleFunc("GET /v1/models", g.serve(g.models))
	g.mux.HandleFunc("/services/{service}/{path...}", g.serve(g.plain))
	g.mux.HandleFunc("/", g.serve(notFound))
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}

// exchange is one HTTP exchange with a caller.
type exchange struct {
	w http.ResponseWriter
	r *http.Request
	// id is the request's id.
	id    string
	index *policy.Index
	// account is the name of the caller's client account.
	account string
	// nonIdempotent is set once it is known that the request may run at most once.
	nonIdempotent bool
	// dispatched is set once the dispatcher answers for what it says of copies.
	dispatched bool
}

// serve authenticates the caller, runs handle and answers with its error, if any.
func (g *Gateway) serve(handle func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, id: rand.Text()}
		w.Header().Set(HeaderRequest, x.id)
		if err := g.enter(x); err != nil {
			writeError(x, err)
			return
		}
		defer g.drain.leave()
		err := g.authenticate(x)
		if err == nil {
			err = handle(x)
		}
		if err != nil {
			writeError(x, err)
		}
	}
}

func (g *Gateway) enter(x *exchange) error {
	if g.drain.enter() {
		return nil
	}
	x.w.Header().Set("Connection", "close")
	return apierror.New(apierror.KindNotRun, "this entry VM is shutting down; the request did not run",
		"send it again; the balancer leads to another entry VM").WithRetryAfter(drainRetryAfter)
}

func (g *Gateway) authenticate(x *exchange) error {
	x.index = g.options.Policy.Index()
	if x.index == nil {
		return apierror.New(apierror.KindNotRun, "this entry VM has not learnt the configuration yet",
			"send the request again").WithRetryAfter(time.Second)
	}
	account, err := x.index.AccountByKey(bearerToken(x.r))
	x.account = account.Name
	return err
}

func notFound(x *exchange) error {
	return apierror.Newf(apierror.KindNotFound,
		"use /v1/completions, /v1/chat/completions, /v1/models or /services/NAME/…",
		"there is no %s %s", x.r.Method, truncate(x.r.URL.Path))
}

// drainRetryAfter is when a caller that is turned away by a stopping entry VM comes back.
const drainRetryAfter = time.Second

// drainState counts the requests in progress and turns new ones away once draining has begun.
type drainState struct {
	mu       sync.Mutex
	draining bool
	active   int
	idle     chan struct{}
	handOver chan struct{}
}

func (d *drainState) enter() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.active++
	return true
}

func (d *drainState) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.draining && d.active == 0 {
		close(d.idle)
	}
}

// Drain turns new requests away and waits until those in progress have ended, or until ctx ends.
// It returns the number of requests that are still in progress. It is called once.
func (g *Gateway) Drain(ctx context.Context) int {
	idle := g.drain.begin()
	select {
	case <-idle:
	case <-ctx.Done():
	}
	return g.Active()
}

func (d *drainState) begin() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draining = true
	d.idle = make(chan struct{})
	close(d.handOver)
	if d.active == 0 {
		close(d.idle)
	}
	return d.idle
}

// Draining reports whether new requests are turned away.
func (g *Gateway) Draining() bool {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.draining
}

// Active returns the number of requests in progress.
func (g *Gateway) Active() int {
	g.drain.mu.Lock()
	defer g.drain.mu.Unlock()
	return g.drain.active
}
