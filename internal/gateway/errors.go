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

// errorBody is the one shape in which callers receive errors.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Type    apierror.Kind `json:"type"`
	Code    apierror.Kind `json:"code"`
	Message string        `json:"message"`
	Remedy  string        `json:"remedy"`
	// RetryAfterSeconds is absent when repeating the same request does not help.
	RetryAfterSeconds float64 `json:"retry_after_seconds,omitempty"`
	RequestID         string  `json:"request_id"`
}

func newErrorBody(id string, typed *apierror.Error) errorBody {
	return errorBody{Error: errorDetail{
		Type: typed.Kind, Code: typed.Kind, Message: typed.Message, Remedy: typed.Remedy,
		RetryAfterSeconds: typed.RetryAfter.Seconds(), RequestID: id,
	}}
}

// writeError answers with an error. Once the answer has begun, it only ends the connection.
func writeError(x *exchange, err error) {
	if errors.Is(err, errAnswerBegun) {
		return
	}
	typed := aboutCopies(x, apierror.Typed(err))
	countError(typed.Kind)
	header := x.w.Header()
	header.Set("Content-Type", "application/json")
	if typed.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	if !safeToRepeat(x, typed.Kind) {
		header.Set(HeaderShouldRetry, "false")
	}
	x.w.WriteHeader(typed.Kind.HTTPStatus())
	_ = json.NewEncoder(x.w).Encode(newErrorBody(x.id, typed))
}

// aboutCopies keeps "not run" for requests of which no copy ran. A request that is refused before its
// key was looked at may be the copy of one that ran.
func aboutCopies(x *exchange, typed *apierror.Error) *apierror.Error {
	if x.dispatched || x.r.Header.Get(HeaderKey) == "" || typed.Kind != apierror.KindNotRun {
		return typed
	}
	return apierror.New(apierror.KindUnavailable, typed.Message+", and whether an earlier copy did was not looked up",
		"repeat the request with the same Idempotency-Key").WithRetryAfter(typed.RetryAfter)
}

// safeToRepeat reports whether a client library may send the request again on its own.
func safeToRepeat(x *exchange, kind apierror.Kind) bool {
	switch kind {
	case apierror.KindNotRun, apierror.KindOverloaded, apierror.KindRateLimited, apierror.KindUnavailable:
		return true
	case apierror.KindOutcomeUnknown, apierror.KindGenerationLost, apierror.KindInternal, apierror.KindDeadlineExceeded:
		return !x.nonIdempotent
	default:
		return false
	}
}

// errAnswerBegun marks an error that the caller has been told inside its answer.
var errAnswerBegun = errors.New("the answer has begun")

// maxEchoedBytes bounds what an error message repeats of the caller's input.
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
