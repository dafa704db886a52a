package fleet

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// TestOneVMAsksTheTargets checks which VM of a zone asks its targets: the highest live one, unless a reader of the zone can
// read the platform. Readers of other zones, and totals of them, have no say: they ask their own targets.
func TestOneVMAsksTheTargets(t *testing.T) {
	for name, test := range map[string]struct {
		heard    []digest
		silentMs int
		expected bool
	}{
		"alone":                              {expected: true},
		"below a live VM":                    {heard: []digest{{VM: "vm-2", Zone: "a", Capacity: 9}}},
		"below a VM that has fallen silent":  {heard: []digest{{VM: "vm-2", Zone: "a", Capacity: 9}}, silentMs: 2100, expected: true},
		"above the others":                   {heard: []digest{{VM: "vm-2", Zone: "a", Capacity: 1}}, expected: true},
		"a reader below reads the platform":  {heard: []digest{{VM: "vm-2", Zone: "a", Capacity: 1, Reader: true}}},
		"a reader below has lost it as well": {heard: []digest{{VM: "vm-2", Zone: "a", Capacity: 1, Reader: true, PlatformLost: true}}, expected: true},
		"a reader of another zone":           {heard: []digest{{VM: "vm-2", Zone: "b", Capacity: 9, Reader: true}}, expected: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(Options{
					Self: Member{Name: "vm-1", Zone: "a", Capacity: 5}, Table: placement.NewTable(placement.Options{}), Configuration: noConfiguration{},
					Logger: log.New(io.Discard), TargetChanged: func(roster.Target) {}, InForceWithin: 3 * time.Second,
				})
				require.False(t, f.AsksTargets(), "no VM asks before it knows the directory")
				f.SetMembers(map[string]Member{})
				for _, heard := range test.heard {
					f.handleDigest(&heard, time.Now())
				}
				time.Sleep(time.Duration(test.silentMs) * time.Millisecond)
				require.Equal(t, test.expected, f.AsksTargets())
			})
		})
	}
}
