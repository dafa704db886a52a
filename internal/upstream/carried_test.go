package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"

	"net/http"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/tunnel"
	"godwitcart/internal/upstream"
)

// carrier is an entry VM that carries connections, with the ways in which it may end.
type carrier struct {
	address string
	// stop ends its process in a planned way.
	stop context.CancelFunc

	mu    sync.Mutex
	conns []net.Conn
}

// newCarrier starts a carrier. One of an earlier build knows no frames.
func newCarrier(t *testing.T, isEarlier bool) *carrier {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	server := tunnel.NewServer(tunnel.ServerOptions{Dial: dial, Allow: func(netip.Addr, string) error { return nil }, MaxTunnels: 1000, Context: ctx})
	process := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isEarlier {
			r.Header = http.Header{}
		}
		server.ServeHTTP(w, r)
	}))
	t.Cleanup(process.Close)
	// The kernel closes the sockets of a killed process in order. A server in front, which only copies bytes, does the same.
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	c := &carrier{address: listener.Addr().String(), stop: stop}
	go func() {
		for {
			user, err := listener.Accept()
			if err != nil {
				return
			}
			behind, err := net.Dial("tcp4", process.Listener.Addr().String())
			if err != nil {
				user.Close()
				continue
			}
			c.mu.Lock()
			c.conns = append(c.conns, user)
			c.mu.Unlock()
			go func() { _, _ = io.Copy(behind, user) }()
			go func() {
				if _, err := io.Copy(user, behind); err != nil {
					_ = user.(*net.TCPConn).SetLinger(0)
				}
				user.Close()
			}()
		}
	}()
	return c
}

// end ends the connections to the carrier's users; a link that is cut resets them in the end.
func (c *carrier) end(isCut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, user := range c.conns {
		if isCut {
			_ = user.(*net.TCPConn).SetLinger(0)
		}
		user.Close()
	}
}

// TestAnswerLooksWholeThoughItsCarrierEnded guards against answers through another entry VM that are cut off when that VM ends and
// are taken for whole.
func TestAnswerLooksWholeThoughItsCarrierEnded(t *testing.T) {
	const part, whole = "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	heads := map[string]string{
		"no length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"length":    "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n",
	}
	ends := map[string]func(c *carrier){
		"kill": func(c *carrier) { c.end(false) },
		"stop": func(c *carrier) { c.stop() },
		"cut":  func(c *carrier) { c.end(true) },
		"":     nil, // nothing happens to the carrier
	}
	for build, isEarlier := range map[string]bool{"this build": false, "earlier build": true} {
		for head, text := range heads {
			for how, end := range ends {
				t.Run(build+"/"+head+"/"+how, func(t *testing.T) {
					c := newCarrier(t, isEarlier)
					proceed := make(chan struct{})
					address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
						write(conn, text+part)
						<-proceed
						write(conn, whole[len(part):])
						conn.Close()
					})
					client := upstream.NewClient(upstream.Options{
						Proxy: "127.0.0.1:1", // the client has no way of its own
						Relay: func(ctx context.Context, address string) (net.Conn, error) {
							dial := func(ctx context.Context, via string) (net.Conn, error) {
								return (&net.Dialer{}).DialContext(ctx, "tcp4", via)
							}
							return tunnel.ConnectFramed(ctx, dial, c.address, address)
						},
					})
					response, err := client.Do(t.Context(), address, newGetRequest(), nil, true)
					require.NoError(t, err)
					defer response.Close(true)
					require.True(t, response.IsRelayed())
					received := make([]byte, len(part))
					_, err = io.ReadFull(response, received)
					require.NoError(t, err)
					if end == nil {
						close(proceed)
						rest, err := io.ReadAll(response)
						require.Equal(t, whole, string(received)+string(rest))
						if isEarlier && head == "no length" {
							require.Error(t, err, "nothing tells the end of the target from that of the carrier")
							return
						}
						require.NoError(t, err)
						return
					}
					defer close(proceed)
					end(c)
					rest, err := io.ReadAll(response)
					require.Error(t, err, "a part of the answer looks whole: %q", bytes.Join([][]byte{received, rest}, nil))
				})
			}
		}
	}
}

// TestFramedConnectionIsUsedAgain checks that frames do not make every carried request open a connection of its own.
func TestFramedConnectionIsUsedAgain(t *testing.T) {
	c := newCarrier(t, false)
	address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, okResponse) })
	client := upstream.NewClient(upstream.Options{
		Proxy: "127.0.0.1:1",
		Relay: func(ctx context.Context, address string) (net.Conn, error) {
			dial := func(ctx context.Context, via string) (net.Conn, error) {
				return (&net.Dialer{}).DialContext(ctx, "tcp4", via)
			}
			return tunnel.ConnectFramed(ctx, dial, c.address, address)
		},
	})
	for range 5 {
		body, err := call(t, client, address, false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, connections.Load())
}

// TestRestOfAFrameIsNoAnswer guards against the rest of a piece of bytes, which arrives late, being taken for the answer to the
// next request.
func TestRestOfAFrameIsNoAnswer(t *testing.T) {
	const stale = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"
	dialCarrier := func(context.Context, string) (net.Conn, error) {
		user, carrier := newPair(t)
		go func() {
			reader := bufio.NewReader(carrier)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			write(carrier, "HTTP/1.1 200 OK\r\nGodwitcart-Tunnel: framed\r\n\r\n")
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			write(carrier, string([]byte{0, byte(len(okResponse) + len(stale))})+okResponse)
			if _, err := http.ReadRequest(reader); err == nil {
				write(carrier, stale)
			}
		}()
		return user, nil
	}
	client := upstream.NewClient(upstream.Options{
		Proxy: "127.0.0.1:1",
		Relay: func(ctx context.Context, address string) (net.Conn, error) {
			return tunnel.ConnectFramed(ctx, dialCarrier, "carrier", address)
		},
	})
	for range 2 {
		body, err := call(t, client, "127.0.0.1:2", false)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
}

// newPair returns the two ends of a TCP connection.
func newPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	one, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	other, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		one.Close()
		other.Close()
	})
	return one, other
}
