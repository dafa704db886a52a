package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/pause"
	"godwitcart/internal/request"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// errCallerDisconnected marks errors of writing to the sink and of reading a body.
var errCallerDisconnected = errors.New("the caller's connection is closed")

// follower relays the tokens of one attempt and resumes it if its stream breaks or stalls.
type follower struct {
	*Dispatcher
	record   *request.Record
	sink     Sink
	binding  Binding
	relay    *request.Sequencer
	observer observer

	// replaceable is true if another attempt may be started as long as no token was delivered; this one is then
	// given up after a short wait.
	replaceable bool
	isBound     bool
	// emptyWait is the delay after the last stream that ended without a new token.
	emptyWait time.Duration
	// ready is the buffer of the events that can be delivered; it is reused.
	ready []enginewire.TokenEvent
}

// observer is notified of an attempt's progress.
type observer interface {
	Progress(tokens int)
	Preempted()
}

// nopObserver is the observer of an attempt for which this VM holds no reservation.
type nopObserver struct{}

func (nopObserver) Progress(int) {}
func (nopObserver) Preempted()   {}

// follow relays the stream until the attempt ends, and reopens the stream when it breaks.
func (f *follower) follow(ctx context.Context, stream *target.Stream) error {
	for {
		from := f.relay.Next()
		err := f.read(stream)
		stream.Close()
		if err == nil || !isInterrupted(err) || ctx.Err() != nil {
			return err
		}
		if f.relay.Next() == from && !target.IsIdle(err) && !f.pauseAfterEmptyStream(ctx) {
			return err
		}
		stream, err = f.reopen(ctx, err)
		if err != nil {
			return err
		}
		resumes.Inc(1)
	}
}

// pauseAfterEmptyStream delays the next reopening, so that a target whose streams open and end at once is not asked
// incessantly. It returns false if ctx has ended.
func (f *follower) pauseAfterEmptyStream(ctx context.Context) bool {
	f.emptyWait = min(max(2*f.emptyWait, firstResumeWait), maxResumeWait)
	return pause.For(ctx, f.emptyWait)
}

// resume relays an attempt whose stream is not open because of cause.
func (f *follower) resume(ctx context.Context, cause error) error {
	stream, err := f.reopen(ctx, cause)
	if err != nil {
		return err
	}
	return f.follow(ctx, stream)
}

// read delivers events until the attempt ends.
func (f *follower) read(stream *target.Stream) error {
	for !f.relay.Done() {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return &endedEarlyError{}
		}
		if err != nil {
			return err
		}
		if err := f.acceptEvent(event); err != nil {
			return err
		}
	}
	return nil
}

// endedEarlyError reports that a stream was closed properly but before the last event.
type endedEarlyError struct{}

func (e *endedEarlyError) Error() string { return "the target closed the stream before its last event" }

// isInterrupted reports whether err ended a stream in a way that leaves the attempt possibly running.
func isInterrupted(err error) bool {
	var unknownOutcome *target.UnknownOutcomeError
	var early *endedEarlyError
	return errors.As(err, &unknownOutcome) || errors.As(err, &early)
}

// acceptEvent records a preemption, or delivers the events that the sequencer has ready after this one.
func (f *follower) acceptEvent(event enginewire.TokenEvent) error {
	if event.Preempted {
		f.observer.Preempted()
		preemptions.Inc(1)
		f.transition(request.StatePreempted, "the target is short of memory")
		return markCallerError(f.sink.Idle())
	}
	ready, err := f.relay.Accept(event, f.ready[:0])
	f.ready = ready
	if err != nil {
		return err
	}
	for _, next := range ready {
		if err := f.deliver(next); err != nil {
			return err
		}
	}
	return nil
}

