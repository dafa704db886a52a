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

	"godwitcart/internal/wire/platformwire"
)

// The defaults of Options.
const (
	DefaultTimeout         = 2 * time.Second
	DefaultWatchWait       = 20 * time.Second
	DefaultReadsPerSecond  = 150
	DefaultWritesPerSecond = 40
	DefaultRetriesPerSec   = 10
)

const (
	// readAttempts bounds the tries of one read.
	readAttempts = 4
	// idleConnections is the number of connections kept open to the platform.
	idleConnections = 16
	// defaultRetryAfter is used where the platform names no time.
	defaultRetryAfter = time.Second
	// maxAnswerBytes bounds an answer's body: a list of many objects in base64.
	maxAnswerBytes = 64 << 20
)

// Options configures a Client. A zero field takes its default.
type Options struct {
	// BaseURL is the platform's address, such as http://192.0.2.1:7000.
	BaseURL    string
	HTTPClient *http.Client
	// Timeout bounds each call, a waiting watch aside.
	Timeout time.Duration
	// WatchWait is how long one watch call waits for a change.
	WatchWait time.Duration
	// ReadsPerSecond and WritesPerSecond bound this process's calls; a watch counts as a read.
	ReadsPerSecond, WritesPerSecond float64
	// RetriesPerSecond is the budget of repeated reads.
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
		options.HTTPClient = &http.Client{Transport: newTransport()}
	}
	options.Timeout = cmp.Or(options.Timeout, DefaultTimeout)
	options.WatchWait = cmp.Or(options.WatchWait, DefaultWatchWait)
	options.ReadsPerSecond = cmp.Or(options.ReadsPerSecond, DefaultReadsPerSecond)
	options.WritesPerSecond = cmp.Or(options.WritesPerSecond, DefaultWritesPerSecond)
	options.RetriesPerSecond = cmp.Or(options.RetriesPerSecond, DefaultRetriesPerSec)
	return &Client{
		options: options,
		reads:   newLimiter(options.ReadsPerSecond),
		writes:  newLimiter(options.WritesPerSecond),
		retries: newLimiter(options.RetriesPerSecond),
	}
}

// newTransport keeps enough idle connections for the concurrent calls of one process.
func newTransport() *http.Transport {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	transport.MaxIdleConnsPerHost = idleConnections
	return transport
}

// newLimiter allows a burst of one second's calls.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	var answer platformwire.Object
	err := c.read(ctx, platformwire.PathObject+escapeKey(key), nil, c.options.Timeout, &answer)
	if refused, ok := asRefused(err); ok && refused.status == http.StatusNotFound {
		return Object{}, &NotFoundError{Key: key}
	}
	return Object(answer), err
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var answer platformwire.ListResponse
	query := url.Values{"prefix": {prefix}}
	if err := c.read(ctx, platformwire.PathList, query, c.options.Timeout, &answer); err != nil {
		return Listing{}, err
	}
	return Listing{Revision: answer.Revision, Objects: fromWire(answer.Objects)}, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, prefix string, after uint64) (Batch, error) {
	query := url.Values{
		"prefix":      {prefix},
		"after":       {strconv.FormatUint(after, 10)},
		"wait_millis": {strconv.FormatInt(c.options.WatchWait.Milliseconds(), 10)},
	}
	var answer platformwire.WatchResponse
	timeout := c.options.WatchWait + c.options.Timeout
	if err := c.read(ctx, platformwire.PathWatch, query, timeout, &answer); err != nil {
		return Batch{}, err
	}
	return Batch{Revision: answer.Revision, Events: fromWire(answer.Events), Compacted: answer.Compacted}, nil
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
	var answer platformwire.Object
	if err := c.write(ctx, http.MethodPut, key, nil, body, expected, &answer); err != nil {
		return Object{}, err
	}
	return Object(answer), nil
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, key string, expected uint64) error {
	query := url.Values{"expected_version": {strconv.FormatUint(expected, 10)}}
	return c.write(ctx, http.MethodDelete, key, query, nil, expected, nil)
}

// read sends a GET, and again after a failure while attempts and budget last.
func (c *Client) read(ctx context.Context, path string, query url.Values, timeout time.Duration, answer any) error {
	for attempt := 0; ; attempt++ {
		if err := wait(ctx, c.reads); err != nil {
			return err
		}
		err := c.send(ctx, http.MethodGet, path, query, nil, timeout, answer)
		if err == nil || !retriable(err) {
			return c.classifyRead(err)
		}
		if attempt+1 == readAttempts || !c.retries.Allow() || pause(ctx, attempt) != nil {
			return c.classifyRead(err)
		}
	}
}

// write sends a conditional update once.
func (c *Client) write(ctx context.Context, method, key string, query url.Values, body []byte, expected uint64, answer any) error {
	if err := wait(ctx, c.writes); err != nil {
		return err
	}
	err := c.send(ctx, method, platformwire.PathObject+escapeKey(key), query, body, c.options.Timeout, answer)
	if err == nil {
		return nil
	}
	refused, ok := asRefused(err)
	if !ok {
		if notSent(err) {
			return NewUnavailableError(defaultRetryAfter, false, err)
		}
		return NewUnknownOutcomeError(key, err)
	}
	switch refused.status {
	case http.StatusNotFound:
		return &NotFoundError{Key: key}
	case http.StatusConflict:
		return c.conflict(ctx, key, expected, refused.body.Current)
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: key, Size: len(body), Limit: platformwire.MaxValueBytes}
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return refused.unavailable()
	default:
		if refused.status >= http.StatusInternalServerError {
			return NewUnknownOutcomeError(key, err)
		}
		return err
	}
}

// conflict completes a conflict whose answer did not carry the current object.
func (c *Client) conflict(ctx context.Context, key string, expected uint64, current *platformwire.Object) error {
	conflict := &ConflictError{Key: key, Expected: expected, Current: Object{Key: key}}
	if current != nil {
		conflict.Current = Object(*current)
		return conflict
	}
	read, err := getOrZero(ctx, c, key)
	if err != nil {
		return err
	}
	conflict.Current = read
	return conflict
}

// send makes one HTTP call; an answer that is not 2xx is a refusedError.
func (c *Client) send(ctx context.Context, method, path string, query url.Values, body []byte, timeout time.Duration, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := c.options.BaseURL + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build request")
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := c.options.HTTPClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read answer")
	}
	if response.StatusCode/100 != 2 {
		return newRefusedError(response.StatusCode, content)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(content, answer), "decode answer")
}

func (c *Client) classifyRead(err error) error {
	if err == nil {
		return nil
	}
	refused, ok := asRefused(err)
	if !ok {
		return NewUnavailableError(defaultRetryAfter, false, err)
	}
	if retriable(err) {
		return refused.unavailable()
	}
	return err
}

// wait takes a permit of the limiter, and fails at once when the context would end first.
func wait(ctx context.Context, limiter *rate.Limiter) error {
	if err := limiter.Wait(ctx); err != nil {
		return NewUnavailableError(defaultRetryAfter, ctx.Err() == nil, err)
	}
	return nil
}

// notSent reports whether a call certainly never reached the platform.
func notSent(err error) bool {
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
