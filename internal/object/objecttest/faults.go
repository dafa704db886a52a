package objecttest

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"godwitcart/internal/object"
)

// randomDelayMillis bounds the delays of RandomFaults.
const randomDelayMillis = 8

// RandomFaults returns a function for SetFaults that delays every call a little and fails
// about percent of them. The same seed gives the same faults by call number.
func RandomFaults(seed uint64, percent int) func(Call) Fault {
	kinds := []Fault{{Unavailable: true}, {LoseRequest: true}, {LoseAnswer: true}, {Late: true}, {Conflict: true}}
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

// Path is one VM's way to a store. Once cut, for instance because the VM died, nothing that
// the VM writes reaches the store any more.
type Path struct {
	object.Store
	cut atomic.Bool
}

// NewPath returns a way to the store that is not cut.
func NewPath(store object.Store) *Path { return &Path{Store: store} }

// Cut ends the VM's writes.
func (p *Path) Cut() { p.cut.Store(true) }

// Put implements object.Store.
func (p *Path) Put(ctx context.Context, key string, value []byte, expected uint64) (object.Object, error) {
	if p.cut.Load() {
		return object.Object{}, object.NewUnavailableError(retryAfter, false, errInjected)
	}
	return p.Store.Put(ctx, key, value, expected)
}
