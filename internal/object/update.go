package object

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxUpdateAttempts bounds the writes of one Update or ResolveOutcome.
	maxUpdateAttempts = 16
	// initialBackoff bounds the first delay after a conflict or a lost response; the bound doubles with each attempt.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// Mutation computes the next value from the current object, whose Version is zero if it
// does not exist. It may run several times, also after its own write took effect and only
// the response was lost: it must recognise its own effect, for instance by a nonce in the
// value, and then return ErrUnchanged.
type Mutation func(current Object) ([]byte, error)

// Update applies a mutation by conditional updates until one takes effect. After a conflict or a lost response it
// continues from the current object. It returns an UnknownOutcomeError if the attempts or the context end before the
// outcome of a write is known.
func Update(ctx context.Context, store Store, key string, mutate Mutation) (Object, error) {
	current, err := getOrZero(ctx, store, key)
	if err != nil {
		return Object{}, err
	}
	outcomeUnknown := false
	for attempt := 0; ; attempt++ {
		value, err := mutate(current)
		if errors.Is(err, ErrUnchanged) {
			return current, nil
		}
		if err != nil {
			return current, err
		}
		written, err := store.Put(ctx, key, value, current.Version)
		if err == nil {
			return written, nil
		}
		if conflict, ok := AsConflict(err); ok {
			// An earlier write with a lost response expected an older version than Current: either it took effect
			// and Current includes it, or it never will.
			current, outcomeUnknown = conflict.Current, false
		} else if IsUnknownOutcome(err) {
			outcomeUnknown = true
		} else {
			return current, wrapUnknownOutcome(key, outcomeUnknown, err)
		}
		if attempt+1 == maxUpdateAttempts {
			return current, wrapUnknownOutcome(key, outcomeUnknown, err)
		}
		if backoffErr := waitBackoff(ctx, attempt); backoffErr != nil {
			return current, wrapUnknownOutcome(key, outcomeUnknown, err)
		}
		if !outcomeUnknown {
			continue
		}
		latest, readErr := getOrZero(ctx, store, key)
		if readErr != nil {
			return current, wrapUnknownOutcome(key, outcomeUnknown, readErr)
		}
		outcomeUnknown = latest.Version == current.Version
		current = latest
	}
}

// ResolveOutcome determines whether a write of value at the expected version, whose response was lost,
// took effect, and makes the outcome final: as long as the object has the expected version, the lost
// write can still arrive, so ResolveOutcome sends the same write again. applied reports
// whether an object includes the write's effect, also after later writes by others.
func ResolveOutcome(ctx context.Context, store Store, key string, value []byte, expected uint64, applied func(Object) bool) (Object, bool, error) {
	current, err := Update(ctx, store, key, func(current Object) ([]byte, error) {
		if applied(current) || current.Version != expected {
			return nil, ErrUnchanged
		}
		return value, nil
	})
	if err != nil {
		return current, false, wrapUnknownOutcome(key, true, err)
	}
	return current, applied(current), nil
}

// getOrZero returns an object with Version zero if the object does not exist.
func getOrZero(ctx context.Context, store Store, key string) (Object, error) {
	current, err := store.Get(ctx, key)
	if IsNotFound(err) {
		return Object{Key: key}, nil
	}
	return current, err
}

// wrapUnknownOutcome wraps err in an UnknownOutcomeError if an earlier write's outcome is unknown: err alone would tell
// the caller that nothing was written.
func wrapUnknownOutcome(key string, outcomeUnknown bool, err error) error {
	if outcomeUnknown && !IsUnknownOutcome(err) {
		return NewUnknownOutcomeError(key, err)
	}
	return err
}

// waitBackoff waits for a random delay below an exponentially growing bound.
func waitBackoff(ctx context.Context, attempt int) error {
	bound := min(initialBackoff<<attempt, maxBackoff)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
