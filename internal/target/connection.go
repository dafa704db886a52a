package target

import (
	"net"
	"net/http"
	"net/http/httptrace"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/httpstatus"
	"godwitcart/internal/wire/enginewire"
)

// errOtherCall is the cause when the response does not answer the call, or may not.
var errOtherCall = errors.New("the response may answer an earlier call on the same connection")

// connection is the connection on which a call was sent.
type connection struct {
	net.Conn
	// isReused is true if an earlier call was sent on the connection.
	isReused bool
}

// roundTrip makes one call and returns its response with the connection that it came on.
func roundTrip(transport *http.Transport, name string, request *http.Request) (*http.Response, *connection, error) {
	used := &connection{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used.Conn = info.Conn
		used.isReused = info.Reused
	}}
	response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, nil, classifyTransportError(name, err)
	}
	if err := httpstatus.Check(response); err != nil {
		used.Close()
		response.Body.Close()
		return nil, nil, &UnknownOutcomeError{Target: name, cause: err}
	}
	return response, used, nil
}

// isAnswer reports whether the response answers the call of the attempt, which is empty for calls that belong to none. A
// target may repeat the response to an earlier call on the connection. A response that names no attempt is therefore not
// accepted as a refusal after an earlier call.
func (c *connection) isAnswer(response *http.Response, attempt string, refused bool) bool {
	if named := response.Header.Get(enginewire.HeaderAttempt); named != "" {
		return named == attempt
	}
	return !refused || !c.isReused
}

// reject discards a response that does not answer the call. The connection is closed, because the responses that
// follow on it answer earlier calls too.
func (c *connection) reject(name string, response *http.Response) error {
	c.Close()
	response.Body.Close()
	return &UnknownOutcomeError{Target: name, cause: errOtherCall}
}
