package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/delivery"
	"godwitcart/internal/roster"
)

// errStopped is the error of an answer that nothing but its connection ends: its engine may have stopped the generation.
var errStopped = errors.Mark(errors.New("the engine may have stopped the generation for a move"), delivery.ErrNotWhole)

// wasAskedToStop reports whether the current target may have stopped the generation for its last copy.
func (s *stream) wasAskedToStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopRequested
}

// setAskedToStop records that the source is asked to stop the generation, or that it has denied running it. A call to a target that
// has been left says nothing of the current one.
func (s *stream) setAskedToStop(source roster.Target, asked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease != nil && s.lease.Target.SameIncarnation(source) && (s.response != nil || !asked) {
		s.stopRequested = asked
	}
}

// askTimeout bounds the question whether an engine still runs a generation. One that runs answers at once.
const askTimeout = 250 * time.Millisecond

// requestLastCopy asks the source to stop the generation and to copy the rest. Unless the source says that it does not run
// the generation, the end of its response is no longer that of the stream.
func (s *stream) requestLastCopy(ctx context.Context, source roster.Target, destination string) (CopyResult, error) {
	s.setAskedToStop(source, true)
	result, err := s.requestCopy(ctx, source, destination, true)
	if err == nil && result.Unknown {
		s.setAskedToStop(source, false)
	}
	return result, err
}
