package fleet

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/boottime"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// noKnowledge is a Knowledge that records nothing.
type noKnowledge struct{}

// Proof implements Knowledge.
func (noKnowledge) Proof() (uint64, boottime.Instant) { return 3, 0 }

// Prove implements Knowledge.
func (noKnowledge) Prove(uint64, boottime.Instant) {}

// TestReadersThatLoseThePlatform has the readers of all zones lose the platform while this VM and they hear each other:
// this VM must read by itself so early that a version which was accepted right after the readers' last read is in
// force within the bound. Before that it leaves the reading to them.
func TestReadersThatLoseThePlatform(t *testing.T) {
	const (
		bound = 2 * time.Second
		// keeperDelay is the time until a Keeper notes that it must read, and reads.
		keeperDelay  = bound/8 + 100*time.Millisecond
		readInterval = bound / 2
		digestGap    = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{
			Self: Member{Name: "vm-1", Zone: "a"}, Table: placement.NewTable(placement.Options{}), Knowledge: noKnowledge{},
			Logger: log.New(io.Discard), Learnt: func(roster.Target) {}, InForceWithin: bound,
		})
		hear := func(proven time.Time) {
			for _, reader := range []string{"vm-5", "vm-8"} { // both rank above vm-1 in its zone
				f.take(&digest{VM: reader, Zone: "a", Reader: true, Version: 3, ProofMillis: time.Since(proven).Milliseconds()}, time.Now())
			}
		}
		var proven time.Time
		for range 5 {
			proven = time.Now()
			for time.Since(proven) < readInterval {
				hear(proven)
				require.False(t, f.Reader(), "reads %v after the readers' proof", time.Since(proven))
				time.Sleep(digestGap)
			}
		}
		for !f.Reader() {
			hear(proven)
			time.Sleep(digestGap)
		}
		require.LessOrEqual(t, time.Since(proven)+keeperDelay, bound)
	})
}
