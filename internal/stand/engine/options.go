// Package engine is a stand-in for a model engine. It simulates continuous batching in a step loop, limited token
// memory, priorities with preemption, a prefix cache, resumable streams, load reports with a lag, and orders that load
// and unload models. It records the submissions, and a control handler injects faults.
package engine

import (
	"io"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// Defaults of Options.
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

// TextMode selects how the text of tokens is generated.
type TextMode string

// Text modes.
const (
	// TextWords derives words from model, version, adapter, prompt and seed, so that two attempts of the same request
	// produce the same text.
	TextWords TextMode = "words"
	// TextAttempt writes each token as "<attempt id>:<index> ", so that a reader can detect mixed generations, repeated
	// tokens and lost tokens.
	TextAttempt TextMode = "attempt"
)

// Options configures an Engine. A zero value selects the default where there is one.
type Options struct {
	Name string
	Zone string
	// Loaded lists the models that are loaded at the start.
	Loaded []enginewire.ModelVariant
	Role   string

	// MemoryTokens is the token memory that the running generations share, prompts included.
	MemoryTokens int
	// MaxWaiting limits the queued generations, MaxBatch the running ones.
	MaxWaiting, MaxBatch int
	// A step takes StepBase, plus StepPerSequence for each running generation and StepPerPrefill for each prompt token
	// that is not in the prefix cache.
	StepBase, StepPerSequence, StepPerPrefill time.Duration

	// MedianTokens and Sigma (the standard deviation of the logarithm) define the lognormal distribution of output
	// lengths.
	MedianTokens float64
	Sigma        float64
	// Seed varies the output lengths between runs. Engines with the same seed draw the same length for a request.
	Seed uint64
	Text TextMode

	// ReportLag is the age of the load report.
	ReportLag time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks of enginewire.PrefixBlockBytes.
	CacheBlocks int
	// CacheEventLag delays cache events; CacheEventLoss is the fraction that is dropped.
	CacheEventLag  time.Duration
	CacheEventLoss float64

	// OrphanTimeout is how long a generation continues without a reader before it is canceled.
	OrphanTimeout time.Duration
	// Retention is how long the tokens of a finished generation stay readable.
	Retention time.Duration

	// ChecksFencing makes the engine refuse orders with a fencing number below the highest one accepted.
	ChecksFencing bool
	// WeightsURL is the base URL of the platform whose weight store is read at a load. Empty skips the read.
	WeightsURL string
	// LoadTime is how long a load takes after the read of the weight store.
	LoadTime time.Duration

	// Journal, when set, receives the engine's events in the format of package journal.
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
