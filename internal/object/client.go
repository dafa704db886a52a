package object

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"godwitcart/internal/httpstatus"
	"godwitcart/internal/wire/platformwire"
)

// Defaults of Options.
const (
	DefaultTimeout          = 2 * time.Second
	DefaultWatchWait        = 20 * time.Second
	DefaultReadsPerSecond   = 150
	DefaultWritesPerSecond  = 40
	DefaultRetriesPerSecond = 10
)

const (
	// maxReadAttempts bounds the attempts of one read, the first included.
	maxReadAttempts = 4
	// maxIdleConnections is the number of idle connections to the platform that are kept open.
	maxIdleConnections = 16
	// defaultRetryAfter is the RetryAfter of errors where the platform states no delay.
	defaultRetryAfter = time.Second
	// maxResponseBytes bounds a response body; the largest is a list of many objects with base64 values.
	maxResponseBytes = 64 << 20
)

// Options configures a Client. A zero field takes its default.
type Options struct {
	// BaseURL is the platform's URL, such as http://192.0.2.1:7000.
	BaseURL    string
	HTTPClient *http.Client
	// Timeout bounds each call; a watch may take WatchWait longer.
	Timeout time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// ReadsPerSecond and WritesPerSecond limit the rate of this process's calls; a watch counts as a read.
	ReadsPerSecond, WritesPerSecond float64
	// RetriesPerSecond limits the rate of retries over all reads.
	RetriesPerSecond float64
}

// Client is a Store over HTTP. It is safe for concurrent use.
type Client struct {
	options       Options
	reads, writes *rate.Limiter
	retries       *rate.Limiter
}

var _ Store = (*Client)(nil)

// NewClient returns a client of the platform at options.BaseURL.
func NewClient(options Options) *Client {
	options.BaseURL = strings.TrimSuffix(options.BaseURL, "/")
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: httpstatus.Transport(newTransport())}
	}
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	options.WatchWait = cmp.Or(options.WatchWait, DefaultWatchWait)
	options.ReadsPerSecond = cmp.Or(options.ReadsPerSecond, DefaultReadsPerSecond)
	options.WritesPerSecond = cmp.Or(options.WritesPerSecond, DefaultWritesPerSecond)
	options.RetriesPerSecond = cmp.Or(options.RetriesPerSecond, DefaultRetriesPerSecond)
	return &Client{
		options: options,
		reads:   newLimiter(options.ReadsPerSecond),
		writes:  newLimiter(options.WritesPerSecond),
		retries: newLimiter(options.RetriesPerSecond),
	}
}

// newTransport returns a transport without proxy that keeps enough idle connections for one process's concurrent calls.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = maxIdleConnections
	return transport
}

// newLimiter returns a limiter that permits bursts of one second's worth of calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var response platformwire.Object
	err := c.read(ctx, platformwire.PathObject+escapeKey(key), nil, c.options.Timeout, &response)
	if statusErr, ok := asStatusError(err); ok && statusErr.status == http.StatusNotFound {
		return Object{}, &NotFoundError{Key: key}
	}
	return Object(response), err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var response platformwire.ListResponse
	query := url.Values{"prefix": {prefix}}
	if err := c.read(ctx, platformwire.PathList, query, c.options.Timeout, &response); err != nil {
		return Listing{}, err
	}
	return Listing{Revision: response.Revision, Objects: fromWire(response.Objects)}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	query := url.Values{
		"prefix":      {prefix},
		"after":       {strconv.FormatUint(after, 10)},
		"wait_millis": {strconv.FormatInt(c.options.WatchWait.Milliseconds(), 10)},
	}
	var response platformwire.WatchResponse
	timeout := c.options.WatchWait + c.options.Timeout
	if err := c.read(ctx, platformwire.PathWatch, query, timeout, &response); err != nil {
		return Batch{}, err
	}
	return Batch{Revision: response.Revision, Events: fromWire(response.Events), Compacted: response.Compacted}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error) {
	if len(value) > platformwire.MaxValueBytes {
		return Object{}, &TooLargeError{Key: key, Size: len(value), Limit: platformwire.MaxValueBytes}
	}
	body, err := json.Marshal(platformwire.PutRequest{Value: value, ExpectedVersion: expected})
	if err != nil {
		return Object{}, errors.Wrap(err, "encode object")
	}
	var response platformwire.Object
	if err := c.write(ctx, http.MethodPut, key, nil, body, expected, &response); err != nil {
		return Object{}, err
	}
	return Object(response), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	query := url.Values{"expected_version": {strconv.FormatUint(expected, 10)}}
	return c.write(ctx, http.MethodDelete, key, query, nil, expected, nil)
}

