package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/engine"
	"godwitcart/internal/stand/service"
	"godwitcart/internal/wire/enginewire"
)

const streamBody = `{"model":"sheet","prompt":"len=30","stream":true}`

func joinTokens(t testing.TB, events []event) string {
	var text strings.Builder
	for _, e := range events {
		if e.data != "[DONE]" && e.name == "" {
			text.WriteString(e.text(t))
		}
	}
	return text.String()
}

func TestStreamDeliversOneCompleteGeneration(t *testing.T) {
	h := newHarness(t)
	response := h.do(call{path: "/v1/completions", body: streamBody})
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	events := readEvents(t, response.Body, 1000)
	require.Equal(t, "[DONE]", events[len(events)-1].data)
	requireCompleteGeneration(t, joinTokens(t, events), 30)
}

func TestBufferedResponseIncludesUsage(t *testing.T) {
	h := newHarness(t)
	response := h.do(call{path: "/v1/chat/completions", body: `{"model":"sheet","messages":[{"role":"user","content":"len=12"}]}`})
	require.Equal(t, http.StatusOK, response.StatusCode)
	var answer struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	require.NoError(t, json.NewDecoder(response.Body).Decode(&answer))
	requireCompleteGeneration(t, answer.Choices[0].Message.Content, 12)
	require.Equal(t, 12, answer.Usage.CompletionTokens)
}

// The caller's connection is lost after five tokens, and the stream is resumed with the last cursor at another entry
// VM. Both parts together must be one complete generation.
func TestResumeThroughAnotherEntryVM(t *testing.T) {
	h := newHarness(t)
	first := h.do(call{path: "/v1/completions", body: streamBody, header: map[string]string{"Godwitcart-Resumable": "true"}})
	events := readEvents(t, first.Body, 5)
	first.Body.Close()
	second := h.do(call{
		entryVM: 1, method: http.MethodGet, path: "/v1/completions",
		header: map[string]string{"Last-Event-ID": events[4].id},
	})
	require.Equal(t, first.Header.Get("Godwitcart-Request"), second.Header.Get("Godwitcart-Request"))
	events = append(events, readEvents(t, second.Body, 1000)...)
	requireCompleteGeneration(t, joinTokens(t, events), 30)
	require.Len(t, h.engineAttempts(), 1)
}

func TestInterruptedStreamIsResumedTransparently(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{BreakStreams: 5})
	events := readEvents(t, h.do(call{path: "/v1/completions", body: streamBody}).Body, 1000)
	requireCompleteGeneration(t, joinTokens(t, events), 30)
	require.Len(t, h.engineAttempts(), 1)
}

// The engine's streams stall without closing. The gateway must reopen the stream until tokens arrive, and the caller
// must receive one complete generation.
func TestStalledStreamIsResumed(t *testing.T) {
	h := newHarness(t)
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=400","stream":true}`})
	head := readEvents(t, response.Body, 3)
	h.engines[0].SetFaults(engine.Faults{StallStreams: true})
	time.AfterFunc(1500*time.Millisecond, func() { h.engines[0].SetFaults(engine.Faults{}) })
	events := append(head, readEvents(t, response.Body, 1000)...)
	requireCompleteGeneration(t, joinTokens(t, events), 400)
	require.Len(t, h.engineAttempts(), 1)
}

// No token was delivered, so the request can be retried on another engine instead of waiting for the stalled one.
func TestIdempotentRequestIsRetriedWhenEngineStalls(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{StallStreams: true})
	events := readEvents(t, h.do(call{path: "/v1/completions", body: streamBody}).Body, 1000)
	requireCompleteGeneration(t, joinTokens(t, events), 30)
	require.Len(t, h.engines[1].Activity().Attempts, 1)
}

// The engine accepts the attempt, but its response is lost. The attempt must be looked up by its id instead of being
// sent again.
func TestNonIdempotentRequestRunsOnceWhenResponseIsLost(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{LoseAnswers: 1})
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`})
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, h.engineAttempts(), 1)
}

func TestRefusedAttemptIsRetriedOnAnotherTarget(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{Refuse: enginewire.RefusedLeaving})
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`})
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, h.engines[1].Activity().Attempts[0].Refused)
}

func TestRefusalByAllTargetsReturnsServiceUnavailable(t *testing.T) {
	h := newHarness(t)
	for _, standIn := range h.engines {
		standIn.SetFaults(engine.Faults{Refuse: enginewire.RefusedQueueFull})
	}
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`})
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestPlainCallForwardsMethodPathAndBody(t *testing.T) {
	h := newHarness(t)
	response := h.do(call{method: http.MethodPut, path: "/services/counter-api/a%2Fb?q=1", body: "hello"})
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(text))
	activity := h.service.Activity()
	require.Len(t, activity.Calls, 1)
	require.Equal(t, http.MethodPut, activity.Calls[0].Method)
	require.Contains(t, string(text), "hello")
}

// One target stalls. An idempotent call must be answered by the second target meanwhile; a non-idempotent call must
// not be sent again.
func TestOnlyIdempotentPlainCallsAreHedged(t *testing.T) {
	h := newHarness(t)
	h.service.SetFaults(service.Faults{Stall: true})
	lookup := h.do(call{method: http.MethodGet, path: "/services/counter-api/card/7"})
	require.Equal(t, http.StatusOK, lookup.StatusCode)
	require.Len(t, h.secondService.Activity().Calls, 1)
	nonIdempotent := h.do(call{path: "/services/counter-api/order", body: "1", header: map[string]string{"Godwitcart-Deadline-Ms": "1500"}})
	require.Equal(t, http.StatusGatewayTimeout, nonIdempotent.StatusCode)
	require.Len(t, h.secondService.Activity().Calls, 1)
}

// The engine sends no tokens at first; the caller must receive a keep-alive comment meanwhile.
func TestWaitingStreamReceivesKeepAliveComment(t *testing.T) {
	h := newHarness(t)
	h.engines[0].SetFaults(engine.Faults{StallStreams: true})
	response := h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=5","stream":true}`})
	line, err := response.Body.(*bufferedBody).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, ": waiting\n", line)
	h.engines[0].SetFaults(engine.Faults{})
	requireCompleteGeneration(t, joinTokens(t, readEvents(t, response.Body, 1000)), 5)
}

