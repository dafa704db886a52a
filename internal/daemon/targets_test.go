package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/membership"
)

func TestSilentZonesAreUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := func(name, zone string, ago time.Duration) membership.VM {
		return membership.VM{Name: name, Zone: zone, ConfirmedAt: now.Add(-ago)}
	}
	others := []membership.VM{
		confirmed("a2", "a", time.Hour), confirmed("b1", "b", zoneUnreachableAfter), confirmed("b2", "b", time.Hour),
		confirmed("c1", "c", zoneUnreachableAfter+1), confirmed("c2", "c", time.Hour), {Name: "d1", Zone: "d"},
	}
	require.Equal(t, []string{"c1", "c2", "d1"}, vmNames(vmsInUnreachableZones(others, "a", now)))
	require.Len(t, others, 6)
}
