package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/delivery"
	"godwitcart/internal/roster"
	"godwitcart/internal/upstream"
)

// errStopped is the error of an answer that nothing but its connection ends: its engine may have stopped the generation.
var errStopped = errors.Mark(errors.New("the engine may have stopped the generation for a move"), delivery.ErrNotWhole)

// stopCalls is what is known of the calls that ask the current target to stop the generation. While the target may have stopped
// it, the end of its answer says nothing of the end of the stream.
type stopCalls struct {
	// inFlight is the number of calls that were begun and have no result yet.
	inFlight int
	// brokenOffAt is when the target last ended a call without an answer; zero for none, and for one that an event has refuted.
	brokenOffAt time.Time
	// isOutstanding is set while a call that this VM gave up may still reach the target.
	isOutstanding bool
	// isStopped is set once the target has said that it stopped the generation.
	isStopped bool
}

func (c *stopCalls) mayHaveStopped() bool {
	return c.inFlight > 0 || c.isOutstanding || c.isStopped || !c.brokenOffAt.IsZero()
}

// recordResult records what a call has come to. A target that refuses the call, or denies that it runs the generation, has not
// stopped it.
func (c *stopCalls) recordResult(result CopyResult, err error) {
	var notSent *upstream.NotSentError
	switch {
	case errors.As(err, &notSent):
	case err != nil && isCrash(err):
		c.brokenOffAt = time.Now()
	case err != nil:
		c.isOutstanding = true
	case result.Unknown:
		c.brokenOffAt, c.isOutstanding, c.isStopped = time.Time{}, false, false
	case result.InProgress || result.Refused && result.KVCache.Handle == "":
	default:
		c.isStopped = true
	}
}

// recordEvent records an event for which the VM had begun to wait at the given time. The target ended each call that it broke off
// before it made the event, so none of them has stopped the generation.
func (c *stopCalls) recordEvent(awaitedSince time.Time) {
	if awaitedSince.After(c.brokenOffAt) {
		c.brokenOffAt = time.Time{}
	}
}

// wasAskedToStop reports whether the current target may have stopped the generation for its last copy.
func (s *stream) wasAskedToStop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops.mayHaveStopped()
}

// hasStopped reports whether the current target has said that it stopped the generation.
func (s *stream) hasStopped() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops.isStopped
}

// minEventWait is the least time for which the VM has waited for an event that had not arrived before.
const minEventWait = time.Millisecond

// refuteStops records that an event has arrived. One that was there at once may have been made before the VM began to wait for it.
func (s *stream) refuteStops(got arrival) {
	if got.waited < minEventWait {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stops.recordEvent(got.awaitedSince)
}

// stopsOf returns the record of calls to the target if it is the current one, else nil: a call to a target that has been left says
// nothing of the current one. A call that begins after the answer has ended does not count, but its result may deny the others.
func (s *stream) stopsOf(source roster.Target) (calls *stopCalls, counts bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == nil || !s.lease.Target.SameIncarnation(source) {
		return nil, false
	}
	if s.response != nil {
		s.stops.inFlight++
	}
	return s.stops, s.response != nil
}

// askTimeout bounds the question whether an engine still runs a generation. One that runs answers at once.
const askTimeout = 250 * time.Millisecond

// requestLastCopy asks the source to stop the generation and to copy the rest. Unless the source says that it does not run
// the generation, or proves it by an event, the end of its response is no longer that of the stream.
func (s *stream) requestLastCopy(ctx context.Context, source roster.Target, destination string) (CopyResult, error) {
	calls, counts := s.stopsOf(source)
	result, err := s.requestCopy(ctx, source, destination, true)
	if calls == nil {
		return result, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if counts {
		calls.inFlight--
		calls.recordResult(result, err)
	} else if err == nil && result.Unknown {
		calls.recordResult(result, nil)
	}
	return result, err
}

// askForEnd asks the target again whose answer has a stated end while a call to stop the generation has no answer: an engine that
// stops a generation closes its answer without an end, so that the stream is most likely whole.
func (s *stream) askForEnd(ctx context.Context, target roster.Target) {
	left := s.leaveOnce(target, s.stopDestination(target), 0)
	left.awaitAnswer(ctx, maxStopTime)
}
