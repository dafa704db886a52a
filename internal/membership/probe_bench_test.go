package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/membership"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

// countedListener counts the bytes read from and written to its connections.
type countedListener struct {
	net.Listener
	in, out atomic.Int64
}

type countedConn struct {
	net.Conn
	listener *countedListener
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, listener: l}, err
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.out.Add(int64(n))
	return n, err
}

// BenchmarkProbe measures one probe of an engine over a persistent connection. The CPU time includes client and server.
func BenchmarkProbe(b *testing.B) {
	report, err := json.Marshal(enginewire.LoadReport{
		Target: "godwit-lm-12", Incarnation: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", AsOfUnixMillis: 1796245200000,
		Running: 120, Waiting: 11, MemoryTokens: 400000, UsedTokens: 312345, Preemptions: 4711, Role: "decode",
		Loaded: []enginewire.ModelVariant{{Model: "ledger-small", Version: "1"}, {Model: "ledger-small", Adapter: "pricing", Version: "1"}},
	})
	require.NoError(b, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	counted := &countedListener{Listener: listener}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(report) }))
	server.Listener.Close()
	server.Listener = counted
	server.Start()
	defer server.Close()
	client := target.NewEngineClient(target.Timeouts{Connect: time.Second, ResponseHeader: time.Second, Progress: time.Second})
	address := target.Address{Name: "godwit-lm-12", HostPort: listener.Addr().String()}
	var before, after syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &before))
	for b.Loop() {
		_, err := client.LoadReport(context.Background(), address)
		require.NoError(b, err)
	}
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &after))
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(counted.in.Load())/float64(b.N), "sentB/op")
	b.ReportMetric(float64(counted.out.Load())/float64(b.N), "receivedB/op")
	b.ReportMetric(float64(used)/float64(b.N)/1000, "cpu-us/op")
}

// BenchmarkList measures decoding and applying an unchanged list of the design size: 410 entry VMs and 920 targets in
// 6 zones.
func BenchmarkList(b *testing.B) {
	const entries, targets, zones = 410, 920, 6
	var list platformwire.VMList
	for i := range entries + targets {
		vm := platformwire.VM{
			Name: fmt.Sprintf("sk-south-entry-%d", i), Role: "entry", Region: "sk-south", Zone: fmt.Sprintf("zone-%d", i%zones),
			Address: "10.20.30.40:7101", PeerAddress: "10.20.30.40:7301", AdminAddress: "10.20.30.40:7201",
		}
		if i >= entries {
			vm = platformwire.VM{
				Name: fmt.Sprintf("godwit-lm-%d", i), Role: "target", Region: "sk-south", Zone: vm.Zone,
				Service: fmt.Sprintf("service-%d", i%17), Address: "10.20.30.40:7401",
			}
		}
		list.VMs = append(list.VMs, vm)
	}
	text, err := json.Marshal(list)
	require.NoError(b, err)
	directory := membership.New(membership.Options{Self: "sk-south-entry-0", Zone: "zone-0"})
	for b.Loop() {
		var decoded platformwire.VMList
		require.NoError(b, json.Unmarshal(text, &decoded))
		require.NoError(b, directory.ApplyList(decoded, time.Now()))
	}
	b.ReportMetric(float64(len(text)), "list-B")
}

// BenchmarkTargets measures the scans with which routing refreshes its targets.
func BenchmarkTargets(b *testing.B) {
	directory := membership.New(membership.Options{Self: "entry", Zone: "zone-0"})
	var list platformwire.VMList
	for i := range 1330 {
		list.VMs = append(list.VMs, platformwire.VM{Name: fmt.Sprintf("godwit-lm-%d", i), Role: "target", Zone: "zone-0", Service: fmt.Sprintf("service-%d", i%17)})
	}
	now := time.Now()
	require.NoError(b, directory.ApplyList(list, now))
	for _, vm := range list.VMs {
		directory.Observe(membership.Live(vm.Name, "x", now))
	}
	b.Run("eligible", func(b *testing.B) {
		for b.Loop() {
			require.Len(b, directory.EligibleTargetsByService(now), 17)
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			require.Len(b, directory.AllTargets(now), 1330)
		}
	})
}
