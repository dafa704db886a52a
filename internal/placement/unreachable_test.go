package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
)

// failsWithin plays a fleet in which a sixth of 45 engines end at once without a notice, under 46 requests a second. VMs hear
// of each other's failed connections after the delay. It returns the failed connections that began later than 300 ms after
// the first one, in the second that follows.
func failsWithin(t *testing.T, vms int, delay time.Duration) (late int) {
	t.Helper()
	const engines, dead = 45, 7
	zones := []string{"a", "b", "c"}
	var targets []roster.Target
	for i := range engines {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), zones[i%3]))
	}
	tables := make([]*Table, vms)
	for vm := range tables {
		tables[vm] = newTestTable(fmt.Sprintf("vm-%d", vm), uint64(vm), targets...)
		tables[vm].self.Zone = zones[vm%3]
	}
	random := rand.New(rand.NewPCG(uint64(vms), 1))
	var firstFailure time.Time
	type word struct {
		dueAt time.Time
		from  Sender
		words []UnreachableWord
	}
	var inTransit []word
	for now := startTime; now.Before(startTime.Add(1300 * time.Millisecond)); now = now.Add(time.Second / 46) {
		for len(inTransit) > 0 && !now.Before(inTransit[0].dueAt) {
			for _, table := range tables {
				if table.self.VM != inTransit[0].from.VM {
					table.HearUnreachable(inTransit[0].from, inTransit[0].words, now)
				}
			}
			inTransit = inTransit[1:]
		}
		table := tables[random.IntN(vms)]
		q := engineQuery(3000)
		q.Zone = table.self.Zone
		for range maxTries {
			lease, err := table.Pick(q, now)
			require.NoError(t, err)
			var number int
			_, _ = fmt.Sscanf(lease.Target.ID, "e%d", &number)
			if number >= dead {
				lease.FirstEvent(now) // it runs on, so that the dead targets look the least loaded
				for _, other := range tables {
					if other != table {
						other.SetPeerLoads(table.self, table.OwnLoads(), now)
					}
				}
				break
			}
			lease.Done(Unreachable, now)
			q.Excluded = append(q.Excluded, lease.Target.ID)
			if firstFailure.IsZero() {
				firstFailure = now
			}
			if now.Sub(firstFailure) > 300*time.Millisecond {
				late++
			}
			inTransit = append(inTransit, word{now.Add(delay), table.self, table.OwnUnreachable(now)})
		}
	}
	return late
}

// maxTries is the number of targets that a request may be offered to.
const maxTries = 4

// TestDeadTargetsAreKnownToAll bounds what targets that end without a notice cost the fleet: each is found by one request a
// second and, while the word of it travels, by those that come meanwhile (46 a second in 25 ms).
func TestDeadTargetsAreKnownToAll(t *testing.T) {
	for _, vms := range []int{9, 123, 300} {
		const dead, meanwhile = 7, 2
		require.LessOrEqual(t, failsWithin(t, vms, 25*time.Millisecond), dead*meanwhile, "%d VMs", vms)
	}
}

// TestWordOfUnreachableTargets checks whose word counts: it makes a target the last choice, and never takes away the only one.
func TestWordOfUnreachableTargets(t *testing.T) {
	said := []UnreachableWord{{ID: "e1", Age: 100 * time.Millisecond}}
	for name, test := range map[string]struct {
		from     string
		words    []UnreachableWord
		prepare  func(*Table)
		after    time.Duration
		expected string
	}{
		"from the zone":                {from: zoneA, words: said, expected: "e2"},
		"from a third zone":            {from: "c", words: said, expected: "e1"},
		"of an earlier incarnation":    {from: zoneA, words: []UnreachableWord{{ID: "e1", StartedAt: 7}}, expected: "e1"},
		"too old":                      {from: zoneA, words: []UnreachableWord{{ID: "e1", Age: time.Second}}, expected: "e1"},
		"after a second":               {from: zoneA, words: said, after: time.Second, expected: "e1"},
		"from one that reaches nobody": {from: zoneA, words: []UnreachableWord{{ID: "e1"}, {ID: "e2"}, {ID: "e3"}}, expected: "e1"},
		"an answer came since": {from: zoneA, words: said, expected: "e1", prepare: func(table *Table) {
			table.targets["e1"].health.record(Answered, startTime.Add(-50*time.Millisecond))
		}},
		"no other target can take it": {from: zoneA, words: said, expected: "e1", prepare: func(table *Table) {
			table.MarkLeaving(engine("e2", zoneB))
			table.MarkLeaving(engine("e3", zoneB))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneB), engine("e3", zoneB))
			table.SetPeerLoads(Sender{VM: "vm-9", Zone: zoneB}, map[string]Load{"e3": {Requests: 9, PrefillTokens: 9000, MemoryTokens: 9000}}, startTime)
			if test.prepare != nil {
				test.prepare(table)
			}
			table.HearUnreachable(Sender{VM: "vm-2", Zone: test.from}, test.words, startTime)
			lease, err := table.Pick(engineQuery(100), startTime.Add(test.after))
			require.NoError(t, err)
			require.Equal(t, test.expected, lease.Target.ID)
			require.Empty(t, table.OwnUnreachable(startTime), "hearsay is not repeated")
		})
	}
}
