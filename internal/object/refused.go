package object

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/wire/platformwire"
)

// refusedError is an answer of the platform that is not 2xx.
type refusedError struct {
	status int
	body   platformwire.ErrorResponse
}

// newRefusedError decodes the body of a refusal. Where it is not the platform's own the
// status alone proves nothing, so a 503 from in between counts as a bad gateway.
func newRefusedError(status int, content []byte) error {
	refused := &refusedError{status: status}
	if err := json.Unmarshal(content, &refused.body); err != nil && status == http.StatusServiceUnavailable {
		refused.status = http.StatusBadGateway
	}
	return refused
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("platform answered %d: %s", e.status, e.body.Message)
}

func (e *refusedError) unavailable() error {
	wait := time.Duration(e.body.RetryAfterMillis) * time.Millisecond
	if wait == 0 {
		wait = defaultRetryAfter
	}
	return NewUnavailableError(wait, e.status == http.StatusTooManyRequests, e)
}

func asRefused(err error) (*refusedError, bool) {
	var refused *refusedError
	found := errors.As(err, &refused)
	return refused, found
}

// retriable reports whether a repeated read may succeed.
func retriable(err error) bool {
	refused, ok := asRefused(err)
	if !ok {
		return true
	}
	return refused.status >= http.StatusInternalServerError || refused.status == http.StatusTooManyRequests
}
