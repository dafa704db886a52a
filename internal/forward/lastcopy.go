package forward

import (
	"github.com/cockroachdb/errors"

	"godwitcart/internal/delivery"
)

// errStopped is the error of an answer that nothing but its connection ends: its engine may have stopped the generation.
var errStopped = errors.Mark(errors.New("the engine may have stopped the generation for a move"), delivery.ErrNotWhole)

// wasAskedToStop reports whether the current target was asked to stop the generation.
func (s *stream) wasAskedToStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopRequested
}

// requestStop records that the current target is asked to stop the generation.
func (s *stream) requestStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopRequested = true
}
