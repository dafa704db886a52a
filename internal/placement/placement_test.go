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
	testService = "drafter"
	zoneA       = "a"
	zoneB       = "b"
)

var startTime = time.Unix(1_700_000_000, 0)

func engine(id, zone string) roster.Target {
	return roster.Target{ID: id, Service: testService, Address: id + ":1", Zone: zone, Slots: 24}
}

func newTestTable(vm string, seed uint64, targets ...roster.Target) *Table {
	table := NewTable(Options{Self: Sender{VM: vm, Zone: zoneA}, Seed: seed})
	listed := make(map[string]roster.Target)
	for _, target := range targets {
		listed[target.ID] = target
	}
	table.ReplaceTargets(listed, startTime)
	return table
}

func engineQuery(prompt int) Query {
	return Query{Service: testService, Zone: zoneA, MemoryTokens: 20000, PromptTokens: prompt, OutputTokens: 800, Priority: 1, FirstEventObjective: 2 * time.Second}
}

// TestPickPrefersShortestPrefillBacklog checks that a prompt goes to the target with the fewest prompt tokens
// pending, those from peers included.
func TestPickPrefersShortestPrefillBacklog(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneA), engine("e3", zoneA))
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 1, PrefillTokens: 3000, MemoryTokens: 3000}}, startTime)
	first, err := table.Pick(engineQuery(3000), startTime)
	require.NoError(t, err)
	require.NotEqual(t, "e1", first.Target.ID)
	second, err := table.Pick(engineQuery(3000), startTime)
	require.NoError(t, err)
	require.NotEqual(t, "e1", second.Target.ID)
	require.NotEqual(t, first.Target.ID, second.Target.ID)
	first.FirstEvent(startTime.Add(400 * time.Millisecond))
	third, err := table.Pick(engineQuery(100), startTime)
	require.NoError(t, err)
	require.Equal(t, first.Target.ID, third.Target.ID, "a prompt that has been read still counts as backlog")
}

// TestPickReservesMemoryForMoves checks that ordinary requests leave memory free for moves, and that urgent ones
// may use it.
func TestPickReservesMemoryForMoves(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 4, MemoryTokens: 15000}}, startTime)
	_, err := table.Pick(engineQuery(3000), startTime)
	require.True(t, apierror.Is(err, apierror.KindOverloaded))
	urgent := engineQuery(3000)
	urgent.Priority = 0
	_, err = table.Pick(urgent, startTime)
	require.NoError(t, err)
}

// TestPickSkipsUnusableTargets checks each condition under which a target gets no work.
func TestPickSkipsUnusableTargets(t *testing.T) {
	leaving := engine("e2", zoneA)
	leaving.Leaving = true
	table := newTestTable("vm-1", 1, engine("e1", zoneA), leaving, engine("e3", zoneA), engine("e4", zoneA))
	table.MarkLeaving(engine("e3", zoneA))
	for range 20 {
		q := engineQuery(100)
		q.Excluded = []string{"e4"}
		lease, err := table.Pick(q, startTime)
		require.NoError(t, err)
		require.Equal(t, "e1", lease.Target.ID)
		lease.Done(Answered, startTime)
	}
	lease, err := table.Pick(Query{Service: testService, Excluded: []string{"e4"}}, startTime)
	require.NoError(t, err)
	lease.Done(Unreachable, startTime)
	_, err = table.Pick(Query{Service: testService, Excluded: []string{"e4"}}, startTime)
	require.True(t, apierror.Is(err, apierror.KindNotRun), "an unreachable target gets work at once")
	_, err = table.Pick(Query{Service: testService, Excluded: []string{"e4"}}, startTime.Add(maxBackoff))
	require.NoError(t, err, "an unreachable target gets no work after its backoff")
}

