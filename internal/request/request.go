// Package request defines callers' requests: their state machine, the registry of active and recently ended
// requests, the sequencer that puts the tokens of one generation in order, and the encrypted cursors with
// which a caller resumes a stream through any entry VM.
package request

import (
	"time"

	"godwitcart/internal/policy"
)

// Request is a validated request, resolved by the configuration. It must not be changed after admission.
type Request struct {
	ID      string
	Account string
	// Share is the account's weight among the accounts of its class.
	Share int
	// RequestsPerSecond and Concurrency limit the account over all entry VMs; zero means no limit.
	RequestsPerSecond float64
	Concurrency       int
	Class             string
	// Priority is the priority of Class; higher numbers are served first.
	Priority int
	Service  string
	Variant  policy.Variant
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// Digest identifies the content; it detects an idempotency key that is reused for other content.
	Digest string
	// NonIdempotent marks a request that must run at most once.
	NonIdempotent bool
	// Resumable means that the caller is able to resume an interrupted stream with its last cursor.
	Resumable bool
	Prompt    string
	// PromptTokens is the estimated length of the prompt, in tokens.
	PromptTokens int
	PrefixHashes []uint64
	MaxTokens    int
	Seed         uint64
	ReceivedAt   time.Time
	// Deadline is the time after which the caller no longer needs the response.
	Deadline time.Time
}

// ClaimKey returns the key that duplicates of the request have in common on all entry VMs.
func (r *Request) ClaimKey() string {
	return r.Account + "\x00" + r.IdempotencyKey
}

// NeedsClaim reports whether the request must be claimed before it runs, so that its duplicates don't run too.
// Without an idempotency key, a duplicate cannot be told from a new request.
func (r *Request) NeedsClaim() bool {
	return r.NonIdempotent && r.IdempotencyKey != ""
}
