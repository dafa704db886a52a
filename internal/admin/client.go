package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/command"
	"godwitcart/internal/query"
)

// maxResponseBytes limits the response body that a Client reads.
const maxResponseBytes = 64 << 20

// Client sends queries and commands to one godwitcartd over the operator HTTP API.
type Client struct {
	// BaseURL is the address of the operators' listener, such as http://192.0.2.1:7701.
	BaseURL string
	Token   string
	// HTTP sends the requests; nil selects http.DefaultClient.
	HTTP *http.Client
}

// Query executes a query statement.
func (c *Client) Query(ctx context.Context, text string) (*query.Result, error) {
	result := &query.Result{}
	return result, c.post(ctx, PathQuery, QueryRequest{Text: text}, result)
}

// Command executes a command statement; with dryRun it only reports what would change.
func (c *Client) Command(ctx context.Context, text string, dryRun bool) (*command.Result, error) {
	result := &command.Result{}
	return result, c.post(ctx, PathCommand, CommandRequest{Text: text, DryRun: dryRun}, result)
}

// Configuration returns the configuration in force as YAML.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathConfiguration, nil)
}

// Apply replaces the whole configuration with the YAML document in text.
func (c *Client) Apply(ctx context.Context, text []byte, dryRun bool) (*command.Result, error) {
	path := PathConfiguration
	if dryRun {
		path += "?dry_run=true"
	}
	response, err := c.call(ctx, http.MethodPut, path, text)
	if err != nil {
		return nil, err
	}
	return decode(response, &command.Result{})
}

func (c *Client) post(ctx context.Context, path string, body, result any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "the request cannot be encoded", "report this as a bug")
	}
	text, err = c.call(ctx, http.MethodPost, path, text)
	if err != nil {
		return err
	}
	_, err = decode(text, result)
	return err
}

func decode[T any](text []byte, result T) (T, error) {
	if err := json.Unmarshal(text, result); err != nil {
		return result, apierror.Wrap(err, apierror.KindInternal, "the answer cannot be read",
			"check that the address is the operators' listener of a godwitcartd of the same release")
	}
	return result, nil
}

// call sends one request and returns the body of the response, or the error that the body describes.
func (c *Client) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the server's address is malformed", "write it as http://HOST:PORT")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, c.connectionError(method, path, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, c.connectionError(method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, responseError(response, text)
	}
	return text, nil
}

// connectionError returns the error for a call that got no complete response. The outcome of a change is
// unknown unless the connection was never established, because the server may have executed it.
func (c *Client) connectionError(method, path string, err error) error {
	var network *net.OpError
	dialFailed := errors.As(err, &network) && network.Op == "dial"
	isChange := method != http.MethodGet && path != PathQuery
	if isChange && !dialFailed {
		return apierror.Wrap(err, apierror.KindOutcomeUnknown, "no answer from "+c.BaseURL,
			"look at \"show history\" on another entry VM before you repeat the command")
	}
	return apierror.Wrap(err, apierror.KindUnavailable, "cannot reach "+c.BaseURL, "try another entry VM")
}

func responseError(response *http.Response, text []byte) error {
	var body ErrorResponse
	if err := json.Unmarshal(text, &body); err != nil || body.Error.Type == "" {
		return apierror.Newf(apierror.KindInternal, "check that the address is the operators' listener",
			"the server answered with status %s", response.Status)
	}
	retryAfter := time.Duration(body.Error.RetryAfterSeconds * float64(time.Second))
	return apierror.New(apierror.Kind(body.Error.Type), body.Error.Message, body.Error.Remedy).WithRetryAfter(retryAfter)
}