// TestMissingTargetsAreTheLastChoice guards against new work at targets that have left during a partition from the
// platform, while it is not yet known whether they only have to register again.
func TestMissingTargetsAreTheLastChoice(t *testing.T) {
	missing := engine("e1", zoneA)
	missing.Missing = true
	other := engine("e2", zoneB)
	table := newTestTable("vm-1", 1, missing, other)
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneB}, map[string]Load{"e2": {Requests: 3, PrefillTokens: 900, MemoryTokens: 9000}}, startTime)
	for range 20 {
		lease, err := table.Pick(engineQuery(500), startTime)
		require.NoError(t, err)
		require.Equal(t, "e2", lease.Target.ID)
		lease.Done(Canceled, startTime)
	}
	transfer := engineQuery(500)
	transfer.Move, transfer.Excluded = true, []string{"e2"}
	_, err := table.Pick(transfer, startTime)
	require.Error(t, err, "a generation moves to a target that may be gone")
	transfer.Move = false
	lease, err := table.Pick(transfer, startTime)
	require.NoError(t, err, "without another target it is used")
	require.Equal(t, "e1", lease.Target.ID)
}

// TestRestartedTarget checks that a restarted target with the same id is treated as a new one.
func TestRestartedTarget(t *testing.T) {
	old := engine("e1", zoneA)
	old.StartedAt = 1
	old.Leaving = true
	table := newTestTable("vm-1", 1, old)
	_, err := table.Pick(engineQuery(100), startTime)
	require.Error(t, err)
	restarted := engine("e1", zoneA)
	restarted.StartedAt = 2
	table.ReplaceTargets(map[string]roster.Target{"e1": restarted}, startTime)
	lease, err := table.Pick(engineQuery(100), startTime)
	require.NoError(t, err)
	require.Equal(t, int64(2), lease.Target.StartedAt)
	_, usable := table.PickTarget(old, engineQuery(100), startTime)
	require.False(t, usable, "the memory of the old incarnation is looked for at the new one")
}

// TestGenerationsStayInTheirZone checks that a generation that no other engine could resume crosses zones only to avoid
// a wait longer than its own prefill, and that others cross sooner.
func TestGenerationsStayInTheirZone(t *testing.T) {
	cases := map[string]struct {
		notResumable bool
		localBacklog int
		expectedZone string
	}{
		"resumable, short wait":     {false, 1000, zoneB},
		"not resumable, short wait": {true, 1000, zoneA},
		"not resumable, long wait":  {true, 9000, zoneB},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneB))
			table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 1, PrefillTokens: c.localBacklog, MemoryTokens: c.localBacklog}}, startTime)
			q := engineQuery(3000)
			q.FirstEventObjective = 10 * time.Second
			q.NotResumable = c.notResumable
			lease, err := table.Pick(q, startTime)
			require.NoError(t, err)
			require.Equal(t, c.expectedZone, lease.Target.Zone)
		})
	}
}

// TestWaitingVMsTakeTurns plays twenty VMs whose requests wait for memory when one engine gets room for one of them. The
// VMs learn of it at the same moment and of each other's placements 10 ms later. If all took the room, the engine would
// preempt generations for seconds.
func TestWaitingVMsTakeTurns(t *testing.T) {
	const vms, reportDelay = 20, 10 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		names := make([]Sender, vms)
		tables := make([]*Table, vms)
		placed := make(chan int, vms)
		report := func(from int) {
			loads := tables[from].OwnLoads()
			for to, table := range tables {
				if to != from {
					table.SetPeerLoads(names[from], loads, time.Now())
					table.SetPeerWaiting(names[from], 1)
				}
			}
		}
		full, room := map[string]Load{"e1": {Requests: 5, MemoryTokens: 17000}}, map[string]Load{"e1": {Requests: 4, MemoryTokens: 13500}}
		others := Sender{VM: "others", Zone: zoneA}
		for vm := range tables {
			names[vm] = Sender{VM: fmt.Sprintf("vm-%d", vm), Zone: zoneA}
			tables[vm] = newTestTable(names[vm].VM, uint64(vm), engine("e1", zoneA))
			tables[vm].SetPeerLoads(others, full, time.Now())
		}
		for vm := range tables {
			report(vm)
		}
		for vm, table := range tables {
			go func() {
				if _, err := table.Acquire(t.Context(), engineQuery(2500), 500*time.Millisecond); err == nil {
					placed <- vm
				}
			}()
		}
		synctest.Wait()
		for _, table := range tables {
			table.SetPeerLoads(others, room, time.Now())
		}
		taken := 0
		timeout := time.After(time.Second)
		for waiting := true; waiting; {
			select {
			case vm := <-placed:
				taken++
				time.AfterFunc(reportDelay, func() { report(vm) })
			case <-timeout:
				waiting = false
			}
		}
		require.Positive(t, taken)
		require.LessOrEqual(t, taken, 3)
	})
}