// read sends a GET and retries it after failures, up to maxReadAttempts and within the retry budget.
func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration, result any) error {
	for attempt := 0; ; attempt++ {
		if err := waitForLimiter(ctx, c.reads); err != nil {
			return err
		}
		err := c.send(ctx, http.MethodGet, path, query, nil, timeout, result)
		if err == nil || !isRetriable(err) {
			return c.convertReadError(err)
		}
		if attempt+1 == maxReadAttempts || !c.retries.Allow() || waitBackoff(ctx, attempt) != nil {
			return c.convertReadError(err)
		}
	}
}

// write sends a conditional update without retries.
func (c *Client) write(ctx context.Context, method, key string, query url.Values, body []byte, expected uint64, result any) error {
	if err := waitForLimiter(ctx, c.writes); err != nil {
		return err
	}
	err := c.send(ctx, method, platformwire.PathObject+escapeKey(key), query, body, c.options.Timeout, result)
	if err == nil {
		return nil
	}
	statusErr, ok := asStatusError(err)
	if !ok {
		if isDialError(err) {
			return NewUnavailableError(defaultRetryAfter, false, err)
		}
		return NewUnknownOutcomeError(key, err)
	}
	switch statusErr.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		return c.newConflictError(ctx, key, expected, statusErr.body.Current)
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: key, Size: len(body), Limit: platformwire.MaxValueBytes}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return statusErr.toUnavailable()
	default:
		if statusErr.status >= http.StatusInternalServerError {
			return NewUnknownOutcomeError(key, err)
		}
		return err
	}
}

// newConflictError returns a ConflictError. It reads the current object if the response did not contain it.
func (c *Client) newConflictError(ctx context.Context, key string, expected uint64, current *platformwire.Object) error {
	conflict := &ConflictError{Key: key, Expected: expected, Current: Object{Key: key}}
	if current != nil {
		conflict.Current = Object(*current)
		return conflict
	}
	latest, err := getOrZero(ctx, c, key)
	if err != nil {
		return err
	}
	conflict.Current = latest
	return conflict
}

// send makes one HTTP call; a response with a status other than 2xx is a statusError.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	requestURL := c.options.BaseURL + path
	if len(query) > 0 {
		requestURL += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.options.HTTPClient.Do(request)
	if err != nil {
		if IsUnanswered(err) {
			c.options.HTTPClient.CloseIdleConnections() // the others may be as silent
		}
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode/100 != 2 {
		return newStatusError(response.StatusCode, content)
	}
	if result == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(content, result), "decode answer")
}

// convertReadError returns an UnavailableError for a transient failure and any other error unchanged.
func (c *Client) convertReadError(err error) error {
	if err == nil {
		return nil
	}
	statusErr, ok := asStatusError(err)
	if !ok {
		return NewUnavailableError(defaultRetryAfter, false, err)
	}
	if isRetriable(err) {
		return statusErr.toUnavailable()
	}
	return err
}

// waitForLimiter waits until the limiter permits a call, and fails at once if the context would end before that.
func waitForLimiter(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		return NewUnavailableError(defaultRetryAfter, ctx.Err() == nil, err)
	}
	return nil
}

// isDialError reports whether the call failed to connect, so that it can't have reached the platform.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

func escapeKey(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

func fromWire(objects []platformwire.Object) []Object {
	converted := make([]Object, len(objects))
	for i, object := range objects {
		converted[i] = Object(object)
	}
	return converted
}
