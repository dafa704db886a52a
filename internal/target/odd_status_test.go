package target_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// TestOddStatusLeavesTheOutcomeUnknown guards against an answer with a status that HTTP does not have: it was passed on, or taken
// for a refusal, though it says nothing of whether the call has run.
func TestOddStatusLeavesTheOutcomeUnknown(t *testing.T) {
	timeouts := target.Timeouts{Connect: time.Second, ResponseHeader: 10 * time.Second, Progress: 10 * time.Second, TokenGap: 10 * time.Second}
	for _, status := range []string{"000 None", "001 X", "099 X", "+20 OK", "600 X", "700 X", "999 X"} {
		for name, field := range map[string]string{"plain": "", "as a refusal": enginewire.HeaderRefused + ": " + string(enginewire.RefusedQueueFull) + "\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				address := target.Address{Name: "t", HostPort: rawServer(t, "HTTP/1.1 "+status+"\r\n"+field+"Content-Length: 3\r\n\r\nodd")}
				var unknown *target.UnknownOutcomeError
				_, err := target.NewPlainClient(timeouts).Call(t.Context(), address, target.PlainCall{Method: http.MethodPost, Path: "/", AttemptID: "a"})
				require.ErrorAs(t, err, &unknown)
				_, err = target.NewEngineClient(timeouts).Start(t.Context(), address, target.Generation{})
				require.ErrorAs(t, err, &unknown)
			})
		}
	}
}

// rawServer answers each request with the text and closes the connection.
func rawServer(t *testing.T, text string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4<<10)) // a part of the request
			_, _ = io.WriteString(conn, text)     // an error means that the client has closed it
			conn.Close()
		}
	}()
	return listener.Addr().String()
}
