package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/gateway/answer"
	"godwitcart/internal/settings"
	"godwitcart/internal/tlsconfig"
)

// stopTimeout bounds the shutdown of an HTTP server after its requests have ended.
const stopTimeout = 2 * time.Second

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
	callers, err := d.newHTTPListener(d.settings.Callers.Listen, d.settings.Callers.Security, d.gateway)
	if err != nil {
		return nil, err
	}
	callers.server.MaxHeaderBytes = d.settings.Callers.MaxHeaderBytes
	callers.server.ReadHeaderTimeout = d.settings.Callers.ReadHeaderTimeout
	callers.server.IdleTimeout = d.settings.Callers.IdleTimeout
	operators, err := d.newHTTPListener(d.settings.Operators.Listen, d.settings.Operators.Security, d.operatorsHandler())
	if err != nil {
		callers.listener.Close()
		return nil, err
	}
	operators.server.ReadHeaderTimeout = settings.DefaultReadHeaderTimeout
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

func (d *Daemon) newHTTPListener(address string, security settings.Security, handler http.Handler) (*httpListener, error) {
	listener, err := openListener(address)
	if err != nil {
		return nil, err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(security.PlainText)
	server := &http.Server{Handler: handler, Protocols: protocols, ConnContext: answer.WithConnection}
	if security.TLS != nil {
		reloader, err := tlsconfig.New(tlsFiles(security.TLS), d.logger)
		if err != nil {
			listener.Close()
			return nil, err
		}
		server.TLSConfig = reloader.ServerConfig("h2", "http/1.1")
	}
	return &httpListener{server: server, listener: listener}, nil
}

func closeListeners(servers []*httpListener) {
	for _, server := range servers {
		server.listener.Close()
	}
}

func (l *httpListener) serve() error {
	serve := l.server.Serve
	if l.server.TLSConfig != nil {
		serve = func(listener net.Listener) error { return l.server.ServeTLS(listener, "", "") }
	}
	if err := serve(l.listener); !errors.Is(err, http.ErrServerClosed) {
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
