package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// stream sends the events of one attempt to one reader.
type stream struct {
	engine  *Engine
	attempt *attempt
	w       http.ResponseWriter
	// next is the index of the next token to send.
	next int
	// reportedPreemptions is the number of preemptions that the reader has seen.
	reportedPreemptions int
}

// streamProgress is a snapshot of the attempt, from which a stream sends what the reader lacks.
type streamProgress struct {
	preempted bool
	produced  int
	finished  enginewire.FinishReason
	changed   <-chan struct{}
}

// attach adds a reader to the attempt and returns it, or returns nil when it is unknown or its retention has expired.
func (e *Engine) attach(id string, now time.Time) *attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.attempts[id]
	if a == nil || (a.finishReason != "" && now.Sub(a.endedAt) > e.options.Retention) {
		return nil
	}
	a.readers++
	return a
}

func (e *Engine) detach(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
	a.orphanedAt = time.Now()
}

// serveStream sends the events from token index from on, until the generation ends or the reader disconnects.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	defer e.detach(a)
	s := &stream{engine: e, attempt: a, w: w, next: from}
	if !e.waitWhileStalled(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	for s.sendNext(r.Context()) {
	}
}

// sendNext sends the pending events and waits for a change. It returns false when the stream is over: after the last
// event, or when the reader has disconnected.
func (s *stream) sendNext(ctx context.Context) bool {
	current := s.currentProgress()
	if !s.engine.waitWhileStalled(ctx) || s.send(current) != nil {
		return false
	}
	if current.finished != "" {
		return false
	}
	select {
	case <-current.changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// currentProgress returns a snapshot of the attempt and marks its preemptions as reported.
func (s *stream) currentProgress() streamProgress {
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	a := s.attempt
	current := streamProgress{produced: a.produced, finished: a.finishReason, changed: a.changed}
	current.preempted = a.waiting && a.preemptions > s.reportedPreemptions
	s.reportedPreemptions = a.preemptions
	return current
}

func (s *stream) send(current streamProgress) error {
	for s.next < current.produced {
		if err := s.sendToken(s.next); err != nil {
			return err
		}
		s.next++
	}
	if current.preempted {
		if err := s.sendEvent(enginewire.TokenEvent{Index: s.next, Preempted: true}); err != nil {
			return err
		}
	}
	if current.finished != "" {
		last := enginewire.TokenEvent{Index: current.produced, FinishReason: current.finished}
		if err := s.sendEvent(last); err != nil {
			return err
		}
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *stream) sendToken(index int) error {
	a := s.attempt
	text := tokenText(s.engine.options.Text, a.request.AttemptID, a.contentHash, index)
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
	if s.engine.faults.consumeBrokenStream() {
		_ = http.NewResponseController(s.w).Flush()
		panic(http.ErrAbortHandler)
	}
	return nil
}

// waitWhileStalled blocks while the fault StallStreams is active. It returns false when the reader has disconnected.
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
