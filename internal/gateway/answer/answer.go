// Package answer sends the responses to callers of the gateway and decides how they end.
//
// Invariant: a response whose head was sent ends as complete only after Complete or Whole. Any other end, that of a panic
// included, is seen by the caller as broken off: the last chunk or a part of the stated length is missing, the stream is
// reset (HTTP/2), or the connection is reset where its end would be that of the body.
package answer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/netconn"
)

type connectionKey struct{}

// WithConnection adds a caller's connection to the context of its requests. It is the ConnContext of servers, without
// which responses that end with their connection cannot be broken off.
func WithConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// state is the part of a response that was sent.
type state int

const (
	unsent state = iota
	begun
	complete
)

// ErrNotOpen is returned for parts of a body that may not be sent: before its head, or after its end.
var ErrNotOpen = errors.New("the response has not begun or has ended")

// Response is the response to one request. Its methods must not be called concurrently.
type Response struct {
	w       http.ResponseWriter
	r       *http.Request
	control *http.ResponseController
	state   state
	// unframed is the connection of a response that ends with it; nil for all others.
	unframed *net.TCPConn
}

// New returns the response to the request.
func New(w http.ResponseWriter, r *http.Request) *Response {
	return &Response{w: w, r: r, control: http.NewResponseController(w)}
}

// Header returns the header fields, which are sent by Whole or Begin.
func (a *Response) Header() http.Header { return a.w.Header() }

// LimitBody returns a reader of the request's body that fails beyond limit bytes.
func (a *Response) LimitBody(limit int64) io.ReadCloser {
	return http.MaxBytesReader(a.w, a.r.Body, limit)
}

// Whole sends a complete response, unless another has begun.
func (a *Response) Whole(status int, contentType string, body []byte) {
	if a.state != unsent {
		return
	}
	a.Header().Set("Content-Type", contentType)
	a.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.w.WriteHeader(status)
	_, _ = a.w.Write(body)
	a.state = complete
}

// Begin sends the head of a response whose body follows in parts.
func (a *Response) Begin(status int) {
	if a.state != unsent {
		return
	}
	a.state = begun
	if a.endsWithConnection() {
		a.unframed = tcpConnection(a.r.Context())
		a.setLinger(0)
	}
	a.w.WriteHeader(status)
}

// BeginUnstated is Begin for a body whose source does not state its end: it is sent so that its end is that of the
// connection, where the protocol allows that.
func (a *Response) BeginUnstated(status int) {
	if a.r.ProtoMajor == 1 && a.Header().Get("Content-Length") == "" {
		a.Header().Set("Transfer-Encoding", "identity")
	}
	a.Begin(status)
}

// endsWithConnection reports whether the body will have neither a length nor chunks.
func (a *Response) endsWithConnection() bool {
	if a.r.ProtoMajor != 1 || a.Header().Get("Content-Length") != "" {
		return false
	}
	return !a.r.ProtoAtLeast(1, 1) || a.Header().Get("Transfer-Encoding") == "identity"
}

// tcpConnection returns the caller's TCP connection, or nil if it is not known.
func tcpConnection(ctx context.Context) *net.TCPConn {
	conn, _ := ctx.Value(connectionKey{}).(net.Conn)
	return netconn.TCP(conn)
}

// setLinger sets how the connection of an unframed response is closed: with 0 it is reset, also by the kernel when this
// process is killed; with -1 it ends in order.
func (a *Response) setLinger(seconds int) {
	if a.unframed != nil {
		_ = a.unframed.SetLinger(seconds)
	}
}

// Write sends a part of the body.
func (a *Response) Write(data []byte) (int, error) {
	if a.state != begun {
		return 0, ErrNotOpen
	}
	count, err := a.w.Write(data)
	if err != nil {
		return count, err
	}
	return count, a.control.Flush()
}

// SetWriteDeadline sets the time after which writes to the caller fail.
func (a *Response) SetWriteDeadline(deadline time.Time) error {
	return a.control.SetWriteDeadline(deadline)
}

// Complete ends the body as complete. Nothing can be sent after it.
func (a *Response) Complete() error {
	if a.state != begun {
		return ErrNotOpen
	}
	if err := a.control.Flush(); err != nil {
		return err
	}
	a.setLinger(-1)
	a.state = complete
	return nil
}

// Close ends the response when its handler returns. Unless the response is complete, it panics with
// http.ErrAbortHandler, by which the server breaks it off.
func (a *Response) Close() {
	if a.state != complete {
		panic(http.ErrAbortHandler)
	}
}

// Reset is to be deferred by the handler. It resets the connection of an unframed response that is not complete, before
// the server ends its TLS session in order.
func (a *Response) Reset() {
	if a.unframed != nil && a.state != complete {
		_ = a.unframed.Close()
	}
}
