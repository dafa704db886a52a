// Package admin serves the operators' HTTP: health and readiness for the platform's balancer,
// metrics, the state dump, queries and commands.
//
// Every path but health and readiness needs a bearer token; commands need one that may change.
package admin

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/command"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
)

// The paths of the operators' HTTP.
const (
	// PathHealth answers 200 while the process runs.
	PathHealth = "/healthz"
	// PathReady answers 200 while the VM may be led callers, and 503 with the reason otherwise.
	PathReady = "/readyz"
	// PathMetrics answers with the metrics in Prometheus text.
	PathMetrics = "/metrics"
	// PathState answers with the state dump.
	PathState = "/debug/state"
	// PathQuery takes a POST of QueryRequest and answers with a query.Answer.
	PathQuery = "/v1/query"
	// PathCommand takes a POST of CommandRequest and answers with a command.Result.
	PathCommand = "/v1/command"
	// PathConfiguration answers a GET with the configuration in force as YAML; a PUT replaces it
	// and answers with a command.Result. The query parameter "dry_run=true" changes nothing.
	PathConfiguration = "/v1/configuration"
)

// maxBodyBytes bounds the body of a request: a whole configuration fits.
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

// ErrorResponse is the body of every answer that is not 2xx.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error with its remedy.
type ErrorDetail struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
	// RetryAfterSeconds is absent when repeating the same request does not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
}

// Options configures a Handler.
type Options struct {
	// Ready reports whether the VM may be led callers, and why not.
	Ready func() (ready bool, reason string)
	// Tokens lists the operators.
	Tokens []Token
	// States are the parts of the state dump.
	States []StateProvider
	// Queries answers queries; nil refuses them.
	Queries *query.Engine
	// Commands carries out commands; nil refuses them.
	Commands *command.Executor
	// Current returns the configuration in force, or nil.
	Current func() *policy.Configuration
	// Metrics is exported at PathMetrics; nil means the default registry.
	Metrics metrics.Registry
}

// Handler serves the operators' HTTP.
type Handler struct {
	options Options
	mux     *http.ServeMux
	tokens  []tokenEntry
	metrics http.Handler
}

// NewHandler returns the operators' HTTP handler.
func NewHandler(options Options) *Handler {
	if options.Metrics == nil {
		options.Metrics = metrics.DefaultRegistry
	}
	h := &Handler{
		options: options,
		mux:     http.NewServeMux(),
		tokens:  tokenEntries(options.Tokens),
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

// handle registers an endpoint for operators of a role.
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
