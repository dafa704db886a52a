// Package load stands in for callers. It generates an open-loop load of streamed and non-streamed generations and
// calls to plain services from a seed, sends it to several entry VMs, resumes streams and retries requests after
// failures, and records what each caller received.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Kind is the kind of a request.
type Kind string

// The kinds of request.
const (
	// KindStream is a streamed generation.
	KindStream Kind = "stream"
	// KindWhole is a generation without streaming.
	KindWhole Kind = "whole"
	// KindPlain is a call to a plain service.
	KindPlain Kind = "plain"
)

// Mix is the relative weight of each kind.
type Mix struct {
	Stream, Whole, Plain float64
}

// Options configures a run.
type Options struct {
	// EntryURLs are the base URLs of the entry VMs.
	EntryURLs []string
	// ReadyURLs are the URLs of their readiness checks, in the same order; if empty, all are always ready.
	ReadyURLs []string
	// Keys are the callers' API keys; each request uses a random one.
	Keys    []string
	Model   string
	Classes []string
	// Services are the names of the plain services.
	Services []string

	// Rate is the number of requests started per second during Duration.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	Mix      Mix
	// NonIdempotentShare is the share of requests that may run at most once, DuplicateShare the share of these that
	// are sent twice with the same idempotency key.
	NonIdempotentShare, DuplicateShare float64
	// MaxStagger bounds the delay of the second copy; half of the second copies are sent without delay.
	MaxStagger time.Duration
	// DisconnectShare is the share of streams whose caller disconnects before the end.
	DisconnectShare float64

	// MedianTokens and Sigma are the parameters of the lognormal distribution of output lengths, which MaxTokens caps.
	MedianTokens float64
	Sigma        float64
	MaxTokens    int
	// PromptBytes is the minimum length of prompts; shorter ones are padded with text that all prompts share.
	PromptBytes int

	// Deadline bounds a request; the remaining time is sent in a header.
	Deadline time.Duration
	// DeadlineGrace is how long after the deadline a caller still waits for a response that reports it.
	DeadlineGrace time.Duration
	// IdleTimeout is how long a caller waits for data before it tries another entry VM.
	IdleTimeout time.Duration
}

// Request is one planned request.
type Request struct {
	// After is the start of the request, relative to the start of the run.
	After time.Duration
	// Tag is a unique prefix of the prompt or body that identifies the request.
	Tag           string
	Kind          Kind
	Chat          bool
	Key           string
	Class         string
	Service       string
	Account       string
	Tokens        int
	NonIdempotent bool
	// Copies is the number of callers that send the request, each Stagger after the previous one.
	Copies  int
	Stagger time.Duration
	// DisconnectAfter is the number of tokens after which the caller disconnects; zero means never.
	DisconnectAfter int `json:"LeaveAfter"`
}

// planRequests generates the requests of a run. The result depends only on the options.
func planRequests(options Options) []Request {
	random := rand.New(rand.NewPCG(options.Seed, 1))
	var requests []Request
	for at := randomInterval(random, options.Rate); at < options.Duration; at += randomInterval(random, options.Rate) {
		request := randomRequest(random, options)
		request.After = at
		request.Tag = fmt.Sprintf("tag=%d-%06d", options.Seed, len(requests))
		request.Key = "key-" + request.Tag
		requests = append(requests, request)
	}
	return requests
}

// randomInterval returns an exponentially distributed interval, which makes the starts a Poisson process.
func randomInterval(random *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
}

func randomRequest(random *rand.Rand, options Options) Request {
	request := Request{
		Kind:          randomKind(random, options.Mix),
		Chat:          random.IntN(2) == 0,
		Class:         randomElement(random, options.Classes),
		Service:       randomElement(random, options.Services),
		Account:       randomElement(random, options.Keys),
		Tokens:        randomTokenCount(random, options),
		NonIdempotent: random.Float64() < options.NonIdempotentShare,
		Copies:        1,
	}
	if request.NonIdempotent && random.Float64() < options.DuplicateShare {
		request.Copies = 2
	}
	if request.Copies > 1 && options.MaxStagger > 0 && random.IntN(2) == 0 {
		request.Stagger = time.Duration(random.Int64N(int64(options.MaxStagger)))
	}
	if request.Kind == KindStream && random.Float64() < options.DisconnectShare {
		request.DisconnectAfter = 1 + random.IntN(request.Tokens)
	}
	return request
}

func randomKind(random *rand.Rand, mix Mix) Kind {
	point := random.Float64() * (mix.Stream + mix.Whole + mix.Plain)
	switch {
	case point < mix.Stream:
		return KindStream
	case point < mix.Stream+mix.Whole:
		return KindWhole
	default:
		return KindPlain
	}
}

func randomTokenCount(random *rand.Rand, options Options) int {
	tokens := options.MedianTokens * math.Exp(options.Sigma*random.NormFloat64())
	return int(min(max(tokens, 1), float64(options.MaxTokens)))
}

func randomElement(random *rand.Rand, list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[random.IntN(len(list))]
}
