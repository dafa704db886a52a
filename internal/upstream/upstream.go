// Package upstream is an HTTP/1.1 client for targets with a pool of idle connections.
//
// Unlike net/http's transport it never repeats a request on its own, and its errors tell whether any part of the
// request can have reached the target; calls that may run only once depend on both. A connection is reused only if the
// previous response was read completely and nothing followed it: bytes that arrive between two responses belong to no
// request.
package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/httpstatus"
	"godwitcart/internal/membudget"
	"godwitcart/internal/netconn"
)

const (
	// unackedTimeout bounds how long sent bytes may stay unacknowledged before the target counts as unreachable.
	unackedTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure TCP keep-alive, which detects dead connections.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 3
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 4
	// maxIdleTime bounds how long an idle connection is kept; it also applies if the target sends no timeout.
	maxIdleTime = 4 * time.Second
	// idleMargin is subtracted from the timeout in a target's Keep-Alive header, so that a connection is not reused
	// while the target is closing it.
	idleMargin = 500 * time.Millisecond
	bufferSize = 4 << 10
	// maxHeadBytes bounds the status line and header of a response, interim responses included.
	maxHeadBytes = 64 << 10
	// defaultBudgetBytes bounds what answers hold together where the options name no budget.
	defaultBudgetBytes = 32 << 20
	// readChunkBytes is the size of the parts in which bodies are read.
	readChunkBytes = 16 << 10
	// asyncWriteBytes is the size above which a body is written while the response is read.
	asyncWriteBytes = 8 << 10
)

// NotSentError reports that no part of a request reached the target.
type NotSentError struct {
	cause error
	// Lapsed is set if there was a connection, and the check of DoIf forbade to use it.
	Lapsed bool
}

// Error implements error.
func (e *NotSentError) Error() string { return "not sent: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.cause }

// BrokenOffError reports that a request was sent, at least in part, and that no answer began.
type BrokenOffError struct {
	cause error
	// Relayed is set if the connection went through another entry VM.
	Relayed bool
}

// Error implements error.
func (e *BrokenOffError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *BrokenOffError) Unwrap() error { return e.cause }

// Options configures a Client.
type Options struct {
	// Proxy is the host:port of an HTTP proxy through which targets are reached; empty for none.
	Proxy string
	// Relay reaches a target through another entry VM; nil means that there is none.
	Relay func(ctx context.Context, address string) (net.Conn, error)
	// WayChanged is called when a target begins or ceases to be reached through other entry VMs; nil means that nobody
	// wants to know. It must not block.
	WayChanged func(address string, relayed bool)
	// LocalAddress is the IP address that connections are made from; nil for any.
	LocalAddress net.IP
	// Budget bounds what the answers hold that are not passed on yet; nil stands for one of the client's own.
	Budget *membudget.Budget
}

// Client sends requests to targets and pools idle connections. It is safe for concurrent use.
type Client struct {
	options  Options
	dialer   net.Dialer
	connects connectTimer
	paths    *paths
	mu       sync.Mutex
	idle     map[string][]*conn
}

// NewClient returns a client with an empty pool.
func NewClient(options Options) *Client {
	var localAddress net.Addr
	if options.LocalAddress != nil {
		localAddress = &net.TCPAddr{IP: options.LocalAddress}
	}
	if options.Budget == nil {
		options.Budget = membudget.New(defaultBudgetBytes)
	}
	return &Client{
		options: options,
		paths:   newPaths(),
		dialer: net.Dialer{
			LocalAddr: localAddress,
			Control:   setUnackedTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
			},
		},
		idle: make(map[string][]*conn),
	}
}

type conn struct {
	net.Conn
	// relayed is set if the connection goes through another entry VM.
	relayed bool
	// used is set once a request has been sent on the connection.
	used        bool
	input       *boundedInput
	reader      *bufio.Reader
	writer      *bufio.Writer
	idleTimeout time.Duration
	idleSince   time.Time
}

// Do sends the request and returns the response once its header has been read. With fresh, it opens a new connection
// instead of reusing an idle one. The connection is closed when ctx ends, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, request *http.Request, body []byte, fresh bool) (*Response, error) {
	return c.DoIf(ctx, address, request, body, fresh, func() error { return nil })
}

