// Package logsink writes log lines without ever holding up the process that logs.
//
// Lines are taken into a bounded queue, at a bounded rate, and written by one goroutine. What does not fit is
// dropped and counted; the count is written with the next line that fits.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// The bounds of a Sink.
const (
	// linesPerSecond and burstLines bound the volume: at 250 bytes a line, 100 KB/s at most.
	linesPerSecond = 400
	burstLines     = 800
	// queuedBytes bounds the lines that wait while the reader of the log is slow.
	queuedBytes = 512 << 10
	// gatherTime is the wait for more lines, so that one write takes several.
	gatherTime = 100 * time.Millisecond
)

// Sink is an io.Writer of log lines. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	limiter *rate.Limiter

	mu      sync.Mutex
	pending []byte
	dropped int
	wake    chan struct{}
	closed  bool
	done    chan struct{}
}

// New returns a Sink that writes to out until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, limiter: rate.NewLimiter(linesPerSecond, burstLines), wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write takes one line. It never fails and never waits for the reader.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > queuedBytes || !s.limiter.Allow() {
		s.dropped++
		return len(line), nil
	}
	if s.dropped > 0 {
		s.pending = fmt.Appendf(s.pending, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"count\":%d}\n", s.dropped)
		s.dropped = 0
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Close writes what is pending and ends the Sink.
func (s *Sink) Close() {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.wake)
	}
	s.mu.Unlock()
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		time.Sleep(gatherTime)
		s.flush()
	}
	s.flush()
}

func (s *Sink) flush() {
	s.mu.Lock()
	lines := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(lines) == 0 {
		return
	}
	if _, err := s.out.Write(lines); err != nil {
		s.mu.Lock()
		s.dropped++ // the reader of the log is gone; there is nowhere else to say so
		s.mu.Unlock()
	}
}
