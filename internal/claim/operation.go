package claim

import (
	"context"
	"sync/atomic"
	"time"

	"godwitcart/internal/apierror"
)

// releaseDelay is how long a release may wait for a write that it can share. It is short because the
// client may repeat the request immediately.
const releaseDelay = 20 * time.Millisecond

// result is the outcome of an operation on one claim.
type result struct {
	// record is the current claim. It is zero if there is none.
	record Record
	won    bool
	err    error
}

// transition describes how an operation changes the entry of its key.
type transition struct {
	// next replaces the entry. If next is nil the entry is unchanged.
	next *entry
	// forceWrite writes the segment even without a change, so that an earlier write of this VM that is
	// still in flight fails with a conflict.
	forceWrite bool
	result     result
}

// operation is a change or a lookup of one claim, queued for the shard's writer.
type operation struct {
	digest keyDigest
	// apply is a pure function of the key's current entry, which is nil if there is none. It must
	// recognize its own effect, because it runs again after a conflict or a lost response.
	apply func(current *entry) transition
	// undo, if not nil, is queued if the operation took effect, or may have, after its caller stopped
	// waiting or received an error.
	undo *operation
	// inDoubt means that a write containing the operation was sent and its outcome is unknown.
	inDoubt bool
	// deferrable operations wait for the next write, at most for maxDelay. A zero maxDelay stands for
	// Options.EndDelay.
	deferrable bool
	maxDelay   time.Duration

	finished atomic.Bool
	done     chan result
}

func newOperation(key string, apply func(current *entry) transition) *operation {
	return &operation{digest: newKeyDigest(key), apply: apply, done: make(chan result, 1)}
}

// finish delivers the result. It returns false if the caller has stopped waiting.
func (o *operation) finish(outcome result) bool {
	if o.finished.Swap(true) {
		return false
	}
	o.done <- outcome
	return true
}

// wait returns the result. If ctx ends first, wait cancels the operation and returns the context's
// error.
func (o *operation) wait(ctx context.Context) result {
	select {
	case outcome := <-o.done:
		return outcome
	case <-ctx.Done():
	}
	if o.finished.Swap(true) {
		return <-o.done
	}
	return result{err: ctx.Err()}
}

// claimOperation claims a key that has no claim or whose claim another attempt has released. If the
// attempt already holds the claim, it wins again; if it was released before, the result is errWithdrawn.
// Otherwise the result is the existing claim.
func claimOperation(record Record) *operation {
	record.State = StateClaimed
	record.Ending = nil
	claimed := entry{KeyDigest: newKeyDigest(record.Key), Record: record}
	claimed.Key = ""
	o := newOperation(record.Key, func(current *entry) transition {
		switch {
		case current != nil && current.AttemptID == claimed.AttemptID && current.State == StateNotRun:
			return transition{result: result{err: errWithdrawn}}
		case current == nil || current.State == StateNotRun:
			return transition{next: &claimed, result: result{record: claimed.Record, won: true}}
		case current.AttemptID == claimed.AttemptID && current.State == StateClaimed:
			return transition{result: result{record: current.Record, won: true}}
		default:
			return transition{result: result{record: current.Record}}
		}
	})
	o.undo = releaseOperation(record.Key, record.AttemptID, true)
	return o
}

// rebindOperation moves a claim from oldAttempt to newAttempt. It succeeds if newAttempt already holds the
// claim, and fails with a conflict if neither attempt holds it.
func rebindOperation(key, oldAttempt, newAttempt, newTarget string) *operation {
	return newOperation(key, func(current *entry) transition {
		if current == nil || current.State != StateClaimed {
			return transition{result: result{err: lostClaimError(key, current)}}
		}
		if current.AttemptID == newAttempt {
			return transition{result: result{record: current.Record, won: true}}
		}
		if current.AttemptID != oldAttempt {
			return transition{result: result{err: lostClaimError(key, current)}}
		}
		next := *current
		next.AttemptID = newAttempt
		next.Target = newTarget
		return transition{next: &next, result: result{record: next.Record, won: true}}
	})
}

// endOperation records the ending of a claim. It changes nothing unless the attempt holds the claim.
func endOperation(key, attempt string, ending Ending) *operation {
	o := newOperation(key, func(current *entry) transition {
		if current == nil || current.AttemptID != attempt || current.State != StateClaimed {
			return transition{}
		}
		next := *current
		next.State = StateEnded
		next.Ending = &ending
		return transition{next: &next}
	})
	o.deferrable = true
	return o
}

// releaseOperation marks a claim as not run if the attempt holds it. With forceWrite it also ensures
// that an earlier claim of the attempt that is still in flight never takes effect.
func releaseOperation(key, attempt string, forceWrite bool) *operation {
	o := newOperation(key, func(current *entry) transition {
		if current == nil || current.AttemptID != attempt || current.State != StateClaimed {
			return transition{forceWrite: forceWrite}
		}
		next := *current
		next.State = StateNotRun
		return transition{next: &next}
	})
	o.deferrable = true
	o.maxDelay = releaseDelay
	return o
}

// withdrawOperation releases a claim like releaseOperation. If the key has no claim it leaves a
// tombstone, so that a forwarded claim of the attempt that is still in flight is refused.
func withdrawOperation(key, attempt string) *operation {
	o := releaseOperation(key, attempt, true)
	applyRelease := o.apply
	tombstone := entry{KeyDigest: o.digest, Record: Record{AttemptID: attempt, State: StateNotRun}}
	o.apply = func(current *entry) transition {
		if current == nil {
			return transition{next: &tombstone}
		}
		return applyRelease(current)
	}
	return o
}

func lookupOperation(key string) *operation {
	return newOperation(key, func(current *entry) transition {
		if current == nil {
			return transition{result: result{err: errNoClaim}}
		}
		return transition{result: result{record: current.Record}}
	})
}

var errNoClaim = apierror.New(apierror.KindNotFound, "there is no claim of this key", "check the key; claims expire")
