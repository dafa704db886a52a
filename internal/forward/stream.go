package forward

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/delivery"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// stream is one streamed response. Its generation may move to other targets while it runs.
type stream struct {
	*exchange
	// ctx is canceled when the caller disconnects and at the deadline.
	ctx         context.Context
	events      int
	lastEventAt time.Time
	// firstEventDelay is the time from the request's arrival to its first event, and longestGap the longest time
	// between two events.
	firstEventDelay, longestGap time.Duration
	// gaps and the timers are used by the relay only. gaps are the times that the VM has waited for events.
	gaps           smoothed
	silence, stall waitTimer

	// mu guards writes to events and the fields below, which the relay shares with the evacuation of a leaving target.
	mu       sync.Mutex
	lease    *placement.Lease
	response *answer
	// targetSentEvent is true if the current target has sent an event.
	targetSentEvent bool
	// firstOfTargetAt is when the current target sent its first event.
	firstOfTargetAt time.Time
	// stops is what is known of calls to stop the generation at the current target. It is replaced with the target.
	stops *stopCalls
	// backup is the reservation at the engine that holds a copy of the generation's KV cache; nil for none.
	backup *placement.Lease
	// unfitBackups are the engines that have refused or failed to continue the generation.
	unfitBackups []string
	// continuation is where the generation continues when the response of the current target ends.
	continuation *continuation
	// moveDone is closed when the move in progress has ended; nil if there is none.
	moveDone chan struct{}
	// handover is the call to the backup that is in progress; nil for none. isSending is set while an event waits for the caller.
	handover  *handover
	isSending bool
	// reading reads the answer of the current target, and hasReadEnd is set once that was read ahead to its end.
	reading    *reading
	hasReadEnd bool
	// left is the run that was left last, while its memory may be needed; nil for none.
	left *departure
	// leavingTarget is the target of the stream that was noticed last as one that leaves, and leavingNoticedAt when that was, also if the
	// generation has gone on there since. refusedLastCopies counts the times that it was stopped there for nothing.
	leavingTarget     roster.Target
	leavingNoticedAt  time.Time
	refusedLastCopies int
	// departures are those whose engines may still be asked to stop a run of the generation.
	departures []*departure
	// isReleased is set once the stream has ended; a move that is still in progress then reserves nothing for it.
	isReleased bool
}

// continuation describes where a generation starts or continues.
type continuation struct {
	lease *placement.Lease
	from  *KVCacheRef
	// source is the engine that was stopped for a move and keeps the memory; nil if the generation was not moved.
	source *roster.Target
	// isAtSource is set if the generation continues at the engine that was stopped, from the memory that it keeps. refusals counts how
	// often the engine has refused that.
	isAtSource bool
	refusals   int
	// response is the target's response if the call has been sent already, and cancel aborts it. reading reads it, once that has begun.
	response *answer
	cancel   context.CancelFunc
	reading  *reading
}

// serveStream serves a call whose response is a stream of events.
func (x *exchange) serveStream(ctx context.Context) error {
	if !x.caller.CanStream() {
		return apierror.New(apierror.KindBadRequest, "HTTP/1.0 does not tell the end of a stream from that of this VM", "send the request with HTTP/1.1")
	}
	x.caller.Resume(x.call.LastEventID)
	if x.call.LastEventID != "" {
		if err := x.resumeAtOrigin(ctx); err != nil {
			return err
		}
	}
	s := &stream{exchange: x, ctx: ctx, stops: &stopCalls{}}
	defer s.release()
	// A caller that takes nothing any more would hold what the stream holds for as long as it stays.
	keepWriting := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			x.caller.EndWrites()
		}
	})
	defer keepWriting()
	for {
		next, err := s.nextAttempt(ctx)
		if err != nil {
			return x.finalError(ctx, err)
		}
		failure := s.attempt(ctx, next)
		if failure == nil {
			return nil
		}
		x.log("attempt ended", "target", next.lease.Target.ID, "not_run", failure.notRun, "events", s.events, "answer_end", failure.answerEnd,
			"asked_to_stop", s.wasAskedToStop(), "reason", failure)
		if failure.targetResponse != nil && !x.caller.HasBegun() {
			x.relayTargetFailure(failure.targetResponse, next.lease.Target.ID)
			return nil
		}
		wasAskedToStop := s.wasAskedToStop()
		left := s.leaveFailed(ctx, failure, next)
		if ctx.Err() == nil && s.prepareContinuation(ctx, failure, next, left, wasAskedToStop) {
			continue
		}
		return s.interruptedError(ctx, failure)
	}
}

