// Package standhttp provides the HTTP server of the stand-ins: JSON bodies and separate listeners for traffic and
// control.
package standhttp

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// maxBodyBytes limits the JSON bodies that a stand-in reads.
const maxBodyBytes = 8 << 20

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// shutdownTimeout bounds how long the servers wait for open requests after Drain has returned.
const shutdownTimeout = 2 * time.Second

// WriteJSON responds with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: it usually means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the request body into value. Fields that the body omits keep their values.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return errors.Wrap(decoder.Decode(value), "decode the JSON body")
}

// Program runs a stand-in as a process.
type Program struct {
	// Name identifies the program in its log.
	Name string
	// Listen and Control are the addresses (host:port) of the traffic and the control listener.
	Listen, Control string
	TrafficHandler  http.Handler
	ControlHandler  http.Handler
	// ExtraListeners holds the handlers of additional traffic listeners by address (host:port).
	ExtraListeners map[string]http.Handler
	// Drain, when set, is called after ctx has ended. It must block until the running work has ended.
	Drain func()
}

// Run serves until ctx ends or a listener fails, drains, and closes all listeners.
func (p Program) Run(ctx context.Context) error {
	var servers []*http.Server
	group, groupCtx := errgroup.WithContext(ctx)
	serve := func(address string, handler http.Handler) (net.Addr, error) {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, errors.Wrap(err, "listen; choose a free address")
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		servers = append(servers, server)
		group.Go(func() error { return ignoreServerClosed(server.Serve(listener)) })
		return listener.Addr(), nil
	}
	if err := p.listen(serve); err != nil {
		shutdown(servers)
		return err
	}
	group.Go(func() error {
		<-groupCtx.Done()
		if p.Drain != nil {
			p.Drain()
		}
		shutdown(servers)
		return nil
	})
	return group.Wait()
}

// shutdown waits up to shutdownTimeout for open requests of all servers and then closes their connections.
func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// listen starts all listeners and logs the addresses of the main ones.
func (p Program) listen(serve func(string, http.Handler) (net.Addr, error)) error {
	traffic, err := serve(p.Listen, p.TrafficHandler)
	if err != nil {
		return err
	}
	control, err := serve(p.Control, p.ControlHandler)
	if err != nil {
		return err
	}
	for address, handler := range p.ExtraListeners {
		if _, err := serve(address, handler); err != nil {
			return err
		}
	}
	log.Info("listening", "stand_in", p.Name, "traffic", traffic, "control", control)
	return nil
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
