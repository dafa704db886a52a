// Package claim keeps the claims that make a non-idempotent request run at most once.
//
// A request is claimed before it is dispatched. Claims live in the platform's
// object API, in shards by hash of the request key. A shard is a ring of
// segments; a segment is one object to which many claims are added by one
// conditional update (group commit).
//
// Invariants, all of them kept by the conditional update alone:
//   - a key stands in at most one live segment of its shard;
//   - only the segment with the highest generation takes new keys, and it is
//     sealed before the next one is begun;
//   - a segment is overwritten only after its claims have expired (see ticker).
package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateClaimed means that the holder may be running the request, or has died doing so.
	StateClaimed State = "claimed"
	// StateEnded means that the request ran, or may have run, and has its final answer.
	StateEnded State = "ended"
	// StateNotRun means that the request certainly did not run; another attempt may claim it.
	StateNotRun State = "not_run"
)

// Outcome says how a claimed request ended.
type Outcome string

// The outcomes of a claimed request.
const (
	// OutcomeAnswered means that the whole answer was produced.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed means that the request ran and ended with an error.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Ending is how a claimed request ended.
type Ending struct {
	Outcome Outcome `json:"outcome"`
	// Error is the kind of the error that the caller received; empty when it was answered.
	Error apierror.Kind `json:"error,omitempty"`
	// Status is the HTTP status that a plain service answered with.
	Status int `json:"status,omitempty"`
	// Tokens is the number of tokens of a generation's answer.
	Tokens int `json:"tokens,omitempty"`
}

// Record is one claim.
type Record struct {
	// Key is made by Key. It is stored only as a digest and empty in records that were read back.
	Key string `json:"-"`
	// Digest identifies the request's content, so that a key used for another request is noticed.
	Digest    string `json:"digest,omitempty"`
	Account   string `json:"account,omitempty"`
	RequestID string `json:"request"`
	// AttemptID is unique; it also tells the writer of a claim its own from another's.
	AttemptID string `json:"attempt"`
	Target    string `json:"target,omitempty"`
	VM        string `json:"vm,omitempty"`
	// ClaimedAt is by the clock of the claiming VM and only for people to read.
	ClaimedAt time.Time `json:"claimed_at"`
	State     State     `json:"state"`
	Ending    *Ending   `json:"ending,omitempty"`
}

// Key returns the key of a client account's request.
func Key(account, idempotencyKey string) string { return account + "\x00" + idempotencyKey }

// digestBytes is the length of a stored key digest; at this length a collision can be neither
// met by chance nor constructed by one account for another's key.
const digestBytes = 18

// keyDigest is what a claim stores in place of its key. It is an array because a VM holds the
// digests of all claims of the shards that it writes.
type keyDigest [digestBytes]byte

func newKeyDigest(key string) keyDigest {
	sum := sha256.Sum256([]byte(key))
	return keyDigest(sum[:digestBytes])
}

// MarshalText implements encoding.TextMarshaler.
func (d keyDigest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *keyDigest) UnmarshalText(text []byte) error {
	decoded, err := base64.RawURLEncoding.DecodeString(string(text))
	if err != nil || len(decoded) != digestBytes {
		return errors.Newf("%q is not the digest of a claim's key", text)
	}
	*d = keyDigest(decoded)
	return nil
}
