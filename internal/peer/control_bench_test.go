package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/membership"
	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/tlsconfig/tlstest"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

const (
	benchWarmUp     = 6 * time.Second
	benchDuration   = 6 * time.Second
	benchServices   = 17
	targetsPerEntry = 2.25
)

// benchCluster describes the VMs of one measurement.
type benchCluster struct {
	zones, entries, targets int
	// samplesOtherZones runs all entry VMs of the first zone, but only one of each other zone, and measures only
	// the first zone.
	samplesOtherZones bool
	// unresponsive is the number of entry VMs of the first zone that accept connections and never answer.
	unresponsive int
	// tls configures TLS between peers, or is nil for plain text.
	tls *tlsconfig.Reloader
}

// BenchmarkControl measures the cost of gossip per entry VM, over drpc on loopback. Probes are counted but answered in
// memory. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	b.Run("prairie", func(b *testing.B) { benchmarkGossip(b, benchCluster{zones: 3, entries: 3, targets: 5}) })
	for _, entries := range []int{9, 20, 40, 60, 68} {
		cluster := benchCluster{zones: 6, entries: entries, targets: int(float64(entries) * targetsPerEntry), samplesOtherZones: true}
		b.Run("zone="+strconv.Itoa(entries), func(b *testing.B) { benchmarkGossip(b, cluster) })
	}
	frozen := benchCluster{zones: 6, entries: 40, targets: int(40 * targetsPerEntry), samplesOtherZones: true, unresponsive: 10}
	b.Run("frozen=10/zone=40", func(b *testing.B) { benchmarkGossip(b, frozen) })
	reloader, err := tlsconfig.New(tlstest.NewAuthority(b).NewFiles(b, 1), log.New(io.Discard))
	require.NoError(b, err)
	cluster := benchCluster{zones: 6, entries: 40, targets: int(40 * targetsPerEntry), samplesOtherZones: true, tls: reloader}
	b.Run("tls/zone=40", func(b *testing.B) { benchmarkGossip(b, cluster) })
}

func (cluster benchCluster) list() platformwire.VMList {
	var list platformwire.VMList
	for z := range cluster.zones {
		zone := fmt.Sprintf("zone-%d", z)
		for i := range cluster.entries {
			name := fmt.Sprintf("%s-entry-%d", zone, i)
			list.VMs = append(list.VMs, platformwire.VM{Name: name, Role: "entry", Zone: zone, Address: "10.20.30.40:7101"})
		}
		for i := range cluster.targets {
			service := fmt.Sprintf("service-%d", i%benchServices)
			name := fmt.Sprintf("%s-%s-%d", service, zone, i)
			list.VMs = append(list.VMs, platformwire.VM{Name: name, Role: "target", Zone: zone, Service: service, Address: "10.20.30.40:7401"})
		}
	}
	return list
}

// loadProber counts probes and answers them with random loads.
type loadProber struct{ probes atomic.Int64 }

// Probe implements membership.Prober.
func (l *loadProber) Probe(_ context.Context, vm membership.VM) (enginewire.LoadReport, error) {
	l.probes.Add(1)
	return enginewire.LoadReport{
		Target: vm.Name, Incarnation: "0123456789abcdef", MemoryTokens: 400000, UsedTokens: rand.IntN(400000),
		Running: rand.IntN(200), Waiting: rand.IntN(20), Preemptions: rand.Uint64N(10000),
		AsOfUnixMillis: time.Now().Add(-300 * time.Millisecond).UnixMilli(),
		Loaded:         []enginewire.ModelVariant{{Model: "model-1", Version: "1"}, {Model: "model-1", Adapter: "adapter", Version: "1"}},
	}, nil
}

// fixedList is a list encoded as JSON. Each VM decodes its own copy, so that VMs share no memory.
type fixedList []byte

// List implements membership.Lister.
func (l fixedList) List(context.Context) (list platformwire.VMList, err error) {
	return list, json.Unmarshal(l, &list)
}

type benchNode struct {
	directory *membership.Directory
	traffic   *Traffic
	prober    *loadProber
	run       func(ctx context.Context, listener net.Listener)
}

