package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/roster"
)

const (
	drafter = "drafter"
	zoneA   = "a"
	zoneB   = "b"
)

var start = time.Unix(1_700_000_000, 0)

func engine(id, zone string) roster.Target {
	return roster.Target{ID: id, Service: drafter, Address: id + ":1", Zone: zone, Slots: 24}
}

func newTestTable(vm string, seed uint64, targets ...roster.Target) *Table {
	table := NewTable(Options{Self: Sender{VM: vm, Zone: zoneA}, Seed: seed})
	listed := make(map[string]roster.Target)
	for _, target := range targets {
		listed[target.ID] = target
	}
	table.Listed(listed, start)
	return table
}

func letter(prompt int) Query {
	return Query{Service: drafter, Zone: zoneA, MemoryTokens: 20000, PromptTokens: prompt, OutputTokens: 800, Priority: 1, Objective: 2 * time.Second}
}

// TestPickFollowsPrefill checks that a prompt goes where the fewest prompt tokens wait, whoever sent them.
func TestPickFollowsPrefill(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneA), engine("e3", zoneA))
	table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 1, PrefillTokens: 3000, MemoryTokens: 3000}}, start)
	first, err := table.Pick(letter(3000), start)
	require.NoError(t, err)
	require.NotEqual(t, "e1", first.Target.ID)
	second, err := table.Pick(letter(3000), start)
	require.NoError(t, err)
	require.NotEqual(t, "e1", second.Target.ID)
	require.NotEqual(t, first.Target.ID, second.Target.ID)
	first.FirstEvent(start.Add(400 * time.Millisecond))
	third, err := table.Pick(letter(100), start)
	require.NoError(t, err)
	require.Equal(t, first.Target.ID, third.Target.ID, "the prompt that was read still counts")
}

// TestPickKeepsMemory checks that ordinary work leaves memory for moves, and urgent work may use more.
func TestPickKeepsMemory(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 4, MemoryTokens: 15000}}, start)
	_, err := table.Pick(letter(3000), start)
	require.True(t, apierror.Is(err, apierror.KindOverloaded))
	urgent := letter(3000)
	urgent.Priority = 0
	_, err = table.Pick(urgent, start)
	require.NoError(t, err)
}

// TestPickAvoidsTargets checks each reason for which a target gets no work.
func TestPickAvoidsTargets(t *testing.T) {
	leaving := engine("e2", zoneA)
	leaving.Leaving = true
	table := newTestTable("vm-1", 1, engine("e1", zoneA), leaving, engine("e3", zoneA), engine("e4", zoneA))
	table.MarkLeaving(engine("e3", zoneA))
	for range 20 {
		q := letter(100)
		q.Excluded = []string{"e4"}
		lease, err := table.Pick(q, start)
		require.NoError(t, err)
		require.Equal(t, "e1", lease.Target.ID)
		lease.Done(Answered, start)
	}
	lease, err := table.Pick(Query{Service: drafter, Excluded: []string{"e4"}}, start)
	require.NoError(t, err)
	lease.Done(Unreachable, start)
	_, err = table.Pick(Query{Service: drafter, Excluded: []string{"e4"}}, start)
	require.True(t, apierror.Is(err, apierror.KindNotRun), "an unreachable target gets work at once")
	_, err = table.Pick(Query{Service: drafter, Excluded: []string{"e4"}}, start.Add(maxBackoff))
	require.NoError(t, err, "an unreachable target is never tried again")
}

// TestRestartedTarget checks that a target that starts again under its id is a new one.
func TestRestartedTarget(t *testing.T) {
	old := engine("e1", zoneA)
	old.StartedAt = 1
	old.Leaving = true
	table := newTestTable("vm-1", 1, old)
	_, err := table.Pick(letter(100), start)
	require.Error(t, err)
	renewed := engine("e1", zoneA)
	renewed.StartedAt = 2
	table.Listed(map[string]roster.Target{"e1": renewed}, start)
	lease, err := table.Pick(letter(100), start)
	require.NoError(t, err)
	require.Equal(t, int64(2), lease.Target.StartedAt)
	_, usable := table.PickTarget(old, letter(100), start)
	require.False(t, usable, "the memory of the old start is looked for at the new one")
}