// interruptedError returns the final error of a stream. After the header has been sent, all that is left is to close
// the caller's connection.
func (s *stream) interruptedError(ctx context.Context, failure *attemptError) error {
	if s.caller.HasBegun() && ctx.Err() == nil && s.versionFixed && !s.options.Table.HasUsableTarget(s.boundQuery(), time.Now()) {
		return apierror.Wrap(failure, apierror.KindGenerationLost,
			"the generation broke off and no other target has its software version "+strconv.Quote(s.version), "send the request again from its start")
	}
	if s.caller.HasBegun() && ctx.Err() == nil {
		return apierror.Wrap(failure, apierror.KindGenerationLost, "the generation broke off", "send the request again if it may run twice")
	}
	return s.finalError(ctx, failure)
}

// nextAttempt returns where the generation starts or continues.
func (s *stream) nextAttempt(ctx context.Context) (*continuation, error) {
	s.mu.Lock()
	next := s.continuation
	s.continuation = nil
	s.mu.Unlock()
	if next != nil {
		return next, nil
	}
	lease, err := s.place(ctx)
	if err != nil {
		return nil, err
	}
	return &continuation{lease: lease}, nil
}

// open sends the call to the target of the continuation, unless that has been done.
func (s *stream) open(ctx context.Context, next *continuation) (*answer, *attemptError) {
	s.mu.Lock()
	s.targetSentEvent = false // the copy at a backup is usable only after this target's first event
	s.mu.Unlock()
	if next.response != nil {
		return next.response, nil
	}
	attempt := Attempt{LastEventID: s.caller.LastEvent(), From: next.from, BackupAddress: s.reserveBackup(next.lease)}
	response, failure := s.sendAttempt(ctx, next.lease, attempt)
	if failure != nil {
		next.lease.Done(failure.outcome, time.Now())
		s.releaseBackup(false)
	}
	return response, failure
}

// attempt runs the generation at one target until its response ends; nil means that the stream is complete.
func (s *stream) attempt(ctx context.Context, next *continuation) *attemptError {
	response, failure := s.open(ctx, next)
	if failure != nil {
		return failure
	}
	if next.cancel != nil {
		defer next.cancel()
	}
	source, err := s.caller.From(next.lease.Target.ID, s.headOf(response))
	if err != nil {
		next.closeReading()
		return s.rejectContinuation(next.lease, response, err)
	}
	if response.StatusCode/100 != 2 {
		failure := s.relayBuffered(ctx, next.lease, response)
		if failure != nil {
			next.lease.Done(failure.outcome, time.Now())
		}
		return failure
	}
	s.register(next.lease, response)
	err = s.relay(next, response, source)
	s.stopWatchingSilence()
	s.unregister()
	// A whole answer needs no continuation. What its engine may have stopped is whole only if the engine denies that.
	hasMoved := (s.wasAskedToStop() || !response.End().IsStated()) && s.awaitMove(ctx)
	if err == nil && !hasMoved && s.wasAskedToStop() && !s.hasStopped() && response.End().IsStated() {
		s.askForEnd(ctx, next.lease.Target)
	}
	if err == nil && (hasMoved || s.wasAskedToStop()) {
		err = errStopped
		if hasMoved && response.End().IsStated() {
			source.RecordEnd(response.End()) // the generation may have been complete before the engine could stop it
		}
	}
	if err == nil {
		err = s.complete(source, response)
	}
	response.Close(err != nil)
	if err != nil {
		return s.breakOff(ctx, next.lease, response, err, hasMoved || s.awaitMove(ctx))
	}
	s.recordWhole(next.lease, response)
	return nil
}

