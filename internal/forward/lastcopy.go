package forward

import (
	"context"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/delivery"
	"godwitcart/internal/placement"
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

func (s *stream) setAskedToStop(asked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopRequested = asked
}

// requestLastCopy asks the source to stop the generation and to copy the rest. Unless the source says that it does not run
// the generation, the end of its response is no longer that of the stream.
func (s *stream) requestLastCopy(ctx context.Context, source roster.Target, destination *placement.Lease) (CopyResult, error) {
	s.setAskedToStop(true)
	result, err := s.requestCopy(ctx, source, destination, true)
	if err == nil && result.Unknown {
		s.setAskedToStop(false)
	}
	return result, err
}
