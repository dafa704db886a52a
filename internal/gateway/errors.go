package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

// errorBody is the JSON body of every error response.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    apierror.Kind `json:"type"`
	Code    apierror.Kind `json:"code"`
	Message string        `json:"message"`
	Remedy  string        `json:"remedy"`
	// RetryAfterSeconds is omitted when repeating the same request does not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	RequestID         string  `json:"request_id"`
}

func newErrorBody(id string, typed *apierror.Error) errorBody {
	return errorBody{Error: errorDetail{
		Type: typed.Kind, Code: typed.Kind, Message: typed.Message, Remedy: typed.Remedy,
		RetryAfterSeconds: typed.RetryAfter.Seconds(), RequestID: id,
	}}
}

// writeError sends an error response, unless another response has begun.
func writeError(x *exchange, err error) {
	if errors.Is(err, errResponseStarted) {
		return
	}
	typed := qualifyNotRun(x, apierror.FromError(err))
	countError(typed.Kind)
	header := x.response.Header()
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	if !isSafeToRetry(x, typed.Kind) {
		header.Set(HeaderShouldRetry, "false")
	}
	// Encoding cannot fail: the types have only plain fields.
	text, _ := json.Marshal(newErrorBody(x.requestID, typed))
	x.response.Whole(typed.Kind.HTTPStatus(), "application/json", append(text, '\n'))
}

// qualifyNotRun replaces KindNotRun by KindUnavailable when the request was rejected before its claim was looked up.
// The request may then be a duplicate of one that ran, whereas "not run" promises that no duplicate ran.
func qualifyNotRun(x *exchange, typed *apierror.Error) *apierror.Error {
	if x.dispatched || x.r.Header.Get(HeaderIdempotencyKey) == "" || typed.Kind != apierror.KindNotRun {
		return typed
	}
	return apierror.New(apierror.KindUnavailable, typed.Message+", and whether an earlier copy did was not looked up",
		"repeat the request with the same Idempotency-Key").WithRetryAfter(typed.RetryAfter)
}

// isSafeToRetry reports whether a client library may retry the request automatically.
func isSafeToRetry(x *exchange, kind apierror.Kind) bool {
	switch kind {
	case apierror.KindNotRun, apierror.KindOverloaded, apierror.KindRateLimited, apierror.KindUnavailable:
		return true
	case apierror.KindOutcomeUnknown, apierror.KindGenerationLost, apierror.KindInternal, apierror.KindDeadlineExceeded:
		return !x.nonIdempotent
	default:
		return false
	}
}

// errResponseStarted marks a failure after the head of the response, which is broken off.
var errResponseStarted = errors.New("the answer has begun")

// maxEchoedBytes bounds how much of the caller's input an error message quotes.
const maxEchoedBytes = 80

func truncate(text string) string {
	if len(text) <= maxEchoedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxEchoedBytes], "") + "…"
}

func bearerToken(r *http.Request) string {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return ""
	}
	return strings.TrimSpace(token)
}
