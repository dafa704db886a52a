package claim

import (
	"context"
	"sync/atomic"
	"time"

	"godwitcart/internal/apierror"
)

// releaseDelay is how long a release may wait for a write that it can join; it is short because
// the caller may repeat the request at once.
const releaseDelay = 20 * time.Millisecond

// result is the outcome of an operation on one claim.
type result struct {
	// record is the claim as it stands; zero when there is none.
	record Record
	won    bool
	err    error
}

// step is what an operation does to the entry of its key.
type step struct {
	// next replaces the entry; nil leaves it as it is.
	next *entry
	// touch writes the segment even where nothing changes, so that a write of this VM that is
	// still on its way can no longer take effect.
	touch  bool
	result result
}

// operation is one change of or question about a claim, waiting for the shard's writer.
type operation struct {
	digest keyDigest
	// decide is a pure function of the key's current entry, which is nil when there is none.
	// It recognises its own effect, because it runs again after a conflict or a lost answer.
	decide func(current *entry) step
	// undo, if set, is queued when the operation took effect after its caller gave up.
	undo *operation
	// open means that a write with the operation's effect was sent and its outcome is not known.
	open bool
	// lazy operations wait for the next write, and for at most delay, of which zero stands for
	// Options.EndDelay.
	lazy  bool
	delay time.Duration

	settled atomic.Bool
	done    chan result
}

func newOperation(key string, decide func(current *entry) step) *operation {
	return &operation{digest: newKeyDigest(key), decide: decide, done: make(chan result, 1)}
}

// finish hands the result to the caller, and reports false when the caller has given up.
func (o *operation) finish(outcome result) bool {
	if o.settled.Swap(true) {
		return false
	}
	o.done <- outcome
	return true
}

// wait returns the result, or the context's error after taking the operation back.
func (o *operation) wait(ctx context.Context) result {
	select {
	case outcome := <-o.done:
		return outcome
	case <-ctx.Done():
	}
	if o.settled.Swap(true) {
		return <-o.done
	}
	return result{err: ctx.Err()}
}

func newClaim(record Record) *operation {
	record.State = StateClaimed
	record.Ending = nil
	wanted := entry{KeyDigest: newKeyDigest(record.Key), Record: record}
	wanted.Key = ""
	o := newOperation(record.Key, func(current *entry) step {
		switch {
		case current != nil && current.AttemptID == wanted.AttemptID && current.State == StateNotRun:
			return step{result: result{err: errWithdrawn}}
		case current == nil || current.State == StateNotRun:
			return step{next: &wanted, result: result{record: wanted.Record, won: true}}
		case current.AttemptID == wanted.AttemptID && current.State == StateClaimed:
			return step{result: result{record: current.Record, won: true}}
		default:
			return step{result: result{record: current.Record}}
		}
	})
	o.undo = newRelease(record.Key, record.AttemptID, true)
	return o
}

func newRebind(key, oldAttempt, newAttempt, newTarget string) *operation {
	return newOperation(key, func(current *entry) step {
		if current == nil || current.State != StateClaimed {
			return step{result: result{err: lostClaim(key, current)}}
		}
		if current.AttemptID == newAttempt {
			return step{result: result{record: current.Record, won: true}}
		}
		if current.AttemptID != oldAttempt {
			return step{result: result{err: lostClaim(key, current)}}
		}
		next := *current
		next.AttemptID = newAttempt
		next.Target = newTarget
		return step{next: &next, result: result{record: next.Record, won: true}}
	})
}

func newEnd(key, attempt string, ending Ending) *operation {
	o := newOperation(key, func(current *entry) step {
		if current == nil || current.AttemptID != attempt || current.State != StateClaimed {
			return step{}
		}
		next := *current
		next.State = StateEnded
		next.Ending = &ending
		return step{next: &next}
	})
	o.lazy = true
	return o
}

// newRelease marks a claim as not run if the attempt holds it. With touch it also makes sure
// that an earlier claim of the attempt, still on its way, never takes effect.
func newRelease(key, attempt string, touch bool) *operation {
	o := newOperation(key, func(current *entry) step {
		if current == nil || current.AttemptID != attempt || current.State != StateClaimed {
			return step{touch: touch}
		}
		next := *current
		next.State = StateNotRun
		return step{next: &next}
	})
	o.lazy = true
	o.delay = releaseDelay
	return o
}

// newWithdrawal releases a claim like newRelease, and leaves a mark where the key has none, so that a
// handed over claim of the attempt that is still on its way is refused.
func newWithdrawal(key, attempt string) *operation {
	o := newRelease(key, attempt, true)
	release := o.decide
	mark := entry{KeyDigest: o.digest, Record: Record{AttemptID: attempt, State: StateNotRun}}
	o.decide = func(current *entry) step {
		if current == nil {
			return step{next: &mark}
		}
		return release(current)
	}
	return o
}

func newLookup(key string) *operation {
	return newOperation(key, func(current *entry) step {
		if current == nil {
			return step{result: result{err: errNoClaim}}
		}
		return step{result: result{record: current.Record}}
	})
}

var errNoClaim = apierror.New(apierror.KindNotFound, "there is no claim of this key", "check the key; claims expire")
