// Package ingress guards the listeners of a process against clients that hold more than their share: it stands between the
// accepted connections and net/http, which parses heads before any handler runs.
//
// Invariants: what a client holds is on account of a memory budget from the acceptance of its connection to its last byte; a head
// is given to net/http only when it is whole, within the limits and paid for, because its parsed form can be many times its
// size; a connection is closed for others only while it has no whole request, or does not take its answer; the connections of a
// listener stay within its share of the descriptors, and the one that is furthest behind its least rate makes room for a new
// one.
package ingress

import (
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/membudget"
)

// Limits bound what a client may send and how long it may take.
type Limits struct {
	// HeadBytes bounds the fields of a head, and its first line by itself.
	HeadBytes int
	// HeadTime is the time from the first byte of a head to its last one, and for a TLS handshake.
	HeadTime time.Duration
	// IdleTime is the time for which a connection may be open without a request.
	IdleTime time.Duration
	// BodyPause is the longest time between two bytes of a body; zero for no bound.
	BodyPause time.Duration
	// LeastRate is the rate, in bytes per second, at which a client that is not idle is expected to send. One that stays behind
	// gives way when others need its memory or its place. Zero means DefaultLeastRate.
	LeastRate int
}

// Options configures a Listener.
type Options struct {
	// Name is that of the listener in log lines.
	Name   string
	Budget *membudget.Budget
	// MaxConnections bounds the open connections.
	MaxConnections int
	// Limits returns the limits in force.
	Limits func() Limits
	Logger *log.Logger
	// IsPressed reports whether others wait for what requests in progress hold; nil means that nobody ever does.
	IsPressed func() bool
	// IsRaw is set for protocols other than HTTP: what is read counts until something is written.
	IsRaw bool
}

// receiveBufferBytes is the size of the kernel's buffer for what a client has sent and nobody has read: enough for a body of
// 4 MiB within a second at 10 ms. The kernel's own maximum would be megabytes for each connection.
const receiveBufferBytes = 64 << 10

// progressTime is how far a client may be behind its least rate and still make progress, so that it keeps its place.
const progressTime = 50 * time.Millisecond

// Listener accepts connections of clients. Its connections are *Conn.
type Listener struct {
	net.Listener
	options Options
	report  *reporter

	mu      sync.Mutex
	clients map[*client]struct{}
}

// NewListener returns a Listener that accepts from the given one.
func NewListener(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options, report: newReporter(options.Name, options.Logger), clients: make(map[*client]struct{})}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return newConn(c, accepted, l.options.IsRaw), nil
		}
		accepted.Close()
	}
}

// admit returns the client of a new connection, or nil if there is no place or no memory for it.
func (l *Listener) admit(conn net.Conn) *client {
	c := newClient(l, conn)
	if !l.takePlace(c) {
		l.report.count(refusedConnection, "all connections of the listener have whole requests or make progress", 0, 0)
		return nil
	}
	if _, err := c.holding.GrowNow(connectionBytes, true); err != nil {
		c.end()
		l.report.count(refusedConnection, "clients with whole requests hold the memory there is for clients", 0, 0)
		return nil
	}
	if tcp, isTCP := conn.(*net.TCPConn); isTCP {
		_ = tcp.SetReadBuffer(receiveBufferBytes) // an error means that it is closed already
	}
	return c
}

// takePlace adds the client. If all places are taken, the client that is furthest behind its least rate loses its own; it
// returns false if all make progress or have whole requests.
func (l *Listener) takePlace(c *client) bool {
	for {
		longest, isTaken := l.tryPlace(c)
		if isTaken {
			return true
		}
		if longest == nil || time.Since(longest.LastProgress()) < progressTime {
			return false
		}
		if !longest.IsStuck() && longest.HasUnread() {
			continue
		}
		l.remove(longest)
		longest.closeForOthers(closedForPlace)
	}
}

// tryPlace adds the client if there is a place; if not, it returns the one that is furthest behind.
func (l *Listener) tryPlace(c *client) (longest *client, isTaken bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.clients) < l.options.MaxConnections {
		l.clients[c] = struct{}{}
		return nil, true
	}
	return l.longestWaiting(), false
}

// longestWaiting requires the lock. It returns the client that is furthest behind its least rate of those without a whole
// request, or that do not take their answers; nil if there is none.
func (l *Listener) longestWaiting() *client {
	var longest *client
	for c := range l.clients {
		if c.canMakeRoom() && (longest == nil || c.pace.paidUntil.Load() < longest.pace.paidUntil.Load()) {
			longest = c
		}
	}
	return longest
}

func (l *Listener) remove(c *client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.clients, c)
}

// pressedPause is Limits.BodyPause while others wait for what requests in progress hold.
const pressedPause = 2 * time.Second

// bodyPause returns the longest time between two bytes of a body that holds now; zero for no bound.
func (l *Listener) bodyPause() time.Duration {
	pause := l.options.Limits().BodyPause
	if pause > 0 && l.options.IsPressed != nil && l.options.IsPressed() {
		return min(pause, pressedPause)
	}
	return pause
}