// TestMovesSpread plays the load that an engine leaves behind: thirty VMs choose a destination each at the same
// moment, on the same view. No engine may be given more than it has memory for by more than a third.
func TestMovesSpread(t *testing.T) {
	const vms, need = 30, 3500
	targets := []roster.Target{}
	for i := range 10 {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), zoneA))
	}
	given := make(map[string]int)
	for vm := range vms {
		table := newTestTable(fmt.Sprintf("vm-%d", vm), uint64(vm), targets...)
		table.PeerLoads(Sender{VM: "others", Zone: zoneA}, map[string]Load{"e0": {MemoryTokens: 18000}}, start)
		q := letter(need)
		q.OutputTokens = 0
		q.Move = true
		lease, err := table.Pick(q, start)
		require.NoError(t, err)
		given[lease.Target.ID] += need
	}
	require.Zero(t, given["e0"], "a full engine is given more")
	for id, tokens := range given {
		require.LessOrEqual(t, tokens, 20000*4/3, id)
	}
}

// TestPlacementsSpread plays prompts that arrive at many VMs which tell each other of each placement: the prompt
// tokens that wait at the fullest engine stay near those at the mean one.
func TestPlacementsSpread(t *testing.T) {
	const vms, prompts = 12, 240
	targets := []roster.Target{}
	for i := range 12 {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), []string{zoneA, zoneB}[i%2]))
	}
	tables := make([]*Table, vms)
	for vm := range tables {
		tables[vm] = newTestTable(fmt.Sprintf("vm-%d", vm), uint64(vm), targets...)
	}
	random := rand.New(rand.NewPCG(1, 2))
	waiting := make(map[string]int)
	for range prompts {
		vm := random.IntN(vms)
		q := Query{Service: drafter, Zone: zoneA, MemoryTokens: 1 << 30, PromptTokens: 1000 + random.IntN(4000)}
		lease, err := tables[vm].Pick(q, start)
		require.NoError(t, err)
		waiting[lease.Target.ID] += q.PromptTokens
		for other := range tables {
			if other != vm {
				tables[other].PeerLoads(Sender{VM: fmt.Sprintf("vm-%d", vm), Zone: zoneA}, tables[vm].OwnLoads(), start)
			}
		}
	}
	total, most := 0, 0
	for _, tokens := range waiting {
		total += tokens
		most = max(most, tokens)
	}
	require.Len(t, waiting, len(targets))
	require.LessOrEqual(t, most, total/len(targets)*6/5)
}

// TestTurnsDiffer checks that two VMs never both come first, and that the order differs by target.
func TestTurnsDiffer(t *testing.T) {
	first := make(map[string]int)
	for i := range 40 {
		id := fmt.Sprintf("e%d", i)
		a := newTestTable("vm-1", 1, engine(id, zoneA))
		b := newTestTable("vm-2", 2, engine(id, zoneA))
		a.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{id: {MemoryTokens: 20}}, start)
		b.PeerLoads(Sender{VM: "vm-1", Zone: zoneA}, map[string]Load{id: {MemoryTokens: 10}}, start)
		aheadOfA, aheadOfB := a.TokensAhead(id), b.TokensAhead(id)
		require.True(t, aheadOfA == 0 && aheadOfB == 10 || aheadOfA == 20 && aheadOfB == 0)
		if aheadOfA == 0 {
			first["vm-1"]++
		} else {
			first["vm-2"]++
		}
	}
	require.Len(t, first, 2)
}

// TestStalePeer checks that what a silent peer had sent stops counting.
func TestStalePeer(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 4, MemoryTokens: 19000}}, start)
	_, err := table.Pick(letter(3000), start)
	require.Error(t, err)
	table.PeerLoads(Sender{VM: "vm-3", Zone: zoneA}, nil, start.Add(2*peerLoadLife))
	_, err = table.Pick(letter(3000), start)
	require.NoError(t, err)
}

// TestAwait plays an engine that is full: the most urgent waiting request gets room first, requests of one rank
// in the order of their arrival, and one that the queue will not reach in time is refused at once.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		full := Load{Requests: 5, MemoryTokens: 20000}
		table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": full}, time.Now())
		order := make(chan string, 3)
		wait := func(name string, priority int) {
			q := letter(15000)
			q.Priority = priority
			lease, err := table.Await(context.Background(), q, time.Second)
			if err != nil {
				order <- name + " refused"
				return
			}
			order <- name
			time.Sleep(10 * time.Millisecond)
			lease.Done(Answered, time.Now())
		}
		go wait("first", 1)
		synctest.Wait()
		go wait("second", 1)
		synctest.Wait()
		go wait("urgent", 0)
		synctest.Wait()
		table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, nil, time.Now())
		require.Equal(t, "urgent", <-order)
		require.Equal(t, "first", <-order)
		require.Equal(t, "second", <-order)
		time.Sleep(time.Second) // lets the last one end
	})
}

