package forward

import (
	"context"

	"godwitcart/internal/placement"
)

// prepareContinuation reports whether the stream can continue after the failure of its target, and prepares it. left is the run
// of that target, which has to stop before the next one begins; nil if it does not work any more.
func (s *stream) prepareContinuation(ctx context.Context, failure *attemptError, previous *continuation, left *departure, wasAskedToStop bool) bool {
	if failure.outcome == placement.Moved {
		return true
	}
	if !failure.notRun && s.hasUsableBackup() && !s.mayHaveEnded(ctx, failure, left, wasAskedToStop) {
		s.awaitLeft(left, nil)
		if s.continueFromBackup() {
			return true
		}
	}
	if previous.from != nil && failure.notRun && !s.isRepeatable() {
		return s.continueFromStopped(previous) // starting from the prompt would run the call twice
	}
	if !s.prepareRetry(ctx, failure, previous.lease.Target.ID) {
		return false
	}
	s.awaitLeft(left, nil)
	return true
}

// continueFromStopped prepares to continue from the memory of a run that was stopped, after the engine with its copy has refused or
// could not be reached.
func (s *stream) continueFromStopped(previous *continuation) bool {
	s.mu.Lock()
	left := s.left
	s.mu.Unlock()
	var next *continuation
	switch {
	case previous.source != nil:
		next = s.resumeAfterRefusal(*previous.source, previous.lease.Target, *previous.from)
	case left != nil:
		next = s.continueStopped(left.source, previous.lease.Target)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.continuation = next
	return next != nil
}

// awaitMove waits for a move in progress and reports whether there is a continuation.
func (s *stream) awaitMove(ctx context.Context) bool {
	s.mu.Lock()
	moveDone := s.moveDone
	s.mu.Unlock()
	if moveDone != nil {
		select {
		case <-moveDone:
		case <-ctx.Done():
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.continuation != nil
}
