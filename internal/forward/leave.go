package forward

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/delivery"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
	"godwitcart/internal/upstream"
)

// leaveOutcome is what is known of a run that this VM has left.
type leaveOutcome string

const (
	// leftStopped means that the engine has stopped the run, and leftAbsent that it says that it does not run it.
	leftStopped leaveOutcome = "stopped"
	leftAbsent  leaveOutcome = "not running"
	// leftUnreachable means that no connection to the engine could be made.
	leftUnreachable leaveOutcome = "unreachable"
	// leftUnanswered means that the engine can be reached and does not answer.
	leftUnanswered leaveOutcome = "unanswered"
	// leftKept means that the engine has not answered and is asked no more, since the generation stays there.
	leftKept leaveOutcome = "kept"
	// leftUnasked means that the engine cannot or must not be asked; its connection is closed, and no more can be done.
	leftUnasked leaveOutcome = "not asked"
)

const (
	// stopWaitShare is the share of the route's maximum gap for which the next target waits until the left run is known to
	// have stopped. A live engine answers in a few milliseconds; for one that is cut off or paused the wait only adds to the
	// gap. Routes without a maximum gap use defaultStopWait.
	stopWaitShare   = 1.0 / 8
	defaultStopWait = 25 * time.Millisecond
	// maxStopTime bounds how long an engine is asked to stop a run. One that is paused reads the call when it goes on.
	maxStopTime = 5 * time.Second
	// closeNoticeTime is how long an engine gets to notice that a connection was closed before it is asked to stop the run. A
	// call makes a copy of a run that still works, which delays the moves of others off the engine.
	closeNoticeTime = 50 * time.Millisecond
	// firstStopRetry and maxStopRetry bound the wait between two calls.
	firstStopRetry = 20 * time.Millisecond
	maxStopRetry   = time.Second
)

// departure is a run that this VM leaves. Most engines drop a run when its connection closes, but one that does not
// notice would work on beside the next one, so the engine is also asked to stop it.
type departure struct {
	source roster.Target
	// settled is closed when outcome is set: at the engine's answer, or before it once a connection could not be made.
	settled chan struct{}
	outcome leaveOutcome
	// kept is closed when the generation stays at the engine, which then gets no further call.
	kept     chan struct{}
	keepOnce sync.Once
	// done is closed when the engine is not asked any more. result is its answer.
	done   chan struct{}
	result CopyResult
	// answer is the outcome once done is closed: an engine that could not be reached at first may have answered since.
	answer leaveOutcome
	// calls counts the calls to the engine, and lastFailure is what the last one without an answer failed with; for the log.
	calls       int
	lastFailure error
	// isRelayed is set if the engine answered through another VM. It is valid once done is closed.
	isRelayed bool
}

// keepRun keeps the engine from being asked again: the generation stays there. A call that is under way may still stop it.
func (d *departure) keepRun() { d.keepOnce.Do(func() { close(d.kept) }) }

// isKept reports whether the generation stays at the engine.
func (d *departure) isKept() bool {
	select {
	case <-d.kept:
		return true
	default:
		return false
	}
}

// isDone reports whether the engine is not asked any more.
func (d *departure) isDone() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// pauseUnlessKept waits before the next call. It returns false if there is to be none.
func (d *departure) pauseUnlessKept(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.kept:
	case <-ctx.Done():
	}
	return false
}

// settle sets the outcome unless there is one.
func (d *departure) settle(outcome leaveOutcome) {
	select {
	case <-d.settled:
	default:
		d.outcome = outcome
		close(d.settled)
	}
}

// awaitMemory waits up to the limit for the engine's answer, unless it cannot be reached, and reports whether it keeps the memory of
// the run.
func (d *departure) awaitMemory(ctx context.Context, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	select {
	case <-d.settled:
	case <-ctx.Done():
		return false
	}
	if d.outcome == leftUnreachable {
		return false
	}
	select {
	case <-d.done:
		return d.hasMemory()
	case <-ctx.Done():
		return false
	}
}

// hasMemory reports whether the engine has stopped the run and keeps its memory. It requires that the engine is not asked any more.
func (d *departure) hasMemory() bool { return d.result.KVCache.Handle != "" }

