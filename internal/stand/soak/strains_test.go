package soak

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestChosenFaults checks that only the named kinds are drawn, as often as otherwise, and that an unknown one is an error.
func TestChosenFaults(t *testing.T) {
	all, err := chooseKinds(nil)
	require.NoError(t, err)
	require.Equal(t, faultKinds, all)
	chosen, err := chooseKinds([]string{leavesLate, release})
	require.NoError(t, err)
	require.Equal(t, []string{leavesLate, leavesLate, release}, chosen)
	_, err = chooseKinds([]string{"target_sleeps"})
	require.Error(t, err)
}

// TestStrainedStreamsAreCounted guards against a clean report of a run in which no stream met the faults that it tests.
func TestStrainedStreamsAreCounted(t *testing.T) {
	h := &harness{hesitated: map[string]bool{"c": true}}
	h.faults = []fault{
		{leavesLate, "t-1" + lateSubject, at(10), at(11)}, {targetCrowded, "t-2" + crowdedSubject, at(10), at(11)},
		{"vm_stop", "vm-1", at(5), at(13)},
	}
	runs := []platformtest.Run{{Target: "t-1", BegunAt: at(10), EndedAt: at(10.5)}, {Target: "t-2", BegunAt: at(11.5)}}
	c := completeCall()
	met := h.strains(c, runs)
	slices.Sort(met)
	require.Equal(t, []string{backupsHesitate, leavesLate, "vm_stop"}, met)
	h.faults[1].to, c.pace = at(11.6), readingPace{bytesPerSecond: 1}
	require.ElementsMatch(t, []string{backupsHesitate, leavesLate, targetCrowded, "vm_stop", slowlyRead}, h.strains(c, runs))
}

// TestHesitationLastsAsLongAsItsFault checks that engines hesitate in active times alone, and refuse a part of the requests.
func TestHesitationLastsAsLongAsItsFault(t *testing.T) {
	h := &harness{hesitated: make(map[string]bool)}
	hesitate := h.hesitation(1)
	wait, refused := hesitate("c")
	require.Zero(t, wait)
	require.False(t, refused)
	require.Empty(t, h.hesitated)
	h.hesitating.Add(1)
	refusals := 0
	for range 200 {
		wait, refused = hesitate("c")
		require.GreaterOrEqual(t, wait, minHesitation)
		require.Less(t, wait, maxHesitation)
		refusals += count(refused)
	}
	require.InDelta(t, 100, refusals, 40)
	require.True(t, h.hesitated["c"])
}
