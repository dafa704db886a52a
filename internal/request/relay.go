package request

import (
	"godwitcart/internal/apierror"
	"godwitcart/internal/wire/enginewire"
)

// maxHeldEvents bounds the events that a Relay holds back while an earlier one is missing.
const maxHeldEvents = 1024

// Relay puts the events of one attempt in order: it drops repeats, holds back what is ahead of a
// gap, and refuses events of any other attempt.
//
// Invariant: the events it returns have the indexes start, start+1, … without a gap, all of the
// attempt that the relay is bound to, and nothing follows the last event.
type Relay struct {
	attempt string
	next    int
	done    bool
	held    map[int]enginewire.TokenEvent
}

// NewRelay returns a relay for an attempt whose next undelivered token has the index start.
func NewRelay(attempt string, start int) *Relay {
	return &Relay{attempt: attempt, next: start}
}

// Next returns the index of the next token to deliver.
func (r *Relay) Next() int { return r.next }

// Done reports whether the last event has been returned.
func (r *Relay) Done() bool { return r.done }

// Accept takes one event and appends to ready the events that may now be delivered.
// An event of another attempt, or one that contradicts the order, is an error of kind
// generation_lost: splicing two generations is never an answer.
func (r *Relay) Accept(event enginewire.TokenEvent, ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	if event.AttemptID != r.attempt {
		return ready, apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target answered for attempt %q instead of %q", event.AttemptID, r.attempt)
	}
	if event.Preempted || r.done || event.Index < r.next {
		return r.acceptOutOfBand(event, ready)
	}
	if event.Index > r.next {
		return ready, r.hold(event)
	}
	ready = r.deliver(event, ready)
	return r.deliverHeld(ready), nil
}

// acceptOutOfBand handles events that carry no new token: notices of preemption and repeats.
// A last event below the next index means that the target lost tokens that were delivered.
func (r *Relay) acceptOutOfBand(event enginewire.TokenEvent, ready []enginewire.TokenEvent) ([]enginewire.TokenEvent, error) {
	if event.FinishReason != "" && !r.done {
		return ready, apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"the target ended at token %d after %d were delivered", event.Index, r.next)
	}
	return ready, nil
}

func (r *Relay) hold(event enginewire.TokenEvent) error {
	if len(r.held) >= maxHeldEvents {
		return apierror.Newf(apierror.KindGenerationLost, "repeat the request",
			"token %d is missing and %d later ones arrived", r.next, len(r.held))
	}
	if r.held == nil {
		r.held = make(map[int]enginewire.TokenEvent)
	}
	r.held[event.Index] = event
	return nil
}

func (r *Relay) deliver(event enginewire.TokenEvent, ready []enginewire.TokenEvent) []enginewire.TokenEvent {
	if event.FinishReason != "" {
		r.done = true
		r.held = nil
		return append(ready, event)
	}
	r.next++
	return append(ready, event)
}

func (r *Relay) deliverHeld(ready []enginewire.TokenEvent) []enginewire.TokenEvent {
	for !r.done {
		event, found := r.held[r.next]
		if !found {
			return ready
		}
		delete(r.held, r.next)
		ready = r.deliver(event, ready)
	}
	return ready
}
