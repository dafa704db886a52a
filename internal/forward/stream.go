package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/eventstream"
	"godwitcart/internal/placement"
	"godwitcart/internal/upstream"
)

// stream is one streamed answer. Its generation may go on at other targets while it lasts.
type stream struct {
	*exchange
	flusher http.Flusher
	// ctx ends with the caller's connection and at the deadline.
	ctx         context.Context
	events      int
	lastEventAt time.Time

	// mu guards what the evacuation of a leaving target shares with the relay.
	mu sync.Mutex
	// lastEventID is the last event that the caller has.
	lastEventID string
	lease       *placement.Lease
	answer      *upstream.Response
	// started is set once the current target has sent an event.
	started bool
	// backup is the engine that keeps a copy of the generation's memory; nil for none.
	backup *placement.Lease
	// next is where the generation goes on when the current target ends.
	next *continuation
	// moving is closed when a move has ended; nil while there is none.
	moving chan struct{}
}

// continuation is where a generation goes on.
type continuation struct {
	lease *placement.Lease
	from  *Memory
	// answer is the target's answer where the call was sent already, and cancel ends it.
	answer *upstream.Response
	cancel context.CancelFunc
}

// stream answers a call with a stream of events.
func (x *exchange) stream(ctx context.Context) error {
	flusher, ok := x.w.(http.Flusher)
	if !ok {
		return apierror.New(apierror.KindInternal, "the connection cannot carry a stream", "report the request id to the operators")
	}
	s := &stream{exchange: x, flusher: flusher, ctx: ctx, lastEventID: x.call.LastEventID}
	defer s.release()
	for {
		next, err := s.nextTarget(ctx)
		if err != nil {
			return x.finalError(ctx, err)
		}
		end := s.attempt(ctx, next)
		if end == nil {
			return nil
		}
		x.log("attempt ended", "target", next.lease.Target.ID, "not_run", end.notRun, "events", s.events, "reason", end)
		if end.failure != nil && !x.begun {
			x.passFailure(end.failure, next.lease.Target.ID)
			return nil
		}
		if ctx.Err() == nil && s.goesOn(ctx, end, next) {
			continue
		}
		return s.brokenError(ctx, end)
	}
}

// brokenError is the final error of a stream. One that has begun can only be broken off.
func (s *stream) brokenError(ctx context.Context, end *ending) error {
	if s.begun && ctx.Err() == nil {
		return apierror.Wrap(end, apierror.KindGenerationLost, "the generation broke off", "send the request again if it may run twice")
	}
	return s.finalError(ctx, end)
}

