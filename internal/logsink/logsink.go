// Package logsink writes log lines without blocking the process that logs.
//
// Lines are accepted into a bounded queue at a bounded rate and written by one goroutine. Lines beyond these limits are
// dropped and counted; the count is written before the next accepted line.
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
	// linesPerSecond and burstLines bound the log volume: at 250 bytes per line, at most 100 KB/s.
	linesPerSecond = 400
	burstLines     = 800
	// maxPendingBytes bounds the lines that are queued while the reader of the log is slow.
	maxPendingBytes = 512 << 10
	// flushDelay is the wait for further lines before a write, so that one write contains several.
	flushDelay = 100 * time.Millisecond
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

// Write queues or drops one line. It never returns an error and never waits for the reader.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.pending)+len(line) > maxPendingBytes || !s.limiter.Allow() {
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

// Close writes the pending lines and stops the Sink. Lines written afterwards are dropped.
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
		time.Sleep(flushDelay)
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
		s.dropped++ // the reader of the log is gone, and the failure cannot be reported elsewhere
		s.mu.Unlock()
	}
}
