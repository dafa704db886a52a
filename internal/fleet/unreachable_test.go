package fleet

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// TestUnreachableTargetsAreTold passes the word of a VM that could not connect to a target to another one, by the bytes that
// they exchange. One that is cut off tells nothing, and is not believed.
func TestUnreachableTargetsAreTold(t *testing.T) {
	listed := map[string]roster.Target{}
	for _, id := range []string{"e1", "e2", "e3"} {
		listed[id] = roster.Target{ID: id, Service: "drafter", Address: id, Zone: "a", Slots: 24, StartedAt: 7}
	}
	newFleet := func(vm string, isCutOff bool) (*Fleet, *placement.Table) {
		table := placement.NewTable(placement.Options{Self: placement.Sender{VM: vm, Zone: "a"}})
		table.ReplaceTargets(listed, time.Now())
		return New(Options{
			Self: Member{Name: vm, Zone: "a"}, Table: table, Configuration: noConfiguration{}, Logger: log.New(io.Discard),
			TargetChanged: func(roster.Target) {}, IsCutOff: func() bool { return isCutOff },
		}), table
	}
	query := placement.Query{Service: "drafter", Zone: "a", MemoryTokens: 20000, PromptTokens: 100, Excluded: []string{"e2"}}
	for _, isCutOff := range []bool{false, true} {
		teller, failing := newFleet("vm-1", isCutOff)
		hearer, table := newFleet("vm-2", false)
		only := query
		only.Excluded = []string{"e2", "e3"}
		lease, err := failing.Pick(only, time.Now())
		require.NoError(t, err)
		lease.Done(placement.Unreachable, time.Now())
		out := digest{VM: "vm-1", Zone: "a", CutOff: isCutOff}
		teller.addUnreachable(&out, time.Now())
		require.Equal(t, isCutOff, len(out.Unreachable) == 0)
		if isCutOff {
			out.Unreachable = []unreachableWord{{Target: "e1", StartedAt: 7}}
		}
		parsed := marshalAndParse(t, out)
		hearer.handleDigest(parsed, time.Now())
		chosen := map[string]bool{}
		for range 40 {
			lease, err := table.Pick(query, time.Now())
			require.NoError(t, err)
			chosen[lease.Target.ID] = true
			lease.Done(placement.Canceled, time.Now())
		}
		require.Equal(t, isCutOff, chosen["e1"])
	}
}
