package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"
)

// TLSListener completes the TLS handshakes of a Listener's connections, each within the time for a head. HTTP/2 connections
// are *tls.Conn, as net/http asks; those of HTTP/1 are guarded inside TLS.
type TLSListener struct {
	*Listener
	config *tls.Config
	ready  chan net.Conn
	// closed is closed by Close, and failure is why accepting has ended.
	closed    chan struct{}
	closeOnce sync.Once
	failed    chan struct{}
	failure   error
}

// NewTLSListener returns a TLSListener; it accepts from the Listener until Close.
func NewTLSListener(inner *Listener, config *tls.Config) *TLSListener {
	l := &TLSListener{Listener: inner, config: config, ready: make(chan net.Conn), closed: make(chan struct{}), failed: make(chan struct{})}
	go l.accept()
	return l
}

// Accept implements net.Listener.
func (l *TLSListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.failed:
		return nil, l.failure
	}
}

// Close implements net.Listener.
func (l *TLSListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// acceptPause is the wait after an error of accepting that may go away, such as a lack of descriptors.
const acceptPause = 20 * time.Millisecond

func (l *TLSListener) accept() {
	for {
		conn, err := l.Listener.Accept()
		if isTemporary(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			l.failure = err
			close(l.failed)
			return
		}
		go l.shakeHands(conn.(*Conn))
	}
}

// isTemporary reports whether accepting may succeed later, as net/http does.
func isTemporary(err error) bool {
	temporary, ok := err.(interface{ Temporary() bool })
	return ok && temporary.Temporary()
}

func (l *TLSListener) shakeHands(conn *Conn) {
	conn.phase = raw
	secured := tls.Server(conn, l.config)
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Limits().HeadTime)
	defer cancel()
	client := conn.client
	if err := client.holding.Grow(handshakeBytes); err != nil {
		l.report.count(refusedConnection, "there is no memory for a TLS handshake", 0, 0)
		conn.Close()
		return
	}
	client.base += handshakeBytes
	if err := secured.HandshakeContext(ctx); err != nil {
		if ctx.Err() != nil {
			l.report.count(closedHandshake, "", client.holding.Held(), 0)
		}
		conn.Close()
		return
	}
	if secured.ConnectionState().NegotiatedProtocol != "h2" {
		l.hand(&tlsConn{Conn: newConn(client, secured, l.options.IsRaw), secured: secured})
		return
	}
	if err := client.holding.Grow(http2Bytes); err != nil {
		l.report.count(refusedConnection, "there is no memory for an HTTP/2 connection", 0, 0)
		conn.Close()
		return
	}
	client.isHTTP2.Store(true)
	l.hand(secured)
}

// hand gives the connection to Accept.
func (l *TLSListener) hand(conn net.Conn) {
	select {
	case l.ready <- conn:
	case <-l.closed:
		conn.Close()
	}
}

// tlsConn is the connection of a client inside TLS.
type tlsConn struct {
	*Conn
	secured *tls.Conn
}

// ConnectionState is read by net/http.
func (c *tlsConn) ConnectionState() tls.ConnectionState { return c.secured.ConnectionState() }
