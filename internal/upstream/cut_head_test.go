package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/tunnel"
	"godwitcart/internal/upstream"
)

// waysTo returns clients that reach targets directly, through a proxy, and through another entry VM with and without frames.
func waysTo(t *testing.T) map[string]*upstream.Client {
	t.Helper()
	framed, plain := newCarrier(t, false), newCarrier(t, true)
	dial := func(ctx context.Context, via string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", via)
	}
	through := func(c *carrier) *upstream.Client {
		return upstream.NewClient(upstream.Options{
			Proxy: "127.0.0.1:1",
			Relay: func(ctx context.Context, address string) (net.Conn, error) {
				return tunnel.ConnectFramed(ctx, dial, c.address, address)
			},
		})
	}
	return map[string]*upstream.Client{
		"direct": upstream.NewClient(upstream.Options{}),
		"proxy":  upstream.NewClient(upstream.Options{Proxy: plain.address}),
		"framed": through(framed), "plain": through(plain),
	}
}

// TestCutAnswerIsNeverWhole guards against a target that stops anywhere in its answer and closes or resets the connection.
func TestCutAnswerIsNeverWhole(t *testing.T) {
	const fields = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n"
	answers := map[string]struct {
		text string
		// states is set if the answer itself tells where it ends.
		states bool
	}{
		"length":     {fields + "Content-Length: 12\r\n\r\n123456789012", true},
		"chunks":     {fields + "Transfer-Encoding: chunked\r\n\r\nc\r\n123456789012\r\n0\r\n\r\n", true},
		"trailer":    {fields + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n1\r\n1\r\n0\r\nX-T: 1\r\n\r\n", true},
		"interim":    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + fields + "Content-Length: 1\r\n\r\n1", true},
		"line feeds": {"HTTP/1.1 200 OK\nX-Attempt-Id: a\nContent-Length: 2\n\n12", true},
		"no content": {"HTTP/1.1 204 No Content\r\nX-Attempt-Id: a\r\n\r\n", true},
		"neither":    {fields + "\r\n1", false},
	}
	clients := waysTo(t)
	for name, answer := range answers {
		for way, client := range clients {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %v", name, way, reset), func(t *testing.T) {
					var sent atomic.Int64
					address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
						_, _ = io.WriteString(conn, answer.text[:sent.Load()])
						if reset {
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
						conn.Close()
					})
					for cut := range len(answer.text) {
						if !answer.states && answer.text[cut-min(cut, 4):cut] == "\r\n\r\n" {
							break // all of the head has been sent; what tells such ends is tested elsewhere
						}
						sent.Store(int64(cut))
						var err error
						require.Eventually(t, func() bool {
							_, err = call(t, client, address, true)
							var notSent *upstream.NotSentError
							return !errors.As(err, &notSent) // a connection that cannot be made in time says nothing
						}, 10*time.Second, time.Millisecond)
						require.Error(t, err, "after %q", answer.text[:cut])
					}
				})
			}
		}
	}
}

// TestFramingThatIsNotSure guards against answers whose length is stated in a way that is misread, so that a part of the body
// looks whole or the rest of it is taken for the next answer.
func TestFramingThatIsNotSure(t *testing.T) {
	cases := map[string]struct {
		head, body string
		// want is the body; empty for an answer that must not be accepted.
		want string
	}{
		"two lengths":                   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 2\r\n", "okok", ""},
		"list of lengths":               {"HTTP/1.1 200 OK\r\nContent-Length: 2, 4\r\n", "okok", ""},
		"the same length twice":         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n", "ok", "ok"},
		"no number":                     {"HTTP/1.1 200 OK\r\nContent-Length:\r\n", "ok", ""},
		"negative":                      {"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n", "ok", ""},
		"space in the name of a length": {"HTTP/1.1 200 OK\r\nContent-Length : 40\r\n", "ok", ""},
		"space in the name of chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "2\r\nok\r\n0\r\n\r\n", ""},
		"length and chunks":             {"HTTP/1.1 200 OK\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n", "ok"},
		"identity":                      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n", "ok", ""},
		"compressed chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n", "2\r\nok\r\n0\r\n\r\n", ""},
		"no size of a chunk":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "\r\nok", ""},
		"chunks ended by line feeds":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "2\nok\n0\n\n", ""},
		"another protocol":              {"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n", "ok", ""},
		"head within a head":            {"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n", "ok", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(conn, c.head+"\r\n"+c.body)
				conn.Close()
			})
			body, err := call(t, upstream.NewClient(upstream.Options{}), address, true)
			require.Equal(t, c.want, body)
			require.Equal(t, c.want == "", err != nil, "%v", err)
		})
	}
}

// TestBodyWhereNoneIsAllowed guards against the body of an answer that has none by its status being taken for the next answer.
func TestBodyWhereNoneIsAllowed(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 38\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n26\r\n",
	} {
		address, connections := serve(t, func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(conn, head+"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		client := upstream.NewClient(upstream.Options{})
		for range 2 {
			body, err := call(t, client, address, false)
			require.NoError(t, err)
			require.Empty(t, body)
		}
		require.EqualValues(t, 2, connections.Load(), "%q", head)
	}
}
