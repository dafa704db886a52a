package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"godwitcart/internal/peer/peerpb"
)

const (
	// maxMessageBytes bounds one message. The largest content, a configuration, has at most 1 MB.
	maxMessageBytes = 4 << 20
	// serverIdleTimeout is the time after which a connection without a call is closed. It is longer than the
	// client's idleTimeout, so that the client closes first.
	serverIdleTimeout = 2 * time.Minute
)

// ServerOptions configures a Server.
type ServerOptions struct {
	Handlers Handlers
	// TLS is the TLS configuration of the listener; nil means plain text.
	TLS *tls.Config
	// Traffic, if set, counts bytes and calls.
	Traffic *Traffic
}

// Server serves the calls of peers.
type Server struct {
	options ServerOptions
	drpc    *drpcserver.Server
}

// NewServer returns a Server; Serve runs it.
func NewServer(options ServerOptions) (*Server, error) {
	if options.Traffic == nil {
		options.Traffic = &Traffic{}
	}
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &service{handlers: options.Handlers}); err != nil {
		return nil, errors.Wrap(err, "register the peer service")
	}
	counted := &countingHandler{handler: mux, traffic: options.Traffic}
	server := drpcserver.NewWithOptions(counted, drpcserver.Options{Manager: drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
		InactivityTimeout: serverIdleTimeout,
	}})
	return &Server{options: options, drpc: server}, nil
}

// Serve accepts connections on the listener until ctx ends, and then closes it.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	counted := &countingListener{Listener: listener, traffic: s.options.Traffic}
	if s.options.TLS == nil {
		return s.drpc.Serve(ctx, counted)
	}
	return s.drpc.Serve(ctx, tls.NewListener(counted, s.options.TLS))
}

// countingHandler counts the calls served.
type countingHandler struct {
	handler drpc.Handler
	traffic *Traffic
}

// HandleRPC implements drpc.Handler.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	h.traffic.served.Add(1)
	return h.handler.HandleRPC(stream, rpc)
}

// countingListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, traffic: l.traffic}, nil
}