// TestCopiesYieldToGenerations checks that no copy takes the memory of an empty engine while the engines together are
// short of memory for new generations.
func TestCopiesYieldToGenerations(t *testing.T) {
	for name, c := range map[string]struct {
		used    int
		refused bool
	}{"memory to spare": {9000, false}, "memory is short": {18000, true}} {
		t.Run(name, func(t *testing.T) {
			table := newTestTable("vm-1", 1, engine("e1", zoneA), engine("e2", zoneA), engine("e3", zoneA), engine("e4", zoneA))
			load := Load{Requests: 3, MemoryTokens: c.used}
			table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": load, "e2": load, "e3": load}, startTime)
			q := engineQuery(3000)
			q.Copy = true
			_, err := table.Pick(q, startTime)
			require.Equal(t, c.refused, err != nil)
			q.Copy = false
			lease, err := table.Pick(q, startTime)
			require.NoError(t, err)
			require.Equal(t, "e4", lease.Target.ID)
		})
	}
}

// TestConcurrentMovesSpread has thirty VMs choose a move destination at the same moment from the same view, as when
// an engine leaves. No engine may be assigned more than 4/3 of its memory.
func TestConcurrentMovesSpread(t *testing.T) {
	const vms, promptTokens = 30, 3500
	targets := []roster.Target{}
	for i := range 10 {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), zoneA))
	}
	assigned := make(map[string]int)
	for vm := range vms {
		table := newTestTable(fmt.Sprintf("vm-%d", vm), uint64(vm), targets...)
		table.SetPeerLoads(Sender{VM: "others", Zone: zoneA}, map[string]Load{"e0": {MemoryTokens: 18000}}, startTime)
		q := engineQuery(promptTokens)
		q.OutputTokens = 0
		q.Move = true
		lease, err := table.Pick(q, startTime)
		require.NoError(t, err)
		assigned[lease.Target.ID] += promptTokens
	}
	require.Zero(t, assigned["e0"], "a full engine is assigned more generations")
	for id, tokens := range assigned {
		require.LessOrEqual(t, tokens, 20000*4/3, id)
	}
}

// TestPlacementsSpread places prompts from many VMs that report each placement to each other. The engine with the
// most pending prompt tokens may exceed the mean by a fifth.
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
	pendingTokens := make(map[string]int)
	for range prompts {
		vm := random.IntN(vms)
		q := Query{Service: testService, Zone: zoneA, MemoryTokens: 1 << 30, PromptTokens: 1000 + random.IntN(4000)}
		lease, err := tables[vm].Pick(q, startTime)
		require.NoError(t, err)
		pendingTokens[lease.Target.ID] += q.PromptTokens
		for other := range tables {
			if other != vm {
				tables[other].SetPeerLoads(Sender{VM: fmt.Sprintf("vm-%d", vm), Zone: zoneA}, tables[vm].OwnLoads(), startTime)
			}
		}
	}
	total, most := 0, 0
	for _, tokens := range pendingTokens {
		total += tokens
		most = max(most, tokens)
	}
	require.Len(t, pendingTokens, len(targets))
	require.LessOrEqual(t, most, total/len(targets)*6/5)
}

