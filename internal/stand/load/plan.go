// Package load is the stand-in of the callers: an open loop of streamed, whole and plain
// requests from a seed, to many entry VMs, with resume and repeats after broken links. It
// keeps what each caller received.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Kind is what a caller asks for.
type Kind string

// The kinds of request.
const (
	// KindStream is a streamed generation.
	KindStream Kind = "stream"
	// KindWhole is a generation answered at its end.
	KindWhole Kind = "whole"
	// KindPlain is a call to a plain service.
	KindPlain Kind = "plain"
)

// Mix is the relative weight of each kind.
type Mix struct {
	Stream, Whole, Plain float64
}

// Options configure a run.
type Options struct {
	// Entries are the base URLs of the entry VMs.
	Entries []string
	// Ready are the URLs of their readiness checks, in the same order; empty means all are ready.
	Ready []string
	// Keys are the callers' API keys; each request takes one.
	Keys    []string
	Model   string
	Classes []string
	// Services are the names of the plain services.
	Services []string

	// Rate is how many requests start a second, for Duration.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      Mix
	// NonIdempotent is the share of requests that may run at most once, Duplicated the share
	// of those that are sent twice at once with one key.
	NonIdempotent, Duplicated float64
	// Stagger bounds how much later the second copy may be sent; half of them go at once.
	Stagger time.Duration
	// Leaving is the share of streams whose caller leaves in the middle.
	Leaving float64

	// MedianTokens and Sigma shape the lognormal output lengths, at most MaxTokens.
	MedianTokens float64
	Sigma        float64
	MaxTokens    int
	// PromptBytes is the length that prompts are filled up to with a text that they share.
	PromptBytes int

	// Deadline bounds a request; it is sent along.
	Deadline time.Duration
	// Grace is how long after the deadline a caller still waits to be told of it.
	Grace time.Duration
	// Silence is how long a caller waits for the next byte before it tries another entry VM.
	Silence time.Duration
}

// Request is one planned request.
type Request struct {
	// After is when it starts, from the start of the run.
	After time.Duration
	// Tag is at the front of the prompt or body; no other request has it.
	Tag           string
	Kind          Kind
	Chat          bool
	Key           string
	Class         string
	Service       string
	Account       string
	Tokens        int
	NonIdempotent bool
	// Copies is how many callers send it, each Stagger after the one before.
	Copies  int
	Stagger time.Duration
	// LeaveAfter is after how many tokens the caller leaves; zero means never.
	LeaveAfter int
}

// plan draws the requests of a run; the same options give the same plan.
func plan(options Options) []Request {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var requests []Request
	for at := interval(random, options.Rate); at < options.Duration; at += interval(random, options.Rate) {
		request := draw(random, options)
		request.After = at
		request.Tag = fmt.Sprintf("tag=%d-%06d", options.Seed, len(requests))
		request.Key = "key-" + request.Tag
		requests = append(requests, request)
	}
	return requests
}

func interval(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

func draw(random *rand.Rand, options Options) Request {
	request := Request{
		Kind:          drawKind(random, options.Mix),
		Chat:          random.IntN(2) == 0,
		Class:         pick(random, options.Classes),
		Service:       pick(random, options.Services),
		Account:       pick(random, options.Keys),
		Tokens:        drawTokens(random, options),
		NonIdempotent: random.Float64() < options.NonIdempotent,
		Copies:        1,
	}
	if request.NonIdempotent && random.Float64() < options.Duplicated {
		request.Copies = 2
	}
	if request.Copies > 1 && options.Stagger > 0 && random.IntN(2) == 0 {
		request.Stagger = time.Duration(random.Int64N(int64(options.Stagger)))
	}
	if request.Kind == KindStream && random.Float64() < options.Leaving {
		request.LeaveAfter = 1 + random.IntN(request.Tokens)
	}
	return request
}

func drawKind(random *rand.Rand, mix Mix) Kind {
	x := random.Float64() * (mix.Stream + mix.Whole + mix.Plain)
	switch {
	case x < mix.Stream:
		return KindStream
	case x < mix.Stream+mix.Whole:
		return KindWhole
	default:
		return KindPlain
	}
}

func drawTokens(random *rand.Rand, options Options) int {
	tokens := options.MedianTokens * math.Exp(options.Sigma*random.NormFloat64())
	return int(min(max(tokens, 1), float64(options.MaxTokens)))
}

func pick(random *rand.Rand, list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[random.IntN(len(list))]
}
