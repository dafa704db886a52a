package request

import (
	"godwitcart/internal/apierror"
	"godwitcart/internal/wire/enginewire"
)

// maxBufferedEvents bounds the events that a Sequencer buffers while an earlier one is missing.
const maxBufferedEvents = 1024

// Sequencer puts the events of one attempt in order: it drops duplicates, buffers events behind a gap and rejects
// events of other attempts.
//
// Invariant: the events that it returns belong to its attempt, have the indexes start, start+1, … without
// a gap, and none follows the last event.
type Sequencer struct {
	attempt  string
	next     int
	done     bool
	buffered map[int]enginewire.TokenEvent
}

// NewSequencer returns a sequencer for an attempt whose next undelivered token has the index start.
func NewSequencer(attempt string, start int) *Sequencer {
	return &Sequencer{attempt: attempt, next: start}
}

// Next returns the index of the next token to deliver.
func (r *Sequencer) Next() int { return r.next }

// Done reports whether the last event has been returned.
func (r *Sequencer) Done() bool { return r.done }

// Accept adds an event and appends to ready the events that can now be delivered, in order.
// An event of another attempt, or a last event with too low an index, is an error of kind generation_lost,
// because a response must not mix the tokens of two generations.
func (r *Sequencer) Accept(event enginewire.TokenEvent, ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	if event.AttemptID != r.attempt {
		return ready, apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target answered for attempt %q instead of %q", event.AttemptID, r.attempt)
	}
	if event.Preempted || r.done || event.Index < r.next {
		return r.acceptWithoutNewToken(event, ready)
	}
	if event.Index > r.next {
		return ready, r.buffer(event)
	}
	ready = r.deliver(event, ready)
	return r.deliverBuffered(ready), nil
}

// acceptWithoutNewToken ignores events that carry no new token: preemption notices and duplicates.
// A last event below the next index is an error: the target lost tokens that were already delivered.
func (r *Sequencer) acceptWithoutNewToken(event enginewire.TokenEvent, ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	if event.FinishReason != "" && !r.done {
		return ready, apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target ended at token %d after %d were delivered", event.Index, r.next)
	}
	return ready, nil
}

// buffer stores an event behind a gap. It fails with kind generation_lost when maxBufferedEvents are stored already.
func (r *Sequencer) buffer(event enginewire.TokenEvent) error {
	if len(r.buffered) >= maxBufferedEvents {
		return apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"token %d is missing and %d later ones arrived", r.next, len(r.buffered))
	}
	if r.buffered == nil {
		r.buffered = make(map[int]enginewire.TokenEvent)
	}
	r.buffered[event.Index] = event
	return nil
}

func (r *Sequencer) deliver(event enginewire.TokenEvent, ready []enginewire.TokenEvent) []enginewire.TokenEvent {
	if event.FinishReason != "" {
		r.done = true
		r.buffered = nil
		return append(ready, event)
	}
	r.next++
	return append(ready, event)
}

// deliverBuffered appends the buffered events that follow the delivered ones without a gap.
func (r *Sequencer) deliverBuffered(ready []enginewire.TokenEvent) []enginewire.TokenEvent {
	for !r.done {
		event, found := r.buffered[r.next]
		if !found {
			return ready
		}
		delete(r.buffered, r.next)
		ready = r.deliver(event, ready)
	}
	return ready
}
