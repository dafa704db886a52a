package placement_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// TestPassedOverTargetsAreNamed checks what operators are told of the targets that a request could not use.
func TestPassedOverTargetsAreNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := coldTable("cold", "warm")
		query := placement.Query{Service: "s", Zone: "a", Excluded: []string{"cold"}}
		lease, err := table.Pick(query, time.Now())
		require.NoError(t, err)
		require.Contains(t, lease.PassedOver(time.Now()), "1 cold, without a turn: cold (cold for 1000 ms")
		require.Empty(t, lease.PassedOver(time.Now().Add(time.Second)), "it is warm")
		table.SetEvacuations([]string{"a"}, time.Now())
		require.Equal(t, "2 in zone a in evacuation", lease.PassedOver(time.Now()))
	})
}

// TestRefusalNamesEvacuatedZone checks that a refusal for want of room names the zones whose targets may not be used.
func TestRefusalNamesEvacuatedZone(t *testing.T) {
	table := placement.NewTable(placement.Options{})
	now := time.Now()
	table.ReplaceTargets(map[string]roster.Target{
		"t-1": {ID: "t-1", Service: "s", Zone: "a", Slots: 8}, "t-2": {ID: "t-2", Service: "s", Zone: "b", Slots: 8},
	}, now)
	table.SetEvacuations([]string{"b"}, now)
	query := placement.Query{Service: "s", Zone: "a", MemoryTokens: 100, PromptTokens: 100}
	_, err := table.Pick(query, now)
	require.NoError(t, err)
	_, err = table.Pick(query, now)
	require.ErrorContains(t, err, "passed over: 1 in zone b in evacuation")
}
