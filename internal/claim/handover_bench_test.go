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

// BenchmarkHandover offers claims from VMs that share the writes of claim.PlatformWrites, each with clients
// of its own and drpc between them. All VMs write for themselves or all hand their claims over; one
// of them, which is a batcher, may answer no call.
func BenchmarkHandover(b *testing.B) {
	for _, vms := range []int{9, 48} {
		b.Run(fmt.Sprintf("%d/direct", vms), func(b *testing.B) { benchmarkFleet(b, vms, vms, false) })
		b.Run(fmt.Sprintf("%d/handed", vms), func(b *testing.B) { benchmarkFleet(b, vms, 1, false) })
		b.Run(fmt.Sprintf("%d/frozen", vms), func(b *testing.B) { benchmarkFleet(b, vms, 1, true) })
	}
}

func benchmarkFleet(b *testing.B, vms, direct int, frozen bool) {
	const span, platformDelay = 4 * time.Second, 4
	for _, perSecond := range []int{100, 300, 1000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			stand := platform.New(platform.Options{WritesPerSecond: 500})
			stand.SetFaults(platform.Faults{DelayMillis: platformDelay})
			server := httptest.NewServer(stand.Handler())
			defer server.Close()
			running, stop := startFleet(b, server.URL, vms, direct, frozen)
			defer stop()
			offer(running, 5*vms, time.Second, "warm")
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

// frozenBatchers names a batcher of each size of fleet that is measured: of 3 and of 2 shards in 16.
var frozenBatchers = map[int]string{9: "vm-02", 48: "vm-40"}

// startFleet runs VMs that reach each other by drpc.
func startFleet(b *testing.B, platformURL string, vms, direct int, frozen bool) (running []*claim.Handover, stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	addresses := make(map[string]string)
	listeners := make([]net.Listener, vms)
	var entries []string
	for i := range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		listeners[i] = listener
		entries = append(entries, fmt.Sprintf("vm-%02d", i))
		addresses[entries[i]] = listener.Addr().String()
	}
	resolve := func(vm string) (string, bool) { address, known := addresses[vm]; return address, known }
	var stops []func()
	registry := metrics.NewRegistry()
	for i, name := range entries {
		store := object.NewClient(object.Options{BaseURL: platformURL})
		book, stopBook := start(ctx, store, func(o *claim.Options) { *o = claim.Options{Store: store, Registry: registry} })
		server, err := peer.NewServer(peer.ServerOptions{Handlers: peer.Handlers{Claims: book}})
		require.NoError(b, err)
		if !frozen || name != frozenBatchers[vms] {
			go func() { _ = server.Serve(ctx, listeners[i]) }()
		}
		client := peer.NewClient(peer.ClientOptions{Resolve: resolve})
		handover := claim.NewHandover(book, claim.HandoverOptions{Self: name, Sender: client, DirectFleet: direct})
		handover.SetFleet(entries)
		running = append(running, handover)
		stops = append(stops, stopBook, client.Close, func() { listeners[i].Close() })
	}
	return running, func() {
		cancel()
		for _, each := range stops {
			each()
		}
	}
}
