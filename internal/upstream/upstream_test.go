package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/upstream"
)

// serve starts a server that passes each request, with its number on the connection, to respond, and counts the
// connections.
func serve(t *testing.T, respond func(conn net.Conn, request *http.Request, number int)) (address string, connections *atomic.Int64) {
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
					respond(conn, request, number)
				}
			}()
		}
	}()
	return listener.Addr().String(), connections
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newGetRequest() *http.Request {
	return &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/a%2Fb?c=%20"}, Host: "h", Header: http.Header{}}
}

func call(t *testing.T, client *upstream.Client, address string, fresh bool) (string, error) {
	t.Helper()
	response, err := client.Do(context.Background(), address, newGetRequest(), nil, fresh)
	if err != nil {
		return "", err
	}
	body, err := response.ReadAll(1000)
	response.Close(err != nil)
	return string(body), err
}

// TestConnectionReuse checks after which responses a connection is reused.
func TestConnectionReuse(t *testing.T) {
	cases := map[string]struct {
		response string
		reused   bool
	}{
		"complete":                     {okResponse, true},
		"chunked":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", true},
		"after an interim response":    {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse, true},
		"with trailing bytes":          {okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", false},
		"with connection close":        {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		"with zero keep-alive timeout": {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", false},
		"with keep-alive timeout":      {"HTTP/1.1 200 OK\r\nKeep-Alive: max=5, timeout=30\r\nContent-Length: 2\r\n\r\nok", true},
		"of HTTP/1.0":                  {"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, connections := serve(t, func(conn net.Conn, r *http.Request, _ int) {
				require.Equal(t, "/a%2Fb?c=%20", r.RequestURI)
				write(conn, c.response)
			})
			client := upstream.NewClient(upstream.Options{})
			for range 2 {
				body, err := call(t, client, address, false)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
			}
			require.Equal(t, c.reused, connections.Load() == 1)
		})
	}
}

// TestUnsolicitedResponse guards against taking a response that arrives on an idle connection for that of the next
// request.
func TestUnsolicitedResponse(t *testing.T) {
	sent := make(chan struct{})
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		write(conn, okResponse)
		time.Sleep(20 * time.Millisecond)
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
		sent <- struct{}{}
	})
	client := upstream.NewClient(upstream.Options{})
	for range 2 {
		body, err := call(t, client, address, false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		<-sent
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestIncompleteResponses checks that an incomplete response is an error and that the request is not sent again.
func TestIncompleteResponses(t *testing.T) {
	responses := map[string]string{
		"cut body":  "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok",
		"cut chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"cut head":  "HTTP/1.1 200 OK\r\nContent-",
		"no answer": "garbage\r\n\r\n",
		"nothing":   "",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				requests.Add(1)
				write(conn, response)
				conn.Close()
			})
			_, err := call(t, upstream.NewClient(upstream.Options{}), address, false)
			require.Error(t, err)
			var notSent *upstream.NotSentError
			require.False(t, errors.As(err, &notSent), "a request that may have run is reported as not sent")
			require.Equal(t, int64(1), requests.Load())
		})
	}
}

// TestResetDuringBody checks that a response that is delimited by the end of the connection is complete after a close
// but not after a reset.
func TestResetDuringBody(t *testing.T) {
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
			_, err := call(t, upstream.NewClient(upstream.Options{}), address, false)
			require.Equal(t, reset, err != nil)
		})
	}
}

// TestConnectFailureIsNotSent checks that a failed connect is reported as a NotSentError.
func TestConnectFailureIsNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	_, err = call(t, upstream.NewClient(upstream.Options{}), address, false)
	var notSent *upstream.NotSentError
	require.True(t, errors.As(err, &notSent))
}

// TestFreshConnection checks that no idle connection is reused if a fresh one is requested.
func TestFreshConnection(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, okResponse) })
	client := upstream.NewClient(upstream.Options{})
	for range 3 {
		_, err := call(t, client, address, true)
		require.NoError(t, err)
	}
	require.Equal(t, int64(3), connections.Load())
}

// TestClosedWhileIdle checks that the next request opens a new connection if the target has closed the idle one.
func TestClosedWhileIdle(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		write(conn, okResponse)
		conn.Close()
	})
	client := upstream.NewClient(upstream.Options{})
	for range 2 {
		_, err := call(t, client, address, false)
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestResponseBeforeBodySent checks that a connection is not reused if the target responded before it had read all of a
// large body: it would take the next request for the rest of that body.
func TestResponseBeforeBodySent(t *testing.T) {
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
					write(conn, okResponse)
				}
			}()
		}
	}()
	client := upstream.NewClient(upstream.Options{})
	for range 2 {
		request := newGetRequest()
		request.Method = http.MethodPost
		response, err := client.Do(context.Background(), listener.Addr().String(), request, []byte(strings.Repeat("x", 32<<20)), false)
		require.NoError(t, err)
		_, err = response.ReadAll(1000)
		require.NoError(t, err)
		response.Close(false)
	}
	require.Equal(t, int64(2), connections.Load())
}

