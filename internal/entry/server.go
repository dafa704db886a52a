package entry

import (
	"context"
	"net"
	"net/http"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/ingress"
	"godwitcart/internal/vmlimits"
)

// server is one HTTP server of the VM.
type server struct {
	// name is that of its listener in log lines.
	name    string
	address string
	handler http.Handler
	// maxConnections bounds the connections; the one that has been longest without progress makes room for a new one.
	maxConnections int
	// limits are those on its clients; nil means the defaults.
	limits func() ingress.Limits
	// connState is called when the state of a connection changes; it may be nil.
	connState func(net.Conn, http.ConnState)
}

// runningServer is a server that has been started.
type runningServer struct {
	*http.Server
	listener *ingress.Listener
}

// startServer opens the listener and starts a server that is closed when ctx ends.
func (e *Entry) startServer(ctx context.Context, group *errgroup.Group, s server) (*runningServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", s.address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", s.address)
	}
	if s.limits == nil {
		s.limits = defaultLimits
	}
	limits := func() ingress.Limits {
		limits := s.limits()
		limits.LeastRate = e.settings.Load().Limits.ClientBytesPerSecond
		return limits
	}
	guarded := ingress.NewListener(listener, ingress.Options{Name: s.name, Budget: e.memory, MaxConnections: s.maxConnections, Limits: limits, Logger: e.logger})
	httpServer := &http.Server{
		Handler: s.handler, MaxHeaderBytes: noHeaderBytes, ConnState: s.stateChanged, ConnContext: ingress.WithConnection,
		ErrorLog: e.logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	group.Go(func() error {
		if err := httpServer.Serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	context.AfterFunc(ctx, func() { httpServer.Close() })
	return &runningServer{Server: httpServer, listener: guarded}, nil
}

func (s server) stateChanged(conn net.Conn, state http.ConnState) {
	ingress.ConnState(conn, state)
	if s.connState != nil {
		s.connState(conn, state)
	}
}

func defaultLimits() ingress.Limits {
	return ingress.Limits{HeadBytes: maxHeaderBytes, HeadTime: headerTimeout, IdleTime: idleTimeout}
}

// callerLimits returns the limits that the configuration sets for callers.
func (e *Entry) callerLimits() ingress.Limits {
	limits := defaultLimits()
	table := e.poller.Current()
	if table == nil {
		return limits
	}
	if table.Limits.MaxHeaderBytes > 0 {
		limits.HeadBytes = table.Limits.MaxHeaderBytes
	}
	if table.Limits.HeaderTimeout > 0 {
		limits.HeadTime = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTime = table.Limits.IdleTimeout
	}
	return limits
}

// connections returns a share of the VM's descriptors.
func (e *Entry) connections(share float64) int {
	return int(share * float64(vmlimits.OpenFiles(e.settings.Load().Limits.OpenFiles)))
}

// countConnection keeps callerConnections.
func (e *Entry) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		e.callerConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		e.callerConnections.Add(-1)
	}
}
