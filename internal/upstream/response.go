package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/membudget"
	"godwitcart/internal/tunnel"
)

// Response is the response of a target. Close must be called; it aborts the request if the body was not read
// completely.
type Response struct {
	*http.Response
	client *Client
	// ctx is that of the request.
	ctx        context.Context
	address    string
	conn       *conn
	stopCancel func() bool
	// end is how the body has ended.
	end End
	// holding is what the answer holds in memory, until Close.
	holding     *membudget.Holding
	writeResult chan error
	closeOnce   sync.Once
	// closeReason is why this process has closed the connection while the answer was in progress.
	closeReason atomic.Pointer[string]
}

// IsCarrierLost reports whether the error is the end of a connection through another entry VM that says nothing of the target.
func IsCarrierLost(err error) bool { return errors.Is(err, tunnel.ErrCarrierLost) }

// End tells how the body of a response has ended. Only a Response makes another than the zero value, which is a body that was
// not read to its end or that broke off.
type End struct{ kind endKind }

type endKind int

const (
	brokenOff endKind = iota
	// unstated is the orderly end of the connection of a response that has neither a length nor chunks. The kernel ends the
	// connections of a killed process in the same way.
	unstated
	// stated is an end that the length or the last chunk names.
	stated
)

// IsStated reports whether the length or the last chunk names the end, so that the body is whole.
func (e End) IsStated() bool { return e.kind == stated }

// IsUnstated reports whether a connection was closed in order, and nothing but that ends the body.
func (e End) IsUnstated() bool { return e.kind == unstated }

// String returns the name of the end in log lines.
func (e End) String() string {
	switch e.kind {
	case unstated:
		return "connection closed"
	case stated:
		return "stated"
	default:
		return "broken off"
	}
}

// Read reads the body. It returns io.EOF at the end of a response that did not break off; End tells what it is known by.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF && r.hasUncertainEnd() {
		err = errUncertainEnd
	}
	if err == io.EOF {
		r.end = End{kind: stated}
		if r.EndsWithConnection() {
			r.end = End{kind: unstated}
		}
	}
	return n, err
}

// End returns how the body has ended. The caller must be the reader of the body.
func (r *Response) End() End { return r.end }

// errUncertainEnd is the error of a response that ends with a connection through another entry VM, of an earlier build,
// whose own end looks the same.
var errUncertainEnd = errors.Mark(errors.New("the answer has no length and came through an entry VM that does not state the end of the target's connection"), tunnel.ErrCarrierLost)

// hasUncertainEnd reports whether the end of the connection may not be that of the target's.
func (r *Response) hasUncertainEnd() bool {
	return r.conn.relayed && r.EndsWithConnection() && !tunnel.StatesEnd(r.conn.Conn)
}

// IsRelayed reports whether the connection goes through another entry VM.
func (r *Response) IsRelayed() bool { return r.conn.relayed }

// Carrier returns the IP address of the entry VM through which the connection goes; it is not valid for a direct one.
func (r *Response) Carrier() netip.Addr {
	if !r.conn.relayed {
		return netip.Addr{}
	}
	carrier, err := netip.ParseAddrPort(r.conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return carrier.Addr().Unmap()
}

// EndsWithConnection reports whether the response has neither a length nor chunks, so that its end is the end of the
// connection.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && !slices.Contains(r.TransferEncoding, "chunked") && r.Request.Method != http.MethodHead
}

// Body is the body of a response that was read to an end that is taken for the end of the answer. Only ReadWhole makes one.
type Body struct {
	parts   [][]byte
	holding *membudget.Holding
}

// Parts returns the content in parts; they must not be changed.
func (b Body) Parts() [][]byte { return b.parts }

// Release records that the content is not held any more; it must not be used afterwards. It is called once.
func (b Body) Release() {
	if b.holding == nil {
		return
	}
	b.holding.Release()
	releaseParts(b.parts)
}

// Framing names how the response tells the end of its body, for log lines.
func (r *Response) Framing() string {
	switch {
	case r.EndsWithConnection():
		return "none"
	case r.ContentLength >= 0:
		return "length"
	default:
		return "chunks"
	}
}

// ReadWhole reads a body that is passed on as the target's whole answer, up to limit bytes. Where nothing states its end, it is
// whole only if nothing speaks against that. The body counts as held until its Release.
func (r *Response) ReadWhole(limit int64) (Body, error) {
	parts, err := r.readParts(limit)
	if err != nil {
		return Body{}, err
	}
	if r.end.IsUnstated() {
		if err := r.checkUnstatedEnd(); err != nil {
			releaseParts(parts)
			return Body{}, err
		}
	}
	holding := r.holding
	holding.Pin()
	r.holding = r.client.options.Budget.Answer(r.closeForMemory)
	return Body{parts: parts, holding: holding}, nil
}

