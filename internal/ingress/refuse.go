package ingress

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read after the answer to a request that was not read.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 8 << 20
	// retryAfterSeconds is the Retry-After of a request for whose head there is no memory.
	retryAfterSeconds = 1
)

// errRefused is the end of a connection whose request was refused or did not come in time. net/http answers most other errors
// by itself.
var errRefused = os.ErrDeadlineExceeded

// checkSize refuses a head beyond the limit.
func (c *Conn) checkSize() error {
	limit := c.client.listener.options.Limits().HeadBytes
	if c.head.fields <= limit && c.head.firstLine <= limit {
		return nil
	}
	return c.refuse(refusedHead, http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("the head is larger than %d bytes; send less", limit))
}

func (c *Conn) refuseForMemory() error {
	return c.refuse(refusedForMemory, http.StatusServiceUnavailable, "this VM has no memory left for the request; come back after the time given, on a new connection")
}

// refuse answers a request that was not passed on, and ends the connection.
func (c *Conn) refuse(cause cause, status int, message string) error {
	c.client.listener.report.count(cause, "", c.client.holding.Held(), 0)
	c.client.holding.Shrink(int64(cap(c.pending)))
	c.pending, c.deliverable, c.scanned = nil, 0, 0
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\n%sContent-Length: %d\r\nConnection: close\r\n\r\n%s\n",
		status, http.StatusText(status), retryAfter, len(message)+1, message)
	if err == nil {
		_ = c.CloseWrite() // an error means that the connection is closed already
	}
	return errRefused
}

// CloseWrite ends the sending side and reads what the client still sends, for a while: unread bytes would reset the connection
// when it is closed, and the client might not get its answer. net/http calls it after an answer to a body that was not read.
func (c *Conn) CloseWrite() error {
	closer, canClose := c.Conn.(interface{ CloseWrite() error })
	if !canClose {
		return nil
	}
	if err := closer.CloseWrite(); err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	return nil
}