// TestAwaitRefuses checks when a request that finds no room is refused.
func TestAwaitRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		table.PeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 5, MemoryTokens: 20000}}, time.Now())
		started := time.Now()
		_, err := table.Await(context.Background(), letter(3000), 400*time.Millisecond)
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
		require.Equal(t, 400*time.Millisecond, time.Since(started))
		started = time.Now()
		_, err = table.Await(context.Background(), letter(3000), assumedGrantInterval/2)
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
		require.Zero(t, time.Since(started), "a request that cannot be served in time is held")
		require.Empty(t, table.services[drafter].queue.waiting)
	})
}

// TestAwaitAfterSpells plays engines that fill up now and then, and stay full for longer than a request waits: the
// next spell must find the queue open, whatever the ones before were like.
func TestAwaitAfterSpells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 400 * time.Millisecond
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		peer := Sender{VM: "vm-2", Zone: zoneA}
		full := map[string]Load{"e1": {Requests: 5, MemoryTokens: 20000}}
		for spell := range 20 {
			table.PeerLoads(peer, full, time.Now())
			if spell%2 == 0 {
				_, err := table.Await(context.Background(), letter(3000), patience)
				require.True(t, apierror.Is(err, apierror.KindOverloaded))
				time.Sleep(2 * time.Second)
				table.PeerLoads(peer, full, time.Now())
			}
			time.AfterFunc(patience/2, func() { table.PeerLoads(peer, nil, time.Now()) })
			lease, err := table.Await(context.Background(), letter(3000), patience)
			require.NoError(t, err, "spell %d: refused while room comes in time", spell)
			lease.Done(Answered, time.Now())
			time.Sleep(2 * time.Second)
		}
	})
}

// TestPeerLoadsAddUp has peers come, change and fall silent, and targets come and go: what is counted at each target
// must always be the sum of what the peers said last.
func TestPeerLoadsAddUp(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	table := newTestTable("vm-1", 1)
	now := start
	for range 2000 {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		if random.IntN(20) == 0 {
			listed := make(map[string]roster.Target)
			for i := range 8 {
				if random.IntN(3) > 0 {
					id := fmt.Sprint("e", i)
					listed[id] = engine(id, zoneA)
				}
			}
			table.Listed(listed, now)
		}
		loads := make(map[string]Load)
		for range random.IntN(4) {
			loads[fmt.Sprint("e", random.IntN(8))] = Load{Requests: random.IntN(5), PrefillTokens: random.IntN(900), MemoryTokens: random.IntN(9000)}
		}
		sender := Sender{VM: fmt.Sprint("vm-", random.IntN(6)), Zone: zoneA}
		if random.IntN(5) == 0 {
			sender.VM = ""
		}
		table.PeerLoads(sender, loads, now)
		counted := make(map[string]Load)
		for id, known := range table.targets {
			counted[id] = known.peers
		}
		table.sumPeers()
		for id, known := range table.targets {
			require.Equal(t, known.peers, counted[id])
		}
	}
}

// BenchmarkPeerLoads takes digests of a hundred peers in a fleet with three thousand engines.
func BenchmarkPeerLoads(b *testing.B) {
	targets := make([]roster.Target, 0, 3000)
	for i := range 3000 {
		targets = append(targets, engine(fmt.Sprint("e", i), zoneA))
	}
	table := newTestTable("vm-1", 1, targets...)
	digests := make([]map[string]Load, 100)
	for i := range digests {
		digests[i] = make(map[string]Load)
		for j := range 13 {
			digests[i][fmt.Sprint("e", (i*13+j*7)%3000)] = Load{Requests: 1, MemoryTokens: 3000}
		}
	}
	for n := 0; b.Loop(); n++ {
		table.PeerLoads(Sender{VM: fmt.Sprint("vm-", n%100), Zone: zoneA}, digests[n%100], start)
	}
}

func BenchmarkPick(b *testing.B) {
	targets := []roster.Target{}
	for i := range 60 {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), zoneA))
	}
	table := newTestTable("vm-1", 1, targets...)
	for b.Loop() {
		lease, err := table.Pick(letter(3000), start)
		if err != nil {
			b.Fatal(err)
		}
		lease.Done(Answered, start)
	}
}