func TestDefaultDeadlineAppliesWithoutDeadlineHeader(t *testing.T) {
	h := newHarness(t)
	h.deadline = 500 * time.Millisecond
	h.addEntryVM()
	h.service.SetFaults(service.Faults{Stall: true})
	response := h.do(call{entryVM: testEntryVMs, path: "/services/counter-api/order", body: "1"})
	requireError(t, response, http.StatusGatewayTimeout, "deadline_exceeded")
}

// Checks the status and error type of invalid requests, none of which may reach a target. The callers' guide has the
// same table.
func TestInvalidRequestsAreRejected(t *testing.T) {
	h := newHarness(t)
	otherAccountsCursor := readEvents(t, h.do(call{path: "/v1/completions", body: streamBody, key: otherKey}).Body, 1)[0].id
	attemptsBefore := len(h.engineAttempts())
	cases := []struct {
		name   string
		call   call
		status int
		kind   string
	}{
		{"no key", call{path: "/v1/completions", body: streamBody, key: "wrong"}, 401, "bad_key"},
		{"broken JSON", call{path: "/v1/completions", body: `{"model":`}, 400, "bad_request"},
		{"body too large", call{path: "/v1/completions", body: strings.Repeat("x", 1<<17)}, 413, "too_large"},
		{"no model", call{path: "/v1/completions", body: `{"prompt":"x"}`}, 400, "bad_request"},
		{"unknown model", call{path: "/v1/completions", body: `{"model":"none","prompt":"x"}`}, 404, "unknown_model"},
		{"no prompt", call{path: "/v1/completions", body: `{"model":"sheet"}`}, 400, "bad_request"},
		{"two prompts", call{path: "/v1/completions", body: `{"model":"sheet","prompt":["a","b"]}`}, 400, "bad_request"},
		{"an image", call{path: "/v1/chat/completions", body: `{"model":"sheet","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`}, 400, "bad_request"},
		{"negative limit", call{path: "/v1/completions", body: `{"model":"sheet","prompt":"x","max_tokens":-1}`}, 400, "bad_request"},
		{"several answers", call{path: "/v1/completions", body: `{"model":"sheet","prompt":"x","n":2}`}, 400, "bad_request"},
		{"unknown class", call{path: "/v1/completions", body: streamBody, header: map[string]string{"Godwitcart-Class": "gold"}}, 400, "bad_request"},
		{"class not allowed for account", call{path: "/v1/completions", body: streamBody, key: otherKey, header: map[string]string{"Godwitcart-Class": "paid"}}, 403, "forbidden"},
		{"bad deadline", call{path: "/v1/completions", body: streamBody, header: map[string]string{"Godwitcart-Deadline-Ms": "-5"}}, 400, "bad_request"},
		{"bad idempotent header", call{path: "/v1/completions", body: streamBody, header: map[string]string{"Godwitcart-Idempotent": "maybe"}}, 400, "bad_request"},
		{"long key", call{path: "/v1/completions", body: streamBody, header: map[string]string{"Idempotency-Key": strings.Repeat("k", 256)}}, 400, "bad_request"},
		{"forged cursor", call{method: http.MethodGet, path: "/v1/completions", header: map[string]string{"Last-Event-ID": "a.b.c"}}, 400, "bad_request"},
		{"cursor of another account", call{method: http.MethodGet, path: "/v1/completions", header: map[string]string{"Last-Event-ID": otherAccountsCursor}}, 403, "forbidden"},
		{"no cursor", call{method: http.MethodGet, path: "/v1/completions"}, 400, "bad_request"},
		{"unknown service", call{method: http.MethodGet, path: "/services/none/x"}, 404, "not_found"},
		{"engine service called as plain", call{method: http.MethodGet, path: "/services/godwit-lm/x"}, 400, "bad_request"},
		{"unknown path", call{method: http.MethodGet, path: "/nowhere"}, 404, "not_found"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			response := h.do(c.call)
			var body struct {
				Error struct{ Type, Message, Remedy string }
			}
			require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, c.kind, body.Error.Type)
			require.NotEmpty(t, body.Error.Remedy)
		})
	}
	require.Len(t, h.engineAttempts(), attemptsBefore)
	require.Empty(t, h.service.Activity().Calls)
}
