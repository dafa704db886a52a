package answer

import (
	"bufio"
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// handlers end a response that has begun.
var handlers = map[string]struct {
	end   func(*Response)
	whole bool
}{
	"completed":    {end: func(a *Response) { _ = a.Complete() }, whole: true},
	"returned":     {end: func(*Response) {}},
	"panicked":     {end: func(*Response) { panic(http.ErrAbortHandler) }},
	"whole behind": {end: func(a *Response) { a.Whole(http.StatusServiceUnavailable, "application/json", []byte("{}")) }},
}

// begins send the head.
var begins = map[string]func(*Response){
	"a length": func(a *Response) {
		a.Header().Set("Content-Length", "5")
		a.Begin(http.StatusOK)
	},
	"chunks":   func(a *Response) { a.Begin(http.StatusOK) },
	"unstated": func(a *Response) { a.BeginUnstated(http.StatusOK) },
}

func newServer(t *testing.T, secured bool, handle func(*Response)) *httptest.Server {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := New(w, r)
		defer response.Reset()
		handle(response)
		response.Close()
	}))
	server.Config.ConnContext = WithConnection
	if secured {
		server.StartTLS()
	} else {
		server.Start()
	}
	t.Cleanup(server.Close)
	return server
}

func dial(t *testing.T, server *httptest.Server) net.Conn {
	address := server.Listener.Addr().String()
	var conn net.Conn
	var err error
	if server.TLS != nil {
		conn, err = tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	} else {
		conn, err = net.Dial("tcp", address)
	}
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// readBody returns the body, and an error if the caller sees that it broke off.
func readBody(t *testing.T, server *httptest.Server, protocol string) (string, error) {
	conn := dial(t, server)
	_, err := conn.Write([]byte("GET / " + protocol + "\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// The handler gives up in each way and framing.
func TestIncompleteResponseEndsAsComplete(t *testing.T) {
	for beginName, begin := range begins {
		for endName, handler := range handlers {
			for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
				for _, secured := range []bool{false, true} {
					name := beginName + "/" + endName + "/" + protocol
					if secured {
						name += "/TLS"
					}
					t.Run(name, func(t *testing.T) {
						server := newServer(t, secured, func(a *Response) {
							begin(a)
							part := "hel"
							if handler.whole {
								part = "hello"
							}
							_, _ = a.Write([]byte(part))
							handler.end(a)
						})
						body, err := readBody(t, server, protocol)
						require.Equal(t, handler.whole, err == nil)
						if handler.whole {
							require.Equal(t, "hello", body)
						}
					})
				}
			}
		}
	}
}

// A second response, or further parts, must not follow the end of a response.
func TestNothingFollowsCompleteResponse(t *testing.T) {
	recorder := httptest.NewRecorder()
	a := New(recorder, httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil))
	_, err := a.Write([]byte("early"))
	require.ErrorIs(t, err, ErrNotOpen)
	a.Whole(http.StatusOK, "text/plain", []byte("whole"))
	_, err = a.Write([]byte("late"))
	require.ErrorIs(t, err, ErrNotOpen)
	require.ErrorIs(t, a.Complete(), ErrNotOpen)
	a.Whole(http.StatusServiceUnavailable, "text/plain", []byte("late"))
	a.Close()
	require.Equal(t, "whole", recorder.Body.String())
}

// The server would complete it as an empty response with status 200.
func TestHandlerWithoutResponseIsAborted(t *testing.T) {
	a := New(httptest.NewRecorder(), httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", nil))
	require.PanicsWithValue(t, http.ErrAbortHandler, a.Close)
}
