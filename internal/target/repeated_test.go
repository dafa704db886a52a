package target

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/request"
	"godwitcart/internal/wire/enginewire"
)

// The refusals of calls. They name no attempt, as those of engines of earlier versions. That of a health check has no body,
// so that its connection is kept.
const (
	refusal       = "HTTP/1.1 404 Not Found\r\nContent-Length: 26\r\n\r\n" + `{"kind":"unknown_attempt"}`
	healthRefusal = "HTTP/1.1 503 Service Unavailable\r\nGodwitcart-Refused: leaving\r\nContent-Length: 0\r\n\r\n"
)

// newRepeatingTarget refuses the first call on each connection. Later calls on it run, and are answered by the refusal
// once more.
func newRepeatingTarget(t *testing.T) (Address, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	ran := new(atomic.Int64)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go repeatRefusal(conn, ran)
		}
	}()
	return Address{Name: "repeating", HostPort: listener.Addr().String()}, ran
}

func repeatRefusal(conn net.Conn, ran *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for isFirst := true; ; isFirst = false {
		call, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, call.Body)
		if !isFirst {
			ran.Add(1)
		}
		if call.URL.Path == healthPath {
			_, _ = conn.Write([]byte(healthRefusal))
			continue
		}
		_, _ = conn.Write([]byte(refusal))
	}
}

// Streams would be given up, orders sent again, and services taken to be leaving.
func TestRepeatedRefusalEndsAnotherCall(t *testing.T) {
	timeouts := Timeouts{Connect: time.Second, ResponseHeader: time.Second, Progress: time.Second, TokenGap: time.Second}
	engines, services := NewEngineClient(timeouts), NewPlainClient(timeouts)
	generation := Generation{GenerationRequest: enginewire.GenerationRequest{AttemptID: "a"}}
	calls := map[string]func(Address) error{
		"start": func(address Address) error {
			_, err := engines.Start(t.Context(), address, generation)
			return err
		},
		"resume": func(address Address) error {
			_, err := engines.Resume(t.Context(), address, "a", 3)
			return err
		},
		"order": func(address Address) error {
			_, err := engines.SendOrder(t.Context(), address, enginewire.Order{ID: "o"})
			return err
		},
		"health": func(address Address) error { return services.CheckHealth(t.Context(), address) },
	}
	for name, call := range calls {
		t.Run(name, func(t *testing.T) {
			address, ran := newRepeatingTarget(t)
			_, err := engines.Start(t.Context(), address, generation)
			require.Equal(t, request.AttemptRefused, AttemptState(err))
			_ = services.CheckHealth(t.Context(), address)
			ranBefore := ran.Load()
			err = call(address)
			require.Error(t, err)
			require.Equal(t, ran.Load() == ranBefore, AttemptState(err).DidNotRun())
		})
	}
}
