package dispatch

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/request"
)

// hedgeAfter is how long an idempotent call to a plain service waits for the response header before it is also sent to
// a second target. The retry budget bounds the number of hedged calls.
const hedgeAfter = time.Second

// hedges counts calls that were sent to a second target because the first had not responded.
var hedges = metrics.GetOrRegisterCounter("plain.hedges", nil)

// plainAttempt is one attempt of a call to a plain service at one target.
type plainAttempt struct {
	placement Placement
	binding   Binding
	cancel    context.CancelFunc
	response  *http.Response
	err       error
}

// release ends the attempt and its reservation.
func (a *plainAttempt) release(outcome Outcome) {
	a.cancel()
	a.placement.Release(outcome)
}

// hedgedCall sends a call to a target and, if the call is idempotent and no response arrives in time, to a second one.
// The first response is used and the other attempt is canceled.
type hedgedCall struct {
	run     *plainRun
	ctx     context.Context
	results chan *plainAttempt
	// pending counts the attempts without a result, including a hedge that is being placed.
	pending int
	// original is the first attempt.
	original *plainAttempt
	// cancelHedge cancels the second attempt, whether it has been placed or not.
	cancelHedge context.CancelFunc
}

func newHedgedCall(run *plainRun, ctx context.Context) *hedgedCall {
	return &hedgedCall{run: run, ctx: ctx, results: make(chan *plainAttempt, 2), cancelHedge: func() {}}
}

// start sends the call to the placement's target.
func (h *hedgedCall) start(placement Placement, binding Binding) {
	ctx, cancel := context.WithCancel(h.ctx)
	attempt := &plainAttempt{placement: placement, binding: binding, cancel: cancel}
	h.original = attempt
	h.pending++
	go h.call(ctx, attempt)
}

func (h *hedgedCall) call(ctx context.Context, attempt *plainAttempt) {
	call := h.run.call
	call.AttemptID = attempt.binding.Attempt
	call.Body, _ = h.run.body.Open()
	if _, isBuffered := call.Body.(*bytes.Reader); !isBuffered && call.Body != nil {
		call.Body = callerBody{call.Body}
	}
	attempt.response, attempt.err = h.run.options.Plain.Call(ctx, attempt.binding.Address, call)
	h.results <- attempt
}

// firstResponse returns the first response, or the error of the attempt that failed last if there is none. It hedges
// the call if there is no result within hedgeAfter.
func (h *hedgedCall) firstResponse() (*PlainResponse, error) {
	hedgeTimer := time.NewTimer(hedgeAfter)
	defer hedgeTimer.Stop()
	var failed *attemptError
	for h.pending > 0 {
		select {
		case <-hedgeTimer.C:
			h.hedge()
		case attempt := <-h.results:
			h.pending--
			if attempt == nil {
				continue
			}
			if attempt.err == nil {
				h.cancelOthers(attempt)
				return h.run.newResponse(h.ctx, attempt), nil
			}
			failed = h.run.endFailedAttempt(attempt)
		}
	}
	return nil, failed
}

// hedge places a second attempt without delaying the first.
func (h *hedgedCall) hedge() {
	if !h.reserveHedge() {
		return
	}
	hedges.Inc(1)
	h.pending++
	excluded := append(slices.Clone(h.run.excluded), h.original.binding.Address.Name)
	ctx, cancel := context.WithCancel(h.ctx)
	h.cancelHedge = cancel
	go h.placeHedge(ctx, cancel, excluded)
}

// reserveHedge reports whether the call may be hedged, and charges the retry budget for it.
func (h *hedgedCall) reserveHedge() bool {
	if h.run.request.NonIdempotent {
		return false
	}
	_, replayable := h.run.body.Open()
	return replayable && h.run.options.Budget.Spend(h.run.request.Service)
}

// placeHedge reserves a second target and sends the call to it. It runs concurrently with firstResponse, with which it
// communicates only through the results channel; a nil result means that there was no second target.
func (h *hedgedCall) placeHedge(ctx context.Context, cancel context.CancelFunc, excluded []string) {
	placement, err := h.run.options.Placer.Place(ctx, h.run.request, excluded, true)
	if err != nil {
		cancel()
		h.results <- nil
		return
	}
	binding := Binding{Address: placement.Address(), Attempt: h.run.options.NewID()}
	h.call(ctx, &plainAttempt{placement: placement, binding: binding, cancel: cancel})
}

// cancelOthers cancels the attempt other than the winner, if there is one.
func (h *hedgedCall) cancelOthers(winner *plainAttempt) {
	if winner == h.original {
		h.cancelHedge()
	} else {
		h.original.cancel()
	}
	if h.pending > 0 {
		go h.discardPending(h.pending)
	}
}

// discardPending releases the attempts whose results are not needed.
func (h *hedgedCall) discardPending(pending int) {
	for range pending {
		attempt := <-h.results
		if attempt == nil {
			continue
		}
		if attempt.response != nil {
			attempt.response.Body.Close()
		}
		attempt.release(Outcome{State: request.AttemptUnknown, Err: context.Canceled})
	}
}
