package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/membership"
)

func TestZonesOfWhichNothingIsHeardAreUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	heard := func(name, zone string, ago time.Duration) membership.VM {
		return membership.VM{Name: name, Zone: zone, ConfirmedAt: now.Add(-ago)}
	}
	others := []membership.VM{
		heard("a2", "a", time.Hour), heard("b1", "b", unreachableAfter), heard("b2", "b", time.Hour),
		heard("c1", "c", unreachableAfter+1), heard("c2", "c", time.Hour), {Name: "d1", Zone: "d"},
	}
	require.Equal(t, []string{"c1", "c2", "d1"}, namesOf(unreachableEntries(others, "a", now)))
	require.Len(t, others, 6)
}