// TestTransferOrder checks that exactly one of two VMs comes first at each target, and that it is not the same VM
// at all of them.
func TestTransferOrder(t *testing.T) {
	first := make(map[string]int)
	for i := range 40 {
		id := fmt.Sprintf("e%d", i)
		tableA := newTestTable("vm-1", 1, engine(id, zoneA))
		tableB := newTestTable("vm-2", 2, engine(id, zoneA))
		tableA.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{id: {MemoryTokens: 20}}, startTime)
		tableB.SetPeerLoads(Sender{VM: "vm-1", Zone: zoneA}, map[string]Load{id: {MemoryTokens: 10}}, startTime)
		aheadOfA, aheadOfB := tableA.TokensAhead(id, startTime), tableB.TokensAhead(id, startTime)
		require.True(t, aheadOfA == 0 && aheadOfB == 10 || aheadOfA == 20 && aheadOfB == 0)
		if aheadOfA == 0 {
			first["vm-1"]++
		} else {
			first["vm-2"]++
		}
	}
	require.Len(t, first, 2)
}

// TestStalePeerLoadsExpire checks that the loads of a peer that sends no more reports stop counting.
func TestStalePeerLoadsExpire(t *testing.T) {
	table := newTestTable("vm-1", 1, engine("e1", zoneA))
	table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 4, MemoryTokens: 19000}}, startTime)
	_, err := table.Pick(engineQuery(3000), startTime)
	require.Error(t, err)
	table.SetPeerLoads(Sender{VM: "vm-3", Zone: zoneA}, nil, startTime.Add(2*peerLoadTTL))
	_, err = table.Pick(engineQuery(3000), startTime)
	require.NoError(t, err)
}

// TestAcquireOrder checks the order in which requests get the capacity of a full engine: by priority, then by
// arrival.
func TestAcquireOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		full := Load{Requests: 5, MemoryTokens: 20000}
		table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": full}, time.Now())
		order := make(chan string, 3)
		wait := func(name string, priority int) {
			q := engineQuery(15000)
			q.Priority = priority
			lease, err := table.Acquire(context.Background(), q, time.Second)
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
		table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, nil, time.Now())
		require.Equal(t, "urgent", <-order)
		require.Equal(t, "first", <-order)
		require.Equal(t, "second", <-order)
		time.Sleep(time.Second) // lets the last goroutine end
	})
}

// TestAcquireRefuses checks that a request is refused when its maximum wait ends, and at once if the
// expected wait is longer.
func TestAcquireRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		table.SetPeerLoads(Sender{VM: "vm-2", Zone: zoneA}, map[string]Load{"e1": {Requests: 5, MemoryTokens: 20000}}, time.Now())
		started := time.Now()
		_, err := table.Acquire(context.Background(), engineQuery(3000), 400*time.Millisecond)
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
		require.Equal(t, 400*time.Millisecond, time.Since(started))
		started = time.Now()
		_, err = table.Acquire(context.Background(), engineQuery(3000), defaultGrantInterval/2)
		require.True(t, apierror.Is(err, apierror.KindOverloaded))
		require.Zero(t, time.Since(started), "a request that cannot be served in time waits in the queue")
		require.Empty(t, table.services[testService].queue.waiting)
	})
}

// TestAcquireAfterOverloadPeriods has an engine fill up repeatedly, at times for longer than a request waits. Long
// waits of one period must not make the queue refuse requests in the next one, where capacity comes in time.
func TestAcquireAfterOverloadPeriods(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxWait = 400 * time.Millisecond
		table := newTestTable("vm-1", 1, engine("e1", zoneA))
		peer := Sender{VM: "vm-2", Zone: zoneA}
		full := map[string]Load{"e1": {Requests: 5, MemoryTokens: 20000}}
		for period := range 20 {
			table.SetPeerLoads(peer, full, time.Now())
			if period%2 == 0 {
				_, err := table.Acquire(context.Background(), engineQuery(3000), maxWait)
				require.True(t, apierror.Is(err, apierror.KindOverloaded))
				time.Sleep(2 * time.Second)
				table.SetPeerLoads(peer, full, time.Now())
			}
			time.AfterFunc(maxWait/2, func() { table.SetPeerLoads(peer, nil, time.Now()) })
			lease, err := table.Acquire(context.Background(), engineQuery(3000), maxWait)
			require.NoError(t, err, "period %d: refused although capacity becomes free in time", period)
			lease.Done(Answered, time.Now())
			time.Sleep(2 * time.Second)
		}
	})
}

