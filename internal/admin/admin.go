// Package admin serves the operator HTTP API: health and readiness checks for the platform's load balancer,
// metrics, the state dump, queries and commands.
//
// Every endpoint except health and readiness requires a bearer token; commands require one with RoleChange.
package admin

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/command"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
)

// The paths of the operator HTTP API.
const (
	// PathHealth returns 200 while the process runs.
	PathHealth = "/healthz"
	// PathReady returns 200 while the VM may receive client traffic, and 503 with the reason otherwise.
	PathReady = "/readyz"
	// PathMetrics returns the metrics in the Prometheus text format.
	PathMetrics = "/metrics"
	// PathState returns the state dump.
	PathState = "/debug/state"
	// PathQuery accepts a POST of QueryRequest and returns a query.Result.
	PathQuery = "/v1/query"
	// PathCommand accepts a POST of CommandRequest and returns a command.Result.
	PathCommand = "/v1/command"
	// PathConfiguration returns the configuration in force as YAML on GET. A PUT replaces the configuration
	// and returns a command.Result; with the query parameter "dry_run=true" it changes nothing.
	PathConfiguration = "/v1/configuration"
)

// maxBodyBytes limits the body of a request. It is large enough for a complete configuration.
const maxBodyBytes = 1 << 20

// QueryRequest is the body of a query.
type QueryRequest struct {
	Text string `json:"text"`
}

// CommandRequest is the body of a command.
type CommandRequest struct {
	Text   string `json:"text"`
	DryRun bool   `json:"dry_run,omitempty"`
}

// ErrorResponse is the body of every response with a status other than 2xx.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and its remedy.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAfterSeconds is absent if repeating the same request cannot succeed.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// Options configures a Handler.
type Options struct {
	// Ready reports whether the VM may receive client traffic, and the reason if not.
	Ready func() (ready bool, reason string)
	// Tokens are the accepted bearer tokens.
	Tokens []Token
	// States are the parts of the state dump.
	States []StateProvider
	// Queries executes queries; nil rejects them.
	Queries *query.Engine
	// Commands executes commands; nil rejects them.
	Commands *command.Executor
	// CurrentConfiguration returns the configuration in force, or nil.
	CurrentConfiguration func() *policy.Configuration
	// Metrics is the registry served at PathMetrics; nil selects the default registry.
	Metrics metrics.Registry
}

// Handler serves the operator HTTP API.
type Handler struct {
	options Options
	mux     *http.ServeMux
	tokens  []tokenDigest
	metrics http.Handler
}

// NewHandler returns a Handler with all endpoints registered.
func NewHandler(options Options) *Handler {
	if options.Metrics == nil {
		options.Metrics = metrics.DefaultRegistry
	}
	h := &Handler{
		options: options,
		mux:     http.NewServeMux(),
		tokens:  decodeTokens(options.Tokens),
		metrics: NewMetricsHandler(options.Metrics),
	}
	h.mux.HandleFunc("GET "+PathHealth, h.serveHealth)
	h.mux.HandleFunc("GET "+PathReady, h.serveReadiness)
	h.handle("GET "+PathMetrics, RoleRead, h.serveMetrics)
	h.handle("GET "+PathState, RoleRead, h.serveState)
	h.handle("GET "+PathProfile+"{name}", RoleRead, h.serveProfile)
	h.handle("POST "+PathQuery, RoleRead, h.serveQuery)
	h.handle("GET "+PathConfiguration, RoleRead, h.serveConfiguration)
	h.handle("POST "+PathCommand, RoleChange, h.serveCommand)
	h.handle("PUT "+PathConfiguration, RoleChange, h.serveApply)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// handle registers an endpoint that requires a token with the role.
func (h *Handler) handle(pattern string, role Role, serve func(http.ResponseWriter, *http.Request, Token)) {
	h.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		token, err := h.authorize(r, role)
		if err != nil {
			writeError(w, err)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		serve(w, r, token)
	})
}

func (h *Handler) serveHealth(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "ok\n")
}

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	ready, reason := h.options.Ready()
	status := http.StatusOK
	if !ready {
		status = http.StatusServiceUnavailable
	}
	writeText(w, status, reason+"\n")
}
