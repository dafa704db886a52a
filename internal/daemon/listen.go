package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/gateway/answer"
	"godwitcart/internal/ingress"
	"godwitcart/internal/settings"
	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/vmlimits"
)

// stopTimeout bounds the shutdown of an HTTP server after its requests have ended.
const stopTimeout = 2 * time.Second

const (
	// callerConnectionShare, peerConnectionShare and operatorConnectionShare are the shares of the file descriptors that the
	// connections of each listener may use, with minConnections at least; the rest is for connections to targets.
	callerConnectionShare   = 0.5
	peerConnectionShare     = 0.1
	operatorConnectionShare = 0.05
	minConnections          = 16
	// http2FrameBytes, http2WindowBytes and http2Streams bound what an HTTP/2 connection holds: the least that the protocol
	// allows for a frame and the window of the connection, and the least number of requests that it recommends.
	http2FrameBytes  = 16 << 10
	http2WindowBytes = 64 << 10
	http2Streams     = 100
)

// httpListener is an HTTP server with its open listener.
type httpListener struct {
	server   *http.Server
	listener net.Listener
}

// Addresses are the host:port of the open listeners; the system chooses the port where the settings have port 0.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// Addresses waits until the listeners are open. It fails if ctx ends first.
func (d *Daemon) Addresses(ctx context.Context) (Addresses, error) {
	select {
	case <-d.listening:
		return d.addresses, nil
	case <-ctx.Done():
		return Addresses{}, errors.Wrap(ctx.Err(), "wait for the listeners")
	}
}

// publishAddresses unblocks Addresses. servers has the order of openListeners.
func (d *Daemon) publishAddresses(servers []*httpListener, peers net.Listener) {
	d.addresses = Addresses{
		Callers: servers[0].listener.Addr().String(), Operators: servers[1].listener.Addr().String(), Peers: peers.Addr().String(),
	}
	close(d.listening)
}

// openListeners opens the listeners for callers and for operators, in this order.
func (d *Daemon) openListeners() ([]*httpListener, error) {
	configured := d.settings.Callers
	callers, err := d.newHTTPListener(configured.Listen, configured.Security, d.gateway, ingress.Options{
		Name: "callers", IsPressed: d.controller.HasWaiting, MaxConnections: d.connections(callerConnectionShare), Limits: d.staticLimits(ingress.Limits{
			HeadBytes: configured.MaxHeaderBytes, HeadTime: configured.ReadHeaderTimeout, IdleTime: configured.IdleTimeout, BodyPause: configured.ReadBodyPause,
		}),
	})
	if err != nil {
		return nil, err
	}
	operators, err := d.newHTTPListener(d.settings.Operators.Listen, d.settings.Operators.Security, d.operatorsHandler(), ingress.Options{
		Name: "operators", MaxConnections: d.connections(operatorConnectionShare),
		Limits: d.staticLimits(defaultLimits),
	})
	if err != nil {
		callers.listener.Close()
		return nil, err
	}
	d.logger.Info("listening", "callers", callers.listener.Addr().String(), "operators", operators.listener.Addr().String())
	return []*httpListener{callers, operators}, nil
}

func openListener(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindUnavailable, "cannot listen on "+address,
			"choose a free address in the settings or stop the process that uses it")
	}
	return listener, nil
}

// connections returns a share of the VM's descriptors.
func (d *Daemon) connections(share float64) int {
	return max(minConnections, int(share*float64(vmlimits.OpenFiles(d.settings.Limits.OpenFiles))))
}

// defaultLimits hold for clients of the listeners for operators and peers.
var defaultLimits = ingress.Limits{
	HeadBytes: settings.DefaultMaxHeaderBytes, HeadTime: settings.DefaultReadHeaderTimeout, IdleTime: settings.DefaultIdleTimeout, BodyPause: settings.DefaultReadBodyPause,
}

// staticLimits completes the limits with the least rate of the settings.
func (d *Daemon) staticLimits(limits ingress.Limits) func() ingress.Limits {
	limits.LeastRate = d.settings.Limits.ClientBytesPerSecond
	return func() ingress.Limits { return limits }
}

// newHTTPListener opens the listener of a server, which is guarded with the options and the VM's memory.
func (d *Daemon) newHTTPListener(address string, security settings.Security, handler http.Handler, options ingress.Options) (*httpListener, error) {
	listener, err := openListener(address)
	if err != nil {
		return nil, err
	}
	options.Budget, options.Logger = d.memory, d.logger
	guarded := ingress.NewListener(listener, options)
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(security.PlainText)
	limits := options.Limits()
	server := &http.Server{
		Handler: ingress.Handler(handler), Protocols: protocols, HTTP2: &http.HTTP2Config{
			MaxReadFrameSize: http2FrameBytes, MaxReceiveBufferPerConnection: http2WindowBytes, MaxReceiveBufferPerStream: http2WindowBytes,
			MaxConcurrentStreams: http2Streams,
		},
		MaxHeaderBytes: limits.HeadBytes, IdleTimeout: limits.IdleTime, ConnState: ingress.ConnState,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return answer.WithConnection(ingress.WithConnection(ctx, conn), conn)
		},
	}
	if security.TLS == nil {
		return &httpListener{server: server, listener: guarded}, nil
	}
	reloader, err := tlsconfig.New(tlsFiles(security.TLS), d.logger)
	if err != nil {
		listener.Close()
		return nil, err
	}
	server.TLSConfig = reloader.ServerConfig("h2", "http/1.1")
	return &httpListener{server: server, listener: ingress.NewTLSListener(guarded, server.TLSConfig)}, nil
}

func closeListeners(servers []*httpListener) {
	for _, server := range servers {
		server.listener.Close()
	}
}

func (l *httpListener) serve() error {
	if err := l.server.Serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (l *httpListener) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if l.server.Shutdown(ctx) != nil {
		l.server.Close()
	}
}
