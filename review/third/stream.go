package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// streamWork is how a replica answers streaming requests: with events that count up, from the first one or from the one after
// Last-Event-Id.
type streamWork struct {
	events int
	gap    time.Duration
	// isUnframed reports whether the next answer has neither a length nor chunks, so that it ends with its channel; nil stands
	// for never.
	isUnframed func() bool
	// begun and ended are called for each run; they may be nil.
	begun, ended func(attempt string, isUnframed bool)
}

func (s *streamWork) serve(replicaID string) func(http.ResponseWriter, *http.Request) {
	return func(rw http.ResponseWriter, q *http.Request) {
		attempt := q.Header.Get("X-Attempt-Id")
		first := 1
		if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
			first = last + 1
		}
		isUnframed := s.isUnframed != nil && s.isUnframed()
		if s.begun != nil {
			s.begun(attempt, isUnframed)
		}
		var out io.Writer = rw
		flush := func() { rw.(http.Flusher).Flush() }
		left := q.Context().Done()
		if isUnframed {
			conn, buffered, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer conn.Close() // in order, after the last byte
			writer := bufio.NewWriter(buffered)
			fmt.Fprintf(writer, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: stamp.%s.%s\r\nConnection: close\r\n\r\n", attempt, replicaID, attempt)
			out, left = writer, nil
			flush = func() { _ = writer.Flush(); _ = buffered.Flush() }
		} else {
			rw.Header().Set("Content-Type", "text/event-stream")
		}
		for id := first; id <= s.events; id++ {
			fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
			flush()
			select {
			case <-left:
				if s.ended != nil {
					s.ended(attempt, isUnframed)
				}
				return
			case <-time.After(s.gap):
			}
		}
		if s.ended != nil {
			s.ended(attempt, isUnframed)
		}
	}
}
