// Package service is the stand-in of a plain service: it answers any HTTP call after a
// fixed latency by echoing it, within a concurrency limit, and records what it ran.
package service

import (
	"context"
	"crypto/rand"
	"io"
	"net/http"
	"sync"
	"time"

	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/enginewire"
)

// Defaults of Options.
const (
	DefaultLatency     = 5 * time.Millisecond
	DefaultConcurrency = 64
)

// maxBodyBytes bounds the body that a call may have.
const maxBodyBytes = 4 << 20

// bodyHeadBytes is how much of a body is recorded.
const bodyHeadBytes = 128

// drainPoll is how often Drain looks whether the running calls have ended.
const drainPoll = 20 * time.Millisecond

// Options configure a Service.
type Options struct {
	Name    string
	Latency time.Duration
	// Concurrency is how many calls run at once; more are refused as queue_full.
	Concurrency int
	// Journal, when set, receives what the service runs, see package journal.
	Journal io.Writer
}

// Faults are the failures that the control listener switches on. The zero value is none.
type Faults struct {
	// Stall holds calls before they run, until it is lifted.
	Stall bool `json:"stall"`
	// LoseAnswers is how many of the next calls run and are then cut off without an answer.
	LoseAnswers int `json:"lose_answers"`
	// Refuse, when set, refuses every call with this kind.
	Refuse enginewire.RefusalKind `json:"refuse"`
	// Slow multiplies the latency when above one.
	Slow float64 `json:"slow"`
}

// Call is the record of one call that arrived.
type Call struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodyHead is the beginning of the body.
	BodyHead           string    `json:"body_head"`
	ReceivedUnixMillis int64     `json:"received_unix_millis"`
	Received           time.Time `json:"-"`
	// Refused is empty for a call that ran.
	Refused enginewire.RefusalKind `json:"refused,omitempty"`
	Ended   bool                   `json:"ended"`
}

// Ran is what the service did since its start.
type Ran struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// LeavingSinceUnixMillis is zero while the service is not leaving.
	LeavingSinceUnixMillis int64  `json:"leaving_since_unix_millis"`
	Calls                  []Call `json:"calls"`
}

// Service is one stand-in service.
type Service struct {
	options     Options
	incarnation string

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	leaving time.Time
	running int
	calls   []*Call
	journal *journal.Writer
}

// New returns a service that is ready to serve.
func New(options Options) *Service {
	if options.Latency <= 0 {
		options.Latency = DefaultLatency
	}
	if options.Concurrency <= 0 {
		options.Concurrency = DefaultConcurrency
	}
	service := &Service{options: options, incarnation: rand.Text(), changed: make(chan struct{})}
	service.journal = journal.NewWriter(options.Journal, options.Name, service.incarnation)
	return service
}

// Leave refuses calls from now on; running ones go on.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = time.Now()
		s.journal.Append(journal.Entry{Event: journal.EventLeaving}, s.leaving)
	}
}

// Drain leaves and returns when the running calls have ended.
func (s *Service) Drain() {
	s.Leave()
	for s.countRunning() > 0 {
		time.Sleep(drainPoll)
	}
}

func (s *Service) countRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// Ran returns the records of all calls.
func (s *Service) Ran() Ran {
	s.mu.Lock()
	defer s.mu.Unlock()
	ran := Ran{Target: s.options.Name, Incarnation: s.incarnation, Calls: []Call{}}
	if !s.leaving.IsZero() {
		ran.LeavingSinceUnixMillis = s.leaving.UnixMilli()
	}
	for _, call := range s.calls {
		ran.Calls = append(ran.Calls, *call)
	}
	return ran
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.changed)
	s.changed = make(chan struct{})
}

// Faults returns the faults in force.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// healthPath answers health checks, which are no calls: they are not recorded.
const healthPath = "/healthz"

// Handler serves calls of any method and path, and health checks, which a leaving service
// refuses.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+healthPath, s.health)
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Service) health(w http.ResponseWriter, r *http.Request) {
	if !s.waitWhileStalled(r.Context()) {
		return
	}
	s.mu.Lock()
	leaving := !s.leaving.IsZero()
	s.mu.Unlock()
	if leaving {
		s.refuse(w, enginewire.RefusedLeaving)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, enginewire.RefusedBadRequest)
		return
	}
	if !s.waitWhileStalled(r.Context()) {
		return
	}
	call, refused := s.begin(r, body)
	if refused != "" {
		s.refuse(w, refused)
		return
	}
	time.Sleep(s.latency())
	if s.end(call) {
		panic(http.ErrAbortHandler)
	}
	echo(w, r, body)
}

func (s *Service) waitWhileStalled(ctx context.Context) bool {
	for {
		s.mu.Lock()
		stalled, changed := s.faults.Stall, s.changed
		s.mu.Unlock()
		if !stalled {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// begin records the call and decides whether it runs.
func (s *Service) begin(r *http.Request, body []byte) (*Call, enginewire.RefusalKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := newCall(r, body)
	call.Refused = s.refusal()
	s.calls = append(s.calls, call)
	if call.Refused != "" {
		s.log(journal.EventRefused, call)
		return call, call.Refused
	}
	s.running++
	s.log(journal.EventStarted, call)
	return call, ""
}

func (s *Service) log(event journal.Event, call *Call) {
	s.journal.Append(journal.Entry{
		Event:     event,
		RequestID: call.RequestID,
		AttemptID: call.AttemptID,
		Head:      call.BodyHead,
		Refused:   call.Refused,
	}, call.Received)
}

func newCall(r *http.Request, body []byte) *Call {
	now := time.Now()
	return &Call{
		RequestID:          r.Header.Get(enginewire.HeaderRequest),
		AttemptID:          r.Header.Get(enginewire.HeaderAttempt),
		Method:             r.Method,
		Path:               r.URL.Path,
		BodyHead:           string(body[:min(len(body), bodyHeadBytes)]),
		ReceivedUnixMillis: now.UnixMilli(),
		Received:           now,
	}
}

func (s *Service) refusal() enginewire.RefusalKind {
	switch {
	case !s.leaving.IsZero():
		return enginewire.RefusedLeaving
	case s.faults.Refuse != "":
		return s.faults.Refuse
	case s.running >= s.options.Concurrency:
		return enginewire.RefusedQueueFull
	default:
		return ""
	}
}

func (s *Service) latency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(float64(s.options.Latency) * max(1, s.faults.Slow))
}

// end records that the call has run, and reports whether its answer is to be lost.
func (s *Service) end(call *Call) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.Ended = true
	s.running--
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func (s *Service) refuse(w http.ResponseWriter, kind enginewire.RefusalKind) {
	w.Header().Set(enginewire.HeaderRefused, string(kind))
	standhttp.WriteJSON(w, kind.HTTPStatus(), enginewire.Refusal{
		Kind:              kind,
		Message:           s.options.Name + " refused the call",
		RetryAfterSeconds: 1,
	})
}

// echo answers with the call's method, path and body.
func echo(w http.ResponseWriter, r *http.Request, body []byte) {
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Echo-Method", r.Method)
	w.Header().Set("Echo-Path", r.URL.Path)
	_, _ = w.Write(body)
}

// ControlHandler serves the control calls:
//
//	GET, POST /faults  Faults; a POST keeps the fields that it omits
//	GET       /ran     Ran
//	POST      /leave   starts leaving
func (s *Service) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, s.Ran())
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, s.Faults())
	})
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if err := standhttp.ReadJSON(w, r, &faults); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(faults)
		standhttp.WriteJSON(w, http.StatusOK, faults)
	})
	return mux
}
