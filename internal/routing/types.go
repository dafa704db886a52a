// Package routing chooses the target of each attempt.
//
// A Table holds the state of every target: membership, delayed load reports and cache events, the attempts that
// this VM has sent, and a circuit breaker. Pick filters the targets, samples a few, scores those with capacity and
// reserves memory on the best, so that the next decision counts load that reports do not show yet. Each service is
// a shard with its own lock. Callers pass in the current time.
package routing

import (
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
)

// Query describes a request that needs a target. A Query without a model is for a plain service.
type Query struct {
	Service string
	Variant policy.Variant
	// Zone overrides the zone of the table if set.
	Zone         string
	Account      string
	Class        string
	Priority     int
	PromptTokens int
	// MaxTokens limits the output; zero means no limit.
	MaxTokens int
	// PrefixHashes are the hashes of the prompt's blocks, as returned by prefix.Hashes.
	PrefixHashes []uint64
	// Excluded names targets that must not be chosen, for example because an earlier attempt failed on them.
	Excluded []string
	// Preempt allows a target on which the engine has to preempt work of a lower priority.
	Preempt bool
	// Aged marks a request that has waited long; it may use the headroom reserved for higher priorities.
	Aged bool
}

func (q *Query) isPlain() bool { return q.Variant.Model == "" }

func (q *Query) excludes(name string) bool {
	for _, excluded := range q.Excluded {
		if excluded == name {
			return true
		}
	}
	return false
}

// Choice is a target with memory reserved on it for one attempt. It must be passed to Table.Done.
type Choice struct {
	Service     string
	Target      string
	Address     string
	Zone        string
	Incarnation string
	// CachedBlocks is the estimated number of leading prompt blocks that the target has cached.
	CachedBlocks float64

	reservation *reservation
}

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt.
const (
	// OutcomeCompleted means that the target completed the attempt.
	OutcomeCompleted Outcome = iota
	// OutcomeRefused means that the target refused the attempt without running it.
	OutcomeRefused
	// OutcomeFailed means that the target or the connection to it failed.
	OutcomeFailed
	// OutcomeCanceled means that the caller, an operator or a deadline ended the attempt.
	OutcomeCanceled
)

// Options configures a Table. The zero value of each field means its default.
type Options struct {
	// Zone is the availability zone of this VM.
	Zone string
	// Seed makes the random choices reproducible.
	Seed uint64
	// Lengths holds the distributions of output lengths; the table adds completed outputs to it.
	Lengths *lengths.Estimator
	// ConfirmWithin is how long a target counts as live after its last confirmation.
	ConfirmWithin time.Duration
	// PlainConcurrency limits the calls in progress from this VM on one target of a plain service.
	PlainConcurrency int
	// EntryVMCount is the number of entry VMs that send to the same targets; SetEntryVMCount changes it.
	EntryVMCount int
}

const (
	defaultConfirmWithin    = 3 * time.Second
	defaultPlainConcurrency = 64
	// assumedReportLag is the assumed age of a report whose timestamp is in the future or too old.
	assumedReportLag = time.Second
	// maxReportLag is the largest plausible age of a report on arrival.
	maxReportLag = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Lengths == nil {
		o.Lengths = lengths.NewEstimator(0)
	}
	if o.ConfirmWithin <= 0 {
		o.ConfirmWithin = defaultConfirmWithin
	}
	if o.PlainConcurrency <= 0 {
		o.PlainConcurrency = defaultPlainConcurrency
	}
	o.EntryVMCount = max(o.EntryVMCount, 1)
	return o
}

// TargetRow is the state of one target as shown to operators.
type TargetRow struct {
	Name        string           `json:"name"`
	Service     string           `json:"service"`
	Zone        string           `json:"zone"`
	Address     string           `json:"address"`
	Incarnation string           `json:"incarnation"`
	State       membership.State `json:"-"`
	StateName   string           `json:"state"`
	Circuit     string           `json:"circuit"`
	// InProgress counts this VM's attempts on the target.
	InProgress int `json:"in_progress"`
	// Running, Waiting, MemoryTokens, UsedTokens and Preemptions are taken from the last report.
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Preemptions  uint64 `json:"preemptions"`
	// ExpectedTokens is the memory expected to be in use at the middle horizon.
	ExpectedTokens int `json:"expected_tokens"`
	// ReportAgeSeconds is the age of the last report; -1 if there is none.
	ReportAgeSeconds float64          `json:"report_age_seconds"`
	CacheGaps        uint64           `json:"cache_gaps"`
	Loaded           []policy.Variant `json:"loaded"`
}
