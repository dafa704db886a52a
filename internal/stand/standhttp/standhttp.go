// Package standhttp holds what the HTTP servers of the stand-ins share: JSON bodies
// and a pair of listeners, one for traffic and one for control.
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

// maxBodyBytes bounds the JSON bodies that a stand-in reads.
const maxBodyBytes = 8 << 20

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// closeTimeout bounds how long the listeners wait for open calls after Drain has returned.
const closeTimeout = 2 * time.Second

// WriteJSON answers with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// ReadJSON decodes the request's body into value, keeping the fields that the body omits.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	return errors.Wrap(decoder.Decode(value), "decode the JSON body")
}

// Program is one stand-in as a process.
type Program struct {
	// Name appears in the log line that says the program listens.
	Name string
	// Listen and Control are host:port of the traffic and the control listener.
	Listen, Control string
	Traffic         http.Handler
	Operate         http.Handler
	// More are further traffic listeners, by host:port.
	More map[string]http.Handler
	// Drain, when set, is called when ctx ends and returns when the running work has ended.
	Drain func()
}

// Run serves until ctx ends, drains, and closes both listeners.
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
		group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
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

// shutdown lets open calls end within closeTimeout and then cuts them off.
func shutdown(servers []*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, server := range servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}

// listen starts all listeners and logs where they are.
func (p Program) listen(serve func(string, http.Handler) (net.Addr, error)) error {
	traffic, err := serve(p.Listen, p.Traffic)
	if err != nil {
		return err
	}
	control, err := serve(p.Control, p.Operate)
	if err != nil {
		return err
	}
	for address, handler := range p.More {
		if _, err := serve(address, handler); err != nil {
			return err
		}
	}
	log.Info("listening", "stand_in", p.Name, "traffic", traffic, "control", control)
	return nil
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
