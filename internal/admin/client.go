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

// maxAnswerBytes bounds an answer that a Client reads.
const maxAnswerBytes = 64 << 20

// Client asks and commands one godwitcartd over the operators' HTTP.
type Client struct {
	// BaseURL is the operators' listener, such as http://192.0.2.1:7701.
	BaseURL string
	Token   string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Query asks a query.
func (c *Client) Query(ctx context.Context, text string) (*query.Answer, error) {
	answer := &query.Answer{}
	return answer, c.post(ctx, PathQuery, QueryRequest{Text: text}, answer)
}

// Command gives a command.
func (c *Client) Command(ctx context.Context, text string, dryRun bool) (*command.Result, error) {
	result := &command.Result{}
	return result, c.post(ctx, PathCommand, CommandRequest{Text: text, DryRun: dryRun}, result)
}

// Configuration returns the configuration in force as YAML.
func (c *Client) Configuration(ctx context.Context) ([]byte, error) {
	return c.call(ctx, http.MethodGet, PathConfiguration, nil)
}

// Apply replaces the whole configuration by one in YAML.
func (c *Client) Apply(ctx context.Context, text []byte, dryRun bool) (*command.Result, error) {
	path := PathConfiguration
	if dryRun {
		path += "?dry_run=true"
	}
	answer, err := c.call(ctx, http.MethodPut, path, text)
	if err != nil {
		return nil, err
	}
	return decode(answer, &command.Result{})
}

func (c *Client) post(ctx context.Context, path string, body, answer any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "encode the request", "report this")
	}
	text, err = c.call(ctx, http.MethodPost, path, text)
	if err != nil {
		return err
	}
	_, err = decode(text, answer)
	return err
}

func decode[T any](text []byte, answer T) (T, error) {
	if err := json.Unmarshal(text, answer); err != nil {
		return answer, apierror.Wrap(err, apierror.KindInternal, "the answer cannot be read",
			"check that the address is the operators' listener of a godwitcartd of the same release")
	}
	return answer, nil
}

// call sends one request and returns the body of the answer, or the error that it holds.
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
		return nil, c.notReached(method, path, err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, c.notReached(method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, answeredError(response, text)
	}
	return text, nil
}

// notReached is the error of a call without an answer: a command that was sent may have had an
// effect.
func (c *Client) notReached(method, path string, err error) error {
	var network *net.OpError
	notSent := errors.As(err, &network) && network.Op == "dial"
	changes := method != http.MethodGet && path != PathQuery
	if changes && !notSent {
		return apierror.Wrap(err, apierror.KindOutcomeUnknown, "no answer from "+c.BaseURL,
			"look at \"show history\" on another entry VM before you repeat the command")
	}
	return apierror.Wrap(err, apierror.KindUnavailable, "cannot reach "+c.BaseURL, "try another entry VM")
}

func answeredError(response *http.Response, text []byte) error {
	var body ErrorResponse
	if err := json.Unmarshal(text, &body); err != nil || body.Error.Type == "" {
		return apierror.Newf(apierror.KindInternal, "check that the address is the operators' listener",
			"the server answered %s", response.Status)
	}
	wait := time.Duration(body.Error.RetryAfterSeconds * float64(time.Second))
	return apierror.New(apierror.Kind(body.Error.Type), body.Error.Message, body.Error.Remedy).WithRetryAfter(wait)
}
