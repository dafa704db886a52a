// Package routing chooses the target of each attempt.
//
// A Table holds what is known of every target: membership, lagging load reports, late cache
// events, the attempts that this VM has sent, and the state of a circuit breaker. Pick filters
// the targets, samples a few, scores those with room and reserves memory on the best, so that
// the next decision counts what reports do not show yet. Each service is a shard with its own
// lock. Time is passed in.
package routing

import (
	"time"

	"godwitcart/internal/lengths"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
)

// Query describes the request that needs a target. A Query without a model is for a plain
// service.
type Query struct {
	Service string
	Variant policy.Variant
	// Zone overrides the zone of the table when it is set.
	Zone     string
	Account  string
	Class    string
	Priority int
	// PromptTokens is the length of the prompt in tokens.
	PromptTokens int
	// MaxTokens bounds the output; zero means no bound.
	MaxTokens int
	// PrefixHashes are the hashes of the prompt's blocks, as prefix.Hashes returns them.
	PrefixHashes []uint64
	// Excluded names targets that must not be chosen, such as those that an earlier attempt failed on.
	Excluded []string
	// Preempt allows a choice that makes the engine preempt work of a lower priority.
	Preempt bool
	// Aged marks a request that has waited long; it gets the headroom of the highest priority.
	Aged bool
}

// plain reports whether the query is for a plain service.
func (q *Query) plain() bool { return q.Variant.Model == "" }

// excludes reports whether the query rules out the target.
func (q *Query) excludes(name string) bool {
	for _, excluded := range q.Excluded {
		if excluded == name {
			return true
		}
	}
	return false
}

// Choice is a target with the memory reserved on it for one attempt. It must be ended by Table.Done.
type Choice struct {
	Service     string
	Target      string
	Address     string
	Zone        string
	Incarnation string
	// CachedBlocks is the number of leading prompt blocks that the target is believed to hold.
	CachedBlocks float64

	reservation *reservation
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeCompleted means that the target finished the attempt.
	OutcomeCompleted Outcome = iota
	// OutcomeRefused means that the target refused the attempt and did not run it.
	OutcomeRefused
	// OutcomeFailed means that the target or the link to it failed.
	OutcomeFailed
	// OutcomeCanceled means that the caller, an operator or a deadline ended the attempt.
	OutcomeCanceled
)

// Options configures a Table. The zero value of each field stands for its default.
type Options struct {
	// Zone is the availability zone of this VM.
	Zone string
	// Seed makes the sampling reproducible.
	Seed uint64
	// Lengths holds the distributions of output lengths; the table observes completed outputs in it.
	Lengths *lengths.Book
	// ConfirmWithin is how long a target counts as live after its last confirmation.
	ConfirmWithin time.Duration
	// PlainConcurrency bounds the calls in progress from this VM on one target of a plain service.
	PlainConcurrency int
	// Entries is the number of entry VMs that send to the same targets; SetEntries changes it.
	Entries int
}

const (
	defaultConfirmWithin    = 3 * time.Second
	defaultPlainConcurrency = 64
	// assumedReportLag is the age of a report whose clock disagrees with ours.
	assumedReportLag = time.Second
	// maxReportLag is the largest believable age of a report on arrival.
	maxReportLag = 5 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Lengths == nil {
		o.Lengths = lengths.NewBook(0)
	}
	if o.ConfirmWithin <= 0 {
		o.ConfirmWithin = defaultConfirmWithin
	}
	if o.PlainConcurrency <= 0 {
		o.PlainConcurrency = defaultPlainConcurrency
	}
	o.Entries = max(o.Entries, 1)
	return o
}

// TargetRow is the state of one target for operators' queries.
type TargetRow struct {
	Name        string           `json:"name"`
	Service     string           `json:"service"`
	Zone        string           `json:"zone"`
	Address     string           `json:"address"`
	Incarnation string           `json:"incarnation"`
	State       membership.State `json:"-"`
	StateName   string           `json:"state"`
	Circuit     string           `json:"circuit"`
	// InProgress counts the attempts of this VM on the target.
	InProgress int `json:"in_progress"`
	// Running, Waiting, MemoryTokens, UsedTokens and Preemptions are as last reported.
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Preemptions  uint64 `json:"preemptions"`
	// ExpectedTokens is the memory expected to be in use after the middle horizon.
	ExpectedTokens int `json:"expected_tokens"`
	// ReportAgeSeconds is the age of the last report; -1 when there is none.
	ReportAgeSeconds float64          `json:"report_age_seconds"`
	CacheGaps        uint64           `json:"cache_gaps"`
	Loaded           []policy.Variant `json:"loaded"`
}