// TestContextCanceled checks that canceling the context aborts a request that waits for its response.
func TestContextCanceled(t *testing.T) {
	release := make(chan struct{})
	address, _ := serve(t, func(net.Conn, *http.Request, int) { <-release })
	defer close(release)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := upstream.NewClient(upstream.Options{}).Do(ctx, address, newGetRequest(), nil, false)
	require.Error(t, err)
}

func BenchmarkDo(b *testing.B) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(b, err)
	defer listener.Close()
	go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, strings.Repeat("x", 800)) }))
	client := upstream.NewClient(upstream.Options{})
	b.ReportAllocs()
	for b.Loop() {
		response, err := client.Do(context.Background(), listener.Addr().String(), newGetRequest(), nil, false)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := response.ReadAll(10000); err != nil {
			b.Fatal(err)
		}
		response.Close(false)
	}
}

// TestHeadWithoutEndIsGivenUp guards against a target that sends a status line, header or interim responses without end:
// the client kept all of it in memory until its deadline.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, endless := range map[string]string{
		"status line": "a", "header": "X-A: b\r\n", "interim responses": "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				if name == "header" {
					write(conn, "HTTP/1.1 200 OK\r\n")
				}
				for part := strings.Repeat(endless, 1000); ; {
					n, err := io.WriteString(conn, part)
					sent.Add(int64(n))
					if err != nil || sent.Load() > 64<<20 {
						return
					}
				}
			})
			_, err := call(t, upstream.NewClient(upstream.Options{}), address, true)
			require.Error(t, err)
			require.Less(t, sent.Load(), int64(32<<20))
		})
	}
}

// TestResponseThatEndsWithItsConnection checks that a response with neither length nor chunks is complete at the end of the
// connection, and not when the connection is reset.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
			write(conn, "HTTP/1.1 200 OK\r\n\r\nwhole")
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			conn.Close()
		})
		response, err := upstream.NewClient(upstream.Options{}).Do(context.Background(), address, newGetRequest(), nil, true)
		require.NoError(t, err)
		require.True(t, response.EndsWithConnection())
		body, err := response.ReadAll(100)
		response.Close(err != nil)
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "whole", string(body))
	}
}

// TestResetThatTheRequestHasSeen guards against an answer without a length that looks whole since the writer of a long request
// was told of the reset, and the reader of the answer was not.
func TestResetThatTheRequestHasSeen(t *testing.T) {
	reset := make(chan struct{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	request := newGetRequest()
	request.Method = http.MethodPost
	response, err := upstream.NewClient(upstream.Options{}).Do(t.Context(), listener.Addr().String(), request, make([]byte, 32<<20), true)
	require.NoError(t, err)
	defer response.Close(true)
	_, err = io.ReadFull(response, make([]byte, len("part")))
	require.NoError(t, err)
	close(reset)
	time.Sleep(100 * time.Millisecond) // the writer notices the reset
	_, err = response.ReadAll(100)
	require.Error(t, err)
}

// TestManyBodiesWithoutEndStayWithinTheBound guards against targets that answer many requests with bytes without end: each
// took as much memory as the longest answer may have.
func TestManyBodiesWithoutEndStayWithinTheBound(t *testing.T) {
	const requests, longest, bound = 40, 8 << 20, 48 << 20
	var sent atomic.Int64
	address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
		write(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for part := strings.Repeat("a", 64<<10); ; {
			n, err := io.WriteString(conn, part)
			sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	client := upstream.NewClient(upstream.Options{})
	var callers sync.WaitGroup
	for range requests {
		callers.Go(func() {
			response, err := client.Do(context.Background(), address, newGetRequest(), nil, true)
			if !assert.NoError(t, err) {
				return
			}
			_, err = response.ReadAll(longest)
			response.Close(true)
			assert.Error(t, err)
		})
	}
	callers.Wait()
	const kernelBuffers = requests * (512 << 10)
	require.Less(t, sent.Load(), int64(longest*8+bound+kernelBuffers), "bytes that were read")
}

// TestLapsedRequestIsNotSent checks that a request which its check forbids reaches no target, and that the connection made for
// it serves the next one.
func TestLapsedRequestIsNotSent(t *testing.T) {
	address, connections := serve(t, func(conn net.Conn, r *http.Request, _ int) {
		require.Equal(t, "/a%2Fb?c=%20", r.RequestURI)
		write(conn, okResponse)
	})
	client := upstream.NewClient(upstream.Options{})
	request, err := http.NewRequest(http.MethodGet, "http://host/lapsed", nil)
	require.NoError(t, err)
	_, err = client.DoIf(context.Background(), address, request, nil, false, func() error { return errors.New("too late") })
	var notSent *upstream.NotSentError
	require.ErrorAs(t, err, &notSent)
	require.True(t, notSent.Lapsed)
	body, err := call(t, client, address, false)
	require.NoError(t, err)
	require.Equal(t, "ok", body)
	require.EqualValues(t, 1, connections.Load())
}
