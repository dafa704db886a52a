// Package httpstatus rejects answers whose status HTTP does not have. net/http passes them on: 000 and 099 as final answers, 600
// and 999 too, and "+20" as 20. Whoever sends them states nothing that can be relied on, neither that a request has run nor that
// it has not (RFC 9110, section 15).
package httpstatus

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

const (
	// statusDigits is the length of a status.
	statusDigits = 3
	lowest       = 100
	highest      = 599
)

// ErrInvalid marks the error of an answer whose status HTTP does not have.
var ErrInvalid = errors.New("the status of the answer is none of HTTP")

// Check returns an error, marked with ErrInvalid, if the status of the answer is not three digits from 100 to 599.
func Check(answer *http.Response) error {
	if isNumber(answer.Status) && answer.StatusCode >= lowest && answer.StatusCode <= highest {
		return nil
	}
	return errors.Mark(errors.Newf("the status of the answer is %.10q", answer.Status), ErrInvalid)
}

// isNumber reports whether the status begins with digits only.
func isNumber(status string) bool {
	if len(status) < statusDigits {
		return false
	}
	for _, digit := range status[:statusDigits] {
		if digit < '0' || digit > '9' {
			return false
		}
	}
	return len(status) == statusDigits || status[statusDigits] == ' '
}

// Transport returns a transport that fails with an error marked with ErrInvalid where an answer has such a status. Whether the
// request was executed is unknown then.
func Transport(base http.RoundTripper) http.RoundTripper { return &transport{base: base} }

type transport struct{ base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	answer, err := t.base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := Check(answer); err != nil {
		answer.Body.Close()
		return nil, err
	}
	return answer, nil
}

// CloseIdleConnections is used by http.Client.
func (t *transport) CloseIdleConnections() {
	if closer, canClose := t.base.(interface{ CloseIdleConnections() }); canClose {
		closer.CloseIdleConnections()
	}
}
