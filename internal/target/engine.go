package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"godwitcart/internal/wire/enginewire"
)

// maxReplyBytes bounds the body of an answer that is not a stream.
const maxReplyBytes = 4 << 20

// Timeouts bound the calls to targets.
type Timeouts struct {
	// Connect bounds the making of a connection.
	Connect time.Duration
	// Answer bounds the wait for the headers of an engine's answer. An engine takes or refuses an attempt
	// at once, however long its queue is; one that does not is asked for the attempt again.
	Answer time.Duration
	// Progress bounds the time without an event on a stream that waits for its first token or for memory.
	Progress time.Duration
	// TokenGap bounds the time between two tokens of a stream that is running.
	TokenGap time.Duration
}

// Address names a target and says where it listens.
type Address struct {
	Name string
	// HostPort is host:port of the traffic listener.
	HostPort string
}

// EngineClient talks to model engines. It is safe for concurrent use.
type EngineClient struct {
	client   *http.Client
	timeouts Timeouts
}

// The connection pool of a client.
const (
	maxIdleConnectionsPerTarget = 256
	idleConnectionTimeout       = 90 * time.Second
	// connectionBufferBytes is small because a stream holds its connection's buffers for as long as it
	// lasts, and an event of one token has some hundred bytes.
	connectionBufferBytes = 1 << 10
)

// NewEngineClient returns a client with the given timeouts.
func NewEngineClient(timeouts Timeouts) *EngineClient {
	return &EngineClient{client: &http.Client{Transport: newTransport(timeouts.Connect, timeouts.Answer)}, timeouts: timeouts}
}

func newTransport(connect, answer time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connect}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: answer,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   maxIdleConnectionsPerTarget,
		IdleConnTimeout:       idleConnectionTimeout,
		DisableCompression:    true,
		ReadBufferSize:        connectionBufferBytes,
		WriteBufferSize:       connectionBufferBytes,
	}
}

// Start starts an attempt and returns its stream.
func (c *EngineClient) Start(ctx context.Context, address Address, generation enginewire.GenerationRequest) (*Stream, error) {
	body, err := json.Marshal(generation)
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	return c.open(ctx, address, http.MethodPost, enginewire.PathCompletions, body)
}

// Resume continues the stream of an attempt at the token index from.
func (c *EngineClient) Resume(ctx context.Context, address Address, attempt string, from int) (*Stream, error) {
	path := enginewire.PathAttempts + url.PathEscape(attempt) + "?from=" + strconv.Itoa(from)
	return c.open(ctx, address, http.MethodGet, path, nil)
}

func (c *EngineClient) open(ctx context.Context, address Address, method, path string, body []byte) (*Stream, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	response, err := c.send(streamCtx, address, method, path, body)
	if err != nil {
		cancel(context.Canceled)
		return nil, err
	}
	return newStream(streamCtx, cancel, address.Name, response, c.timeouts), nil
}

// send makes one call and turns every answer that is not 2xx into a RefusedError.
func (c *EngineClient) send(ctx context.Context, address Address, method, path string, body []byte) (*http.Response, error) {
	// A reader that http.NewRequest does not know leaves GetBody unset, so that the transport cannot
	// send the call a second time on its own.
	call, err := http.NewRequestWithContext(ctx, method, "http://"+address.HostPort+path, onceReader(body))
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	call.ContentLength = int64(len(body))
	call.Header.Set("Content-Type", "application/json")
	setDeadline(ctx, call.Header)
	response, err := c.client.Do(call)
	if err != nil {
		return nil, classify(address.Name, err)
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	return nil, readRefusal(address.Name, response)
}

func onceReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// readRefusal trusts only an answer that names a kind of refusal: anything else, such as an error
// page of something between us and the target, leaves the outcome unknown.
func readRefusal(name string, response *http.Response) error {
	var refusal enginewire.Refusal
	err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(&refusal)
	if err == nil && refusal.Kind != "" {
		return &RefusedError{Target: name, Refusal: refusal}
	}
	return &BrokenError{Target: name, cause: &unexpectedStatusError{status: response.StatusCode}}
}

type unexpectedStatusError struct{ status int }

func (e *unexpectedStatusError) Error() string {
	return "unexpected status " + strconv.Itoa(e.status) + " without a kind of refusal"
}

// Cancel cancels an attempt.
func (c *EngineClient) Cancel(ctx context.Context, address Address, attempt string) error {
	return c.call(ctx, address, http.MethodDelete, enginewire.PathAttempts+url.PathEscape(attempt), nil, nil)
}

// Load reads the target's load report.
func (c *EngineClient) Load(ctx context.Context, address Address) (enginewire.LoadReport, error) {
	var report enginewire.LoadReport
	err := c.call(ctx, address, http.MethodGet, enginewire.PathLoad, nil, &report)
	return report, err
}

// CacheEvents reads the prefix cache events after a sequence number.
func (c *EngineClient) CacheEvents(ctx context.Context, address Address, after uint64) (enginewire.CacheEvents, error) {
	var events enginewire.CacheEvents
	path := enginewire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, address, http.MethodGet, path, nil, &events)
	return events, err
}

// Order sends an order.
func (c *EngineClient) Order(ctx context.Context, address Address, order enginewire.Order) (enginewire.OrderResult, error) {
	var result enginewire.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, &NotSentError{Target: address.Name, cause: err}
	}
	err = c.call(ctx, address, http.MethodPost, enginewire.PathOrders, body, &result)
	return result, err
}

// call makes one bounded call and decodes its answer into reply, unless reply is nil.
func (c *EngineClient) call(ctx context.Context, address Address, method, path string, body []byte, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Connect+c.timeouts.Answer)
	defer cancel()
	response, err := c.send(ctx, address, method, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if reply == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReplyBytes)).Decode(reply); err != nil {
		return &BrokenError{Target: address.Name, cause: err}
	}
	return nil
}
