package admin

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
)

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// writeResult writes value as JSON, or the error response if err is not nil.
func writeResult(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, value)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, err error) {
	var typed *apierror.Error
	if !errors.As(err, &typed) {
		typed = apierror.Wrap(err, apierror.KindInternal, "godwitcartd failed", "look at its log")
	}
	detail := ErrorDetail{
		Type:              string(typed.Kind),
		Message:           typed.Message,
		Remedy:            typed.Remedy,
		RetryAfterSeconds: typed.RetryAfter.Seconds(),
	}
	// Operators are shown the cause: it locates the problem in their input or in the system.
	if cause := typed.Unwrap(); cause != nil {
		detail.Message += ": " + cause.Error()
	}
	if typed.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(typed.RetryAfter.Seconds()))))
	}
	writeJSON(w, typed.Kind.HTTPStatus(), ErrorResponse{Error: detail})
}
