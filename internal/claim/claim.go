// Package claim stores the claims that make a non-idempotent request run at most once.
//
// A request is claimed before it is dispatched. Claims are stored in the platform's object API, in
// shards selected by a hash of the request key. A shard is a ring of segments. A segment is one
// object, to which a single conditional update adds many claims (group commit).
//
// Invariants, all maintained by conditional updates alone:
//   - a key is in at most one live segment of its shard;
//   - only the segment with the highest generation accepts new keys, and it is
//     sealed before the next segment is created;
//   - a segment is overwritten only after its claims have expired (see tickCounter).
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

const (
	// StateClaimed means that the holder may be running the request, or may have crashed while running
	// it.
	StateClaimed State = "claimed"
	// StateEnded means that the request ran, or may have run, and its final outcome is recorded.
	StateEnded State = "ended"
	// StateNotRun means that the request certainly did not run. Another attempt may claim it.
	StateNotRun State = "not_run"
)

// Outcome classifies how a claimed request ended.
type Outcome string

const (
	// OutcomeAnswered means that the complete response was produced.
	OutcomeAnswered Outcome = "answered"
	// OutcomeFailed means that the request ran and failed.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Ending describes how a claimed request ended.
type Ending struct {
	Outcome Outcome `json:"outcome"`
	// Error is the kind of the error that the client received. It is empty if the request was
	// answered.
	Error apierror.Kind `json:"error,omitempty"`
	// Status is the HTTP status of a plain service's response.
	Status int `json:"status,omitempty"`
	// Tokens is the number of tokens in a generation's output.
	Tokens int `json:"tokens,omitempty"`
}

// Record is one claim.
type Record struct {
	// Key is built by the function Key. Only its digest is stored, so Key is empty in records read
	// from the store.
	Key string `json:"-"`
	// Digest identifies the request's content. It detects a key that is reused for a different
	// request.
	Digest    string `json:"digest,omitempty"`
	Account   string `json:"account,omitempty"`
	RequestID string `json:"request"`
	// AttemptID is unique. After a write with unknown outcome it tells the writer whether a stored
	// claim is its own.
	AttemptID string `json:"attempt"`
	Target    string `json:"target,omitempty"`
	VM        string `json:"vm,omitempty"`
	// ClaimedAt is the claiming VM's clock reading. It is informational only and takes no part in
	// expiry.
	ClaimedAt time.Time `json:"claimed_at"`
	State     State     `json:"state"`
	Ending    *Ending   `json:"ending,omitempty"`
}

// Key returns the claim key for a client account's Idempotency-Key.
func Key(account, idempotencyKey string) string { return account + "\x00" + idempotencyKey }

// digestBytes is the length of a stored key digest. At this length neither an accidental collision nor
// one that an account constructs for another account's key is feasible.
const digestBytes = 18

// keyDigest replaces the key in stored claims. It is an array to save memory: a VM keeps the digests
// of all claims of the shards that it writes.
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
