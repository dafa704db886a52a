package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"godwitcart/internal/routing"
)

// BenchmarkGrant measures a request that finds capacity at once.
func BenchmarkGrant(b *testing.B) {
	for _, accounts := range []int{10, 95, 190, 380} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			c := NewController(Options{}, &slotPicker{freeSlots: 1})
			tickets := make([]Ticket, accounts)
			for i := range tickets {
				tickets[i] = Ticket{Service: "s", Account: fmt.Sprintf("account-%d", i), Class: "clerk", Limits: Limits{RequestsPerSecond: 1e9, Concurrency: 1000}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.Submit(tickets[i%accounts], func(g *Grant, err error) {
					if err != nil {
						b.Fatal(err)
					}
					g.Release(routing.OutcomeCompleted)
				})
			}
		})
	}
}

// BenchmarkFullQueue measures a submit, a release and a grant with many requests waiting.
func BenchmarkFullQueue(b *testing.B) {
	for _, waiting := range []int{64, 256, 1024} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			c := NewController(Options{MaxWaiting: waiting + 1, MaxWait: time.Hour}, &slotPicker{freeSlots: 1})
			var openGrant *Grant
			submit := func(i int) {
				ticket := Ticket{Service: "s", Account: fmt.Sprintf("account-%d", i%380), Class: "clerk"}
				c.Submit(ticket, func(g *Grant, err error) {
					if err != nil {
						b.Fatal(err)
					}
					openGrant = g
				})
			}
			for i := range waiting {
				submit(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				submit(i)
				openGrant.Release(routing.OutcomeCompleted)
			}
		})
	}
}

// BenchmarkUsages reports the memory used by the reports of other VMs, in bytes per VM.
func BenchmarkUsages(b *testing.B) {
	for _, vms := range []int{100, 200, 410} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			usages := make([]Usage, 40)
			for i := range usages {
				usages[i] = Usage{Account: fmt.Sprintf("account-%d", i), InProgress: 3, RequestsPerSecond: 1}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := NewController(Options{}, &slotPicker{})
			for i := range vms {
				c.ObserveUsage(fmt.Sprintf("e%d", i), usages, time.Time{})
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.ObserveUsage(fmt.Sprintf("e%d", i%vms), usages, time.Time{})
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(vms), "bytes/vm")
			runtime.KeepAlive(c)
		})
	}
}
