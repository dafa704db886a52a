package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReportsOfSilentPeersCountForEver guards against what lost VMs had placed and asked for that counts until another peer is heard.
func TestReportsOfSilentPeersCountForEver(t *testing.T) {
	peer, zone := Sender{VM: "vm-2", Zone: zoneA}, Sender{Zone: zoneB}
	lax, tight := roomQueries(startTime)
	full := map[string]Load{"e1": {Requests: 24, PrefillTokens: 9000, MemoryTokens: 25000}, "e2": {Requests: 24, PrefillTokens: 9000, MemoryTokens: 24000}}
	demand := []ServiceDemand{{Service: testService, Urgent: UrgentDemand{Running: 9, Tokens: 30000}, WaitingTokens: 3000, HeadDue: -time.Second}}
	for name, test := range map[string]struct {
		sender Sender
		loads  map[string]Load
		counts func(table *Table, now time.Time) bool
	}{
		"generations are refused": {peer, full, func(table *Table, now time.Time) bool {
			_, err := table.Pick(tight, now)
			return err != nil
		}},
		"generations wait": {peer, full, func(table *Table, now time.Time) bool {
			_, w, _ := table.pickOrEnqueue(&tight, time.Second, now)
			return w != nil
		}},
		"waiting generations are not placed": {peer, full, func(table *Table, now time.Time) bool {
			lease, _, _ := table.pickIfFirst(&tight, nil, now)
			return lease == nil
		}},
		"first events are expected late": {peer, full, func(table *Table, now time.Time) bool {
			lease, found := table.PickTarget(engine("e1", zoneA), tight, now)
			return !found || lease.ExpectedFirstEvent > time.Second
		}},
		"first events of leaving targets are expected late": {peer, full, func(table *Table, now time.Time) bool {
			return table.ReserveLeaving(engine("e1", zoneA), tight, now).ExpectedFirstEvent > time.Second
		}},
		"other targets seem to hold less": {peer, full, func(table *Table, now time.Time) bool {
			other, _ := table.OtherTarget(testService, engine("e3", zoneA), now)
			return other.ID == "e2"
		}},
		"moves wait": {peer, full, func(table *Table, now time.Time) bool {
			return table.TokensAhead("e1", now) > 0
		}},
		"totals of the zone are told": {peer, full, func(table *Table, now time.Time) bool {
			return len(table.ZoneLoads(zoneA, now)) > 0
		}},
		"memory is kept": {peer, nil, func(table *Table, now time.Time) bool {
			_, _ = table.Pick(lax, now)
			return table.services[testService].peerUrgent.Running > 0
		}},
		"refused callers return late": {peer, nil, func(table *Table, now time.Time) bool {
			_, _ = table.ReturnAfter(lax, now)
			return table.tokensAhead(table.services[testService], &lax, now) > 0
		}},
		"turns are waited for": {peer, nil, func(table *Table, now time.Time) bool {
			return table.turnWait(&lax, table.services[testService].newWaiter(&lax, now), now) > 0
		}},
		"demands are added up for a new list": {peer, nil, func(table *Table, now time.Time) bool {
			table.ReplaceTargets(nil, now)
			return table.services[testService].peerUrgent.Running > 0
		}},
		"targets of other zones are avoided": {zone, nil, func(table *Table, now time.Time) bool {
			_, _ = table.Pick(tight, now)
			return table.zoneSurcharge() == aggregatedZoneCost
		}},
	} {
		t.Run(name, func(t *testing.T) {
			report := func() *Table {
				table := newRoomTable("vm-9", 1, engine("e1", zoneA), engine("e2", zoneA))
				table.SetPeerLoads(test.sender, test.loads, startTime)
				table.SetPeerDemand(test.sender, demand, startTime)
				return table
			}
			require.True(t, test.counts(report(), startTime.Add(peerLoadTTL)), "a report counts")
			require.False(t, test.counts(report(), startTime.Add(peerLoadTTL+time.Millisecond)), "a report counts after its time")
		})
	}
}
