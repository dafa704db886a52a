package forward

import (
	"context"
	"time"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// prepareContinuation reports whether the stream can continue after the failure of its target, and prepares it. left is the run
// of that target, which has to stop before the next one begins; nil if it does not work any more.
func (s *stream) prepareContinuation(ctx context.Context, failure *attemptError, previous *continuation, left *departure, wasAskedToStop bool) bool {
	if failure.outcome == placement.Moved {
		return true
	}
	if previous.from != nil && !s.isRepeatable() && !s.hasTargetSentEvent() {
		return s.continueFromStopped(ctx, failure, previous, left) // starting from the prompt would run the call twice
	}
	if !failure.notRun && s.hasUsableBackup() && !s.mayHaveEnded(ctx, failure, left, wasAskedToStop) {
		s.awaitLeft(left)
		if s.continueFromBackup() {
			return true
		}
	}
	if !failure.notRun && !s.isRepeatable() {
		s.mayHaveRun = true
		return s.continueFromLeft(ctx, left)
	}
	if !s.prepareRetry(ctx, failure, previous.lease.Target.ID) {
		return false
	}
	s.awaitLeft(left)
	return true
}

// leftMemoryWait is how long an engine may take to answer that it has stopped a run which nothing else can go on from: it answers
// once a copy of the run is made.
const leftMemoryWait = 1500 * time.Millisecond

// continueFromLeft prepares to continue from the memory of a run whose answer broke off while its engine worked on: the engine has
// been asked to stop it. It reports false if the engine does not keep such a run, or is not known to.
func (s *stream) continueFromLeft(ctx context.Context, left *departure) bool {
	if left == nil || s.caller.LastEvent() == "" || !left.awaitMemory(ctx, leftMemoryWait) {
		return false
	}
	if s.leftFrom(left.source) == left {
		s.takeLeft() // its memory is not to be freed
	}
	return s.setContinuation(s.resumeAfterRefusal(left.source, left.source, left.result.KVCache))
}

// continueFromStopped prepares to continue from the memory of a run that was stopped, after the engine with its copy has refused,
// could not be reached, or has answered without an event. That engine may run the generation all the same; left is its run then,
// and what it keeps comes first.
func (s *stream) continueFromStopped(ctx context.Context, failure *attemptError, previous *continuation, left *departure) bool {
	if s.continueFromLeft(ctx, left) {
		return true
	}
	s.freeUnused(left)
	if previous.isAtSource && (failure.notRun || left != nil && left.isAbsent()) {
		return s.setContinuation(s.tryMemoryAgain(ctx, previous))
	}
	s.mu.Lock()
	source := s.left
	s.mu.Unlock()
	var next *continuation
	switch {
	case previous.source != nil:
		next = s.resumeAfterRefusal(*previous.source, previous.lease.Target, *previous.from)
	case source != nil:
		next = s.continueStopped(source.source, previous.lease.Target)
	}
	return s.setContinuation(next)
}

const (
	// maxMemoryRefusals is how often an engine may refuse to continue from the memory that it keeps, and firstMemoryRetry the wait
	// after the first time, which doubles. A refused request has not used the memory, and a crowded engine may have room soon.
	maxMemoryRefusals = 4
	firstMemoryRetry  = 100 * time.Millisecond
)

// tryMemoryAgain returns where the generation continues after an engine has refused to go on from the memory that it keeps: there,
// after a wait, or nowhere. An engine that leaves is not asked beyond the time for which it is sure to serve.
func (s *stream) tryMemoryAgain(ctx context.Context, refused *continuation) *continuation {
	engine := refused.lease.Target
	wait := firstMemoryRetry << refused.refusals
	if refused.refusals+1 >= maxMemoryRefusals || !s.options.Budget.Spend(s.service.Name) || !pause.For(ctx, wait) {
		return nil
	}
	if s.options.Table.IsLeaving(engine) && time.Since(s.noticeLeaving(engine, time.Now())) > minNoticeTime {
		return nil
	}
	next := s.resumeAtSource(engine, *refused.from)
	next.refusals = refused.refusals + 1
	return next
}

// noticeLeaving records that the target was noticed at the time as one that leaves, and returns when that was first.
func (s *stream) noticeLeaving(target roster.Target, at time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leavingNoticedAt.IsZero() || !s.leavingTarget.SameIncarnation(target) {
		s.leavingTarget, s.leavingNoticedAt, s.refusedLastCopies = target, at, 0
	}
	return s.leavingNoticedAt
}

// mayStopForCopy waits before the next last copy off a target at which the generation was stopped for nothing, and reports whether it
// may be made: it must be possible to go on there if it is refused again.
func (s *stream) mayStopForCopy(ctx context.Context, noticedAt time.Time) bool {
	s.mu.Lock()
	refused := s.refusedLastCopies
	s.mu.Unlock()
	return refused == 0 || pause.For(ctx, moveRetryDelay<<min(refused, maxMemoryRefusals)) && time.Since(noticedAt) <= minNoticeTime
}

func (s *stream) recordRefusedLastCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedLastCopies++
}

// setContinuation sets where the generation continues, and reports whether that is anywhere.
func (s *stream) setContinuation(next *continuation) bool {
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
