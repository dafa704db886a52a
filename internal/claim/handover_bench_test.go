package claim_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/claim"
	"godwitcart/internal/object"
	"godwitcart/internal/peer"
	"godwitcart/internal/stand/platform"
)

// BenchmarkForwarder measures claims by VMs that share claim.PlatformWritesPerSecond. Each VM has its
// own clients, and the VMs communicate over drpc. Either all VMs write directly or all forward their
// claims; in "frozen" runs one batcher does not answer calls.
func BenchmarkForwarder(b *testing.B) {
	for _, vms := range []int{9, 48} {
		b.Run(fmt.Sprintf("%d/direct", vms), func(b *testing.B) { benchmarkFleet(b, vms, vms, false) })
		b.Run(fmt.Sprintf("%d/handed", vms), func(b *testing.B) { benchmarkFleet(b, vms, 1, false) })
		b.Run(fmt.Sprintf("%d/frozen", vms), func(b *testing.B) { benchmarkFleet(b, vms, 1, true) })
	}
}

func benchmarkFleet(b *testing.B, vms, maxDirect int, unresponsive bool) {
	const duration, platformDelay = 4 * time.Second, 4
	for _, perSecond := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			fakePlatform := platform.New(platform.Options{WritesPerSecond: 500})
			fakePlatform.SetFaults(platform.Faults{DelayMillis: platformDelay})
			server := httptest.NewServer(fakePlatform.Handler())
			defer server.Close()
			forwarders, stop := startFleet(b, server.URL, vms, maxDirect, unresponsive)
			defer stop()
			claimAtRate(forwarders, 5*vms, time.Second, "warm")
			before := fakePlatform.CallCounts()
			begin := time.Now()
			latencies, refused := claimAtRate(forwarders, perSecond, duration, "k")
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

// unresponsiveBatchers names one batcher for each fleet size: it writes 3 of 16 shards with 9 VMs, and
// 2 of 16 with 48.
var unresponsiveBatchers = map[int]string{9: "vm-02", 48: "vm-40"}

// startFleet starts VMs that communicate over drpc.
func startFleet(b *testing.B, platformURL string, vms, maxDirect int, unresponsive bool) (forwarders []*claim.Forwarder, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	addresses := make(map[string]string)
	listeners := make([]net.Listener, vms)
	var entryVMs []string
	for i := range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners[i] = listener
		entryVMs = append(entryVMs, fmt.Sprintf("vm-%02d", i))
		addresses[entryVMs[i]] = listener.Addr().String()
	}
	resolve := func(vm string) (string, bool) { address, known := addresses[vm]; return address, known }
	var stops []func()
	registry := metrics.NewRegistry()
	for i, name := range entryVMs {
		store := object.NewClient(object.Options{BaseURL: platformURL})
		manager, stopManager := start(ctx, store, func(o *claim.Options) { *o = claim.Options{Store: store, Registry: registry} })
		server, err := peer.NewServer(peer.ServerOptions{Handlers: peer.Handlers{Claims: manager}})
		require.NoError(b, err)
		if !unresponsive || name != unresponsiveBatchers[vms] {
			go func() { _ = server.Serve(ctx, listeners[i]) }()
		}
		client := peer.NewClient(peer.ClientOptions{Resolve: resolve})
		forwarder := claim.NewForwarder(manager, claim.ForwarderOptions{Self: name, Sender: client, MaxDirectVMs: maxDirect})
		forwarder.SetFleet(entryVMs)
		forwarders = append(forwarders, forwarder)
		stops = append(stops, stopManager, client.Close, func() { listeners[i].Close() })
	}
	return forwarders, func() {
		cancel()
		for _, stop := range stops {
			stop()
		}
	}
}
