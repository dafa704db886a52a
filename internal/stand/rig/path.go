package rig

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/tunnel"
)

// Path is the proxy through which one VM reaches targets. It can be cut.
type Path struct {
	// Address is the listen address.
	Address string

	server *http.Server
	dialer net.Dialer

	mu sync.Mutex
	// refuses and hangs tell what a new connection meets while the path is cut.
	refuses, hangs bool
	conns          map[net.Conn]struct{}
	lifted         chan struct{}
}

// maxPathTunnels bounds the connections of one path.
const maxPathTunnels = 10000

// NewPath returns a path that already listens. Targets see the IP address source, or any if it is empty.
func NewPath(listen, source string) (*Path, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen at the address of a path")
	}
	var dialer net.Dialer
	if source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(source)}
	}
	p := &Path{dialer: dialer, Address: listener.Addr().String(), conns: make(map[net.Conn]struct{}), lifted: make(chan struct{})}
	p.server = &http.Server{Handler: tunnel.NewServer(tunnel.ServerOptions{Dial: p.dial, MaxTunnels: maxPathTunnels, Allow: func(netip.Addr, string) error { return nil }})}
	go p.server.Serve(listener)
	return p, nil
}

// Close ends the path and what it carries.
func (p *Path) Close() {
	p.Restore()
	p.server.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.(*pathConn).Conn.Close()
	}
}

// dial implements tunnel.Dial.
func (p *Path) dial(ctx context.Context, address string) (net.Conn, error) {
	p.mu.Lock()
	refuses, hangs, lifted := p.refuses, p.hangs, p.lifted
	p.mu.Unlock()
	switch {
	case refuses:
		return nil, errors.New("the path is cut")
	case hangs:
		select {
		case <-ctx.Done():
		case <-lifted:
		}
		return nil, errors.New("the path was cut")
	}
	conn, err := p.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	held := &pathConn{Conn: conn, path: p}
	p.conns[held] = struct{}{}
	return held, nil
}

// pathConn is a connection that stands still while the path hangs.
type pathConn struct {
	net.Conn
	path *Path
}

func (c *pathConn) await() {
	c.path.mu.Lock()
	hangs, lifted := c.path.hangs, c.path.lifted
	c.path.mu.Unlock()
	if hangs {
		<-lifted
	}
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.await()
	return n, err
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	c.await()
	return c.Conn.Write(b)
}

// Ways to cut a path. Refused leaves open connections alone, Reset ends them, and Hanging makes them and new ones stand
// still.
const (
	Refused = "refused"
	Reset   = "reset"
	Hanging = "hanging"
)

// Cut cuts the path.
func (p *Path) Cut(how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses, p.hangs = how != Hanging, how == Hanging
	if how == Reset {
		for conn := range p.conns {
			conn.(*pathConn).Conn.Close()
		}
	}
}

// Restore ends the cut.
func (p *Path) Restore() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses, p.hangs = false, false
	close(p.lifted)
	p.lifted = make(chan struct{})
}
