package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// stream sends one attempt's events to one reader.
type stream struct {
	engine  *Engine
	attempt *attempt
	w       http.ResponseWriter
	// next is the index of the next token to send.
	next int
	// preemptions is how many preemptions the reader has been told of.
	preemptions int
}

// progress is what a stream has to send next.
type progress struct {
	preempted bool
	produced  int
	finished  enginewire.FinishReason
	changed   <-chan struct{}
}

// attach returns the attempt with one more reader, or nil when it is unknown or was ended
// longer than the retention ago.
func (e *Engine) attach(id string, now time.Time) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil || (a.finished != "" && now.Sub(a.ended) > e.options.Retention) {
		return nil
	}
	a.readers++
	return a
}

func (e *Engine) detach(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
	a.orphaned = time.Now()
}

// serveStream sends the events from the index on; it ends with the generation or the reader.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	defer e.detach(a)
	s := &stream{engine: e, attempt: a, w: w, next: from}
	if !e.waitWhileStalled(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	for s.step(r.Context()) {
	}
}

// step sends what there is and waits for more. It returns false after the last event.
func (s *stream) step(ctx context.Context) bool {
	now := s.look()
	if !s.engine.waitWhileStalled(ctx) || s.send(now) != nil {
		return false
	}
	if now.finished != "" {
		return false
	}
	select {
	case <-now.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *stream) look() progress {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	a := s.attempt
	now := progress{produced: a.produced, finished: a.finished, changed: a.changed}
	now.preempted = a.waiting && a.preemptions > s.preemptions
	s.preemptions = a.preemptions
	return now
}

func (s *stream) send(now progress) error {
	for s.next < now.produced {
		if err := s.sendToken(s.next); err != nil {
			return err
		}
		s.next++
	}
	if now.preempted {
		if err := s.sendEvent(enginewire.TokenEvent{Index: s.next, Preempted: true}); err != nil {
			return err
		}
	}
	if now.finished != "" {
		last := enginewire.TokenEvent{Index: now.produced, FinishReason: now.finished}
		if err := s.sendEvent(last); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *stream) sendToken(index int) error {
	a := s.attempt
	text := tokenText(s.engine.options.Text, a.request.AttemptID, a.content, index)
	return s.sendEvent(enginewire.TokenEvent{Index: index, Text: text})
}

func (s *stream) sendEvent(event enginewire.TokenEvent) error {
	event.AttemptID = s.attempt.request.AttemptID
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(s.w, "id: %d\ndata: %s\n\n", event.Index, data); err != nil {
		return err
	}
	if s.engine.faults.takeBrokenStream() {
		_ = http.NewResponseController(s.w).Flush()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// waitWhileStalled holds a stream back while the fault lasts. It returns false when the reader is gone.
func (e *Engine) waitWhileStalled(ctx context.Context) bool {
	for {
		faults, changed := e.faults.get()
		if !faults.StallStreams {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
