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

// TestReadersKeepTotalsOfLostZoneAlive guards against two readers of a zone, as there are while the platform is away, that relay the
// totals of a lost zone to each other for ever.
func TestReadersKeepTotalsOfLostZoneAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := roster.Target{ID: "e1", Service: "drafter", Zone: "c", Slots: 4}
		var readers []*Fleet
		for _, name := range []string{"vm-1", "vm-2"} {
			table := placement.NewTable(placement.Options{Self: placement.Sender{VM: name, Zone: "a"}})
			table.ReplaceTargets(map[string]roster.Target{target.ID: target}, time.Now())
			readers = append(readers, New(Options{
				Self: Member{Name: name, Zone: "a"}, Table: table, Configuration: noConfiguration{}, Logger: log.New(io.Discard),
				TargetChanged: func(roster.Target) {}, InForceWithin: 3 * time.Second,
			}))
		}
		total := &digest{VM: "vm-9", Zone: "c", Reader: true, ZoneTotal: true, VMCount: 1, Loads: []targetLoads{{Target: "e1", Requests: 4, Memory: 20000}}}
		readers[0].handleDigest(total, time.Now())
		exchange := func(duration time.Duration) {
			for started := time.Now(); time.Since(started) < duration; time.Sleep(statusInterval) {
				for i, sender := range readers {
					out := &digest{VM: sender.options.Self.Name, Zone: "a", Reader: true, VMCount: 1}
					sender.mu.Lock()
					sender.addStatus(out, time.Now())
					sender.mu.Unlock()
					readers[1-i].handleDigest(out, time.Now())
					sender.expire(time.Now())
				}
			}
		}
		exchange(time.Second)
		require.Len(t, readers[1].options.Table.ZoneLoads("c", time.Now()), 1, "totals are relayed")
		exchange(zoneTimeout + 3*time.Second)
		for _, reader := range readers {
			require.Empty(t, reader.options.Table.ZoneLoads("c", time.Now()))
		}
		exchange(zoneTimeout)
		for _, reader := range readers {
			require.Empty(t, reader.zones)
		}
	})
}
