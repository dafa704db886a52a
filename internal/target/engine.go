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

// maxResponseBytes bounds the body of a response that is not a stream.
const maxResponseBytes = 4 << 20

// Timeouts holds the timeouts of calls to targets.
type Timeouts struct {
	// Connect bounds the time to establish a connection.
	Connect time.Duration
	// ResponseHeader bounds the wait for an engine's response headers. An engine accepts or refuses an attempt
	// immediately, even if the attempt waits in its queue. If the timeout passes, the attempt is looked up at the
	// engine.
	ResponseHeader time.Duration
	// Progress bounds the time between events while a stream waits for its first token or for memory.
	Progress time.Duration
	// TokenGap bounds the time between events while tokens arrive.
	TokenGap time.Duration
}

// Address is a target's name and network address.
type Address struct {
	Name string
	// HostPort is the address of the traffic listener, as host:port.
	HostPort string
}

// Generation is one attempt of a generation request.
type Generation struct {
	enginewire.GenerationRequest
	// AtMostOnce means that the attempt must not run twice.
	AtMostOnce bool
}

// EngineClient calls model engines. It is safe for concurrent use.
type EngineClient struct {
	pooled *http.Transport
	// unpooled opens a connection for each call, which thus receives no response to an earlier call.
	unpooled *http.Transport
	timeouts Timeouts
}

// The connection pool and buffers of a client.
const (
	maxIdleConnectionsPerTarget = 256
	idleConnectionTimeout       = 90 * time.Second
	// connectionBufferBytes is small, because a stream occupies the buffers of its connection until it ends and
	// the event of one token takes a few hundred bytes.
	connectionBufferBytes = 1 << 10
	// maxHeadBytes bounds the head of an answer; net/http would take 10 MB.
	maxHeadBytes = 64 << 10
)

// NewEngineClient returns a client with the given timeouts.
func NewEngineClient(timeouts Timeouts) *EngineClient {
	unpooled := newTransport(timeouts.Connect, timeouts.ResponseHeader)
	unpooled.DisableKeepAlives = true
	return &EngineClient{pooled: newTransport(timeouts.Connect, timeouts.ResponseHeader), unpooled: unpooled, timeouts: timeouts}
}

