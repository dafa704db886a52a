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
	// ContentLength is the body's length in bytes, or -1 when it is not known.
	ContentLength int64
	// RunOnce says that the call must not reach the target twice.
	RunOnce   bool
	AttemptID string
	RequestID string
}

// PlainClient talks to plain services. It is safe for concurrent use.
type PlainClient struct {
	pooled *http.Transport
	// fresh makes a connection for each call: net/http sends a call again by itself only on a
	// connection that was used before.
	fresh *http.Transport
}

// noAnswerTimeout leaves the wait for a plain service's answer to the request's deadline.
const noAnswerTimeout = 0

// NewPlainClient returns a client with the given timeouts.
func NewPlainClient(timeouts Timeouts) *PlainClient {
	fresh := newTransport(timeouts.Connect, noAnswerTimeout)
	fresh.DisableKeepAlives = true
	return &PlainClient{pooled: newTransport(timeouts.Connect, noAnswerTimeout), fresh: fresh}
}

// Call makes the call. The caller closes the answer's body. The answer is the target's own,
// whatever its status, unless the target states that it refused the call.
func (c *PlainClient) Call(ctx context.Context, address Address, call PlainCall) (*http.Response, error) {
	outbound, err := newPlainRequest(ctx, address, call)
	if err != nil {
		return nil, &NotSentError{Target: address.Name, cause: err}
	}
	response, err := c.transport(call).RoundTrip(outbound)
	if err != nil {
		return nil, classify(address.Name, err)
	}
	kind := response.Header.Get(enginewire.HeaderRefused)
	if kind == "" {
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
	if call.RunOnce {
		return c.fresh
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
	copyEndToEnd(outbound.Header, call.Header)
	setDeadline(ctx, outbound.Header)
	outbound.Header.Set(enginewire.HeaderAttempt, call.AttemptID)
	outbound.Header.Set(enginewire.HeaderRequest, call.RequestID)
	return outbound, nil
}

// setDeadline passes on how much time is left.
func setDeadline(ctx context.Context, header http.Header) {
	if deadline, bounded := ctx.Deadline(); bounded {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(enginewire.HeaderDeadline, strconv.FormatInt(left, 10))
	}
}

// copyEndToEnd copies the headers that concern both ends.
func copyEndToEnd(to, from http.Header) { maps.Copy(to, hopheader.Strip(from)) }

// CopyAnswerHeaders copies the headers of a target's answer that concern the caller.
func CopyAnswerHeaders(to, from http.Header) {
	copyEndToEnd(to, from)
}

func retryAfterSeconds(header http.Header) float64 {
	wait, err := time.ParseDuration(header.Get("Retry-After") + "s")
	if err != nil {
		return 0
	}
	return wait.Seconds()
}

// healthPath is where a plain service answers its health check.
const healthPath = "/healthz"

// Probe asks a plain service for its health. A service that is leaving answers with a refusal.
func (c *PlainClient) Probe(ctx context.Context, address Address) error {
	response, err := c.Call(ctx, address, PlainCall{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return &BrokenError{Target: address.Name, cause: errors.Newf("health check answered %s", response.Status)}
	}
	return nil
}
