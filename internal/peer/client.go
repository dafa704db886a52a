package peer

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
)

// DefaultCallTimeout is the default timeout of one call, including dialing and waiting for the connection.
const DefaultCallTimeout = time.Second

// ClientOptions configures a Client.
type ClientOptions struct {
	// Resolve returns the host:port of a peer's listener and whether the peer is known.
	Resolve func(vm string) (address string, known bool)
	// TLS returns the TLS configuration for a dial to the host; if it is nil, connections are plain text.
	TLS func(host string) *tls.Config
	// CallTimeout bounds one call; zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// Traffic, if set, counts bytes and calls.
	Traffic *Traffic
}

// Client calls peers by the names of their VMs. It is safe for concurrent use. Each peer has its own connections, so
// a peer that is down or unresponsive does not delay calls to others.
type Client struct {
	options ClientOptions

	mu     sync.Mutex
	conns  map[connKey]*peerConn
	closed bool
}

// callClass groups calls that share a connection to a peer. A connection carries one call at a time, so calls that must
// not wait for each other have different classes.
type callClass int

const (
	classExchange callClass = iota
	classConfiguration
	classQuery
	classClaims
)

type connKey struct {
	vm    string
	class callClass
}

// NewClient returns a Client without connections; they are dialed on demand.
func NewClient(options ClientOptions) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.Traffic == nil {
		options.Traffic = &Traffic{}
	}
	return &Client{options: options, conns: make(map[connKey]*peerConn)}
}

// Exchange sends a digest to a peer and returns the peer's digest.
func (c *Client) Exchange(ctx context.Context, vm string, request *peerpb.Digest) (*peerpb.Digest, error) {
	return call(ctx, c, vm, classExchange, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.Digest, error) {
		return peer.Exchange(ctx, request)
	})
}

// Stage asks a peer to validate and stage a proposed configuration.
func (c *Client) Stage(ctx context.Context, vm string, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	return call(ctx, c, vm, classConfiguration, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.StageReply, error) {
		return peer.Stage(ctx, request)
	})
}

// Conclude tells a peer the outcome of a proposal.
func (c *Client) Conclude(ctx context.Context, vm string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	return call(ctx, c, vm, classConfiguration, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ConcludeReply, error) {
		return peer.Conclude(ctx, request)
	})
}

// Configuration asks a peer for its highest accepted configuration.
func (c *Client) Configuration(ctx context.Context, vm string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return call(ctx, c, vm, classConfiguration, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ConfigurationReply, error) {
		return peer.Configuration(ctx, request)
	})
}

// Query runs an operator query on a peer.
func (c *Client) Query(ctx context.Context, vm string, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return call(ctx, c, vm, classQuery, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.QueryReply, error) {
		return peer.Query(ctx, request)
	})
}

// Cancel asks a peer to cancel a request that it is serving.
func (c *Client) Cancel(ctx context.Context, vm string, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return call(ctx, c, vm, classQuery, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.CancelReply, error) {
		return peer.Cancel(ctx, request)
	})
}

// Claims asks a peer to carry out operations on claims. After an error, their outcome is unknown.
func (c *Client) Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	return call(ctx, c, vm, classClaims, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ClaimsReply, error) {
		return peer.Claims(ctx, request)
	})
}

// call makes one call within the call timeout and counts it.
func call[Reply any](ctx context.Context, c *Client, vm string, class callClass, invoke func(context.Context, peerpb.DRPCPeerClient) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	c.options.Traffic.calls.Add(1)
	conn, err := c.peerConn(vm, class)
	if err != nil {
		c.options.Traffic.failures.Add(1)
		return nil, err
	}
	var reply *Reply
	err = conn.call(ctx, func(peer peerpb.DRPCPeerClient) (invokeErr error) {
		reply, invokeErr = invoke(ctx, peer)
		return invokeErr
	})
	if err != nil {
		c.options.Traffic.failures.Add(1)
		return nil, err
	}
	return reply, nil
}

// peerConn returns the peer's connection for the class. If the peer's address has changed, it closes the old
// connection and returns a new one. Whenever it creates one, it also closes those to peers that are no longer known.
func (c *Client) peerConn(vm string, class callClass) (*peerConn, error) {
	address, known := c.options.Resolve(vm)
	if !known {
		return nil, apierror.Newf(apierror.KindUnavailable, "wait until the platform's list names it", "entry VM %s is not known", vm)
	}
	key := connKey{vm: vm, class: class}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, apierror.New(apierror.KindUnavailable, "this VM is shutting down", "ask another entry VM")
	}
	conn := c.conns[key]
	if conn != nil && conn.address == address {
		return conn, nil
	}
	if conn != nil {
		go conn.close()
	}
	c.closeUnlisted()
	conn = newPeerConn(vm, address, c.dial)
	c.conns[key] = conn
	return conn, nil
}

// closeUnlisted closes the connections to peers that are no longer known. The caller holds c.mu.
func (c *Client) closeUnlisted() {
	for key, conn := range c.conns {
		if _, known := c.options.Resolve(key.vm); !known {
			delete(c.conns, key)
			go conn.close()
		}
	}
}

// dial opens a connection, whose bytes are counted, and performs the TLS handshake if TLS is configured.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn = &countingConn{Conn: conn, traffic: c.options.Traffic}
	if c.options.TLS == nil {
		return conn, nil
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		conn.Close()
		return nil, err
	}
	tlsConn := tls.Client(conn, c.options.TLS(host))
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// Close closes all connections; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[connKey]*peerConn)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}
