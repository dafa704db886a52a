// Package gateway implements the HTTP API for callers: OpenAI-compatible completions, streamed or in one
// response, resumption of streams by cursor, and calls to plain services.
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
	"godwitcart/internal/gateway/answer"
	"godwitcart/internal/ingress"
	"godwitcart/internal/membudget"
	"godwitcart/internal/policy"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
)

// Request and response headers of the API.
const (
	// HeaderRequestID carries the request's id in every response.
	HeaderRequestID = "Godwitcart-Request"
	// HeaderClass names the priority class.
	HeaderClass = "Godwitcart-Class"
	// HeaderDeadline is the time limit of the request, in milliseconds from its arrival.
	HeaderDeadline = "Godwitcart-Deadline-Ms"
	// HeaderIdempotent is "false" for a request that must run at most once.
	HeaderIdempotent = "Godwitcart-Idempotent"
	// HeaderService selects one of the services that run the model.
	HeaderService = "Godwitcart-Service"
	// HeaderResumable is "true" when the caller is able to resume an interrupted stream with its last cursor.
	HeaderResumable = "Godwitcart-Resumable"
	// HeaderIdempotencyKey carries the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderLastEventID carries the cursor of the last event that the caller received.
	HeaderLastEventID = "Last-Event-ID"
	// HeaderShouldRetry is "false" when client libraries must not retry automatically.
	HeaderShouldRetry = "X-Should-Retry"
)

// Policy gives access to the configuration in force on this VM.
type Policy interface {
	// Index returns the index of the configuration, or nil before one is loaded.
	Index() *policy.Index
	// Decide applies the configuration to a request. It fails with KindNotRun while the decision depends on
	// a configuration change whose outcome is unknown.
	Decide(query policy.Query) (policy.Decision, error)
}

// Dispatcher runs requests on targets.
type Dispatcher interface {
	Generate(ctx context.Context, r *request.Request, record *request.Record, sink dispatch.Sink) error
	Resume(ctx context.Context, record *request.Record, binding dispatch.Binding, from int, sink dispatch.Sink) error
	Call(ctx context.Context, r *request.Request, record *request.Record, call target.PlainCall, body dispatch.Body) (*dispatch.PlainResponse, error)
}

// Options configures a Gateway.
type Options struct {
	Policy     Policy
	Dispatcher Dispatcher
	Registry   *request.Registry
	Sealer     *request.Sealer
	// MaxBodyBytes bounds the body of a generation request.
	MaxBodyBytes int64
	// DefaultDeadline is the time limit of requests for which neither the caller nor the class sets one; zero means
	// ten minutes.
	DefaultDeadline time.Duration
	// Memory bounds the bodies of clients whose connections are not guarded; nil stands for a budget of the Gateway's own.
	Memory *membudget.Budget
}

// Gateway is the HTTP handler of the API. It is safe for concurrent use.
type Gateway struct {
	options Options
	mux     *http.ServeMux
	drain   drainState
}

func New(options Options) *Gateway {
	options.DefaultDeadline = cmp.Or(options.DefaultDeadline, defaultDeadline)
	if options.Memory == nil {
		options.Memory = membudget.New(membudget.DefaultLimit)
	}
	g := &Gateway{options: options, mux: http.NewServeMux()}
	g.drain.handOver = make(chan struct{})
	g.drain.cutOff, g.drain.endUnfinished = context.WithCancel(context.Background())
	g.mux.HandleFunc("POST /v1/completions", g.serve(g.completions))
	g.mux.HandleFunc("POST /v1/chat/completions", g.serve(g.chatCompletions))
	g.mux.HandleFunc("GET /v1/completions", g.serve(g.resume))
	g.mux.HandleFunc("GET /v1/chat/completions", g.serve(g.resume))
	g.mux.HandleFunc("GET /v1/models", g.serve(g.models))
	g.mux.HandleFunc("/services/{service}/{path...}", g.serve(g.plainCall))
	g.mux.HandleFunc("/", g.serve(notFound))
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}

// exchange is the state of one HTTP request and its response.
type exchange struct {
	r         *http.Request
	response  *answer.Response
	requestID string
	index     *policy.Index
	// account is the name of the caller's client account.
	account string
	// nonIdempotent is set once the headers and the configuration show that the request must run at most once.
	nonIdempotent bool
	// held is what the request's client holds, and bodyBytes the part of it that is the body.
	held      *membudget.Holding
	bodyBytes int64
	// dispatched is set once the dispatcher has the request; its errors take earlier duplicates into account.
	dispatched bool
}

// serve returns a handler that admits the request, authenticates the caller, calls handle and reports its error.
func (g *Gateway) serve(handle func(*exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{r: r, response: answer.New(w, r), requestID: rand.Text(), held: ingress.Holding(r)}
		if x.held == nil {
			x.held = g.options.Memory.Request()
		}
		defer func() { x.held.Shrink(x.bodyBytes) }()
		x.response.Header().Set(HeaderRequestID, x.requestID)
		if err := g.admit(x); err != nil {
			writeError(x, err)
			return
		}
		defer g.drain.requestDone()
		defer x.response.Reset()
		if err := g.authenticate(x); err != nil {
			writeError(x, err)
			return
		}
		if err := handle(x); err != nil {
			writeError(x, err)
		}
		x.response.Close()
	}
}

// hold records bytes of the body. It fails with KindNotRun if there is no memory for them.
func (x *exchange) hold(bytes int64) error {
	if err := x.held.Grow(bytes); err != nil {
		return noMemoryError(err)
	}
	x.bodyBytes += bytes
	return nil
}

func noMemoryError(cause error) error {
	return apierror.Wrap(cause, apierror.KindNotRun, "this entry VM has no memory left for the body; the request did not run",
		"send it again after the time given, on a new connection").WithRetryAfter(memoryRetryAfter)
}

// memoryRetryAfter is the Retry-After of a request for whose body there is no memory; other VMs may have some.
const memoryRetryAfter = time.Second

func (g *Gateway) admit(x *exchange) error {
	if g.drain.admit() {
		return nil
	}
	x.response.Header().Set("Connection", "close")
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

// drainRetryAfter is the Retry-After of the response to a request that arrives while this entry VM is draining.
const drainRetryAfter = time.Second

// drainState counts the requests in progress and rejects new ones once draining has started.
type drainState struct {
	mu       sync.Mutex
	draining bool
	active   int
	// idle is created when draining starts and closed when no request is in progress.
	idle chan struct{}
	// handOver is closed when draining starts; resumable streams then end so that their callers resume at another VM.
	handOver chan struct{}
	// cutOff ends when requests that are still in progress get their final answers.
	cutOff        context.Context
	endUnfinished context.CancelFunc
}

func (d *drainState) admit() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draining {
		return false
	}
	d.active++
	return true
}

func (d *drainState) requestDone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.active--
	if d.draining && d.active == 0 {
		close(d.idle)
	}
}

// finalAnswerTime is how long requests that have not ended when draining may last no longer take to answer their callers.
const finalAnswerTime = time.Second

// Drain rejects new requests and waits until those in progress have ended or ctx is done; the others then get their final
// answers. It returns the number of requests without one.
func (g *Gateway) Drain(ctx context.Context) int {
	idle := g.drain.start()
	select {
	case <-idle:
		return g.Active()
	case <-ctx.Done():
	}
	g.drain.endUnfinished()
	select {
	case <-idle:
	case <-time.After(finalAnswerTime):
	}
	return g.Active()
}

func (d *drainState) start() <-chan struct{} {
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

// Draining reports whether new requests are rejected.
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
