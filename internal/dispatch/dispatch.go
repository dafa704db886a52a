// Package dispatch runs the attempts of a request at its targets: it places, starts, relays, resumes and retries them,
// and determines the final response.
//
// Invariants: a non-idempotent request is sent again only if the previous attempt is known not to have run; no second
// generation is started once a token has reached the caller; the caller is told "not run" only if no attempt can have
// run.
package dispatch

import (
	"context"
	"time"

	"godwitcart/internal/request"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// Engines is the client for model engines.
type Engines interface {
	Start(ctx context.Context, address target.Address, generation target.Generation) (*target.Stream, error)
	Resume(ctx context.Context, address target.Address, attempt string, from int) (*target.Stream, error)
	Cancel(ctx context.Context, address target.Address, attempt string) error
}

// Outcome reports to the placement how its attempt ended.
type Outcome struct {
	// State tells whether the attempt ran, as far as that is known.
	State request.AttemptState
	// Tokens is the number of tokens that were generated.
	Tokens int
	// Err is nil if the attempt succeeded.
	Err error
}

// Placement is a reservation for one attempt at one target.
type Placement interface {
	// Address returns the address of the target.
	Address() target.Address
	// Reason returns a sentence fragment that explains why this target was chosen.
	Reason() string
	// Progress records the number of tokens generated so far.
	Progress(tokens int)
	// Preempted records that the target preempted the attempt.
	Preempted()
	// Release ends the reservation. It is called once.
	Release(outcome Outcome)
}

// Placer reserves a target with free capacity, waiting for one in the queue of the request's class.
type Placer interface {
	// Place returns a reservation, or an *apierror.Error with a Retry-After. A retry is queued at the head of its
	// class.
	Place(ctx context.Context, r *request.Request, excluded []string, retry bool) (Placement, error)
}

// Binding identifies the generation that a response comes from.
type Binding struct {
	Address target.Address
	Attempt string
}

// Sink receives the output of a generation. Its methods are called from one goroutine.
type Sink interface {
	// Bind identifies the generation that the following tokens come from.
	Bind(binding Binding) error
	// Token delivers the text of the token with the index.
	Token(index int, text string) error
	// Idle is called while there is no token yet, to keep the caller's connection alive.
	Idle() error
	// Finish ends the output.
	Finish(reason enginewire.FinishReason, tokens int) error
	// Delivered returns the number of tokens that have been sent to the caller and cannot be retracted.
	Delivered() int
	// Reset discards the tokens that have not been sent; it is called only while Delivered is zero.
	Reset()
}

// Options are the dependencies and limits of a Dispatcher.
type Options struct {
	Engines Engines
	Plain   PlainCaller
	Placer  Placer
	Claims  Claims
	Locator Locator
	Budget  *retrybudget.Budget
	// VM is the name of this VM, which is recorded in claims.
	VM string
	// ResumeWindow bounds the time spent trying to resume an interrupted attempt.
	ResumeWindow time.Duration
	// NewID returns a new unique id for an attempt.
	NewID func() string
}

// Dispatcher runs requests at targets. It is safe for concurrent use.
type Dispatcher struct {
	options Options
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options}
}

// The range of the exponential delay between tries to resume an interrupted attempt.
const (
	firstResumeWait = 50 * time.Millisecond
	maxResumeWait   = time.Second
	// cancelTimeout bounds the call that cancels an attempt after the caller has disconnected.
	cancelTimeout = 2 * time.Second
	// maxAttempts bounds the attempts of one request, however much retry budget is available.
	maxAttempts = 8
)

// cancelAttempt cancels an attempt whose result is no longer needed. It is best effort: an engine also stops a
// generation that has had no reader for a while.
func (d *Dispatcher) cancelAttempt(binding Binding) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.options.Engines.Cancel(ctx, binding.Address, binding.Attempt)
}
