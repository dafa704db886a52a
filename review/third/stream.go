package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// streamWork is how a replica answers streaming requests: with events that count up, from the first one or from the one after
// Last-Event-Id.
type streamWork struct {
	events int
	gap    time.Duration
	// begun and ended are called for each run; they may be nil.
	begun, ended func()
}

func (s *streamWork) serve(rw http.ResponseWriter, q *http.Request) {
	if s.begun != nil {
		s.begun()
	}
	if s.ended != nil {
		defer s.ended()
	}
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	rw.Header().Set("Content-Type", "text/event-stream")
	for id := first; id <= s.events; id++ {
		fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", id, id, q.Header.Get("X-Attempt-Id"))
		rw.(http.Flusher).Flush()
		select {
		case <-q.Context().Done():
			return
		case <-time.After(s.gap):
		}
	}
}