// ReadAll reads the complete body; one longer than limit bytes is an error.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	parts, err := r.readParts(limit)
	if err != nil {
		return nil, err
	}
	defer releaseParts(parts)
	return bytes.Join(parts, nil), nil
}

// partPool holds the buffers of parts of bodies. Without it, the garbage of answers that are given up would exceed what is held.
var partPool = sync.Pool{New: func() any { return new([readChunkBytes]byte) }}

func releaseParts(parts [][]byte) {
	for _, part := range parts {
		partPool.Put((*[readChunkBytes]byte)(part[:readChunkBytes]))
	}
}

// readParts reads the complete body in parts, which are never copied into larger ones: a body that grows would be held twice. A
// body is an error if it is longer than limit bytes or exceeds the budget of all answers.
func (r *Response) readParts(limit int64) (parts [][]byte, err error) {
	defer func() {
		if err != nil {
			releaseParts(parts)
			parts = nil
		}
	}()
	for length := int64(0); ; {
		if err := r.Grow(readChunkBytes); err != nil {
			return parts, err
		}
		part := partPool.Get().(*[readChunkBytes]byte)
		n, err := io.ReadFull(r, part[:])
		parts = append(parts, part[:n])
		if length += int64(n); length > limit {
			return parts, fmt.Errorf("the answer is longer than %d bytes", limit)
		}
		if err == io.EOF || err == io.ErrUnexpectedEOF && r.end.kind != brokenOff {
			return parts, nil
		}
		if err != nil {
			return parts, err
		}
	}
}

// Grow records that the answer holds more bytes which are not passed on yet. The error is membudget.ErrExceeded if it holds too much.
func (r *Response) Grow(bytes int) error { return r.holding.Grow(int64(bytes)) }

// SpareHolding returns a holding for bytes of the answer that are held only while there is memory to spare. It is none of those that
// are given up where memory is short; it must be released.
func (r *Response) SpareHolding() *membudget.Holding {
	holding := r.client.options.Budget.Answer(func() {})
	holding.Pin()
	return holding
}

// Shrink records that bytes are not held any more.
func (r *Response) Shrink(bytes int) { r.holding.Shrink(int64(bytes)) }

// parsedHeadFactor is about how many times the bytes of a head its parsed fields take, with the text itself.
const parsedHeadFactor = 3

func (r *Response) growHead(bytes int) error { return r.Grow(parsedHeadFactor * bytes) }

// Close ends the request. The connection is returned to the pool if the response was read completely and discard is
// false.
func (r *Response) Close(discard bool) {
	r.closeOnce.Do(func() {
		r.holding.Release()
		stopped := r.stopCancel()
		if !stopped || discard || !r.isReusable() {
			r.conn.Conn.Close()
			return
		}
		r.client.putIdle(r.address, r.conn)
	})
}

func (r *Response) abort() { r.Close(true) }

// CloseConnection closes the connection immediately, so that a read in progress fails. The reason is for the log; the first
// one stays. It may be called from any goroutine.
func (r *Response) CloseConnection(reason string) {
	r.closeReason.CompareAndSwap(nil, &reason)
	r.conn.Conn.Close()
}

// CloseReason returns why this process has closed the connection with the answer in progress, or "" if it has not.
func (r *Response) CloseReason() string {
	if reason := r.closeReason.Load(); reason != nil {
		return *reason
	}
	return ""
}

// The reasons for which the client itself closes a connection.
const (
	closedForMemory = "memory is short"
	closedByContext = "the request has ended"
)

func (r *Response) closeForMemory() { r.CloseConnection(closedForMemory) }

func (r *Response) isReusable() bool {
	if r.end.kind == brokenOff || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.writeResult != nil {
		select {
		case err := <-r.writeResult:
			if err != nil {
				return false
			}
		default:
			return false // the target responded before it had received the complete body
		}
	}
	r.conn.idleTimeout = keepAliveTimeout(r.Header.Get("Keep-Alive"))
	if r.conn.relayed {
		r.conn.idleTimeout = min(r.conn.idleTimeout, maxTunnelIdleTime)
	}
	return r.conn.idleTimeout > 0
}

// keepAliveTimeout returns how long a connection may be idle according to the response's Keep-Alive header.
func keepAliveTimeout(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdleTime)
		}
	}
	return maxIdleTime
}
