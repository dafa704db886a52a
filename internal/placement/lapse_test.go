package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
)

// alwaysLimited is a limit of every target, with permits at any time.
type alwaysLimited struct{ unlimited }

func (alwaysLimited) NamesLimit(roster.Target) bool { return true }

// TestRequestIsSentThoughItsReservationHasLapsed guards against a VM that was suspended, or waited for a connection, and sends
// by what the target had said before.
func TestRequestIsSentThoughItsReservationHasLapsed(t *testing.T) {
	chosen := engine("e1", zoneA)
	cases := map[string]struct {
		limits Limiter
		change func(table *Table)
		later  time.Duration
		lapsed bool
	}{
		"nothing has changed":         {nil, func(*Table) {}, 10 * time.Second, false},
		"says that it leaves":         {nil, func(table *Table) { table.MarkLeaving(chosen) }, 0, true},
		"is no longer listed":         {nil, func(table *Table) { table.ReplaceTargets(nil, startTime) }, 0, true},
		"asks for a pause":            {nil, func(table *Table) { table.Pause(chosen, time.Second, startTime) }, 0, true},
		"its pause has ended":         {nil, func(table *Table) { table.Pause(chosen, time.Second, startTime) }, 2 * time.Second, false},
		"limited, sent soon":          {alwaysLimited{}, func(*Table) {}, 500 * time.Millisecond, false},
		"limited, permit of the past": {alwaysLimited{}, func(*Table) {}, 2 * time.Second, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Options{Self: Sender{VM: "vm-1", Zone: zoneA}, Limits: c.limits, Seed: 1})
			table.ReplaceTargets(map[string]roster.Target{chosen.ID: chosen}, startTime)
			lease, err := table.Pick(engineQuery(100), startTime)
			require.NoError(t, err)
			c.change(table)
			err = lease.CheckLapsed(startTime.Add(c.later))
			require.Equal(t, c.lapsed, err != nil, "%v", err)
		})
	}
}

// TestGenerationGoesOnAtLeavingTarget checks that a reservation of a target that was leaving already does not lapse for that.
func TestGenerationGoesOnAtLeavingTarget(t *testing.T) {
	chosen := engine("e1", zoneA)
	table := newTestTable("vm-1", 1, chosen)
	table.MarkLeaving(chosen)
	require.NoError(t, table.ReserveLeaving(chosen, engineQuery(100), startTime).CheckLapsed(startTime))
}