// nextTarget returns where the generation starts or goes on.
func (s *stream) nextTarget(ctx context.Context) (*continuation, error) {
	s.mu.Lock()
	next := s.next
	s.next = nil
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

// goesOn decides whether the stream goes on after its target has ended, and prepares where.
func (s *stream) goesOn(ctx context.Context, end *ending, ended *continuation) bool {
	if end.outcome == placement.Moved || !end.notRun && s.useBackup() {
		return true
	}
	if ended.from != nil && end.notRun && !s.repeatable() {
		return false // the memory is gone, and a new start would be a second run
	}
	return s.mayRetry(ctx, end, ended.lease.Target.ID)
}

// awaitMove waits for a move in progress and reports whether the generation goes on by it.
func (s *stream) awaitMove(ctx context.Context) bool {
	s.mu.Lock()
	moving := s.moving
	s.mu.Unlock()
	if moving != nil {
		select {
		case <-moving:
		case <-ctx.Done():
			return false
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next != nil
}

// attempt runs the generation at a target until it ends there; nil means that the answer is complete.
func (s *stream) attempt(ctx context.Context, at *continuation) *ending {
	answer := at.answer
	s.mu.Lock()
	s.started = false // a copy at a backup is of use only once this target has sent an event
	s.mu.Unlock()
	if answer == nil {
		var end *ending
		send := Send{LastEventID: s.cursor(), From: at.from, BackupAddress: s.reserveBackup(at.lease)}
		if answer, end = s.offer(ctx, at.lease, send); end != nil {
			at.lease.Done(end.outcome, time.Now())
			s.releaseBackup(false)
			return end
		}
	} else {
		defer at.cancel()
	}
	if answer.StatusCode/100 != 2 {
		end := s.relayWhole(ctx, at.lease, answer)
		if end != nil {
			at.lease.Done(end.outcome, time.Now())
		}
		return end
	}
	s.attach(at.lease, answer)
	err := s.relay(at.lease, answer)
	s.detach()
	moved := s.awaitMove(ctx)
	complete := err == nil && !moved
	answer.Close(!complete)
	if complete {
		at.lease.Done(placement.Answered, time.Now())
		s.releaseBackup(true)
		s.options.Lengths.Observe(s.lengthKey(), s.events*tokensPerEvent)
		s.log("request ended", "outcome", "answered", "status", answer.StatusCode, "target", at.lease.Target.ID, "attempts", s.attempts, "events", s.events)
		return nil
	}
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	end := s.unanswered(ctx, errors.Wrap(err, "the stream broke off"))
	if moved {
		end.outcome = placement.Moved
	}
	at.lease.Done(end.outcome, time.Now())
	return end
}

// tokensPerEvent is the number of tokens that an event usually holds; engines join some of them.
const tokensPerEvent = 4

// attach makes the current target, which runs the call, known to evacuations.
func (s *stream) attach(lease *placement.Lease, answer *upstream.Response) {
	s.mayHaveRun = true
	s.mu.Lock()
	s.lease, s.answer = lease, answer
	s.mu.Unlock()
	s.streams.add(lease.Target.ID, s)
}

// detach hides the target that has ended from evacuations.
func (s *stream) detach() {
	s.mu.Lock()
	id := s.lease.Target.ID
	s.answer = nil
	s.mu.Unlock()
	s.streams.remove(id, s)
}

// relay passes events on as they arrive, until the target's stream ends.
func (s *stream) relay(lease *placement.Lease, answer *upstream.Response) error {
	events := eventstream.NewReader(answer)
	for {
		event, err := events.Next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !s.isNew(event.ID) {
			continue
		}
		s.noteEvent(lease)
		s.writeHead(answer)
		if _, err := s.w.Write(event.Raw); err != nil {
			return errors.Wrap(err, "the caller's connection")
		}
		s.flusher.Flush()
		if event.ID != "" {
			s.mu.Lock()
			s.lastEventID = event.ID
			s.mu.Unlock()
		}
	}
}

// cursor returns the last event that the caller has.
func (s *stream) cursor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastEventID
}

// isNew reports whether the caller does not have the event yet. A generation that goes on at its backup
// repeats what its source sent meanwhile.
func (s *stream) isNew(id string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true // an event without a number belongs to the one before it
	}
	last, err := strconv.ParseUint(s.lastEventID, 10, 64)
	return err != nil || number > last
}

// noteEvent times the event.
func (s *stream) noteEvent(lease *placement.Lease) {
	now := time.Now()
	s.mu.Lock()
	s.events++
	s.mu.Unlock()
	if s.events == 1 {
		s.metrics.firstEvent.Update(int64(now.Sub(s.arrivedAt)))
	} else {
		s.metrics.eventGap.Update(int64(now.Sub(s.lastEventAt)))
	}
	s.mu.Lock()
	first := !s.started
	s.started = true
	s.mu.Unlock()
	lease.Progress(s.events * tokensPerEvent)
	if first {
		lease.FirstEvent(now)
		if s.options.Table.Leaving(lease.Target) {
			go s.evacuate(lease.Target, now)
		}
		if s.events > 1 {
			s.metrics.continuePause.Update(int64(now.Sub(s.lastEventAt)))
			s.log("stream goes on", "target", lease.Target.ID, "pause_ms", now.Sub(s.lastEventAt).Milliseconds(), "after_event", s.cursor())
		}
	}
	s.lastEventAt = now
}

// writeHead sends the head of the answer with the first event: until then another target may answer.
func (s *stream) writeHead(answer *upstream.Response) {
	if s.begun {
		return
	}
	header := s.w.Header()
	for name, values := range s.options.Codec.AnswerHeader(answer.Header) {
		header[name] = values
	}
	s.status = answer.StatusCode
	s.begun = true
	s.w.WriteHeader(answer.StatusCode)
}

// release frees what the stream still holds.
func (s *stream) release() {
	s.mu.Lock()
	next := s.next
	s.next = nil
	s.mu.Unlock()
	s.releaseBackup(false)
	if next == nil {
		return
	}
	next.lease.Done(placement.Canceled, time.Now())
	if next.answer != nil {
		next.answer.Close(true)
		next.cancel()
	} else if next.from != nil {
		go s.drop(*next.from)
	}
}
