package forward

import (
	"context"
	"time"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// switchToBackup continues the generation at its backup, and returns nil if there is none or it refuses, for example
// because it had no capacity for the copy. A switch is logged with the given message.
//
// The source works on until the backup has responded, and keeps its connection until then, so that a refusal costs nothing, however
// late it comes; events that both send are deduplicated by their numbers. See handover for how long both may work.
func (s *stream) switchToBackup(source roster.Target, message string) *continuation {
	h := s.newHandover(source)
	if !s.awaitBackup() || !s.mayBegin(h) {
		return nil
	}
	next, found := s.claimBackup()
	if !found {
		return nil
	}
	h.stopSource = func() { s.leaveOnce(source, next.lease.Target.Address, 0) }
	if !s.sendToBackup(next, source, h) {
		return s.continueStopped(source, next.lease.Target)
	}
	s.leaveOnce(source, next.lease.Target.Address, closeNoticeTime) // its connection is closed as soon as this returns
	s.metrics.backupSwitches.Inc(1)
	s.log(message, "target", source.ID, "way", "backup", "destination", next.lease.Target.ID)
	return next
}

// continueStopped returns where a generation goes on whose backup, given by refused, does not take it: from the memory of its
// source if that was asked to stop it and has done so. It returns nil if it stays at its source, which is asked no more, or
// nowhere.
func (s *stream) continueStopped(source, refused roster.Target) *continuation {
	left := s.leftFrom(source)
	if left == nil {
		return nil
	}
	if s.isServedBy(source) {
		left.keepRun()
	}
	select {
	case <-left.done:
	case <-s.ctx.Done():
		return nil
	}
	s.takeLeft() // its memory is not to be freed, and a source at which the generation stays has not been left
	if !left.hasMemory() {
		return nil
	}
	return s.resumeAfterRefusal(source, refused, left.result.KVCache)
}

// sendToBackup sends the call to the backup and reports whether it goes on with the generation. If not, it releases what the
// continuation holds.
func (s *stream) sendToBackup(next *continuation, source roster.Target, h *handover) bool {
	ctx, cancel := context.WithDeadline(s.ctx, s.deadline)
	next.cancel, h.cancel = cancel, cancel
	h.backup = next.lease.Target
	attempt := Attempt{LastEventID: s.caller.LastEvent(), From: next.from, BackupAddress: s.reserveBackup(next.lease)}
	// While a connection is being made, the source is the only engine that works on the generation.
	attempt.Sending = func() error { return s.beginHandover(h) }
	response, failure := s.sendAttempt(ctx, next.lease, attempt)
	if failure == nil {
		failure = s.awaitNextEvent(next, response)
	}
	isGivenUp := s.endHandover()
	if failure == nil && !isGivenUp {
		return true
	}
	if failure == nil {
		failure = rejectBackup(next, response, h.errGivenUp())
	}
	if isGivenUp {
		failure.outcome, failure.cause = placement.Canceled, h.errGivenUp()
	}
	cancel()
	if !failure.notRun {
		s.leaveUnused(next.lease.Target)
	}
	next.lease.Done(failure.outcome, time.Now())
	s.releaseBackup(false)
	if failure.notSent || failure.outcome == placement.Unreachable {
		s.restoreBackup(next.lease.Target)
	} else {
		s.excludeBackup(next.lease.Target)
	}
	s.recordMoveFailure(source, next.lease.Target.ID, failure, "way", "backup")
	return false
}
