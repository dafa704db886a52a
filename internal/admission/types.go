// Package admission decides when a request goes to a target.
//
// A Controller holds requests in queues by service, class and client account until routing
// finds a target with room, so waiting costs no engine memory and the choice of target is made
// at the last moment. Classes are served by priority with ageing, accounts of a class by
// weighted shares. Rate and concurrency limits hold over all entry VMs by exchanged usage. A
// request that cannot be served in time is refused early, with the time to come back. Each
// service has a queue of its own under its own lock, so plain services never wait behind
// generations.
package admission

import (
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/policy"
	"godwitcart/internal/routing"
)

// Limits are the limits of a client account over all entry VMs; zero means no limit.
type Limits struct {
	RequestsPerSecond float64
	Concurrency       int
}

// Ticket describes one request, or one further attempt of it, that asks for a target.
type Ticket struct {
	RequestID string
	Account   string
	Class     string
	Priority  int
	// Share is the account's weight among accounts of its class; values below 1 count as 1.
	Share   int
	Limits  Limits
	Service string
	// Variant is empty for plain services.
	Variant      policy.Variant
	PromptTokens int
	// MaxTokens bounds the output; zero means no bound.
	MaxTokens    int
	PrefixHashes []uint64
	// Deadline is when the request is of no more use; zero means no deadline.
	Deadline time.Time
	// Excluded names targets that must not be chosen.
	Excluded []string
	// Retry marks a further attempt of an admitted request: it passes the rate limit and returns
	// to the head of its class.
	Retry bool
}

// Picker chooses targets; *routing.Table implements it.
type Picker interface {
	Pick(query routing.Query, now time.Time) (routing.Choice, error)
	Progress(choice routing.Choice, tokens int)
	Preempted(choice routing.Choice, now time.Time)
	Done(choice routing.Choice, outcome routing.Outcome, now time.Time)
}

// Options configures a Controller. The zero value of each field stands for its default.
type Options struct {
	// MaxWaiting bounds the requests that wait for one service.
	MaxWaiting int
	// MaxWait bounds the wait of a request without a deadline.
	MaxWait time.Duration
	// AgeStep is the wait after which a request is served as if its class were one rank higher.
	AgeStep time.Duration
	// PreemptAfter is the wait after which a request may make an engine preempt lower classes; zero means at once.
	PreemptAfter time.Duration
	// Lengths gives the expected cost of requests; nil makes all requests cost the same.
	Lengths *lengths.Book
	// Now tells the time.
	Now func() time.Time
	// AfterFunc calls f once after the wait, on a goroutine of its own.
	AfterFunc func(wait time.Duration, f func())
}

const (
	defaultMaxWaiting = 1024
	defaultMaxWait    = 60 * time.Second
	defaultAgeStep    = 15 * time.Second

	// pumpInterval is how often a queue that is not empty is looked at when nothing else happens.
	pumpInterval = 50 * time.Millisecond
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

// WaitReason tells why a request waits.
type WaitReason string

// The reasons for which a request waits.
const (
	// WaitNoRoom means that no target has room for it at its priority.
	WaitNoRoom WaitReason = "no_room"
	// WaitNoTarget means that no live target can run it now.
	WaitNoTarget WaitReason = "no_target"
	// WaitConcurrency means that its account is at its concurrency limit.
	WaitConcurrency WaitReason = "account_concurrency"
	// WaitTurn means that others are served first.
	WaitTurn WaitReason = "turn"
)

// WaitingRow is one waiting request for operators' queries.
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

// Counters count decisions since the start.
type Counters struct {
	Granted          uint64 `json:"granted"`
	RateLimited      uint64 `json:"rate_limited"`
	Overloaded       uint64 `json:"overloaded"`
	DeadlineExceeded uint64 `json:"deadline_exceeded"`
	Canceled         uint64 `json:"canceled"`
}
