package object

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/platformwire"
)

// statusError is a response of the platform with a status other than 2xx.
type statusError struct {
	status int
	body   platformwire.ErrorResponse
}

// newStatusError decodes the body of an error response. A 503 whose body is not the platform's JSON may come from a
// proxy that had already forwarded the call, so it is treated as a 502, which leaves the outcome of a write unknown.
func newStatusError(status int, content []byte) error {
	statusErr := &statusError{status: status}
	if err := json.Unmarshal(content, &statusErr.body); err != nil && status == http.StatusServiceUnavailable {
		statusErr.status = http.StatusBadGateway
	}
	return statusErr
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.status, e.body.Message)
}

func (e *statusError) toUnavailable() error {
	retryAfter := time.Duration(e.body.RetryAfterMillis) * time.Millisecond
	if retryAfter == 0 {
		retryAfter = defaultRetryAfter
	}
	return NewUnavailableError(retryAfter, e.status == http.StatusTooManyRequests, e)
}

func asStatusError(err error) (*statusError, bool) {
	var statusErr *statusError
	found := errors.As(err, &statusErr)
	return statusErr, found
}

// isRetriable reports whether a retry of a read may succeed.
func isRetriable(err error) bool {
	statusErr, ok := asStatusError(err)
	if !ok {
		return true
	}
	return statusErr.status >= http.StatusInternalServerError || statusErr.status == http.StatusTooManyRequests
}
