package object_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/wire/platformwire"
)

// cannedResponse is one response of newTestClient; a zero status breaks the connection.
type cannedResponse struct {
	status int
	body   any
}

// newTestClient returns a client of a server that sends the responses in order and repeats the last one; calls counts
// the requests.
func newTestClient(t *testing.T, responses ...cannedResponse) (client *object.Client, calls *atomic.Int64) {
	t.Helper()
	calls = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		next := responses[min(int(calls.Add(1)), len(responses))-1]
		if next.status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(next.status)
		if text, ok := next.body.(string); ok {
			_, _ = w.Write([]byte(text))
			return
		}
		_ = json.NewEncoder(w).Encode(next.body)
	}))
	t.Cleanup(server.Close)
	return object.NewClient(object.Options{BaseURL: server.URL + "/"}), calls
}

var errorBody = platformwire.ErrorResponse{Message: "later", RetryAfterMillis: 70}

func TestWritesAreSentOnceAndClassified(t *testing.T) {
	current := platformwire.Object{Key: "k", Version: 9, Value: []byte("v")}
	tests := []struct {
		name     string
		response cannedResponse
		want     apierror.Kind
	}{
		{"conflict", cannedResponse{409, platformwire.ErrorResponse{Current: &current}}, apierror.KindConflict},
		{"not found", cannedResponse{404, errorBody}, apierror.KindNotFound},
		{"throttled", cannedResponse{429, errorBody}, apierror.KindUnavailable},
		{"outage", cannedResponse{503, errorBody}, apierror.KindUnavailable},
		{"503 of a proxy", cannedResponse{503, "<html>"}, apierror.KindOutcomeUnknown},
		{"server error", cannedResponse{500, errorBody}, apierror.KindOutcomeUnknown},
		{"broken connection", cannedResponse{}, apierror.KindOutcomeUnknown},
		{"truncated answer", cannedResponse{200, "{"}, apierror.KindOutcomeUnknown},
		{"too large", cannedResponse{413, errorBody}, apierror.KindTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, calls := newTestClient(t, test.response)
			_, err := client.Put(t.Context(), "k", []byte("x"), 3)
			require.Equal(t, test.want, apierror.KindOf(err), "%v", err)
			require.EqualValues(t, 1, calls.Load())
			if conflict, ok := object.AsConflict(err); ok {
				require.Equal(t, object.Object(current), conflict.Current)
			}
			if unavailable, ok := object.AsUnavailable(err); ok {
				require.Equal(t, 70*time.Millisecond, unavailable.RetryAfter)
			}
		})
	}
}

func TestReadsAreRetriedWithinLimit(t *testing.T) {
	stored := platformwire.Object{Key: "a/b c", Version: 1, Value: []byte("v")}
	client, calls := newTestClient(t, cannedResponse{}, cannedResponse{503, errorBody}, cannedResponse{200, stored})
	got, err := client.Get(t.Context(), "a/b c")
	require.NoError(t, err)
	require.Equal(t, object.Object(stored), got)
	require.EqualValues(t, 3, calls.Load())

	client, calls = newTestClient(t, cannedResponse{503, errorBody})
	_, err = client.List(t.Context(), "a/")
	require.Equal(t, apierror.KindUnavailable, apierror.KindOf(err))
	require.EqualValues(t, 4, calls.Load())

	client, calls = newTestClient(t, cannedResponse{404, errorBody})
	_, err = client.Get(t.Context(), "k")
	require.True(t, object.IsNotFound(err))
	require.EqualValues(t, 1, calls.Load())
}

func TestUnsentCallsAreUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := object.NewClient(object.Options{BaseURL: server.URL})
	_, err := client.Put(t.Context(), "k", nil, 0)
	require.Equal(t, apierror.KindUnavailable, apierror.KindOf(err), "%v", err)
	_, err = client.Put(t.Context(), "k", make([]byte, platformwire.MaxValueBytes+1), 0)
	require.Equal(t, apierror.KindTooLarge, apierror.KindOf(err))
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, apierror.KindUnavailable, apierror.KindOf(client.Delete(canceled, "k", 1)))
}

func TestWatchConvertsEvents(t *testing.T) {
	events := []platformwire.Object{{Key: "a", Version: 4, Deleted: true}}
	client, _ := newTestClient(t, cannedResponse{200, platformwire.WatchResponse{Revision: 4, Events: events}})
	batch, err := client.Watch(t.Context(), "a", 3)
	require.NoError(t, err)
	require.Equal(t, object.Batch{Revision: 4, Events: []object.Object{{Key: "a", Version: 4, Deleted: true}}}, batch)
}
