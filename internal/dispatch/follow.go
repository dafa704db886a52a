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

// errCallerGone says that the sink could not be written to.
var errCallerGone = errors.New("the caller's connection is closed")

// follower delivers the tokens of one attempt, and resumes it when its stream breaks or stalls.
type follower struct {
	*Dispatcher
	record   *request.Record
	sink     Sink
	binding  Binding
	relay    *request.Relay
	observer observer

	// movable says that another attempt may follow as long as no token was delivered, so that there is
	// no point in waiting long for this one.
	movable bool
	bound   bool
	ready   []enginewire.TokenEvent
}

// observer is told how an attempt goes.
type observer interface {
	Progress(tokens int)
	Preempted()
}

// noObserver watches an attempt that this VM holds no reservation for.
type noObserver struct{}

func (noObserver) Progress(int) {}
func (noObserver) Preempted()   {}

// follow reads stream to the attempt's end, and continues on a new stream when it breaks.
func (f *follower) follow(ctx context.Context, stream *target.Stream) error {
	for {
		err := f.read(stream)
		stream.Close()
		if err == nil || !isBroken(err) || ctx.Err() != nil {
			return err
		}
		stream, err = f.reopen(ctx, err)
		if err != nil {
			return err
		}
		resumes.Inc(1)
	}
}

// resume follows an attempt whose stream is not open, after cause.
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
		if err := f.accept(event); err != nil {
			return err
		}
	}
	return nil
}

// endedEarlyError says that a stream closed in good order before the last event.
type endedEarlyError struct{}

func (e *endedEarlyError) Error() string { return "the target closed the stream before its last event" }

// isBroken reports whether a stream ended in a way after which the attempt may still be running.
func isBroken(err error) bool {
	var broken *target.BrokenError
	var early *endedEarlyError
	return errors.As(err, &broken) || errors.As(err, &early)
}

func (f *follower) accept(event enginewire.TokenEvent) error {
	if event.Preempted {
		f.observer.Preempted()
		preemptions.Inc(1)
		f.move(request.StatePreempted, "the target is short of memory")
		return callerError(f.sink.Idle())
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

func (f *follower) deliver(event enginewire.TokenEvent) error {
	if !f.bound {
		if err := f.sink.Bind(f.binding); err != nil {
			return callerError(err)
		}
		f.bound = true
	}
	if event.FinishReason == enginewire.FinishCanceled {
		return apierror.New(apierror.KindGenerationLost, "the target canceled the generation",
			"send the request again").WithRetryAfter(retryAfterFailure)
	}
	if event.FinishReason != "" {
		return callerError(f.sink.Finish(event.FinishReason, event.Index))
	}
	if f.record.State() != request.StateStreaming {
		f.move(request.StateStreaming, "tokens arrive")
	}
	f.record.AddTokens(1)
	f.observer.Progress(event.Index + 1)
	return callerError(f.sink.Token(event.Index, event.Text))
}

func callerError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Mark(err, errCallerGone)
}

func (f *follower) move(state request.State, reason string) {
	if f.record.State() == state {
		return
	}
	moveRecord(f.record, request.Step{
		At: time.Now(), State: state, Target: f.binding.Address.Name, Attempt: f.binding.Attempt, Reason: reason,
	})
}

// moveWindow bounds the time for which an attempt that another may replace is asked for.
const moveWindow = 500 * time.Millisecond

// reopen asks the target for the attempt's stream until it answers or the window has passed. It returns
// a BrokenError when the attempt's fate remains unknown.
func (f *follower) reopen(ctx context.Context, cause error) (*target.Stream, error) {
	window, cancel := context.WithTimeout(ctx, f.window())
	defer cancel()
	wait := firstResumeWait
	for {
		stream, err := f.resumeWithin(ctx, window)
		if err == nil {
			return stream, nil
		}
		if target.IsUnknownAttempt(err) {
			return nil, target.NewBrokenError(f.binding.Address.Name, err)
		}
		if !pause.For(window, wait) {
			return nil, target.NewBrokenError(f.binding.Address.Name, errors.CombineErrors(cause, err))
		}
		wait = min(2*wait, maxResumeWait)
	}
}

func (f *follower) window() time.Duration {
	if f.movable && f.sink.Delivered() == 0 {
		return moveWindow
	}
	return f.options.ResumeWindow
}

// resumeWithin opens the stream before window ends; the stream itself lasts as long as ctx.
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

// Resume continues an answer that another entry VM began, from the token with the index from.
func (d *Dispatcher) Resume(ctx context.Context, record *request.Record, binding Binding, from int, sink Sink) error {
	follower := &follower{
		Dispatcher: d, record: record, sink: sink, binding: binding,
		relay: request.NewRelay(binding.Attempt, from), observer: noObserver{},
	}
	moveRecord(record, request.Step{
		At: time.Now(), State: request.StateDispatched, Target: binding.Address.Name,
		Attempt: binding.Attempt, Reason: "resumed with the caller's cursor",
	})
	err := follower.resume(ctx, errors.New("resumed by the caller"))
	err = resumeError(ctx, err)
	moveRecord(record, finalStep(err, record.State(), true))
	return err
}

func resumeError(ctx context.Context, err error) error {
	if err == nil {
		return nil
	}
	if ended := contextError(ctx); ended != nil {
		return ended
	}
	if errors.Is(err, errCallerGone) {
		return apierror.Wrap(err, apierror.KindCanceled, "the caller closed its connection", "resume with the last cursor")
	}
	return apierror.Wrap(err, apierror.KindGenerationLost, "the generation cannot be continued",
		"discard what was received and send the request again").WithRetryAfter(retryAfterFailure)
}

// IsCallerGone reports whether an attempt ended because its caller could not be written to.
func IsCallerGone(err error) bool { return errors.Is(err, errCallerGone) }
