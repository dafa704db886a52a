package object

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// updateAttempts bounds the writes of one Update or Settle.
	updateAttempts = 16
	// updateBackoff is the longest first pause after a conflict or a lost answer; it doubles.
	updateBackoff = 5 * time.Millisecond
	// updateBackoffLimit bounds the pause.
	updateBackoffLimit = 500 * time.Millisecond
)

// Mutation computes the next value from the current object, whose Version is zero when it
// does not exist. It may run several times, also after a write of its own took effect with
// the answer lost: it must recognise its own effect, for instance by a nonce inside the
// value, and then return ErrUnchanged.
type Mutation func(current Object) ([]byte, error)

// Update applies a mutation by conditional updates until one takes effect. A conflict or a
// lost answer makes it read the object again; an UnknownOutcomeError says that the attempts
// or the context ended with the outcome open.
func Update(ctx context.Context, store Store, key string, mutate Mutation) (Object, error) {
	current, err := getOrZero(ctx, store, key)
	if err != nil {
		return Object{}, err
	}
	open := false
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
			// A write whose answer was lost expected an older version: it shows in Current, or never will.
			current, open = conflict.Current, false
		} else if IsUnknownOutcome(err) {
			open = true
		} else {
			return current, orUnknown(key, open, err)
		}
		if attempt+1 == updateAttempts {
			return current, orUnknown(key, open, err)
		}
		if pauseErr := pause(ctx, attempt); pauseErr != nil {
			return current, orUnknown(key, open, err)
		}
		if !open {
			continue
		}
		read, readErr := getOrZero(ctx, store, key)
		if readErr != nil {
			return current, orUnknown(key, open, readErr)
		}
		open = read.Version == current.Version
		current = read
	}
}

// Settle finds out whether a write of value at the expected version, whose answer was lost,
// took effect, and makes it final either way: while the object still has the expected
// version the lost write could yet arrive, so the same write is sent again. applied reports
// whether an object holds the write's effect, also after later writes by others.
func Settle(ctx context.Context, store Store, key string, value []byte, expected uint64, applied func(Object) bool) (Object, bool, error) {
	current, err := Update(ctx, store, key, func(current Object) ([]byte, error) {
		if applied(current) || current.Version != expected {
			return nil, ErrUnchanged
		}
		return value, nil
	})
	if err != nil {
		return current, false, orUnknown(key, true, err)
	}
	return current, applied(current), nil
}

func getOrZero(ctx context.Context, store Store, key string) (Object, error) {
	current, err := store.Get(ctx, key)
	if IsNotFound(err) {
		return Object{Key: key}, nil
	}
	return current, err
}

// orUnknown keeps an earlier write's open outcome from being reported as a plain failure.
func orUnknown(key string, open bool, err error) error {
	if open && !IsUnknownOutcome(err) {
		return NewUnknownOutcomeError(key, err)
	}
	return err
}

// pause waits for a random time under an exponentially growing bound.
func pause(ctx context.Context, attempt int) error {
	bound := min(updateBackoff<<attempt, updateBackoffLimit)
	timer := time.NewTimer(rand.N(bound))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
