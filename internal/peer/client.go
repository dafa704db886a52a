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

// DefaultCallTimeout bounds one call, dialling and waiting for the connection included.
const DefaultCallTimeout = time.Second

// ClientOptions configures a Client.
type ClientOptions struct {
	// Resolve returns the host:port of a peer's listener.
	Resolve func(vm string) (address string, known bool)
	// TLS returns the configuration for one dial to the host; nil means plain text.
	TLS func(host string) *tls.Config
	// CallTimeout bounds one call; zero means DefaultCallTimeout.
	CallTimeout time.Duration
	// Traffic, if set, counts bytes and calls.
	Traffic *Traffic
}

// Client calls peers by the names of their VMs. It is safe for concurrent use. Each peer has links of
// its own, so a peer that is dead or frozen delays no call to another.
type Client struct {
	options ClientOptions

	mu     sync.Mutex
	links  map[linkKey]*link
	closed bool
}

// lane separates calls that must not wait for each other: a connection carries one call at a time.
type lane int

const (
	laneExchange lane = iota
	laneAcceptance
	laneQuestions
	laneClaims
)

type linkKey struct {
	vm   string
	lane lane
}

// NewClient returns a Client without connections; they are dialled when they are needed.
func NewClient(options ClientOptions) *Client {
	if options.CallTimeout <= 0 {
		options.CallTimeout = DefaultCallTimeout
	}
	if options.Traffic == nil {
		options.Traffic = &Traffic{}
	}
	return &Client{options: options, links: make(map[linkKey]*link)}
}

// Exchange swaps digests with a peer.
func (c *Client) Exchange(ctx context.Context, vm string, ask *peerpb.Digest) (*peerpb.Digest, error) {
	return call(ctx, c, vm, laneExchange, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.Digest, error) {
		return peer.Exchange(ctx, ask)
	})
}

// Stage asks a peer to hold a proposed configuration.
func (c *Client) Stage(ctx context.Context, vm string, request *peerpb.StageRequest) (*peerpb.StageReply, error) {
	return call(ctx, c, vm, laneAcceptance, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.StageReply, error) {
		return peer.Stage(ctx, request)
	})
}

// Conclude tells a peer the outcome of a proposal.
func (c *Client) Conclude(ctx context.Context, vm string, request *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	return call(ctx, c, vm, laneAcceptance, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ConcludeReply, error) {
		return peer.Conclude(ctx, request)
	})
}

// Configuration asks a peer for its highest accepted configuration.
func (c *Client) Configuration(ctx context.Context, vm string, request *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return call(ctx, c, vm, laneAcceptance, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ConfigurationReply, error) {
		return peer.Configuration(ctx, request)
	})
}

// Query asks a peer an operators' query.
func (c *Client) Query(ctx context.Context, vm string, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return call(ctx, c, vm, laneQuestions, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.QueryReply, error) {
		return peer.Query(ctx, request)
	})
}

// Cancel asks a peer to cancel a request that it is serving.
func (c *Client) Cancel(ctx context.Context, vm string, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return call(ctx, c, vm, laneQuestions, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.CancelReply, error) {
		return peer.Cancel(ctx, request)
	})
}

// Claims hands operations on claims over to a peer. After an error their outcome is unknown.
func (c *Client) Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	return call(ctx, c, vm, laneClaims, func(ctx context.Context, peer peerpb.DRPCPeerClient) (*peerpb.ClaimsReply, error) {
		return peer.Claims(ctx, request)
	})
}

// call makes one call within the call timeout.
func call[Reply any](ctx context.Context, c *Client, vm string, lane lane, invoke func(context.Context, peerpb.DRPCPeerClient) (*Reply, error)) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	c.options.Traffic.calls.Add(1)
	l, err := c.link(vm, lane)
	if err != nil {
		c.options.Traffic.failures.Add(1)
		return nil, err
	}
	var reply *Reply
	err = l.use(ctx, func(peer peerpb.DRPCPeerClient) (invokeErr error) {
		reply, invokeErr = invoke(ctx, peer)
		return invokeErr
	})
	if err != nil {
		c.options.Traffic.failures.Add(1)
		return nil, err
	}
	return reply, nil
}

// link returns the link of the peer's lane, a new one when the peer has moved.
func (c *Client) link(vm string, lane lane) (*link, error) {
	address, known := c.options.Resolve(vm)
	if !known {
		return nil, apierror.Newf(apierror.KindUnavailable, "wait until the platform's list names it", "entry VM %s is not known", vm)
	}
	key := linkKey{vm: vm, lane: lane}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, apierror.New(apierror.KindUnavailable, "this VM is shutting down", "ask another entry VM")
	}
	l := c.links[key]
	if l != nil && l.address == address {
		return l, nil
	}
	if l != nil {
		go l.close()
	}
	c.forgetUnknown()
	l = newLink(vm, address, c.dial)
	c.links[key] = l
	return l, nil
}

// forgetUnknown closes the links of peers that are no longer known. The caller holds the lock.
func (c *Client) forgetUnknown() {
	for key, l := range c.links {
		if _, known := c.options.Resolve(key.vm); !known {
			delete(c.links, key)
			go l.close()
		}
	}
}

// dial opens a connection and, with TLS, shakes hands.
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
	secured := tls.Client(conn, c.options.TLS(host))
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// Close closes all links; later calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = make(map[linkKey]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
