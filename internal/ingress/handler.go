package ingress

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/membudget"
)

type clientKey struct{}

// WithConnection adds the client of a connection to the context of its requests. It is the ConnContext of servers.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	if c := clientOf(conn); c != nil {
		return context.WithValue(ctx, clientKey{}, c)
	}
	return ctx
}

func clientOf(conn net.Conn) *client {
	switch conn := conn.(type) {
	case *Conn:
		return conn.client
	case *tlsConn:
		return conn.client
	case *tls.Conn:
		return clientOf(conn.NetConn())
	default:
		return nil
	}
}

// Holding returns what the client of the request holds, or nil if its connection is not guarded.
func Holding(r *http.Request) *membudget.Holding {
	if c, guarded := r.Context().Value(clientKey{}).(*client); guarded {
		return c.holding
	}
	return nil
}

// IsWhole reports whether all bytes of the request are known to have been read from its connection.
func IsWhole(r *http.Request) bool {
	c, guarded := r.Context().Value(clientKey{}).(*client)
	return guarded && c.isWhole()
}

// ConnState is the ConnState of servers: it closes a connection on which a request is awaited before the body of the last one has
// ended, because heads that follow would not be paid for.
func ConnState(conn net.Conn, state http.ConnState) {
	guarded, isGuarded := conn.(*Conn)
	if secured, isSecured := conn.(*tlsConn); isSecured {
		guarded, isGuarded = secured.Conn, true
	}
	if isGuarded && state == http.StateIdle && guarded.phase == inBody {
		guarded.client.close(closedDesync)
	}
}

// Handler returns a handler that accounts for the requests of HTTP/2 connections, of which net/http reads the heads, and bounds
// the pauses of their bodies; a Conn does so for HTTP/1.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, guarded := r.Context().Value(clientKey{}).(*client)
		if !guarded || r.ProtoMajor < 2 {
			next.ServeHTTP(w, r)
			return
		}
		cost := parsedHeadCost(r.Header)
		c.beginUnended()
		c.recordContent(headBytes(r.Header))
		// Without a wait: the parsed head takes its memory meanwhile.
		if released, err := c.holding.GrowNow(cost, false); err != nil || released != nil {
			c.endUnended()
			refuseParsed(w, c)
			return
		}
		defer c.holding.Shrink(cost)
		body := &guardedBody{ReadCloser: r.Body, client: c, control: http.NewResponseController(w)}
		defer body.end()
		if r.Body == nil || r.Body == http.NoBody {
			body.setWhole()
		} else {
			r.Body = body
		}
		next.ServeHTTP(w, r)
	})
}

// refuseParsed refuses a request for whose head there is no memory, though it is parsed already.
func refuseParsed(w http.ResponseWriter, c *client) {
	c.listener.report.count(refusedForMemory, "", c.holding.Held(), 0)
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	http.Error(w, "this VM has no memory left for the request; come back after the time given", http.StatusServiceUnavailable)
}

// parsedHeadCost is headCost for a head that is parsed already.
func parsedHeadCost(header http.Header) int64 {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return headCost(lines, headBytes(header))
}

// headBytes returns the length of the fields of a parsed head.
func headBytes(header http.Header) int {
	bytes := 0
	for name, values := range header {
		for _, value := range values {
			bytes += len(name) + len(value)
		}
	}
	return bytes
}

// guardedBody is the body of an HTTP/2 request. It ends with an error if the client pauses for too long, and keeps the connection
// from being closed for others once it is whole.
type guardedBody struct {
	io.ReadCloser
	client  *client
	control *http.ResponseController
	mu      sync.Mutex
	isWhole bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	pause := b.client.listener.bodyPause()
	if pause > 0 {
		_ = b.control.SetReadDeadline(time.Now().Add(pause)) // without it, the pause ends with the connection
	}
	n, err := b.ReadCloser.Read(p)
	b.client.recordContent(n)
	if err == io.EOF {
		b.setWhole()
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		b.client.listener.report.count(closedLateBody, "", b.client.holding.Held(), pause)
	}
	return n, err
}

func (b *guardedBody) setWhole() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.isWhole {
		b.isWhole = true
		b.client.endUnended()
		b.client.beginWhole()
	}
}

// end follows the answer.
func (b *guardedBody) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isWhole {
		b.client.endWhole()
	} else {
		b.client.endUnended()
	}
	b.isWhole = true
}