func newBenchNode(b *testing.B, cluster benchCluster, vm platformwire.VM, list fixedList) *benchNode {
	n := &benchNode{directory: membership.New(membership.Options{Self: vm.Name, Zone: vm.Zone}), traffic: &Traffic{}, prober: &loadProber{}}
	clientOptions := ClientOptions{Traffic: n.traffic, Resolve: func(name string) (string, bool) {
		peer, known := n.directory.Get(name)
		return peer.PeerAddress, known && peer.PeerAddress != ""
	}}
	var serverTLS *tls.Config
	if cluster.tls != nil {
		clientOptions.TLS, serverTLS = cluster.tls.ClientConfig, cluster.tls.ServerConfig()
	}
	client := NewClient(clientOptions)
	gossip := NewGossip(GossipOptions{Self: vm.Name, Incarnation: "0123456789abcdef", Zone: vm.Zone, Directory: n.directory, Exchange: client.Exchange})
	server, err := NewServer(ServerOptions{TLS: serverTLS, Handlers: Handlers{Exchange: gossip}, Traffic: n.traffic})
	require.NoError(b, err)
	poller := membership.NewPoller(membership.PollerOptions{
		Directory: n.directory, Prober: n.prober, Lister: list, ListInterval: time.Hour,
	})
	n.run = func(ctx context.Context, listener net.Listener) {
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(ctx, listener) })
		running.Go(func() { gossip.Run(ctx) })
		running.Go(func() { poller.Run(ctx) })
		running.Wait()
		client.Close()
	}
	return n
}

func benchmarkGossip(b *testing.B, cluster benchCluster) {
	list := cluster.list()
	listeners := make(map[int]net.Listener)
	for i, vm := range list.VMs {
		isRunning := !cluster.samplesOtherZones || vm.Zone == "zone-0" || vm.Name == vm.Zone+"-entry-0"
		if vm.Role == "entry" && isRunning {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(b, err)
			listeners[i] = listener
			list.VMs[i].PeerAddress = listener.Addr().String()
		}
	}
	text, err := json.Marshal(list)
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	var all, measured []*benchNode
	for i, listener := range listeners {
		if list.VMs[i].Zone == "zone-0" && i < cluster.unresponsive {
			defer listener.Close()
			continue
		}
		n := newBenchNode(b, cluster, list.VMs[i], text)
		all = append(all, n)
		if !cluster.samplesOtherZones || list.VMs[i].Zone == "zone-0" {
			measured = append(measured, n)
		}
		running.Go(func() { n.run(ctx, listener) })
	}
	time.Sleep(benchWarmUp)
	reportMetrics(b, cluster, all, measured)
	cancel()
	running.Wait()
}

// reportMetrics measures for benchDuration and reports the mean per VM.
func reportMetrics(b *testing.B, cluster benchCluster, all, measured []*benchNode) {
	probes := countProbes(measured)
	before, cpu, start := totalTraffic(measured), cpuTime(b), time.Now()
	fresh, samples := 0, 0
	for range 12 {
		time.Sleep(benchDuration / 12)
		for _, n := range measured {
			for _, vm := range n.directory.AllTargets(time.Now()) {
				if vm.Zone != "zone-0" {
					continue
				}
				samples++
				if time.Since(vm.ConfirmedAt) <= membership.ConfirmationTTL {
					fresh++
				}
			}
		}
	}
	after, used, elapsed := totalTraffic(measured), cpuTime(b)-cpu, time.Since(start).Seconds()
	perNode := func(total int64) float64 { return float64(total) / elapsed / float64(len(measured)) }
	b.ReportMetric(perNode(after.SentBytes-before.SentBytes), "sentB/s")
	b.ReportMetric(perNode(after.ReceivedBytes-before.ReceivedBytes), "receivedB/s")
	b.ReportMetric(perNode(after.Calls-before.Calls), "calls/s")
	b.ReportMetric(perNode(after.Failures-before.Failures), "failures/s")
	b.ReportMetric(perNode(countProbes(measured)-probes), "probes/s")
	b.ReportMetric(100*used.Seconds()/elapsed/float64(len(all)), "%core")
	b.ReportMetric(100*float64(fresh)/float64(samples), "%fresh")
	b.ReportMetric(heapKiBPerNode(len(all)), "KiB/VM")
	b.ReportMetric(0, "ns/op")
}

func totalTraffic(nodes []*benchNode) (total TrafficCounts) {
	for _, n := range nodes {
		counts := n.traffic.Counts()
		total.SentBytes += counts.SentBytes
		total.ReceivedBytes += counts.ReceivedBytes
		total.Calls += counts.Calls
		total.Failures += counts.Failures
	}
	return total
}

func countProbes(nodes []*benchNode) (total int64) {
	for _, n := range nodes {
		total += n.prober.probes.Load()
	}
	return total
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapKiBPerNode(count int) float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / 1024 / float64(count)
}
