package ingress

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"godwitcart/internal/membudget"
	"godwitcart/internal/netconn"
)

// What a client holds beside its bytes.
const (
	// connectionBytes is what an open connection costs: the stack of its goroutine, the buffers and records of net/http.
	connectionBytes = 16 << 10
	// requestBytes is what a request in service costs: the grown stack, a connection to a target, and the part of its answer
	// that is free of charge.
	requestBytes = 32 << 10
	// lineBytes is the most that one line of a head costs once it is parsed and copied for the target: entries of two maps, the
	// slice of values, and strings.
	lineBytes = 320
	// textFactor is how many copies there are of the text of a head.
	textFactor = 2
	// handshakeBytes is what the state and buffers of TLS cost.
	handshakeBytes = 32 << 10
	// http2Bytes is what an HTTP/2 connection costs: the window of its bodies, a frame, the tables of fields, the scheduler, and
	// heads that are parsed before they are paid for.
	http2Bytes = 256 << 10
)

// headCost returns what a request with such a head costs.
func headCost(lines, bytes int) int64 {
	return requestBytes + int64(lines)*lineBytes + int64(bytes)*textFactor
}

// client is the account of one connection. It is safe for concurrent use.
type client struct {
	listener *Listener
	// raw is the accepted connection.
	raw     net.Conn
	holding *membudget.Holding
	// base is what the connection holds without a request.
	base int64
	// progress is the time of the last byte, in nanoseconds since started, and writingSince that at which the write in progress
	// began; zero if there is none.
	progress, writingSince atomic.Int64

	mu sync.Mutex
	// whole is the number of whole requests in progress; HTTP/2 may have several.
	whole int
	// requestID names the request that was read last; empty if it has no id.
	requestID string
}

// started is the origin of client.progress.
var started = time.Now()

func newClient(l *Listener, raw net.Conn) *client {
	c := &client{listener: l, raw: raw, base: connectionBytes}
	c.holding = l.options.Budget.Client(c)
	c.recordProgress()
	return c
}

func (c *client) recordProgress() { c.progress.Store(int64(time.Since(started))) }

// LastProgress implements membudget.Waiter.
func (c *client) LastProgress() time.Time { return started.Add(time.Duration(c.progress.Load())) }

// takeTime is how long a client may take no byte of its answer until its request counts as not whole.
const takeTime = 5 * time.Second

// beginWrite and endWrite surround a write.
func (c *client) beginWrite() { c.writingSince.Store(int64(time.Since(started))) }

func (c *client) endWrite() {
	c.writingSince.Store(0)
	c.recordProgress()
}

// IsStuck implements membudget.Waiter.
func (c *client) IsStuck() bool {
	since := c.writingSince.Load()
	return since > 0 && time.Since(started)-time.Duration(since) > takeTime
}

// canMakeRoom reports whether the connection may be closed for another one.
func (c *client) canMakeRoom() bool { return !c.isWhole() || c.IsStuck() }

// HasUnread implements membudget.Waiter.
func (c *client) HasUnread() bool {
	hasUnread := hasInput(c.raw)
	if hasUnread {
		c.recordProgress()
	}
	return hasUnread
}

// GiveUp implements membudget.Waiter.
func (c *client) GiveUp() { c.close(closedForMemory) }

// close closes the connection; whoever serves it sees that and ends.
func (c *client) close(cause cause) {
	c.listener.report.count(cause, "", c.holding.Held(), time.Since(c.LastProgress()))
	_ = c.raw.Close()
}

// beginWhole records that a request is whole: the connection is not closed for others until endWhole.
func (c *client) beginWhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole++
	c.requestID = ""
	c.holding.Pin()
}

// endWhole records that a whole request has its answer.
func (c *client) endWhole() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole--; c.whole == 0 {
		c.holding.Unpin()
	}
}

func (c *client) isWhole() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.whole > 0
}

// end releases what the client holds.
func (c *client) end() {
	c.holding.Release()
	c.listener.remove(c)
}

// hasInput reports whether the kernel holds bytes of the connection that were not read.
func hasInput(conn net.Conn) bool {
	tcp := netconn.TCP(conn)
	return tcp != nil && netconn.HasInput(tcp)
}
