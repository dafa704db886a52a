package routing

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"godwitcart/internal/membership"
	"godwitcart/internal/policy"
	"godwitcart/internal/wire/enginewire"
)

// newLargeFleet returns a table with the given number of replicas, spread over one service for each model.
func newLargeFleet(models, replicas int) (*Table, time.Time) {
	now := time.Unix(1_000_000, 0)
	table := NewTable(Options{Zone: "a1", Seed: 1, EntryVMCount: 410})
	table.SetPriorities([]int{1, 5, 10})
	for m := range models {
		service := fmt.Sprintf("lm-%d", m)
		var vms []membership.VM
		for i := m; i < replicas; i += models {
			zone := []string{"a1", "a2", "b1", "b2", "c1", "c2"}[i%6]
			vms = append(vms, membership.VM{Name: fmt.Sprintf("%s-%d", service, i), Zone: zone, State: membership.StateLive, ConfirmedAt: now})
		}
		table.SetTargets(service, vms, now)
		for _, vm := range vms {
			table.ApplyReport(vm.Name, enginewire.LoadReport{
				Incarnation: "a", AsOfUnixMillis: now.UnixMilli(), Running: 60, MemoryTokens: 65536, UsedTokens: 40000,
				Loaded: []enginewire.ModelVariant{{Model: service}},
			}, now)
		}
	}
	return table, now
}

func largeQuery(i, models int) Query {
	service := fmt.Sprintf("lm-%d", i%models)
	return Query{
		Service: service, Variant: policy.Variant{Model: service}, Account: fmt.Sprintf("account-%d", i%380),
		Class: []string{"till", "clerk", "batch"}[i%3], Priority: []int{10, 5, 1}[i%3], PromptTokens: 200,
		PrefixHashes: []uint64{uint64(i) << 32, uint64(i) << 33, uint64(i) << 34},
	}
}

func BenchmarkPick(b *testing.B) {
	for _, size := range []struct{ models, replicas int }{{1, 12}, {5, 230}, {9, 460}, {17, 920}, {1, 920}} {
		b.Run(fmt.Sprintf("models=%d/replicas=%d", size.models, size.replicas), func(b *testing.B) {
			table, now := newLargeFleet(size.models, size.replicas)
			queries := make([]Query, 380*3*17)
			for i := range queries {
				queries[i] = largeQuery(i, size.models)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; b.Loop(); i++ {
				choice, err := table.Pick(queries[i%len(queries)], now)
				if err != nil {
					b.Fatal(err)
				}
				table.Progress(choice, 200)
				table.Done(choice, OutcomeCompleted, now)
			}
		})
	}
}

func BenchmarkApplyReport(b *testing.B) {
	table, now := newLargeFleet(17, 920)
	report := enginewire.LoadReport{Incarnation: "a", Running: 60, MemoryTokens: 65536, UsedTokens: 40000, Loaded: []enginewire.ModelVariant{{Model: "lm-0"}}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		report.AsOfUnixMillis = now.UnixMilli()
		table.ApplyReport("lm-0-0", report, now)
	}
}

// BenchmarkState reports the memory of a table and its length distributions, in bytes per target.
func BenchmarkState(b *testing.B) {
	for _, replicas := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table, now := newLargeFleet(17, replicas)
			for i := range 17 * 380 * 3 {
				choice, err := table.Pick(largeQuery(i, 17), now)
				if err != nil {
					b.Fatal(err)
				}
				table.Progress(choice, 100+i%300)
				table.Done(choice, OutcomeCompleted, now)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(replicas), "bytes/target")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
			runtime.KeepAlive(table)
		})
	}
}

// BenchmarkProgress measures one progress update of a running attempt.
func BenchmarkProgress(b *testing.B) {
	table, now := newLargeFleet(17, 920)
	choice, err := table.Pick(largeQuery(0, 17), now)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Progress(choice, i%20000)
	}
}

// BenchmarkSetTargets measures an update of the targets of all services.
func BenchmarkSetTargets(b *testing.B) {
	for _, replicas := range []int{230, 460, 920} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			table, now := newLargeFleet(17, replicas)
			lists := make(map[string][]membership.VM)
			for _, row := range table.Rows(now) {
				lists[row.Service] = append(lists[row.Service], membership.VM{Name: row.Name, Zone: row.Zone, State: row.State, ConfirmedAt: now})
			}
			b.ReportAllocs()
			for b.Loop() {
				for service, list := range lists {
					table.SetTargets(service, list, now)
				}
			}
		})
	}
}
