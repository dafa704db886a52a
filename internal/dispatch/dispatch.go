// Package dispatch drives the attempts of one request at the targets: it places,
// starts, follows, resumes and retries them, and decides the request's final answer.
//
// Invariants: a non-idempotent request is sent again only when the attempt before is known not to
// have run; no second generation follows once a token has reached the caller; "not run" is
// answered only when no attempt can have run.
package dispatch

import (
	"context"
	"time"

	"godwitcart/internal/request"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// Engines is what the dispatcher needs of model engines.
type Engines interface {
	Start(ctx context.Context, address target.Address, generation enginewire.GenerationRequest) (*target.Stream, error)
	Resume(ctx context.Context, address target.Address, attempt string, from int) (*target.Stream, error)
	Cancel(ctx context.Context, address target.Address, attempt string) error
}

// Outcome tells the placement how its attempt ended.
type Outcome struct {
	// State is what is known of the attempt.
	State request.AttemptState
	// Tokens is the number of tokens that were generated for the caller.
	Tokens int
	// Err is nil when the attempt ended well.
	Err error
}

// Placement is a reservation for one attempt at one target.
type Placement interface {
	// Address returns where the attempt goes.
	Address() target.Address
	// Reason says in a sentence fragment why this target was chosen.
	Reason() string
	// Progress reports the number of tokens generated so far.
	Progress(tokens int)
	// Preempted reports that the target preempted the attempt.
	Preempted()
	// Release gives the reservation back. It is called once.
	Release(outcome Outcome)
}

// Placer finds a target with room, and waits for one in the queue of the request's class.
type Placer interface {
	// Place returns a reservation, or a typed error that says when to come back. A retry
	// returns to the head of its class.
	Place(ctx context.Context, r *request.Request, excluded []string, retry bool) (Placement, error)
}

// Binding names the generation that an answer comes from.
type Binding struct {
	Address target.Address
	Attempt string
}

// Sink receives the answer of a generation. Its methods are called from one goroutine.
type Sink interface {
	// Bind names the generation that the following tokens come from.
	Bind(binding Binding) error
	// Token delivers the text of the token with the index.
	Token(index int, text string) error
	// Idle is called when there is no token yet, so that the caller's connection is kept alive.
	Idle() error
	// Finish ends the answer.
	Finish(reason enginewire.FinishReason, tokens int) error
	// Delivered returns the number of tokens that have left for the caller and cannot be taken back.
	Delivered() int
	// Reset forgets the tokens that have not left; Delivered is zero when it is called.
	Reset()
}

// Options are the parts and limits of a Dispatcher.
type Options struct {
	Engines Engines
	Plain   PlainCaller
	Placer  Placer
	Claims  Claims
	Locator Locator
	Budget  *retrybudget.Budget
	// VM is the name of this VM, entered in claims.
	VM string
	// ResumeWindow bounds the time for which an attempt that broke off is asked for.
	ResumeWindow time.Duration
	// NewID returns a new unique id for an attempt.
	NewID func() string
}

// Dispatcher drives requests. It is safe for concurrent use.
type Dispatcher struct {
	options Options
}

// New returns a dispatcher.
func New(options Options) *Dispatcher {
	return &Dispatcher{options: options}
}

// The waits between tries to resume a broken attempt.
const (
	firstResumeWait = 50 * time.Millisecond
	maxResumeWait   = time.Second
	// cancelTimeout bounds a cancellation that is sent after the caller has left.
	cancelTimeout = 2 * time.Second
	// maxAttempts bounds the attempts of one request, whatever the retry budget holds.
	maxAttempts = 8
)

// cancelAttempt asks the target to stop work that nobody waits for any more. It is best effort:
// an engine also stops a generation that has had no reader for a while.
func (d *Dispatcher) cancelAttempt(binding Binding) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = d.options.Engines.Cancel(ctx, binding.Address, binding.Attempt)
}
