package soak

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestRulesBindTheBuildsThatKnowThem checks which build a VM counts as while it is replaced and put back.
func TestRulesBindTheBuildsThatKnowThem(t *testing.T) {
	h := &harness{vms: threeVMs()}
	h.vms[0].builds = []buildPeriod{{at(0), true}, {at(10), false}, {at(20), true}}
	h.vms[1].builds = []buildPeriod{{at(0), false}}
	for seconds, expected := range map[float64]bool{1: true, 11: false, 21: true} {
		require.Equal(t, expected, h.runsProduction("vm-1", at(seconds)), "%g s", seconds)
		require.False(t, h.runsProduction("vm-2", at(seconds)))
	}
	require.False(t, h.runsProduction("", at(1)), "an address of no VM")
}
