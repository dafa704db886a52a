package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed dial; it doubles with each failure.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// idleTimeout closes a connection that no call has used.
	idleTimeout = time.Minute
	// peerRemedy goes with the errors of calls that did not reach their peer.
	peerRemedy = "it is tried again by itself; check the VM and the network when it lasts"
)

// link is one lane to one peer: at most one connection, used by one call at a time.
type link struct {
	vm      string
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	// turn holds one element while no call uses the link; the holder owns the fields below.
	turn chan struct{}

	conn    *drpcconn.Conn
	idle    *time.Timer
	backoff time.Duration
	// notBefore is when the next dial may be tried.
	notBefore time.Time
	closed    bool
}

func newLink(vm, address string, dial func(context.Context, string) (net.Conn, error)) *link {
	l := &link{vm: vm, address: address, dial: dial, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

// use runs one call on the link's connection, dialling it when there is none.
func (l *link) use(ctx context.Context, invoke func(peerpb.DRPCPeerClient) error) error {
	select {
	case <-l.turn:
	case <-ctx.Done():
		return l.unavailable(ctx.Err(), "is busy with an earlier call")
	}
	defer func() { l.turn <- struct{}{} }()
	if err := l.connect(ctx); err != nil {
		return err
	}
	err := invoke(peerpb.NewDRPCPeerClient(l.conn))
	if err == nil {
		return nil
	}
	if ctx.Err() == nil && !isClosed(l.conn) {
		return apierror.Wrap(err, apierror.KindInternal, "entry VM "+l.vm+" answered with an error", "read its message")
	}
	l.drop()
	return l.unavailable(err, "did not answer")
}

func isClosed(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return true
	default:
		return false
	}
}

// connect makes sure that there is a connection. The caller holds the turn.
func (l *link) connect(ctx context.Context) error {
	if l.closed {
		return l.unavailable(net.ErrClosed, "is no longer listed")
	}
	if l.conn != nil && !isClosed(l.conn) {
		l.idle.Reset(idleTimeout)
		return nil
	}
	l.drop()
	now := time.Now()
	if now.Before(l.notBefore) {
		return l.unavailable(net.ErrClosed, "could not be reached a moment ago")
	}
	conn, err := l.dial(ctx, l.address)
	if err != nil {
		l.backoff = min(max(2*l.backoff, minBackoff), maxBackoff)
		l.notBefore = time.Now().Add(l.backoff)
		return l.unavailable(err, "cannot be reached at "+l.address)
	}
	l.backoff = 0
	l.conn = drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}})
	l.idle = time.AfterFunc(idleTimeout, l.closeIdle)
	return nil
}

// closeIdle closes the connection unless a call holds the link.
func (l *link) closeIdle() {
	select {
	case <-l.turn:
		l.drop()
		l.turn <- struct{}{}
	default:
	}
}

// drop closes the connection. The caller holds the turn.
func (l *link) drop() {
	if l.conn == nil {
		return
	}
	l.idle.Stop()
	l.conn.Close()
	l.conn = nil
}

// close ends the link; it waits for the call in progress.
func (l *link) close() {
	<-l.turn
	l.closed = true
	l.drop()
	l.turn <- struct{}{}
}

func (l *link) unavailable(cause error, what string) error {
	return apierror.Wrap(cause, apierror.KindUnavailable, "entry VM "+l.vm+" "+what, peerRemedy)
}
