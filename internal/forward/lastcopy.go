package forward

import (
	"context"
	"time"

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

// askTimeout bounds the question whether an engine still runs a generation. One that runs answers at once.
const askTimeout = 250 * time.Millisecond

// mayHaveEnded reports whether the generation may have ended whole at an engine whose answer proves neither that nor the
// contrary: the engine is there and says that it does not run it. The engine with the copy must not be asked to continue
// then. The copy is gone if the generation has ended, and an engine that fails without having it would run the call again.
func (s *stream) mayHaveEnded(ctx context.Context, failure *attemptError) bool {
	if s.isRepeatable() || !errors.Is(failure.cause, delivery.ErrNotWhole) || s.wasAskedToStop() {
		return false
	}
	s.mu.Lock()
	source, backup := s.lease.Target, s.backup
	s.mu.Unlock()
	if backup == nil || s.options.Table.IsEvacuated(source.Address) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	result, err := s.requestCopy(ctx, source, backup, false)
	return err == nil && result.Unknown
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
