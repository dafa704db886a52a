package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/upstream"
)

// serve answers each request on each connection by the function, and counts the connections.
func serve(t *testing.T, answer func(conn net.Conn, request *http.Request, number int)) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for number := 1; ; number++ {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					answer(conn, request, number)
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func get() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/a%2Fb?c=%20"}, Host: "h", Header: http.Header{}}
}

func call(t *testing.T, client *upstream.Client, address string, fresh bool) (string, error) {
	t.Helper()
	response, err := client.Do(context.Background(), address, get(), nil, fresh)
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1000)
	response.Close(err != nil)
	return string(body), err
}

// TestKeepsConnections checks which answers let their connection be used again.
func TestKeepsConnections(t *testing.T) {
	cases := map[string]struct {
		answer string
		kept   bool
	}{
		"whole":               {whole, true},
		"in chunks":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"after an interim":    {"HTTP/1.1 100 Continue\r\n\r\n" + whole, true},
		"with bytes behind":   {whole + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", false},
		"that closes":         {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		"kept for no time":    {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		"kept for some time":  {"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=30\r\nContent-Length: 2\r\n\r\nok", true},
		"of an older version": {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, connections := serve(t, func(conn net.Conn, r *http.Request, _ int) {
				require.Equal(t, "/a%2Fb?c=%20", r.RequestURI)
				write(conn, c.answer)
			})
			client := upstream.NewClient()
			for range 2 {
				body, err := call(t, client, address, false)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
			}
			require.Equal(t, c.kept, connections.Load() == 1)
		})
	}
}

// TestLateExtraAnswer has a second answer arrive on an idle connection: it belongs to no request.
func TestLateExtraAnswer(t *testing.T) {
	sent := make(chan struct{})
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		write(conn, whole)
		time.Sleep(20 * time.Millisecond)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		sent <- struct{}{}
	})
	client := upstream.NewClient()
	for range 2 {
		body, err := call(t, client, address, false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-sent
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestBrokenAnswers checks that an answer that is not whole is an error, and that each request is sent once.
func TestBrokenAnswers(t *testing.T) {
	answers := map[string]string{
		"cut body":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"cut chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"cut head":  "HTTP/1.1 200 OK\r\nContent-",
		"no answer": "garbage\r\n\r\n",
		"nothing":   "",
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				requests.Add(1)
				write(conn, answer)
				conn.Close()
			})
			_, err := call(t, upstream.NewClient(), address, false)
			require.Error(t, err)
			var notSent *upstream.NotSentError
			require.False(t, errors.As(err, &notSent), "a request that may have run is called not sent")
			require.Equal(t, int64(1), requests.Load())
		})
	}
}

// TestResetAnswer has an answer without a length end by a reset: it is not whole.
func TestResetAnswer(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				write(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
				time.Sleep(20 * time.Millisecond)
				if reset {
					require.NoError(t, conn.(*net.TCPConn).SetLinger(0))
				}
				conn.Close()
			})
			_, err := call(t, upstream.NewClient(), address, false)
			require.Equal(t, reset, err != nil)
		})
	}
}

// TestNotSent checks that a connection that cannot be made is told apart.
func TestNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, err = call(t, upstream.NewClient(), address, false)
	var notSent *upstream.NotSentError
	require.True(t, errors.As(err, &notSent))
}

// TestFreshConnection checks that a request that asks for one gets a new connection.
func TestFreshConnection(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, whole) })
	client := upstream.NewClient()
	for range 3 {
		_, err := call(t, client, address, true)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), connections.Load())
}

// TestClosedWhileIdle has the target close an idle connection: the next request takes a new one.
func TestClosedWhileIdle(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		write(conn, whole)
		conn.Close()
	})
	client := upstream.NewClient()
	for range 2 {
		_, err := call(t, client, address, false)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestEarlyAnswer has the target answer before it has read a long body: the connection is not used again,
// since the target would take the next request for the rest of that body.
func TestEarlyAnswer(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	var connections atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
					write(conn, whole)
				}
			}()
		}
	}()
	client := upstream.NewClient()
	for range 2 {
		request := get()
		request.Method = http.MethodPost
		response, err := client.Do(context.Background(), listener.Addr().String(), request, []byte(strings.Repeat("x", 32<<20)), false)
		require.NoError(t, err)
		_, err = response.ReadAll(1000)
		require.NoError(t, err)
		response.Close(false)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestCanceled checks that the end of the context ends a request at once.
func TestCanceled(t *testing.T) {
	held := make(chan struct{})
	address, _ := serve(t, func(net.Conn, *http.Request, int) { <-held })
	defer close(held)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := upstream.NewClient().Do(ctx, address, get(), nil, false)
	require.Error(t, err)
}

func BenchmarkDo(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 800)) }))
	client := upstream.NewClient()
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Do(context.Background(), listener.Addr().String(), get(), nil, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := response.ReadAll(10000); err != nil {
			b.Fatal(err)
		}
		response.Close(false)
	}
}
