package objecttest

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"godwitcart/internal/object"
)

// randomDelayMillis is the exclusive upper bound of the delays of RandomFaults.
const randomDelayMillis = 8

// RandomFaults returns a function for SetFaults that delays every call briefly and injects a fault into about the given
// percentage of them. Delay and fault depend only on the seed and the call's number.
func RandomFaults(seed uint64, percent int) func(Call) Fault {
	kinds := []Fault{{Unavailable: true}, {LoseRequest: true}, {LoseResponse: true}, {DeferWrite: true}, {Conflict: true}}
	return func(call Call) Fault {
		random := rand.New(rand.NewPCG(seed, uint64(call.Number)))
		delay := time.Duration(random.IntN(randomDelayMillis)) * time.Millisecond
		var fault Fault
		if random.IntN(100) < percent {
			fault = kinds[random.IntN(len(kinds))]
		}
		fault.Delay = delay
		return fault
	}
}

// VMStore is a store as one VM uses it. After BlockWrites, no Put of the VM reaches the store, as after a crash of
// the VM.
type VMStore struct {
	object.Store
	writesBlocked atomic.Bool
}

// NewVMStore returns a VMStore whose writes are not blocked.
func NewVMStore(store object.Store) *VMStore { return &VMStore{Store: store} }

// BlockWrites makes all later calls of Put fail with an UnavailableError.
func (s *VMStore) BlockWrites() { s.writesBlocked.Store(true) }

// Put implements object.Store.
func (s *VMStore) Put(ctx context.Context, key string, value []byte, expected uint64) (object.Object, error) {
	if s.writesBlocked.Load() {
		return object.Object{}, object.NewUnavailableError(retryAfter, false, errInjected)
	}
	return s.Store.Put(ctx, key, value, expected)
}
