package peer

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed dial; it doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// unreachableRemedy is the remedy in the errors of calls that did not reach their peer.
	unreachableRemedy = "it is tried again by itself; check the VM and the network when it lasts"
)

// peerConn is the connection of one call class to one peer: at most one network connection, dialed on demand and used
// by one call at a time.
type peerConn struct {
	vm      string
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	// sem is a lock that can be awaited with a context: it holds one element while the lock is free. It protects the
	// fields below.
	sem chan struct{}

	conn      *drpcconn.Conn
	idleTimer *time.Timer
	backoff   time.Duration
	// nextDialAt is the earliest time of the next dial.
	nextDialAt time.Time
	closed     bool
}

func newPeerConn(vm, address string, dial func(context.Context, string) (net.Conn, error)) *peerConn {
	c := &peerConn{vm: vm, address: address, dial: dial, sem: make(chan struct{}, 1)}
	c.sem <- struct{}{}
	return c
}

// call runs one call on the connection, dialing it if there is none. If the peer answers with an error, the connection
// stays open; if the call ends without an answer, the connection is closed, and the error has KindUnavailable.
func (c *peerConn) call(ctx context.Context, invoke func(peerpb.DRPCPeerClient) error) error {
	select {
	case <-c.sem:
	case <-ctx.Done():
		return c.unavailable(ctx.Err(), "is busy with an earlier call")
	}
	defer func() { c.sem <- struct{}{} }()
	if err := c.connect(ctx); err != nil {
		return err
	}
	err := invoke(peerpb.NewDRPCPeerClient(c.conn))
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && !isClosed(c.conn) {
		return apierror.Wrap(err, apierror.KindInternal, "entry VM "+c.vm+" answered with an error", "read its message")
	}
	c.closeConn()
	return c.unavailable(err, "did not answer")
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// connect dials if there is no open connection. During the backoff after a failed dial it fails at once. The caller
// holds the lock.
func (c *peerConn) connect(ctx context.Context) error {
	if c.closed {
		return c.unavailable(net.ErrClosed, "is no longer listed")
	}
	if c.conn != nil && !isClosed(c.conn) {
		c.idleTimer.Reset(idleTimeout)
		return nil
	}
	c.closeConn()
	now := time.Now()
	if now.Before(c.nextDialAt) {
		return c.unavailable(net.ErrClosed, "could not be reached a moment ago")
	}
	conn, err := c.dial(ctx, c.address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return c.unavailable(err, "was not dialed to the end") // its caller gave up, which says nothing of the peer
	}
	if err != nil {
		c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
		c.nextDialAt = time.Now().Add(c.backoff)
		return c.unavailable(err, "cannot be reached at "+c.address)
	}
	c.backoff = 0
	c.conn = drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}})
	c.idleTimer = time.AfterFunc(idleTimeout, c.closeIdle)
	return nil
}

// closeIdle closes the connection unless a call is using it.
func (c *peerConn) closeIdle() {
	select {
	case <-c.sem:
		c.closeConn()
		c.sem <- struct{}{}
	default:
	}
}

// closeConn closes the network connection, if any. The caller holds the lock.
func (c *peerConn) closeConn() {
	if c.conn == nil {
		return
	}
	c.idleTimer.Stop()
	c.conn.Close()
	c.conn = nil
}

// close closes the connection permanently, after the call in progress.
func (c *peerConn) close() {
	<-c.sem
	c.closed = true
	c.closeConn()
	c.sem <- struct{}{}
}

func (c *peerConn) unavailable(cause error, problem string) error {
	return apierror.Wrap(cause, apierror.KindUnavailable, "entry VM "+c.vm+" "+problem, unreachableRemedy)
}