func newTransport(connectTimeout, responseHeaderTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{
		DialContext:           dialer.DialContext,
		ResponseHeaderTimeout: responseHeaderTimeout,
		MaxIdleConns:          0,
		MaxIdleConnsPerHost:   maxIdleConnectionsPerTarget,
		IdleConnTimeout:       idleConnectionTimeout,
		DisableCompression:    true,
		ReadBufferSize:        connectionBufferBytes,
		WriteBufferSize:       connectionBufferBytes,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// engineCall is one HTTP call to an engine.
type engineCall struct {
	method string
	path   string
	body   []byte
	// attempt is the attempt that the call is for; empty for calls that belong to none.
	attempt string
	// isUnpooled gives the call a connection of its own.
	isUnpooled bool
}

// Start submits an attempt and returns its stream. The outcome is unknown if the engine refuses the attempt as one that it
// has seen: the path to the engine may have delivered the call twice.
func (c *EngineClient) Start(ctx context.Context, address Address, generation Generation) (*Stream, error) {
	body, err := json.Marshal(generation.GenerationRequest)
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	stream, err := c.open(ctx, address, engineCall{
		method: http.MethodPost, path: enginewire.PathCompletions, body: body,
		attempt: generation.AttemptID, isUnpooled: generation.AtMostOnce,
	})
	if isRefusal(err, enginewire.RefusedDuplicateAttempt) {
		return nil, NewUnknownOutcomeError(address.Name, err)
	}
	return stream, err
}

// Resume reopens the stream of an attempt at the token with the index from.
func (c *EngineClient) Resume(ctx context.Context, address Address, attempt string, from int) (*Stream, error) {
	path := enginewire.PathAttempts + url.PathEscape(attempt) + "?from=" + strconv.Itoa(from)
	return c.open(ctx, address, engineCall{method: http.MethodGet, path: path, attempt: attempt, isUnpooled: true})
}

func (c *EngineClient) open(ctx context.Context, address Address, call engineCall) (*Stream, error) {
	streamCtx, cancel := context.WithCancelCause(ctx)
	response, err := c.send(streamCtx, address, call)
	if err != nil {
		cancel(context.Canceled)
		return nil, err
	}
	return newStream(streamCtx, cancel, address.Name, response, c.timeouts), nil
}

// send makes one HTTP call. A status other than 2xx is returned as an error by decodeRefusal.
func (c *EngineClient) send(ctx context.Context, address Address, call engineCall) (*http.Response, error) {
	request, err := newEngineRequest(ctx, address, call)
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	response, used, err := roundTrip(c.transport(call), address.Name, request)
	if err != nil {
		return nil, err
	}
	refused := response.StatusCode/100 != 2
	if !used.isAnswer(response, call.attempt, refused) {
		return nil, used.reject(address.Name, response)
	}
	if !refused {
		return response, nil
	}
	defer response.Body.Close()
	return nil, decodeRefusal(address.Name, response)
}

func (c *EngineClient) transport(call engineCall) *http.Transport {
	if call.isUnpooled {
		return c.unpooled
	}
	return c.pooled
}

func newEngineRequest(ctx context.Context, address Address, call engineCall) (*http.Request, error) {
	// The type of the reader is unknown to http.NewRequest, which therefore leaves GetBody unset. Without GetBody,
	// the transport cannot resend the request on its own.
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+address.HostPort+call.path, newSinglePassReader(call.body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.body))
	request.Header.Set("Content-Type", "application/json")
	setDeadline(ctx, request.Header)
	return request, nil
}

func newSinglePassReader(body []byte) io.Reader {
	if body == nil {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(body)}
}

// decodeRefusal returns a RefusedError only if the response names the kind of refusal. Anything else, such as
// the error page of a proxy in between, leaves the outcome unknown.
func decodeRefusal(name string, response *http.Response) error {
	var refusal enginewire.Refusal
	err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&refusal)
	if err == nil && refusal.Kind != "" {
		return &RefusedError{Target: name, Refusal: refusal}
	}
	return &UnknownOutcomeError{Target: name, cause: &unexpectedStatusError{status: response.StatusCode}}
}

type unexpectedStatusError struct{ status int }

func (e *unexpectedStatusError) Error() string {
	return "unexpected status " + strconv.Itoa(e.status) + " without a kind of refusal"
}

// Cancel cancels an attempt.
func (c *EngineClient) Cancel(ctx context.Context, address Address, attempt string) error {
	call := engineCall{method: http.MethodDelete, path: enginewire.PathAttempts + url.PathEscape(attempt), attempt: attempt}
	return c.call(ctx, address, call, nil)
}

// LoadReport reads the target's load report.
func (c *EngineClient) LoadReport(ctx context.Context, address Address) (enginewire.LoadReport, error) {
	var report enginewire.LoadReport
	err := c.call(ctx, address, engineCall{method: http.MethodGet, path: enginewire.PathLoad}, &report)
	return report, err
}

// CacheEvents reads the prefix cache events that follow a sequence number.
func (c *EngineClient) CacheEvents(ctx context.Context, address Address, after uint64) (enginewire.CacheEvents, error) {
	var events enginewire.CacheEvents
	path := enginewire.PathCacheEvents + "?after=" + strconv.FormatUint(after, 10)
	err := c.call(ctx, address, engineCall{method: http.MethodGet, path: path}, &events)
	return events, err
}

// SendOrder sends an order to the target.
func (c *EngineClient) SendOrder(ctx context.Context, address Address, order enginewire.Order) (enginewire.OrderResult, error) {
	var result enginewire.OrderResult
	body, err := json.Marshal(order)
	if err != nil {
		return result, &NotSentError{Target: address.Name, cause: err}
	}
	call := engineCall{method: http.MethodPost, path: enginewire.PathOrders, body: body, isUnpooled: true}
	err = c.call(ctx, address, call, &result)
	return result, err
}

// call makes one call with a timeout and decodes its response into result, unless result is nil.
func (c *EngineClient) call(ctx context.Context, address Address, call engineCall, result any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Connect+c.timeouts.ResponseHeader)
	defer cancel()
	response, err := c.send(ctx, address, call)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if result == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(result); err != nil {
		return &UnknownOutcomeError{Target: address.Name, cause: err}
	}
	return nil
}