// isAbsent reports whether the engine has said that it does not run the generation.
func (d *departure) isAbsent() bool {
	select {
	case <-d.done:
		return d.answer == leftAbsent
	default:
	}
	select {
	case <-d.settled:
		return d.outcome == leftAbsent
	default:
		return false
	}
}

// leave leaves the run of the generation at the source: it asks the source to stop it, with the destination for the copy that
// such a call makes. All ways off a run go through it, except for runs that are known to have ended. It does not wait, and the
// source is asked even if the stream has ended; it is asked after the delay.
func (s *stream) leave(source roster.Target, destination string, delay time.Duration) *departure {
	left := s.startLeaving(source, destination, delay)
	s.mu.Lock()
	previous := s.left
	s.left = left
	s.mu.Unlock()
	s.freeUnused(previous)
	return left
}

// leftFrom returns the departure from the source if it was the last one; nil if not.
func (s *stream) leftFrom(source roster.Target) *departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == nil || !s.left.source.SameIncarnation(source) {
		return nil
	}
	return s.left
}

// leaveOnce is leave for a run that may have been left already.
func (s *stream) leaveOnce(source roster.Target, destination string, delay time.Duration) *departure {
	if left := s.leftFrom(source); left != nil {
		return left
	}
	return s.leave(source, destination, delay)
}

// leaveUnused leaves a run at a target that was to continue the generation and does not; its connection has been closed.
func (s *stream) leaveUnused(target roster.Target) {
	s.freeUnused(s.startLeaving(target, s.stopDestination(target), closeNoticeTime))
}

// leaveNext leaves the run of a target that was to continue the generation from the memory of another run and has sent no event. The
// run that was left before stays the last one, since its memory is still needed.
func (s *stream) leaveNext(target roster.Target) *departure {
	return s.startLeaving(target, s.stopDestination(target), 0)
}

func (s *stream) startLeaving(source roster.Target, destination string, delay time.Duration) *departure {
	left := &departure{source: source, settled: make(chan struct{}), kept: make(chan struct{}), done: make(chan struct{})}
	s.leaving.Add(1)
	s.mu.Lock()
	s.departures = append(s.departures, left)
	s.mu.Unlock()
	go func() {
		defer s.leaving.Add(-1)
		defer s.endDeparture(left)
		time.Sleep(delay)
		startedAt := time.Now()
		outcome := s.stopRun(left, destination)
		left.settle(outcome)
		left.answer = outcome
		close(left.done)
		s.metrics.recordLeft(outcome)
		s.log("run left", "target", source.ID, "outcome", string(outcome), "asked_ms", time.Since(startedAt).Milliseconds(), "calls", left.calls,
			"memory_kept", left.hasMemory(), "last_failure", left.lastFailure)
	}()
	return left
}

func (s *stream) endDeparture(left *departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.departures = slices.DeleteFunc(s.departures, func(other *departure) bool { return other == left })
}

// targetsBeingLeft returns the targets that may still be asked to stop a run of the generation, and would stop another run, too.
func (s *stream) targetsBeingLeft() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]string, len(s.departures))
	for i, left := range s.departures {
		ids[i] = left.source.ID
	}
	return ids
}

// stopRun asks the source to stop the run until it answers, refuses connections, or maxStopTime has passed. It returns what has
// become of the run.
func (s *stream) stopRun(left *departure, destination string) leaveOutcome {
	ctx, cancel := context.WithTimeout(context.Background(), min(maxStopTime, time.Until(s.deadline)))
	defer cancel()
	failed := leftUnanswered
	for wait := firstStopRetry; s.mayAskToStop(left.source, destination); wait = min(2*wait, maxStopRetry) {
		result, err := s.requestLastCopy(ctx, left.source, destination)
		left.calls++
		if err != nil {
			left.lastFailure = err
		}
		var notSent *upstream.NotSentError
		switch {
		case err == nil && result.Unknown:
			left.isRelayed = result.Relayed
			return leftAbsent
		case err == nil && (!result.Refused && !result.InProgress || result.KVCache.Handle != ""):
			left.result = result
			return leftStopped
		case errors.Is(err, syscall.ECONNREFUSED):
			return leftUnreachable // no process is there that could run it
		case errors.As(err, &notSent):
			failed = leftUnreachable
			left.settle(failed) // a connection that comes later still brings the call
		default:
			failed = leftUnanswered
		}
		if !left.pauseUnlessKept(ctx, wait) {
			if left.isKept() {
				return leftKept
			}
			return failed
		}
	}
	return leftUnasked
}

