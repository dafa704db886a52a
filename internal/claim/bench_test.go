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

// BenchmarkClaims claims new keys at a steady rate through nine managers. Each has its own HTTP client
// of a fake platform that answers after 4 ms.
func BenchmarkClaims(b *testing.B) {
	const managerCount, duration, platformDelay = 9, 4 * time.Second, 4
	for _, perSecond := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			fakePlatform := platform.New(platform.Options{})
			fakePlatform.SetFaults(platform.Faults{DelayMillis: platformDelay})
			server := httptest.NewServer(fakePlatform.Handler())
			defer server.Close()
			registry := metrics.NewRegistry()
			var managers []*claim.Manager
			for range managerCount {
				store := object.NewClient(object.Options{BaseURL: server.URL, WritesPerSecond: 450 / managerCount})
				manager, stop := start(context.Background(), store, func(o *claim.Options) {
					*o = claim.Options{Store: store, WritesPerSecond: 400 / managerCount, Registry: registry}
				})
				defer stop()
				managers = append(managers, manager)
			}
			claimAtRate(managers, 10*managerCount, time.Second, "warm")
			before := fakePlatform.CallCounts()
			begin := time.Now()
			latencies, refused := claimAtRate(managers, perSecond, duration, "k")
			after, elapsed := fakePlatform.CallCounts(), time.Since(begin).Seconds()
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds())/1000, "p50-ms")
			b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds())/1000, "p99-ms")
			b.ReportMetric(float64(after.Writes-before.Writes)/elapsed, "writes/s")
			b.ReportMetric(float64(after.Limited-before.Limited)/elapsed, "limited/s")
			b.ReportMetric(float64(after.Reads-before.Reads)/elapsed, "reads/s")
			b.ReportMetric(100*float64(refused)/float64(len(latencies)), "refused-%")
		})
	}
}

// claimer is implemented by Manager and Forwarder.
type claimer interface {
	Claim(ctx context.Context, record claim.Record) (existing claim.Record, won bool, err error)
	End(key, attempt string, ending claim.Ending)
}

// claimAtRate claims new keys at a steady rate. It returns the sorted latencies and the number of refused
// claims.
func claimAtRate[B claimer](claimers []B, perSecond int, duration time.Duration, name string) (latencies []time.Duration, refused int) {
	var mu sync.Mutex
	var clients sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range int(duration.Seconds() * float64(perSecond)) {
		<-ticker.C
		clients.Go(func() {
			sentAt := time.Now()
			id := fmt.Sprint(name, i)
			via := claimers[i%len(claimers)]
			_, won, err := via.Claim(context.Background(), record(id, id))
			if won {
				via.End(id, id, claim.Ending{Outcome: claim.OutcomeAnswered})
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, time.Since(sentAt))
			if err != nil {
				refused++
			}
		})
	}
	clients.Wait()
	slices.Sort(latencies)
	return latencies, refused
}
