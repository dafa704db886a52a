package gateway_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// scriptedEngine sends the first three tokens of each attempt and breaks off. To resumes it answers as its script says.
type scriptedEngine struct {
	script  http.HandlerFunc
	resumes atomic.Int64
}

func token(attempt string, index int) string {
	return fmt.Sprintf("data: {\"attempt_id\":%q,\"index\":%d,\"text\":\"%s:%d \"}\n\n", attempt, index, attempt, index)
}

func lastEvent(attempt string, index int, rest string) string {
	return fmt.Sprintf("data: {\"attempt_id\":%q,\"index\":%d,%s}\n\n", attempt, index, rest)
}

func (e *scriptedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		if r.Method == http.MethodGet {
			e.resumes.Add(1)
		}
		e.script(w, r)
		return
	}
	var generation enginewire.GenerationRequest
	_ = json.NewDecoder(r.Body).Decode(&generation)
	for index := range 3 {
		_, _ = w.Write([]byte(token(generation.AttemptID, index)))
	}
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// addScriptedEngine makes an engine with the script the only target of the service that runs requests once.
func (h *harness) addScriptedEngine(script http.HandlerFunc) *scriptedEngine {
	engine := &scriptedEngine{script: script}
	server := httptest.NewServer(engine)
	h.t.Cleanup(server.Close)
	h.placer["letters"] = []target.Address{{Name: "scripted", HostPort: server.Listener.Addr().String()}}
	return engine
}

// eventsScript answers with the events that it returns for the attempt.
func eventsScript(events func(attempt string) string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write([]byte(events(strings.TrimPrefix(r.URL.Path, enginewire.PathAttempts))))
	}
}

// textScript answers with a status, header and text that are no part of a stream.
func textScript(status int, header, value, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(header, value)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
	}
}

// The stream broke off after three tokens; none of the answers to its resume is the rest of it.
func TestAnswerToResumeEndsStreamAsComplete(t *testing.T) {
	scripts := map[string]http.HandlerFunc{
		"error":            textScript(500, "Content-Type", "text/plain", "data: LEAK\n\n"),
		"no content":       textScript(204, "Content-Type", "text/plain", ""),
		"empty":            textScript(200, "Content-Type", "text/event-stream", ""),
		"page":             textScript(200, "Content-Type", "text/html", "<html>LEAK</html>"),
		"encoded":          textScript(200, "Content-Encoding", "gzip", "\x1f\x8bLEAK"),
		"head in the body": textScript(200, "Content-Type", "text/event-stream", "HTTP/1.1 503 LEAK\r\n\r\ndata: LEAK\n\n"),
		"error event":      textScript(200, "Content-Type", "text/event-stream", "data: {\"error\":{\"message\":\"LEAK\"}}\n\n"),
		"end marker":       textScript(200, "Content-Type", "text/event-stream", "data: [DONE]\n\n"),
		"no last event":    eventsScript(func(a string) string { return token(a, 3) }),
		"gap":              eventsScript(func(a string) string { return token(a, 4) + lastEvent(a, 5, `"finish_reason":"stop"`) }),
		"end before a gap": eventsScript(func(a string) string { return token(a, 4) + lastEvent(a, 3, `"finish_reason":"stop"`) }),
		"end too early":    eventsScript(func(a string) string { return lastEvent(a, 2, `"finish_reason":"stop"`) }),
		"end with text":    eventsScript(func(a string) string { return lastEvent(a, 3, `"text":"LEAK","finish_reason":"stop"`) }),
		"unknown reason":   eventsScript(func(a string) string { return lastEvent(a, 3, `"finish_reason":"error"`) }),
		"canceled":         eventsScript(func(a string) string { return lastEvent(a, 3, `"finish_reason":"canceled"`) }),
		"another attempt":  eventsScript(func(string) string { return token("LEAK", 3) + lastEvent("LEAK", 4, `"finish_reason":"stop"`) }),
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			engine := h.addScriptedEngine(script)
			answer := h.read("HTTP/1.1", call{path: "/v1/completions", body: longStreamBody}, func() {
				require.Eventually(t, func() bool { return engine.resumes.Load() > 1 || h.gateways[0].Active() == 0 }, eventuallyTimeout, pollInterval)
				h.stopFirstEntryVM()
			})
			require.Equal(t, http.StatusOK, answer.status)
			require.False(t, answer.whole)
			require.NotContains(t, answer.body, "[DONE]")
			require.NotContains(t, answer.body, "LEAK")
		})
	}
}

// The target resumes from the first token and sends each one twice.
func TestRepeatedTokensAfterResume(t *testing.T) {
	h := newHarness(t)
	h.addScriptedEngine(eventsScript(func(attempt string) string {
		events := ""
		for index := range 5 {
			events += token(attempt, index) + token(attempt, max(index-1, 0))
		}
		return events + lastEvent(attempt, 5, `"finish_reason":"stop"`)
	}))
	events := readEvents(t, h.do(call{path: "/v1/completions", body: longStreamBody}).Body, 1000)
	requireCompleteGeneration(t, joinTokens(t, events), 5)
}

// Each answer to a resume opens and holds nothing.
func TestEmptyAnswersToResumeAreRepeatedWithoutPause(t *testing.T) {
	h := newHarness(t)
	engine := h.addScriptedEngine(textScript(200, "Content-Type", "text/event-stream", ""))
	c := call{path: "/v1/completions", body: longStreamBody, header: map[string]string{"Godwitcart-Deadline-Ms": "1000"}}
	h.read("HTTP/1.1", c, func() {})
	require.Less(t, engine.resumes.Load(), int64(20))
}
