// Package engine is the stand-in of a model engine: continuous batching by a step loop,
// token memory that runs out, priorities with preemption, a prefix cache, streams that
// resume, lagging reports and orders. It records what it ran, and faults are switched on
// by a control handler.
package engine

import (
	"io"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// The defaults of Options.
const (
	DefaultMemoryTokens    = 16384
	DefaultMaxWaiting      = 256
	DefaultMaxBatch        = 64
	DefaultStepBase        = 8 * time.Millisecond
	DefaultStepPerSequence = 150 * time.Microsecond
	DefaultStepPerPrefill  = 20 * time.Microsecond
	DefaultCacheBlocks     = 1024
	DefaultOrphanTimeout   = 30 * time.Second
	DefaultRetention       = time.Minute
	DefaultLoadTime        = time.Second
	DefaultMedianTokens    = 64
	DefaultSigma           = 1.2
)

// TextMode names how the text of tokens is made.
type TextMode string

// The modes of text.
const (
	// TextWords draws words from model, version, adapter, prompt and seed: two attempts of
	// the same request say the same.
	TextWords TextMode = "words"
	// TextAttempt makes each token "<attempt id>:<index> ", so that a reader can tell mixed
	// generations, repeats and losses.
	TextAttempt TextMode = "attempt"
)

// Options configure an Engine; zero values stand for the defaults.
type Options struct {
	Name string
	Zone string
	// Loaded is what the engine has loaded at the start.
	Loaded []enginewire.Loaded
	Role   string

	// MemoryTokens is how many tokens, prompts included, the running generations may hold.
	MemoryTokens int
	// MaxWaiting bounds the queue, MaxBatch the running generations.
	MaxWaiting, MaxBatch int
	// A step takes StepBase, and StepPerSequence for each running generation, and
	// StepPerPrefill for each prompt token that it computes.
	StepBase, StepPerSequence, StepPerPrefill time.Duration

	// MedianTokens and Sigma shape the lognormal distribution of output lengths.
	MedianTokens float64
	Sigma        float64
	// Seed varies the lengths between runs; engines that share it agree on them.
	Seed uint64
	Text TextMode

	// ReportLag is how old the load report is.
	ReportLag time.Duration
	// CacheBlocks is the size of the prefix cache.
	CacheBlocks int
	// CacheEventLag is how late cache events appear, CacheEventLoss the share that never does.
	CacheEventLag  time.Duration
	CacheEventLoss float64

	// OrphanTimeout is how long a generation goes on without a reader.
	OrphanTimeout time.Duration
	// Retention is how long the tokens of an ended generation can be read.
	Retention time.Duration

	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// Weights is the URL of the platform that loads read from; empty means none is asked.
	Weights string
	// LoadTime is how long a load takes after the weight store has let it through.
	LoadTime time.Duration

	// Journal, when set, receives what the engine runs, see package journal.
	Journal io.Writer
}

func (o Options) withDefaults() Options {
	setDefault(&o.MemoryTokens, DefaultMemoryTokens)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.StepBase, DefaultStepBase)
	setDefault(&o.StepPerSequence, DefaultStepPerSequence)
	setDefault(&o.StepPerPrefill, DefaultStepPerPrefill)
	setDefault(&o.MedianTokens, DefaultMedianTokens)
	setDefault(&o.Sigma, DefaultSigma)
	setDefault(&o.Text, TextWords)
	setDefault(&o.CacheBlocks, DefaultCacheBlocks)
	setDefault(&o.OrphanTimeout, DefaultOrphanTimeout)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.LoadTime, DefaultLoadTime)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
