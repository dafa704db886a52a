package target

import (
	"context"
	"io"
	"net/http"

	"godwitcart/internal/request"
)

// EndsWithConnection reports whether the response has neither a length nor chunks, so that the end of its connection is
// that of its body.
func EndsWithConnection(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// unstatedBody is a body that ends with its connection. The kernel ends the connections of a killed process in the same
// way, so the end is that of the body only if the target still answers.
type unstatedBody struct {
	io.ReadCloser
	checkTarget func() error
}

// Read returns an error instead of io.EOF if the target no longer answers.
func (b *unstatedBody) Read(data []byte) (int, error) {
	count, err := b.ReadCloser.Read(data)
	if err != io.EOF {
		return count, err
	}
	if err := b.checkTarget(); err != nil {
		return count, err
	}
	return count, io.EOF
}

// checkAnswers returns an UnknownOutcomeError if the target does not answer a health check, whatever the status. That it
// accepts a connection does not suffice: the kernel may close the listener of a killed process last.
func (c *PlainClient) checkAnswers(ctx context.Context, address Address) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeouts.Connect+c.timeouts.ResponseHeader)
	defer cancel()
	response, err := c.Call(ctx, address, newHealthCheck())
	if err == nil {
		return response.Body.Close()
	}
	if AttemptState(err) == request.AttemptRefused {
		return nil
	}
	return NewUnknownOutcomeError(address.Name, err)
}