// TestPeerLoadSums has peers report, change and expire while targets are added and removed. The load of each target
// must always equal the sum of the peers' last reports.
func TestPeerLoadSums(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 3))
	table := newTestTable("vm-1", 1)
	now := startTime
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
			table.ReplaceTargets(listed, now)
		}
		loads := make(map[string]Load)
		for range random.IntN(4) {
			loads[fmt.Sprint("e", random.IntN(8))] = Load{Requests: random.IntN(5), PrefillTokens: random.IntN(900), MemoryTokens: random.IntN(9000)}
		}
		sender := Sender{VM: fmt.Sprint("vm-", random.IntN(6)), Zone: zoneA}
		if random.IntN(5) == 0 {
			sender.VM = ""
		}
		table.SetPeerLoads(sender, loads, now)
		counted := make(map[string]Load)
		for id, current := range table.targets {
			counted[id] = current.peerLoad
		}
		table.recomputePeerLoads()
		for id, current := range table.targets {
			require.Equal(t, current.peerLoad, counted[id])
		}
	}
}

// BenchmarkPeerLoads applies the reports of a hundred peers in a fleet of three thousand engines.
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
		table.SetPeerLoads(Sender{VM: fmt.Sprint("vm-", n%100), Zone: zoneA}, digests[n%100], startTime)
	}
}

func BenchmarkPick(b *testing.B) {
	targets := []roster.Target{}
	for i := range 60 {
		targets = append(targets, engine(fmt.Sprintf("e%d", i), zoneA))
	}
	table := newTestTable("vm-1", 1, targets...)
	for b.Loop() {
		lease, err := table.Pick(engineQuery(3000), startTime)
		if err != nil {
			b.Fatal(err)
		}
		lease.Done(Answered, startTime)
	}
}

// TestVMsWithTheSameTotalsChooseOneTarget guards against a herd on the engine of another zone that looks best: VMs whose
// own engines are full know the others by the same totals, half a second old, and all choose in that time.
func TestVMsWithTheSameTotalsChooseOneTarget(t *testing.T) {
	const enginesPerZone = 24
	for _, count := range []int{9, 70, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			var engines []roster.Target
			totals := make(map[string]Load)
			own := make(map[string]Load)
			for i := range enginesPerZone {
				engines = append(engines, engine(fmt.Sprint("a", i), zoneA), engine(fmt.Sprint("b", i), zoneB))
				own[fmt.Sprint("a", i)] = Load{Requests: 5, PrefillTokens: 9000, MemoryTokens: 19000}
				totals[fmt.Sprint("b", i)] = Load{Requests: 1 + i, MemoryTokens: 100 * i}
			}
			chosen := make(map[string]int)
			most := 0
			for vm := range count {
				table := newTestTable(fmt.Sprint("vm-", vm), uint64(vm), engines...)
				table.SetPeerLoads(Sender{VM: "other", Zone: zoneA}, own, startTime)
				table.SetPeerLoads(Sender{Zone: zoneB}, totals, startTime)
				lease, err := table.Pick(engineQuery(3000), startTime)
				require.NoError(t, err)
				require.Equal(t, zoneB, lease.Target.Zone)
				chosen[lease.Target.ID]++
				most = max(most, chosen[lease.Target.ID])
			}
			require.LessOrEqual(t, most, 2+count/6, "prompts sent to one engine")
		})
	}
}
