// Package admission decides when a request may be sent to a target.
//
// A Controller queues requests by service, class and client account until routing finds a target with capacity.
// Waiting requests use no engine memory, and the target is chosen at the last moment. Classes are served by
// priority with ageing, and the accounts of a class by weighted shares. Entry VMs exchange usage so that rate and
// concurrency limits hold for all of them together. A request that cannot be served in time is refused early, with
// a retry delay. Each service has its own queue and lock, so requests to plain services never wait behind
// generations.
package admission

import (
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/policy"
	"godwitcart/internal/routing"
)

// Limits are the limits of a client account across all entry VMs; zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	Concurrency       int
}

// Ticket describes one request, or a further attempt of it, that needs a target.
type Ticket struct {
	RequestID string
	Account   string
	Class     string
	Priority  int
	// Share is the account's weight among the accounts of its class; values below 1 count as 1.
	Share   int
	Limits  Limits
	Service string
	// Variant is empty for plain services.
	Variant      policy.Variant
	PromptTokens int
	// MaxTokens limits the output; zero means no limit.
	MaxTokens    int
	PrefixHashes []uint64
	// Deadline is the time after which the result is of no use; zero means no deadline.
	Deadline time.Time
	// Excluded names targets that must not be chosen.
	Excluded []string
	// Retry marks a further attempt of an admitted request. It is exempt from the rate limit and goes to the head
	// of its class.
	Retry bool
}

// Picker chooses targets; *routing.Table implements it.
type Picker interface {
	Pick(query routing.Query, now time.Time) (routing.Choice, error)
	Progress(choice routing.Choice, tokens int)
	Preempted(choice routing.Choice, now time.Time)
	Done(choice routing.Choice, outcome routing.Outcome, now time.Time)
}

// Options configures a Controller. The zero value of each field means its default.
type Options struct {
	// MaxWaiting limits the number of requests that wait for one service.
	MaxWaiting int
	// MaxWait limits the wait of a request without a deadline.
	MaxWait time.Duration
	// AgeStep is the wait that raises a request by one class rank.
	AgeStep time.Duration
	// PreemptAfter is the wait after which a request may make an engine preempt lower classes; zero means at once.
	PreemptAfter time.Duration
	// Lengths is used to estimate the cost of requests; if nil, all requests cost the same.
	Lengths *lengths.Estimator
	// Now returns the current time.
	Now func() time.Time
	// AfterFunc calls f once after the wait, in its own goroutine.
	AfterFunc func(wait time.Duration, f func())
}

const (
	defaultMaxWaiting = 1024
	defaultMaxWait    = 60 * time.Second
	defaultAgeStep    = 15 * time.Second

	// recheckInterval is how often the requests that wait are retried if nothing else triggers it.
	recheckInterval = 50 * time.Millisecond
)

func (o Options) withDefaults() Options {
	if o.MaxWaiting <= 0 {
		o.MaxWaiting = defaultMaxWaiting
	}
	if o.MaxWait <= 0 {
		o.MaxWait = defaultMaxWait
	}
	if o.AgeStep <= 0 {
		o.AgeStep = defaultAgeStep
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.AfterFunc == nil {
		o.AfterFunc = func(wait time.Duration, f func()) { time.AfterFunc(wait, f) }
	}
	return o
}

// WaitReason is the reason why a request waits.
type WaitReason string

// Reasons why a request waits.
const (
	// WaitNoCapacity means that no target has capacity for it at its priority.
	WaitNoCapacity WaitReason = "no_room"
	// WaitNoTarget means that no live target can run it now.
	WaitNoTarget WaitReason = "no_target"
	// WaitConcurrency means that its account is at its concurrency limit.
	WaitConcurrency WaitReason = "account_concurrency"
	// WaitQueued means that other requests are served first.
	WaitQueued WaitReason = "turn"
)

// WaitingRow is one waiting request as shown to operators.
type WaitingRow struct {
	RequestID     string     `json:"request_id"`
	Account       string     `json:"account"`
	Class         string     `json:"class"`
	Service       string     `json:"service"`
	Model         string     `json:"model,omitempty"`
	WaitedSeconds float64    `json:"waited_seconds"`
	Reason        WaitReason `json:"reason"`
	Retry         bool       `json:"retry,omitempty"`
}

// Counters are the numbers of decisions since the start.
type Counters struct {
	Granted          uint64 `json:"granted"`
	RateLimited      uint64 `json:"rate_limited"`
	Overloaded       uint64 `json:"overloaded"`
	DeadlineExceeded uint64 `json:"deadline_exceeded"`
	Canceled         uint64 `json:"canceled"`
}
