package target

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/hopheader"
	"godwitcart/internal/wire/enginewire"
)

// PlainCall is one call to a plain service.
type PlainCall struct {
	Method string
	// Path is the escaped path and query at the target.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the body's length in bytes, or -1 if it is unknown.
	ContentLength int64
	// AtMostOnce means that the call must not reach the target twice.
	AtMostOnce bool
	AttemptID  string
	RequestID  string
}

// PlainClient calls plain services. It is safe for concurrent use.
type PlainClient struct {
	pooled *http.Transport
	// unpooled opens a connection for each call, which thus receives no response to an earlier call. net/http resends a
	// request on its own only if it failed on a reused connection.
	unpooled *http.Transport
	timeouts Timeouts
}

// noResponseHeaderTimeout leaves only the request's deadline to bound the wait for a plain service's response.
const noResponseHeaderTimeout = 0

// NewPlainClient returns a client with the given timeouts.
func NewPlainClient(timeouts Timeouts) *PlainClient {
	unpooled := newTransport(timeouts.Connect, noResponseHeaderTimeout)
	unpooled.DisableKeepAlives = true
	return &PlainClient{pooled: newTransport(timeouts.Connect, noResponseHeaderTimeout), unpooled: unpooled, timeouts: timeouts}
}

// Call makes the call and returns the target's response, whatever its status, unless the target states that it
// refused the call. The caller must close the response's body.
func (c *PlainClient) Call(ctx context.Context, address Address, call PlainCall) (*http.Response, error) {
	outbound, err := newPlainRequest(ctx, address, call)
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	response, used, err := roundTrip(c.transport(call), address.Name, outbound)
	if err != nil {
		return nil, err
	}
	kind := response.Header.Get(enginewire.HeaderRefused)
	if !used.isAnswer(response, call.AttemptID, kind != "") {
		return nil, used.reject(address.Name, response)
	}
	if kind == "" {
		if EndsWithConnection(response) {
			response.Body = &unstatedBody{ReadCloser: response.Body, checkTarget: func() error { return c.checkAnswers(ctx, address) }}
		}
		return response, nil
	}
	response.Body.Close()
	return nil, &RefusedError{Target: address.Name, Refusal: enginewire.Refusal{
		Kind:              enginewire.RefusalKind(kind),
		Message:           "the service refused the call",
		RetryAfterSeconds: retryAfterSeconds(response.Header),
	}}
}

func (c *PlainClient) transport(call PlainCall) *http.Transport {
	if call.AtMostOnce {
		return c.unpooled
	}
	return c.pooled
}

func newPlainRequest(ctx context.Context, address Address, call PlainCall) (*http.Request, error) {
	body := call.Body
	if call.ContentLength == 0 {
		body = nil
	}
	outbound, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address.HostPort+call.Path, body)
	if err != nil {
		return nil, err
	}
	if body != nil {
		outbound.ContentLength = call.ContentLength
	}
	copyEndToEndHeaders(outbound.Header, call.Header)
	setDeadline(ctx, outbound.Header)
	outbound.Header.Set(enginewire.HeaderAttempt, call.AttemptID)
	outbound.Header.Set(enginewire.HeaderRequest, call.RequestID)
	return outbound, nil
}

// setDeadline sets the header with the remaining time until the context's deadline, in milliseconds.
func setDeadline(ctx context.Context, header http.Header) {
	if deadline, bounded := ctx.Deadline(); bounded {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(enginewire.HeaderDeadline, strconv.FormatInt(remaining, 10))
	}
}

// copyEndToEndHeaders copies all headers except hop-by-hop ones.
func copyEndToEndHeaders(to, from http.Header) { maps.Copy(to, hopheader.Strip(from)) }

// CopyResponseHeaders copies the end-to-end headers of a target's response to the caller's response, except the id of the
// attempt: the caller may itself be a service that copies headers to its response.
func CopyResponseHeaders(to, from http.Header) {
	copyEndToEndHeaders(to, from)
	to.Del(enginewire.HeaderAttempt)
}

func retryAfterSeconds(header http.Header) float64 {
	wait, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return wait.Seconds()
}

// healthPath is the path of a plain service's health check.
const healthPath = "/healthz"

// newHealthCheck returns the call that checks a target. It has a connection of its own, on which a refusal can only be its
// response.
func newHealthCheck() PlainCall {
	return PlainCall{Method: http.MethodGet, Path: healthPath, AtMostOnce: true}
}

// CheckHealth calls the health check of a plain service. The error for a service that is leaving is a RefusedError.
func (c *PlainClient) CheckHealth(ctx context.Context, address Address) error {
	response, err := c.Call(ctx, address, newHealthCheck())
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &UnknownOutcomeError{Target: address.Name, cause: errors.Newf("health check answered %s", response.Status)}
	}
	return nil
}
