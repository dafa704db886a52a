// Package service is a stand-in for a plain service. It echoes any HTTP call after a fixed latency, limits concurrent
// calls, and records the calls that it received.
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

// maxBodyBytes limits the body of a call.
const maxBodyBytes = 4 << 20

// bodyHeadBytes is how many leading bytes of a body are recorded.
const bodyHeadBytes = 128

// drainPollInterval is the interval at which Drain checks for running calls.
const drainPollInterval = 20 * time.Millisecond

// Options configures a Service.
type Options struct {
	Name    string
	Latency time.Duration
	// Concurrency is the limit of concurrent calls; calls above it are refused as queue_full.
	Concurrency int
	// Journal, when set, receives the service's events in the format of package journal.
	Journal io.Writer
}

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// Stall blocks calls before they run, until the fault is cleared.
	Stall bool `json:"stall"`
	// LoseAnswers is the number of calls to come that run but get no response: the connection is closed.
	LoseAnswers int `json:"lose_answers"`
	// Refuse, when set, refuses every call with this kind.
	Refuse enginewire.RefusalKind `json:"refuse"`
	// Slow multiplies the latency; values below one have no effect.
	Slow float64 `json:"slow"`
}

// CallRecord is the record of one received call.
type CallRecord struct {
	RequestID string `json:"request_id"`
	AttemptID string `json:"attempt_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// BodyHead holds the first bodyHeadBytes of the body.
	BodyHead           string    `json:"body_head"`
	ReceivedUnixMillis int64     `json:"received_unix_millis"`
	Received           time.Time `json:"-"`
	// Refused is empty for a call that ran.
	Refused enginewire.RefusalKind `json:"refused,omitempty"`
	Ended   bool                   `json:"ended"`
}

// Activity lists all calls since the service was created.
type Activity struct {
	Target      string `json:"target"`
	Incarnation string `json:"incarnation"`
	// LeavingSinceUnixMillis is zero while the service is not leaving.
	LeavingSinceUnixMillis int64        `json:"leaving_since_unix_millis"`
	Calls                  []CallRecord `json:"calls"`
}

// Service simulates one plain service.
type Service struct {
	options     Options
	incarnation string

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	leavingSince  time.Time
	runningCalls  int
	calls         []*CallRecord
	journal       *journal.Writer
}

func New(options Options) *Service {
	if options.Latency <= 0 {
		options.Latency = DefaultLatency
	}
	if options.Concurrency <= 0 {
		options.Concurrency = DefaultConcurrency
	}
	service := &Service{options: options, incarnation: rand.Text(), faultsChanged: make(chan struct{})}
	service.journal = journal.NewWriter(options.Journal, options.Name, service.incarnation)
	return service
}

// Leave makes the service refuse new calls; running ones continue.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingSince.IsZero() {
		s.leavingSince = time.Now()
		s.journal.Append(journal.Entry{Event: journal.EventLeaving}, s.leavingSince)
	}
}

// Drain calls Leave and returns when the running calls have ended.
func (s *Service) Drain() {
	s.Leave()
	for s.countRunning() > 0 {
		time.Sleep(drainPollInterval)
	}
}

func (s *Service) countRunning() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runningCalls
}

// Activity returns the records of all calls.
func (s *Service) Activity() Activity {
	s.mu.Lock()
	defer s.mu.Unlock()
	activity := Activity{Target: s.options.Name, Incarnation: s.incarnation, Calls: []CallRecord{}}
	if !s.leavingSince.IsZero() {
		activity.LeavingSinceUnixMillis = s.leavingSince.UnixMilli()
	}
	for _, call := range s.calls {
		activity.Calls = append(activity.Calls, *call)
	}
	return activity
}

// SetFaults replaces the active faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Faults returns the active faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// healthPath is the path of the health check, which is not recorded as a call.
const healthPath = "/healthz"

// Handler serves calls of any method and path, and the health check, which fails while the service is leaving.
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
	leaving := !s.leavingSince.IsZero()
	s.mu.Unlock()
	if leaving {
		s.refuse(w, enginewire.RefusedLeaving)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if attempt := r.Header.Get(enginewire.HeaderAttempt); attempt != "" {
		w.Header().Set(enginewire.HeaderAttempt, attempt)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, enginewire.RefusedBadRequest)
		return
	}
	if !s.waitWhileStalled(r.Context()) {
		return
	}
	call, refused := s.beginCall(r, body)
	if refused != "" {
		s.refuse(w, refused)
		return
	}
	time.Sleep(s.latency())
	if s.endCall(call) {
		panic(http.ErrAbortHandler)
	}
	echo(w, r, body)
}

func (s *Service) waitWhileStalled(ctx context.Context) bool {
	for {
		s.mu.Lock()
		stalled, changed := s.faults.Stall, s.faultsChanged
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

// beginCall records the call and returns the kind of refusal, empty if the call is to run.
func (s *Service) beginCall(r *http.Request, body []byte) (*CallRecord, enginewire.RefusalKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := newCall(r, body)
	call.Refused = s.refusal()
	s.calls = append(s.calls, call)
	if call.Refused != "" {
		s.logEvent(journal.EventRefused, call)
		return call, call.Refused
	}
	s.runningCalls++
	s.logEvent(journal.EventStarted, call)
	return call, ""
}

func (s *Service) logEvent(event journal.Event, call *CallRecord) {
	s.journal.Append(journal.Entry{
		Event:     event,
		RequestID: call.RequestID,
		AttemptID: call.AttemptID,
		Head:      call.BodyHead,
		Refused:   call.Refused,
	}, call.Received)
}

func newCall(r *http.Request, body []byte) *CallRecord {
	now := time.Now()
	return &CallRecord{
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
	case !s.leavingSince.IsZero():
		return enginewire.RefusedLeaving
	case s.faults.Refuse != "":
		return s.faults.Refuse
	case s.runningCalls >= s.options.Concurrency:
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

// endCall records that the call has run, and reports whether to close the connection without a response. It counts down
// Faults.LoseAnswers.
func (s *Service) endCall(call *CallRecord) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	call.Ended = true
	s.runningCalls--
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

// echo responds with the call's method and path in headers and its body.
func echo(w http.ResponseWriter, r *http.Request, body []byte) {
	if contentType := r.Header.Get("Content-Type"); contentType != "" {
		w.Header().Set("Content-Type", contentType)
	}
	w.Header().Set("Echo-Method", r.Method)
	w.Header().Set("Echo-Path", r.URL.Path)
	_, _ = w.Write(body)
}

// ControlHandler serves the control API of the tests:
//
//	GET, POST /faults  reads or updates Faults; a POST keeps the fields that it omits
//	GET       /ran     returns Activity
//	POST      /leave   calls Leave
func (s *Service) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ran", func(w http.ResponseWriter, _ *http.Request) {
		standhttp.WriteJSON(w, http.StatusOK, s.Activity())
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