// mayAskToStop reports whether the engine takes calls to stop a run. Engines of a zone in evacuation get none after its time.
func (s *stream) mayAskToStop(source roster.Target, destination string) bool {
	if engine := s.service.Engine; engine == nil || !engine.SupportsMoves || destination == "" {
		return false
	}
	since, isEvacuated := s.options.Table.EvacuatedSince(source)
	return !isEvacuated || time.Since(since) < time.Duration(evacuationMoveShare*float64(s.options.EvacuateWithin))
}

// leaveFailed leaves the run of an attempt that has failed, unless that has been done; it returns nil if there is none that
// may still work.
func (s *stream) leaveFailed(ctx context.Context, failure *attemptError, attempted *continuation) *departure {
	source := attempted.lease.Target
	if failure.notRun || failure.targetResponse != nil || failure.outcome == placement.Moved || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil
	}
	if ctx.Err() != nil { // nothing waits for the end of the run
		return s.leaveOnce(source, s.stopDestination(source), closeNoticeTime)
	}
	if attempted.from != nil && !s.hasTargetSentEvent() && !s.isRepeatable() {
		return s.leaveNext(source)
	}
	return s.leaveOnce(source, s.stopDestination(source), 0)
}

// stopDestination returns where the copy of a run that is stopped goes: to its backup, or to any other engine.
func (s *stream) stopDestination(source roster.Target) string {
	s.mu.Lock()
	backup := s.backup
	s.mu.Unlock()
	if backup != nil {
		return backup.Target.Address
	}
	other, _ := s.options.Table.OtherTarget(s.service.Name, source, time.Now())
	return other.Address
}

// takeLeft returns the run that was left last, and forgets it; nil for none.
func (s *stream) takeLeft() *departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.left
	s.left = nil
	return left
}

// freeUnused frees the memory that an engine keeps of a run that was stopped and from which the generation does not go on, once
// the engine has answered. It does not wait for that.
func (s *stream) freeUnused(left *departure) {
	if left == nil {
		return
	}
	go func() {
		<-left.done
		if left.result.KVCache.Handle != "" {
			s.freeMemory(left.result.KVCache)
		}
	}()
}

// stopWait returns how long the next target waits until the left run is known to have stopped.
func (s *stream) stopWait() time.Duration {
	if s.route.MaxGap == 0 {
		return defaultStopWait
	}
	return time.Duration(stopWaitShare * float64(s.route.MaxGap))
}

// awaitLeft waits until the run is known not to work any more, its engine could not be reached, or stopWait has passed. A departure
// that is nil is over.
func (s *stream) awaitLeft(left *departure) {
	if left == nil {
		return
	}
	timer := time.NewTimer(s.stopWait())
	defer timer.Stop()
	select {
	case <-left.settled:
	case <-timer.C:
	case <-s.ctx.Done():
	}
}

// awaitAnswer waits up to the limit for the engine's answer and reports whether there is one.
func (d *departure) awaitAnswer(ctx context.Context, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-d.done:
		return d.answer == leftStopped || d.answer == leftAbsent
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// mayHaveEnded reports whether the generation may have ended whole at an engine whose answer proves neither that nor the
// contrary: the engine says that it does not run it. The engine with the copy must not be asked to continue then. The copy
// is gone if the generation has ended, and an engine that fails without having it would run the call again.
func (s *stream) mayHaveEnded(ctx context.Context, failure *attemptError, left *departure, wasAskedToStop bool) bool {
	if s.isRepeatable() || !errors.Is(failure.cause, delivery.ErrNotWhole) || wasAskedToStop {
		return false
	}
	return left != nil && left.awaitAnswer(ctx, askTimeout) && left.isAbsent()
}
