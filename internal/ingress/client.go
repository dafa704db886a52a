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
	pace pace
	// isHTTP2 is set for connections of which only heads and bodies of requests pay, and no other frames.
	isHTTP2 atomic.Bool
	// writingSince is when the write in progress began, in nanoseconds since started; zero if there is none.
	writingSince atomic.Int64

	mu sync.Mutex
	// whole is the number of whole requests in progress, and unended that of HTTP/2 requests whose bodies are not whole; HTTP/2
	// may have several.
	whole, unended int
	// requestID names the request that was read last; empty if it has no id.
	requestID string
}

// started is the origin of the times of clients.
var started = time.Now()

func sinceStart() time.Duration { return time.Since(started) }

func newClient(l *Listener, raw net.Conn) *client {
	c := &client{listener: l, raw: raw, base: connectionBytes}
	c.holding = l.options.Budget.Client(c)
	c.pace.restart(sinceStart())
	return c
}

// leastRate returns the bytes per second below which the client gives way to others.
func (c *client) leastRate() int {
	rate := c.listener.options.Limits().LeastRate
	if rate == 0 {
		rate = DefaultLeastRate
	}
	return max(rate, int(float64(c.holding.Held())/holdTime.Seconds()))
}

// recordRead records bytes that were read from the connection.
func (c *client) recordRead(bytes int) {
	if c.isHTTP2.Load() {
		c.pace.recordFrames(sinceStart(), bytes)
		return
	}
	c.pace.recordRead(sinceStart(), bytes, c.leastRate())
}

// recordContent records bytes of the heads and bodies of HTTP/2 requests.
func (c *client) recordContent(bytes int) { c.pace.recordRead(sinceStart(), bytes, c.leastRate()) }

// LastProgress implements membudget.Waiter.
func (c *client) LastProgress() time.Time { return started.Add(time.Duration(c.pace.paidUntil.Load())) }

// takeTime is how long a client may take no byte of its answer until its request counts as not whole.
const takeTime = 5 * time.Second

// beginWrite and endWrite surround a write.
func (c *client) beginWrite() { c.writingSince.Store(int64(sinceStart())) }

// endWrite follows a write of that many bytes. An answer to a whole request puts the client in pace; interim answers only pay as
// the client's own bytes do, and frames of HTTP/2, with which a client can be answered at any time, not at all.
func (c *client) endWrite(bytes int) {
	c.writingSince.Store(0)
	switch {
	case c.isWhole():
		c.pace.restart(sinceStart())
	case !c.isHTTP2.Load():
		c.pace.recordTaken(sinceStart(), bytes, c.leastRate())
	}
}

// IsStuck implements membudget.Waiter.
func (c *client) IsStuck() bool {
	since := c.writingSince.Load()
	return since > 0 && sinceStart()-time.Duration(since) > takeTime
}

// canMakeRoom reports whether the connection may be closed for another one.
func (c *client) canMakeRoom() bool { return !c.isWhole() || c.IsStuck() }

// HasUnread implements membudget.Waiter.
func (c *client) HasUnread() bool {
	tcp := netconn.TCP(c.raw)
	return tcp != nil && c.pace.recordUnread(sinceStart(), netconn.Unread(tcp), c.leastRate())
}

// GiveUp implements membudget.Waiter.
func (c *client) GiveUp() { c.closeForOthers(closedForMemory) }

// close closes the connection; whoever serves it sees that and ends.
func (c *client) close(cause cause) {
	c.listener.report.count(cause, "", c.holding.Held(), c.pace.silence(sinceStart()), "behind_ms", c.pace.behind(sinceStart()).Milliseconds())
	_ = c.raw.Close()
}

// closeForOthers is close for a client that gives way to others. A client that trickles counts as slow, whatever they need.
func (c *client) closeForOthers(cause cause) {
	if !c.isWhole() && c.pace.isTrickling(sinceStart()) {
		cause = closedSlow
	}
	c.close(cause)
}

// beginUnended records that the body of an HTTP/2 request is awaited, and endUnended that it is whole or was given up.
func (c *client) beginUnended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unended++; c.unended == 1 {
		c.pace.resume(sinceStart())
	}
}

func (c *client) endUnended() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unended--; c.unended == 0 {
		c.pace.pause(sinceStart())
	}
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
	if c.whole--; c.whole > 0 {
		return
	}
	if c.unended == 0 {
		c.pace.restart(sinceStart())
	}
	c.holding.Unpin()
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
