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
// a gap, and none follows the last event. The last event is returned only if it is that of all tokens that arrived.
type Sequencer struct {
	attempt string
	next    int
	// end is the index behind the highest token that has arrived.
	end      int
	done     bool
	buffered map[int]enginewire.TokenEvent
}

// NewSequencer returns a sequencer for an attempt whose next undelivered token has the index start.
func NewSequencer(attempt string, start int) *Sequencer {
	return &Sequencer{attempt: attempt, next: start, end: start}
}

// Next returns the index of the next token to deliver.
func (r *Sequencer) Next() int { return r.next }

// Done reports whether the last event has been returned.
func (r *Sequencer) Done() bool { return r.done }

// Accept adds an event and appends to ready the events that can now be delivered, in order.
// An event of another attempt, or a last event that is malformed or has too low an index, is an error of kind
// generation_lost, because a response must not mix the tokens of two generations or end without its last ones.
func (r *Sequencer) Accept(event enginewire.TokenEvent, ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	if event.AttemptID != r.attempt {
		return ready, apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target answered for attempt %q instead of %q", event.AttemptID, r.attempt)
	}
	if event.Preempted || r.done {
		return ready, nil
	}
	if err := r.checkLast(event); err != nil {
		return ready, err
	}
	if event.FinishReason == "" {
		r.end = max(r.end, event.Index+1)
	}
	if event.Index < r.next {
		return ready, nil
	}
	if event.Index > r.next {
		return ready, r.buffer(event)
	}
	ready = r.deliver(event, ready)
	return r.deliverBuffered(ready)
}

// checkLast returns an error if the event ends the output, but not that of the tokens that arrived: the target lost
// tokens, or they are not those of one generation.
func (r *Sequencer) checkLast(event enginewire.TokenEvent) error {
	switch {
	case event.FinishReason == "":
		return nil
	case event.Index < r.end:
		return apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target ended at token %d after token %d had arrived", event.Index, r.end-1)
	case event.Text != "":
		return apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target ended at token %d with a text, which is no token", event.Index)
	case !event.FinishReason.IsDefined():
		return apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target ended at token %d for the reason %q, which is not known", event.Index, event.FinishReason)
	default:
		return nil
	}
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
func (r *Sequencer) deliverBuffered(ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	for !r.done {
		event, found := r.buffered[r.next]
		if !found {
			return ready, nil
		}
		if err := r.checkLast(event); err != nil {
			return ready, err
		}
		delete(r.buffered, r.next)
		ready = r.deliver(event, ready)
	}
	return ready, nil
}
