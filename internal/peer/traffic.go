package peer

import (
	"net"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes and calls that a VM exchanges with its peers. It is safe for concurrent use.
type Traffic struct {
	sentBytes     atomic.Int64
	receivedBytes atomic.Int64
	calls         atomic.Int64
	served        atomic.Int64
	failures      atomic.Int64
}

// TrafficCounts is a snapshot of the counts since the start. Bytes are those of the TCP streams, including TLS.
type TrafficCounts struct {
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
	// Calls were made to peers and Served were made by peers.
	Calls  int64 `json:"calls"`
	Served int64 `json:"served"`
	// Failures are calls to peers that ended without an answer.
	Failures int64 `json:"failures"`
}

func (t *Traffic) Counts() TrafficCounts {
	return TrafficCounts{
		SentBytes: t.sentBytes.Load(), ReceivedBytes: t.receivedBytes.Load(),
		Calls: t.calls.Load(), Served: t.served.Load(), Failures: t.failures.Load(),
	}
}

// Register registers the counts as gauges in the registry, or in the default one if it is nil. It replaces a Traffic
// registered before.
func (t *Traffic) Register(registry gometrics.Registry) {
	if registry == nil {
		registry = gometrics.DefaultRegistry
	}
	for name, value := range map[string]*atomic.Int64{
		"peer.sent_bytes": &t.sentBytes, "peer.received_bytes": &t.receivedBytes,
		"peer.calls": &t.calls, "peer.served": &t.served, "peer.failures": &t.failures,
	} {
		registry.Unregister(name)
		_ = registry.Register(name, gometrics.NewFunctionalGauge(value.Load))
	}
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.receivedBytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sentBytes.Add(int64(n))
	return n, err
}
