package origin_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/origin"
)

// TestHoldersAreInDifferentZones checks that holders lie in as many zones as there are, and that load is spread.
func TestHoldersAreInDifferentZones(t *testing.T) {
	n := &network{}
	for i := range 30 {
		n.vms = append(n.vms, origin.VM{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	zones := make(map[string]string)
	for _, vm := range n.vms {
		zones[vm.Name] = vm.Zone
	}
	held := make(map[string]int)
	const attempts = 3000
	for i := range attempts {
		holders := origin.Holders(fmt.Sprintf("attempt-%d", i), n.vms)
		require.Len(t, holders, 3)
		seen := make(map[string]bool)
		for _, holder := range holders {
			seen[zones[holder]] = true
			held[holder]++
		}
		require.Len(t, seen, 3)
	}
	require.Len(t, held, len(n.vms))
	for _, count := range held {
		require.InDelta(t, 3*attempts/len(n.vms), count, 100)
	}
	require.Len(t, origin.Holders("a", n.vms[:1]), 1)
	require.Len(t, origin.Holders("a", []origin.VM{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}), 2)
}

// TestRecordIsKeptUntilItExpires checks that the first record counts, and that it expires.
func TestRecordIsKeptUntilItExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(1, 1)
		registry := n.registry("vm-0")
		require.False(t, registry.Publish(t.Context(), origin.Record{Attempt: "a", Version: "v1", TTL: time.Minute}), "nobody can confirm")
		registry.Publish(t.Context(), origin.Record{Attempt: "a", Version: "v2", TTL: time.Minute})
		record, err := registry.Lookup(t.Context(), "a")
		require.NoError(t, err)
		require.Equal(t, "v1", record.Version)
		_, err = registry.Lookup(t.Context(), "b")
		require.ErrorIs(t, err, origin.ErrUnknown)
		time.Sleep(2 * time.Minute)
		_, err = registry.Lookup(t.Context(), "a")
		require.ErrorIs(t, err, origin.ErrUnknown)
	})
}

// TestUnansweredLookupIsNotUnknown checks that an attempt counts as unknown only if all holders answered, and that no
// call waits longer than its bound.
func TestUnansweredLookupIsNotUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(9, 1)
		_, err := n.registry("vm-0").Lookup(t.Context(), "nobody")
		require.ErrorIs(t, err, origin.ErrUnknown)
		n.lossy = 1
		started := time.Now()
		_, err = n.registry("vm-0").Lookup(t.Context(), "nobody")
		require.ErrorIs(t, err, origin.ErrNoAnswer)
		require.Equal(t, 150*time.Millisecond, time.Since(started))
		started = time.Now()
		require.False(t, n.registry("vm-0").Publish(t.Context(), origin.Record{Attempt: "a", TTL: time.Minute}))
		require.Equal(t, 40*time.Millisecond, time.Since(started))
	})
}
