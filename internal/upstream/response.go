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
	"time"

	"github.com/cockroachdb/errors"

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
	end         End
	writeResult chan error
	closeOnce   sync.Once
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
type Body struct{ content []byte }

// Bytes returns the content; it must not be changed.
func (b Body) Bytes() []byte { return b.content }

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

// ReadWhole is ReadAll for a body that is passed on as the target's whole answer. Where nothing states its end, it is whole only
// if nothing speaks against that.
func (r *Response) ReadWhole(limit int64) (Body, error) {
	content, err := r.ReadAll(limit)
	if err == nil && r.end.IsUnstated() {
		err = r.checkUnstatedEnd()
	}
	if err != nil {
		return Body{}, err
	}
	return Body{content: content}, nil
}

// ReadAll reads the complete body; one longer than limit bytes is an error. So is a body that does not fit in what all
// responses of the client may occupy while they are read; the first readChunkBytes always fit.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	reserved := int64(0)
	defer func() { r.client.buffered.Add(-reserved) }()
	var body bytes.Buffer
	for {
		reserved += readChunkBytes
		if r.client.buffered.Add(readChunkBytes) > maxBufferedBytes && reserved > readChunkBytes {
			return nil, fmt.Errorf("the answers that are being read take more than %d bytes", maxBufferedBytes)
		}
		_, err := io.CopyN(&body, r, readChunkBytes)
		if int64(body.Len()) > limit {
			return nil, fmt.Errorf("the answer is longer than %d bytes", limit)
		}
		if err == io.EOF {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Close ends the request. The connection is returned to the pool if the response was read completely and discard is
// false.
func (r *Response) Close(discard bool) {
	r.closeOnce.Do(func() {
		stopped := r.stopCancel()
		if !stopped || discard || !r.isReusable() {
			r.conn.Conn.Close()
			return
		}
		r.client.putIdle(r.address, r.conn)
	})
}

func (r *Response) abort() { r.Close(true) }

// CloseConnection closes the connection immediately, so that a read in progress fails. It may be called from any
// goroutine.
func (r *Response) CloseConnection() { r.conn.Conn.Close() }

func (r *Response) isReusable() bool {
	if r.end == (End{}) || r.Response.Close || r.conn.reader.Buffered() > 0 {
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
