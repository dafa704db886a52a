package claim_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/claim"
	"godwitcart/internal/object"
	"godwitcart/internal/stand/platform"
)

// BenchmarkClaims offers claims at a steady rate from nine books, each with its own client,
// to the stand-in platform over HTTP, whose answers take 4 ms.
func BenchmarkClaims(b *testing.B) {
	const books, span, platformDelay = 9, 4 * time.Second, 4
	for _, perSecond := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			stand := platform.New(platform.Options{})
			stand.SetFaults(platform.Faults{DelayMillis: platformDelay})
			server := httptest.NewServer(stand.Handler())
			defer server.Close()
			registry := metrics.NewRegistry()
			var running []*claim.Book
			for range books {
				store := object.NewClient(object.Options{BaseURL: server.URL, WritesPerSecond: 450 / books})
				book, stop := start(context.Background(), store, func(o *claim.Options) {
					*o = claim.Options{Store: store, WritesPerSecond: 400 / books, Registry: registry}
				})
				defer stop()
				running = append(running, book)
			}
			offer(running, 10*books, time.Second, "warm")
			before := stand.Calls()
			begin := time.Now()
			waits, refused := offer(running, perSecond, span, "k")
			after, took := stand.Calls(), time.Since(begin).Seconds()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(waits[len(waits)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(waits[len(waits)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(after.Writes-before.Writes)/took, "writes/s")
			b.ReportMetric(float64(after.Limited-before.Limited)/took, "limited/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/took, "reads/s")
			b.ReportMetric(100*float64(refused)/float64(len(waits)), "refused-%")
		})
	}
}

// claimer is a Book or a Handover.
type claimer interface {
	Claim(ctx context.Context, record claim.Record) (existing claim.Record, won bool, err error)
	End(key, attempt string, ending claim.Ending)
}

// offer claims new keys at a rate and returns the sorted waits and the number refused.
func offer[B claimer](books []B, perSecond int, span time.Duration, name string) (waits []time.Duration, refused int) {
	var mu sync.Mutex
	var wait sync.WaitGroup
	timer := time.NewTicker(time.Second / time.Duration(perSecond))
	defer timer.Stop()
	for i := range int(span.Seconds() * float64(perSecond)) {
		<-timer.C
		wait.Go(func() {
			sentAt := time.Now()
			id := fmt.Sprint(name, i)
			book := books[i%len(books)]
			_, won, err := book.Claim(context.Background(), record(id, id))
			if won {
				book.End(id, id, claim.Ending{Outcome: claim.OutcomeAnswered})
			}
			mu.Lock()
			defer mu.Unlock()
			waits = append(waits, time.Since(sentAt))
			if err != nil {
				refused++
			}
		})
	}
	wait.Wait()
	slices.Sort(waits)
	return waits, refused
}
