package fleet_test

import (
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/evacuation"
)

// evacuations is a fleet.Evacuations that takes any later revision.
type evacuations struct {
	mu    sync.Mutex
	known evacuation.State
}

// Known implements fleet.Evacuations.
func (e *evacuations) Known(time.Time) (evacuation.State, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.known, e.known.Revision > 0
}

// Hear implements fleet.Evacuations.
func (e *evacuations) Hear(_ string, told evacuation.State, _ time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if told.Revision <= e.known.Revision {
		return false
	}
	e.known = told
	return true
}

func (e *evacuations) zones() []string {
	known, _ := e.Known(time.Now())
	return known.Zones
}

// count returns the number of VMs that know these zones in evacuation.
func count(vms map[string]*vm, want ...string) int {
	found := 0
	for _, v := range vms {
		if slices.Equal(v.evacuations.zones(), want) {
			found++
		}
	}
	return found
}

// TestEvacuationReachesAllVMs checks that all VMs learn of a zone in evacuation that one VM has read, far within the bound
// of 5 s, and of its removal; also if that VM is ended once a first one knows.
func TestEvacuationReachesAllVMs(t *testing.T) {
	const farWithinBound = 2500 * time.Millisecond
	zones := map[string]string{"vm-1": "a", "vm-2": "a", "vm-3": "a", "vm-4": "b", "vm-5": "b", "vm-6": "c"}
	for name, endAt := range map[string]int{"all live": 0, "reader ended after telling": 2} {
		t.Run(name, func(t *testing.T) {
			vms := startFleet(t, zones)
			time.Sleep(500 * time.Millisecond) // for the VMs to know their readers
			read := func(v *vm, state evacuation.State) {
				v.evacuations.Hear("store", state, time.Now())
				v.AnnounceEvacuations()
			}
			read(vms["vm-1"], evacuation.State{Revision: 7, Zones: []string{"b"}})
			if endAt > 0 {
				require.Eventually(t, func() bool { return count(vms, "b") >= endAt }, farWithinBound, time.Millisecond)
				vms["vm-1"].stop()
				<-vms["vm-1"].stopped
				delete(vms, "vm-1")
			}
			require.Eventually(t, func() bool { return count(vms, "b") == len(vms) }, farWithinBound, pollInterval)
			read(vms["vm-4"], evacuation.State{Revision: 9})
			require.Eventually(t, func() bool { return count(vms) == len(vms) }, farWithinBound, pollInterval)
		})
	}
}