// deliver passes a token or the end of the output to the sink. The index of the last event is the number of tokens.
func (f *follower) deliver(event enginewire.TokenEvent) error {
	if !f.isBound {
		if err := f.sink.Bind(f.binding); err != nil {
			return markCallerError(err)
		}
		f.isBound = true
	}
	if event.FinishReason == enginewire.FinishCanceled {
		return apierror.New(apierror.KindGenerationLost, "the target canceled the generation",
			"send the request again").WithRetryAfter(retryAfterFailure)
	}
	if event.FinishReason != "" {
		return markCallerError(f.sink.Finish(event.FinishReason, event.Index))
	}
	f.emptyWait = 0
	if f.record.State() != request.StateStreaming {
		f.transition(request.StateStreaming, "tokens arrive")
	}
	f.record.AddTokens(1)
	f.observer.Progress(event.Index + 1)
	return markCallerError(f.sink.Token(event.Index, event.Text))
}

func markCallerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errCallerDisconnected)
}

func (f *follower) transition(state request.State, reason string) {
	if f.record.State() == state {
		return
	}
	recordStep(f.record, request.Step{
		At: time.Now(), State: state, Target: f.binding.Address.Name, Attempt: f.binding.Attempt, Reason: reason,
	})
}

// replaceableResumeWindow bounds the time spent trying to resume an attempt that another one can replace.
const replaceableResumeWindow = 500 * time.Millisecond

// reopen tries to resume the attempt's stream until it succeeds or the window has passed. It returns a
// *target.UnknownOutcomeError if the window has passed, or at once if the target does not know the attempt.
func (f *follower) reopen(ctx context.Context, cause error) (*target.Stream, error) {
	window, cancel := context.WithTimeout(ctx, f.resumeWindow())
	defer cancel()
	wait := firstResumeWait
	for {
		stream, err := f.resumeWithin(ctx, window)
		if err == nil {
			return stream, nil
		}
		if target.IsUnknownAttempt(err) {
			return nil, target.NewUnknownOutcomeError(f.binding.Address.Name, err)
		}
		if !pause.For(window, wait) {
			return nil, target.NewUnknownOutcomeError(f.binding.Address.Name, errors.CombineErrors(cause, err))
		}
		wait = min(2*wait, maxResumeWait)
	}
}

func (f *follower) resumeWindow() time.Duration {
	if f.replaceable && f.sink.Delivered() == 0 {
		return replaceableResumeWindow
	}
	return f.options.ResumeWindow
}

// resumeWithin tries once to open the stream, until window ends. An opened stream can be read until ctx ends.
func (f *follower) resumeWithin(ctx, window context.Context) (*target.Stream, error) {
	streamCtx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(window, cancel)
	stream, err := f.options.Engines.Resume(streamCtx, f.binding.Address, f.binding.Attempt, f.relay.Next())
	if !stop() && err == nil {
		stream.Close()
		return nil, window.Err()
	}
	if err != nil {
		cancel()
	}
	return stream, err
}

// Resume continues a response that another entry VM started, from the token with the index from.
func (d *Dispatcher) Resume(ctx context.Context, record *request.Record, binding Binding, from int, sink Sink) error {
	follower := &follower{
		Dispatcher: d, record: record, sink: sink, binding: binding,
		relay: request.NewSequencer(binding.Attempt, from), observer: nopObserver{},
	}
	recordStep(record, request.Step{
		At: time.Now(), State: request.StateDispatched, Target: binding.Address.Name,
		Attempt: binding.Attempt, Reason: "resumed with the caller's cursor",
	})
	err := follower.resume(ctx, errors.New("resumed by the caller"))
	err = resumeError(ctx, err)
	recordStep(record, finalStep(err, record.State(), true))
	return err
}

// resumeError returns the error that the caller receives for err, which ended a resumed or joined generation.
func resumeError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ctxErr := contextError(ctx, true); ctxErr != nil {
		return ctxErr
	}
	if errors.Is(err, errCallerDisconnected) {
		return apierror.Wrap(err, apierror.KindCanceled, "the caller closed its connection", "resume with the last cursor")
	}
	return apierror.Wrap(err, apierror.KindGenerationLost, "the generation cannot be continued",
		"discard what was received and send the request again").WithRetryAfter(retryAfterFailure)
}

// IsCallerDisconnected reports whether an attempt ended because writing to its caller or reading its body failed.
func IsCallerDisconnected(err error) bool { return errors.Is(err, errCallerDisconnected) }