// recordWhole releases what a whole stream has held, and records how it went.
func (s *stream) recordWhole(lease *placement.Lease, response *answer) {
	response.trial.Done()
	lease.Done(placement.Answered, time.Now())
	s.releaseBackup(true)
	s.options.Lengths.Observe(s.lengthKey(), s.events*tokensPerEvent)
	s.durations.observe(s.route.Name, time.Since(s.sentAt))
	s.log("request ended", "outcome", "answered", "status", response.StatusCode, "target", lease.Target.ID, "attempts", s.attempts.Load(), "events", s.events,
		"first_event_ms", s.firstEventDelay.Milliseconds(), "longest_gap_ms", s.longestGap.Milliseconds())
}

// rejectContinuation gives up a response that is none to a stream that the caller has begun to receive.
func (s *stream) rejectContinuation(lease *placement.Lease, response *answer, cause error) *attemptError {
	response.trial.Done()
	response.Close(true)
	lease.Done(placement.Failed, time.Now())
	s.releaseBackup(false)
	return &attemptError{outcome: placement.Failed, cause: cause}
}

// complete ends the stream as complete if the end of the response proves that of the stream. A response that brought nothing
// at all and ended with its connection counts as broken off: its target has crashed. One that was asked for what follows an
// event may have had nothing to send.
func (s *stream) complete(source *delivery.Source, response *answer) error {
	err := source.Complete(response.End())
	if err == nil {
		return nil
	}
	s.metrics.unprovenEnds.Inc(1)
	s.log("end of the stream not proved", "framing", response.Framing(), "end", response.End(), "events", s.events, "reason", err)
	if response.End().IsUnstated() && !s.hasTargetSentEvent() && s.caller.LastEvent() == "" {
		return io.ErrUnexpectedEOF
	}
	return err
}

// breakOff returns the failure of a response that ended before the stream.
func (s *stream) breakOff(ctx context.Context, lease *placement.Lease, response *answer, cause error, hasMoved bool) *attemptError {
	failure := s.endTrial(response.ctx, response.trial, lease.Target, s.classifyError(ctx, errors.Wrap(cause, "the target's stream was interrupted")), response.IsRelayed())
	switch {
	case hasMoved:
		failure.outcome = placement.Moved
	case response.End().IsUnstated() && errors.Is(cause, delivery.ErrNotWhole):
		failure.outcome = placement.Canceled // sound targets end answers in this way, too
	}
	failure.answerEnd = describeEnd(response)
	lease.Done(failure.outcome, time.Now())
	return failure
}

// describeEnd tells how an answer has ended and, if this VM closed its connection, why.
func describeEnd(response *answer) string {
	if reason := response.CloseReason(); reason != "" {
		return "closed by this VM: " + reason
	}
	return "by the target: " + response.End().String()
}

// hasTargetSentEvent reports whether the current target has sent an event.
func (s *stream) hasTargetSentEvent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetSentEvent
}

// tokensPerEvent is the usual number of tokens in an event; engines send several tokens in one.
const tokensPerEvent = 4

// register records the current target, so that an evacuation of it finds the stream.
func (s *stream) register(lease *placement.Lease, response *answer) {
	s.mayHaveRun = true
	s.mu.Lock()
	s.lease, s.response, s.stops = lease, response, &stopCalls{}
	s.hasReadEnd, s.reading = false, nil
	s.mu.Unlock()
	s.streams.add(lease.Target.ID, s)
}

// unregister hides the stream from evacuations once its target's response has ended.
func (s *stream) unregister() {
	s.mu.Lock()
	id := s.lease.Target.ID
	s.response = nil
	s.mu.Unlock()
	s.streams.remove(id, s)
}
