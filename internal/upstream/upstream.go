// Package upstream sends HTTP/1.1 requests to targets over connections that it keeps.
//
// It differs from net/http's transport in what matters to calls that may run once: a request is sent exactly
// once, and the error says whether any of it can have reached the target. A connection is used again only
// after an answer that ended where it should, with nothing behind it: bytes that arrive between two answers
// belong to no request.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// connectTimeout bounds the set-up of a connection; targets are at most some milliseconds away.
	connectTimeout = time.Second
	// unackedTimeout bounds the time for which sent bytes may stay unacknowledged: the target is dark then.
	unackedTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval find connections that have fallen silent, within three probes.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdlePerTarget bounds the connections kept to one target.
	maxIdlePerTarget = 4
	// maxIdle is how long a connection is kept where the target names no time.
	maxIdle = 4 * time.Second
	// idleMargin is taken off the time that a target names, for the way of its close.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
	// earlyWriteBytes is the body size above which it is written while the answer is awaited.
	earlyWriteBytes = 8 << 10
)

// NotSentError says that nothing of a request reached the target.
type NotSentError struct{ cause error }

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// Client sends requests to targets. It is safe for concurrent use.
type Client struct {
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
}

// NewClient returns a client without connections.
func NewClient() *Client {
	return &Client{
		dialer: net.Dialer{
			Timeout: connectTimeout,
			Control: setUnackedTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		idle: make(map[string][]*conn),
	}
}

type conn struct {
	net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	usable  time.Duration
	idledAt time.Time
}

// Response is an answer. Close must be called; it ends the request if the body was not read whole.
type Response struct {
	*http.Response
	client  *Client
	address string
	conn    *conn
	stop    func() bool
	ended   bool
	written chan error
	once    sync.Once
}

// Do sends the request and returns the head of the answer. A fresh connection is made where fresh is set.
// The end of ctx closes the connection, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, body []byte, fresh bool) (*Response, error) {
	connection, err := c.connect(ctx, address, fresh)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	response := &Response{client: c, address: address, conn: connection, stop: stop}
	if err := response.send(request, body); err != nil {
		response.abort()
		return nil, err
	}
	head, err := readHead(connection.reader, request)
	if err != nil {
		response.abort()
		return nil, fmt.Errorf("read the answer's head: %w", err)
	}
	response.Response = head
	return response, nil
}

// send writes the request. A long body is written while the answer is read: a target may answer early.
func (r *Response) send(request *http.Request, body []byte) error {
	if err := writeHead(r.conn.writer, request, body); err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	if len(body) <= earlyWriteBytes {
		_, _ = r.conn.writer.Write(body) // the error is kept and returned by Flush
		if err := r.conn.writer.Flush(); err != nil {
			return fmt.Errorf("send the request: %w", err)
		}
		return nil
	}
	r.written = make(chan error, 1)
	go func() {
		_, _ = r.conn.writer.Write(body) // as above
		r.written <- r.conn.writer.Flush()
	}()
	return nil
}

// writeHead writes the request line and the header.
func writeHead(w *bufio.Writer, request *http.Request, body []byte) error {
	uri := request.URL.Opaque
	if uri == "" {
		uri = request.URL.RequestURI()
	}
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", request.Method, uri, request.Host)
	if len(body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(body))
	}
	if err := request.Header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// readHead reads the head of the final answer and passes over interim ones.
func readHead(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		head, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if head.StatusCode >= http.StatusOK {
			return head, nil
		}
		if head.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("the target switched protocols unasked")
		}
	}
}

// Read reads the body. After io.EOF the answer was whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if err == io.EOF {
		r.ended = true
	}
	return n, err
}

// ReadAll reads the whole body, limit bytes at most.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > limit {
		return nil, fmt.Errorf("the answer is longer than %d bytes", limit)
	}
	return content, nil
}

// Close ends the request. The connection is kept if the answer was read whole and discard is false.
func (r *Response) Close(discard bool) {
	r.once.Do(func() {
		stopped := r.stop()
		if !stopped || discard || !r.reusable() {
			r.conn.Conn.Close()
			return
		}
		r.client.keep(r.address, r.conn)
	})
}

func (r *Response) abort() { r.Close(true) }

// Break ends the connection at once, from any goroutine; a read in progress fails.
func (r *Response) Break() { r.conn.Conn.Close() }

func (r *Response) reusable() bool {
	if !r.ended || r.Response.Close || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.written != nil {
		select {
		case err := <-r.written:
			if err != nil {
				return false
			}
		default:
			return false // the target answered before it had the whole body
		}
	}
	r.conn.usable = keptFor(r.Header.Get("Keep-Alive"))
	return r.conn.usable > 0
}

// keptFor returns how long a connection may be idle by its Keep-Alive header.
func keptFor(header string) time.Duration {
	for field := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return min(time.Duration(seconds)*time.Second-idleMargin, maxIdle)
		}
	}
	return maxIdle
}

func (c *Client) keep(address string, connection *conn) {
	connection.idledAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[address]) >= maxIdlePerTarget {
		connection.Conn.Close()
		return
	}
	c.idle[address] = append(c.idle[address], connection)
}

func (c *Client) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if connection := c.takeIdle(address); connection != nil {
			return connection, nil
		}
	}
	dialed, err := c.dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: dialed, reader: bufio.NewReaderSize(dialed, bufferSize), writer: bufio.NewWriterSize(dialed, bufferSize)}, nil
}

// takeIdle returns the connection used last that is still good.
func (c *Client) takeIdle(address string) *conn {
	for {
		c.mu.Lock()
		kept := c.idle[address]
		if len(kept) == 0 {
			delete(c.idle, address)
			c.mu.Unlock()
			return nil
		}
		connection := kept[len(kept)-1]
		c.idle[address] = kept[:len(kept)-1]
		c.mu.Unlock()
		if time.Since(connection.idledAt) < connection.usable && silent(connection.Conn) {
			return connection
		}
		connection.Conn.Close()
	}
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	kept := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range kept {
		connection.Conn.Close()
	}
}

// silent reports whether nothing has arrived on an idle connection, neither bytes nor its end.
func silent(connection net.Conn) bool {
	tcp, ok := connection.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var peeked [1]byte
		_, _, err := unix.Recvfrom(int(fd), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
	})
	return err == nil && quiet
}
