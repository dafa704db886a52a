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

// noConfiguration is a ConfigurationState that records nothing.
type noConfiguration struct{}

// Proof implements ConfigurationState.
func (noConfiguration) Proof() (uint64, boottime.Instant) { return 3, 0 }

// RecordProof implements ConfigurationState.
func (noConfiguration) RecordProof(uint64, boottime.Instant) {}

// HasLostPlatform implements ConfigurationState.
func (noConfiguration) HasLostPlatform() bool { return false }

// TestReadersLosePlatform checks the case that the readers lose the platform while digests are still exchanged. A
// version may have been accepted right after the readers' last read, so this VM must start to read early enough for
// that version to be in force within the bound. Until then it relies on the readers.
func TestReadersLosePlatform(t *testing.T) {
	const (
		bound = 2 * time.Second
		// readDelay is the maximum time from IsReader becoming true to the end of the resulting read.
		readDelay      = bound/8 + 100*time.Millisecond
		readInterval   = bound / 2
		digestInterval = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := New(Options{
			Self: Member{Name: "vm-1", Zone: "a"}, Table: placement.NewTable(placement.Options{}), Configuration: noConfiguration{},
			Logger: log.New(io.Discard), TargetChanged: func(roster.Target) {}, InForceWithin: bound,
		})
		receiveDigests := func(proofAt time.Time) {
			for _, reader := range []string{"vm-5", "vm-8"} { // both have a higher rank than vm-1 in its zone
				f.handleDigest(&digest{VM: reader, Zone: "a", Reader: true, Version: 3, ProofAgeMillis: time.Since(proofAt).Milliseconds()}, time.Now())
			}
		}
		var proofAt time.Time
		for range 5 {
			proofAt = time.Now()
			for time.Since(proofAt) < readInterval {
				receiveDigests(proofAt)
				require.False(t, f.IsReader(), "this VM reads %v after the readers' proof", time.Since(proofAt))
				time.Sleep(digestInterval)
			}
		}
		for !f.IsReader() {
			receiveDigests(proofAt)
			time.Sleep(digestInterval)
		}
		require.LessOrEqual(t, time.Since(proofAt)+readDelay, bound)
	})
}
