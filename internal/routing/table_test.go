package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/wire/enginewire"
)

var (
	startTime     = time.Unix(1_000_000, 0)
	godwitVariant = policy.Variant{Model: "godwit-7b"}
)

// newFleet returns a table with one engine in each of the zones, all of which have reported that they are idle.
func newFleet(zones ...string) *Table {
	table := NewTable(Options{Zone: zones[0], Seed: 1})
	table.SetPriorities([]int{1, 5})
	var vms []membership.VM
	for i, zone := range zones {
		vms = append(vms, membership.VM{Name: fmt.Sprintf("t%d", i), Zone: zone, State: membership.StateLive, ConfirmedAt: startTime})
	}
	table.SetTargets("godwit-lm", vms, startTime)
	for _, vm := range vms {
		table.ApplyReport(vm.Name, idleReport(startTime), startTime)
	}
	return table
}

func idleReport(asOf time.Time) enginewire.LoadReport {
	return enginewire.LoadReport{
		Incarnation: "a", AsOfUnixMillis: asOf.UnixMilli(), MemoryTokens: 8192,
		Loaded: []enginewire.ModelVariant{{Model: "godwit-7b"}},
	}
}

func engineQuery() Query {
	return Query{Service: "godwit-lm", Variant: godwitVariant, Priority: 5, PromptTokens: 100}
}

func TestPickUsesOwnZoneThenOthersThenRefuses(t *testing.T) {
	table := newFleet("regina-a", "regina-b")
	var zones []string
	for {
		choice, err := table.Pick(engineQuery(), startTime)
		if err != nil {
			require.True(t, apierror.Is(err, apierror.KindOverloaded), err)
			break
		}
		zones = append(zones, choice.Zone)
	}
	require.Equal(t, "regina-a", zones[0])
	require.Contains(t, zones, "regina-b")
	require.Less(t, len(zones), 2*8192/100)
}

func TestLowerPriorityLeavesHeadroom(t *testing.T) {
	count := func(priority int) int {
		table := newFleet("regina-a")
		q := engineQuery()
		q.Priority = priority
		n := 0
		for ; ; n++ {
			if _, err := table.Pick(q, startTime); err != nil {
				return n
			}
		}
	}
	require.Less(t, count(1), count(5))
}

func TestDoneReleasesReservation(t *testing.T) {
	table := newFleet("regina-a")
	var last Choice
	for {
		choice, err := table.Pick(engineQuery(), startTime)
		if err != nil {
			break
		}
		last = choice
	}
	table.Progress(last, 40)
	table.Done(last, OutcomeCompleted, startTime)
	table.Done(last, OutcomeCompleted, startTime)
	_, err := table.Pick(engineQuery(), startTime)
	require.NoError(t, err)
}

func TestPickSkipsUnusableTargets(t *testing.T) {
	later := startTime.Add(time.Second)
	cases := map[string]struct {
		change func(*Table)
		query  func(*Query)
		now    time.Time
		kind   apierror.Kind
	}{
		"marked leaving": {change: func(table *Table) { table.MarkLeaving("t0") }, now: startTime, kind: apierror.KindNotRun},
		"reports leaving": {change: func(table *Table) {
			report := idleReport(later)
			report.Leaving = true
			table.ApplyReport("t0", report, later)
		}, now: later, kind: apierror.KindNotRun},
		"not confirmed":   {now: startTime.Add(4 * time.Second), kind: apierror.KindNotRun},
		"excluded":        {query: func(q *Query) { q.Excluded = []string{"t0"} }, now: startTime, kind: apierror.KindNotRun},
		"not loaded":      {query: func(q *Query) { q.Variant.Model = "other" }, now: startTime, kind: apierror.KindNotRun},
		"unknown service": {query: func(q *Query) { q.Service = "other" }, now: startTime, kind: apierror.KindUnknownModel},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := newFleet("regina-a")
			if c.change != nil {
				c.change(table)
			}
			q := engineQuery()
			if c.query != nil {
				c.query(&q)
			}
			_, err := table.Pick(q, c.now)
			require.True(t, apierror.Is(err, c.kind), "%v", err)
		})
	}
}

func TestLeavingLastsUntilRestart(t *testing.T) {
	table := newFleet("regina-a")
	table.MarkLeaving("t0")
	later := startTime.Add(time.Second)
	table.ApplyReport("t0", idleReport(later), later)
	_, err := table.Pick(engineQuery(), later)
	require.Error(t, err)
	restarted := idleReport(later.Add(time.Second))
	restarted.Incarnation = "b"
	table.ApplyReport("t0", restarted, later.Add(time.Second))
	choice, err := table.Pick(engineQuery(), later.Add(time.Second))
	require.NoError(t, err)
	require.Equal(t, "b", choice.Incarnation)
}

func TestCircuitOpensAndProbesOnce(t *testing.T) {
	table := newFleet("regina-a")
	for range failureThreshold {
		choice, err := table.Pick(engineQuery(), startTime)
		require.NoError(t, err)
		table.Done(choice, OutcomeFailed, startTime)
	}
	_, err := table.Pick(engineQuery(), startTime)
	require.True(t, apierror.Is(err, apierror.KindNotRun))
	probeAt := startTime.Add(minOpenDuration)
	probe, err := table.Pick(engineQuery(), probeAt)
	require.NoError(t, err)
	_, err = table.Pick(engineQuery(), probeAt)
	require.Error(t, err, "a second attempt is sent during the probe")
	table.Done(probe, OutcomeCompleted, probeAt)
	_, err = table.Pick(engineQuery(), probeAt)
	require.NoError(t, err)
}

func TestPlainServicePicksLeastBusy(t *testing.T) {
	table := NewTable(Options{Zone: "regina-a", Seed: 1, PlainConcurrency: 2})
	table.SetTargets("counter-api", []membership.VM{
		{Name: "c0", Zone: "regina-a", State: membership.StateLive, ConfirmedAt: startTime},
		{Name: "c1", Zone: "regina-a", State: membership.StateLive, ConfirmedAt: startTime},
	}, startTime)
	counts := map[string]int{}
	for range 4 {
		choice, err := table.Pick(Query{Service: "counter-api"}, startTime)
		require.NoError(t, err)
		counts[choice.Target]++
	}
	require.Equal(t, map[string]int{"c0": 2, "c1": 2}, counts)
	_, err := table.Pick(Query{Service: "counter-api"}, startTime)
	require.True(t, apierror.Is(err, apierror.KindOverloaded))
}

func TestAttemptsSurviveBriefRemoval(t *testing.T) {
	table := newFleet("regina-a")
	choice, err := table.Pick(engineQuery(), startTime)
	require.NoError(t, err)
	vm := membership.VM{Name: "t0", Zone: "regina-a", State: membership.StateLive, ConfirmedAt: startTime}
	table.SetTargets("godwit-lm", nil, startTime)
	_, err = table.Pick(engineQuery(), startTime)
	require.True(t, apierror.Is(err, apierror.KindNotRun))
	table.SetTargets("godwit-lm", []membership.VM{vm}, startTime.Add(time.Second))
	require.Equal(t, 1, table.Rows(startTime)[0].InProgress)
	_, err = table.Pick(engineQuery(), startTime.Add(time.Second))
	require.NoError(t, err, "the target's report is no longer known")
	table.Done(choice, OutcomeCompleted, startTime)
	table.SetTargets("godwit-lm", nil, startTime)
	table.SetTargets("godwit-lm", nil, startTime.Add(retiredTTL+time.Second))
	require.Empty(t, table.shard("godwit-lm").retired)
}
