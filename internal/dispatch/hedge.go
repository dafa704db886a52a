package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/request"
)

// hedgeAfter is how long an idempotent call to a plain service waits for the headers of an answer
// before it is sent to a second target. The retry budget bounds how many are.
const hedgeAfter = time.Second

// hedges counts calls that were sent to a second target because the first was silent.
var hedges = metrics.GetOrRegisterCounter("plain.hedges", nil)

// try is one sending of a call to one target.
type try struct {
	placement Placement
	binding   Binding
	cancel    context.CancelFunc
	response  *http.Response
	err       error
}

// release gives the try's reservation back.
func (t *try) release(outcome Outcome) {
	t.cancel()
	t.placement.Release(outcome)
}

// race sends one call to a target and, when it is idempotent and no answer comes, to a second one.
// The first answer is taken and the other try is canceled.
type race struct {
	run     *plainRun
	ctx     context.Context
	results chan *try
	// pending counts the tries whose result is still to come; a hedge that is being placed counts.
	pending int
	// original is the first try.
	original *try
	// cancelHedge ends the second try, whether it is placed or not.
	cancelHedge context.CancelFunc
}

func newRace(run *plainRun, ctx context.Context) *race {
	return &race{run: run, ctx: ctx, results: make(chan *try, 2), cancelHedge: func() {}}
}

// send sends the call to the placement's target.
func (r *race) send(placement Placement, binding Binding) {
	ctx, cancel := context.WithCancel(r.ctx)
	t := &try{placement: placement, binding: binding, cancel: cancel}
	r.original = t
	r.pending++
	go r.call(ctx, t)
}

func (r *race) call(ctx context.Context, t *try) {
	call := r.run.call
	call.AttemptID = t.binding.Attempt
	call.Body, _ = r.run.body.Open()
	t.response, t.err = r.run.options.Plain.Call(ctx, t.binding.Address, call)
	r.results <- t
}

// first returns the first answer, or the error of the last try when all failed.
func (r *race) first() (*Answer, error) {
	silence := time.NewTimer(hedgeAfter)
	defer silence.Stop()
	var failed *attemptError
	for r.pending > 0 {
		select {
		case <-silence.C:
			r.hedge()
		case t := <-r.results:
			r.pending--
			if t == nil {
				continue
			}
			if t.err == nil {
				r.abandonOthers(t)
				return r.run.answer(t), nil
			}
			failed = r.run.fail(t)
		}
	}
	return nil, failed
}

// hedge places a second try without holding up the first.
func (r *race) hedge() {
	if !r.mayHedge() {
		return
	}
	hedges.Inc(1)
	r.pending++
	excluded := append(slices.Clone(r.run.excluded), r.original.binding.Address.Name)
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancelHedge = cancel
	go r.placeHedge(ctx, cancel, excluded)
}

func (r *race) mayHedge() bool {
	if r.run.request.NonIdempotent {
		return false
	}
	_, whole := r.run.body.Open()
	return whole && r.run.options.Budget.Spend(r.run.request.Service)
}

// placeHedge runs beside first, to which it reports by the results alone; nil means that there was
// no second target.
func (r *race) placeHedge(ctx context.Context, cancel context.CancelFunc, excluded []string) {
	placement, err := r.run.options.Placer.Place(ctx, r.run.request, excluded, true)
	if err != nil {
		cancel()
		r.results <- nil
		return
	}
	binding := Binding{Address: placement.Address(), Attempt: r.run.options.NewID()}
	r.call(ctx, &try{placement: placement, binding: binding, cancel: cancel})
}

// abandonOthers cancels what is still under way beside the winner.
func (r *race) abandonOthers(winner *try) {
	if winner == r.original {
		r.cancelHedge()
	} else {
		r.original.cancel()
	}
	if r.pending > 0 {
		go r.discard(r.pending)
	}
}

// discard ends the tries whose answer nobody waits for.
func (r *race) discard(pending int) {
	for range pending {
		t := <-r.results
		if t == nil {
			continue
		}
		if t.response != nil {
			t.response.Body.Close()
		}
		t.release(Outcome{State: request.AttemptUnknown, Err: context.Canceled})
	}
}
