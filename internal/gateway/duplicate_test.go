package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// The path to the engine delivers the submission twice; the answer is that to the second copy.
func TestDuplicatedSubmissionRunsAtSecondTarget(t *testing.T) {
	h := newHarness(t)
	handler := h.engines[0].Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		if r.URL.Path == enginewire.PathCompletions {
			disconnected, cancel := context.WithCancel(r.Context())
			cancel()
			first := r.Clone(disconnected)
			first.Body = io.NopCloser(bytes.NewReader(body))
			handler.ServeHTTP(httptest.NewRecorder(), first)
		}
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	h.placer["letters"][0] = target.Address{Name: "engine-a", HostPort: server.Listener.Addr().String()}
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`})
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, h.engines[1].Activity().Attempts)
}
