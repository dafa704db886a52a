// Package request describes one caller's request and its life: the typed state
// machine that streamed, whole and plain requests share, the relay that puts
// the tokens of one generation in order, and the sealed cursors that let a
// caller resume through any entry VM.
package request

import (
	"time"

	"godwitcart/internal/policy"
)

// Request is what a caller asked for, checked and resolved. It is not changed after admission.
type Request struct {
	ID      string
	Account string
	// Share is the account's weight among accounts of its class.
	Share int
	// RequestsPerSecond and Concurrency limit the account over all entry VMs; zero means no limit.
	RequestsPerSecond float64
	Concurrency       int
	Class             string
	// Priority is the priority of Class; the higher number is served first.
	Priority int
	Service  string
	Variant  policy.Variant
	// Key is the caller's idempotency key; empty when the caller sent none.
	Key string
	// Digest identifies the content, so that a key reused for other content is found.
	Digest string
	// NonIdempotent marks a request that runs at most once.
	NonIdempotent bool
	// Resumable says that the caller comes back with its cursor when its stream breaks.
	Resumable bool
	Prompt    string
	// PromptTokens estimates the memory of the prompt, in tokens.
	PromptTokens int
	PrefixHashes []uint64
	MaxTokens    int
	Seed         uint64
	ReceivedAt   time.Time
	// Deadline is when the caller no longer wants the answer.
	Deadline time.Time
}

// ClaimKey returns the key that copies of the request share, over all entry VMs.
func (r *Request) ClaimKey() string {
	return r.Account + "\x00" + r.Key
}

// NeedsClaim reports whether copies of the request can exist that must not run again.
// A non-idempotent request without a key of its own cannot be told from a new one.
func (r *Request) NeedsClaim() bool {
	return r.NonIdempotent && r.Key != ""
}