// DoIf is Do for a request that is sent only if check returns no error once there is a connection.
func (c *Client) DoIf(ctx context.Context, address string, request *http.Request, body []byte, fresh bool, check func() error) (*Response, error) {
	connection, err := c.connect(ctx, address, fresh)
	if err != nil {
		return nil, &NotSentError{cause: err}
	}
	if err := check(); err != nil {
		c.putUnused(address, connection)
		return nil, &NotSentError{cause: err, Lapsed: true}
	}
	request = request.WithContext(context.WithValue(request.Context(), firstKey{}, !connection.used))
	connection.used = true
	response := &Response{client: c, ctx: ctx, address: address, conn: connection}
	response.stopCancel = context.AfterFunc(ctx, func() { response.CloseConnection(closedByContext) })
	response.holding = c.options.Budget.Answer(response.closeForMemory)
	if err := response.send(request, body); err != nil {
		response.abort()
		return nil, &BrokenOffError{cause: err, Relayed: connection.relayed}
	}
	connection.input.limit(maxHeadBytes, response.growHead)
	httpResponse, err := readHeader(connection.reader, request)
	connection.input.unlimit()
	if err != nil {
		response.abort()
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.CloseIdle(address) // the others may be as dead
		}
		return nil, &BrokenOffError{cause: fmt.Errorf("read the head of the target's answer: %w", err), Relayed: connection.relayed}
	}
	response.Response = httpResponse
	return response, nil
}

// firstKey is the key of the context value that tells whether a request is the first one on its connection.
type firstKey struct{}

// IsFirstOfConnection reports whether nothing was sent on the connection before the request of the response, so that the
// response cannot be one to an earlier request.
func IsFirstOfConnection(response *http.Response) bool {
	if response.Request == nil {
		return false
	}
	first, _ := response.Request.Context().Value(firstKey{}).(bool)
	return first
}

// send writes the request. A large body is written while the response is read, since a target may respond before it has
// read all of it.
func (r *Response) send(request *http.Request, body []byte) error {
	if err := writeHeader(r.conn.writer, request, body); err != nil {
		return fmt.Errorf("send the request: %w", err)
	}
	if len(body) <= asyncWriteBytes {
		_, _ = r.conn.writer.Write(body) // bufio.Writer keeps the error and returns it from Flush
		if err := r.conn.writer.Flush(); err != nil {
			return fmt.Errorf("send the request: %w", err)
		}
		return nil
	}
	r.writeResult = make(chan error, 1)
	go func() {
		_, _ = r.conn.writer.Write(body) // as above
		r.writeResult <- r.conn.writer.Flush()
	}()
	return nil
}

// writeHeader writes the request line and the header.
func writeHeader(w *bufio.Writer, request *http.Request, body []byte) error {
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

// readHeader reads the status line and header of the final response and skips interim (1xx) responses.
func readHeader(reader *bufio.Reader, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(reader, request)
		if err != nil {
			return nil, err
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if err := httpstatus.Check(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("the target switched protocols without being asked to")
		}
	}
}

// checkHead returns an error for a head that net/http accepts although it may state the length in a way that net/http does
// not see, in which case a part of the body would look whole.
func checkHead(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("the protocol of the answer is %q", response.Proto)
	}
	for name := range response.Header {
		if strings.ContainsAny(name, " \t") {
			return fmt.Errorf("the name of header field %q contains white space", name)
		}
	}
	return nil
}

// putUnused keeps a connection that has carried nothing since it was taken. One that is new has no timeout of its own yet.
func (c *Client) putUnused(address string, connection *conn) {
	if connection.idleTimeout == 0 {
		connection.idleTimeout = maxTunnelIdleTime
	}
	c.putIdle(address, connection)
}

func (c *Client) putIdle(address string, connection *conn) {
	connection.idleSince = time.Now()
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
	return c.dial(ctx, address)
}

// takeIdle removes the most recently used connection that is still usable from the pool; nil if there is none.
func (c *Client) takeIdle(address string) *conn {
	for {
		c.mu.Lock()
		idle := c.idle[address]
		if len(idle) == 0 {
			delete(c.idle, address)
			c.mu.Unlock()
			return nil
		}
		connection := idle[len(idle)-1]
		c.idle[address] = idle[:len(idle)-1]
		c.mu.Unlock()
		if time.Since(connection.idleSince) < connection.idleTimeout && hasNoInput(connection.Conn) {
			return connection
		}
		connection.Conn.Close()
	}
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	idle := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, connection := range idle {
		connection.Conn.Close()
	}
}

// closeAllIdle closes all idle connections.
func (c *Client) closeAllIdle() {
	c.mu.Lock()
	all := c.idle
	c.idle = make(map[string][]*conn)
	c.mu.Unlock()
	for _, idle := range all {
		for _, connection := range idle {
			connection.Conn.Close()
		}
	}
}

// hasNoInput reports whether an idle connection is still open and has no bytes to read.
func hasNoInput(connection net.Conn) bool {
	if buffering, ok := connection.(interface{ Buffered() int }); ok && buffering.Buffered() > 0 {
		return false
	}
	descriptor, ok := connection.(syscall.Conn)
	return ok && netconn.IsQuiet(descriptor)
}
