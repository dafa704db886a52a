package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stubTokens is the number of tokens in the stub's streams.
const stubTokens = 6

func testOptions(entries ...*httptest.Server) Options {
	options := Options{Keys: []string{"secret"}, Model: "m", Deadline: 5 * time.Second, IdleTimeout: 200 * time.Millisecond}
	for _, entry := range entries {
		options.EntryURLs = append(options.EntryURLs, entry.URL)
	}
	return options
}

func sendOne(t *testing.T, options Options, request Request) Answer {
	t.Helper()
	request.Tag, request.Key, request.Account = "tag=1-1", "key-1", "secret"
	client := newClient()
	defer client.CloseIdleConnections()
	c := &caller{options: options, client: client, balancer: newBalancer(client, options.EntryURLs, nil), request: request}
	return c.run(t.Context())
}

// stubStream serves a stream of stubTokens tokens, resumed after the event ID of the request. It calls interrupt once
// it has sent limit tokens in one call.
func stubStream(limit int, interrupt func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		next := 0
		_, _ = fmt.Sscanf(r.Header.Get(headerLastEvent), "c%d", &next)
		w.Header().Set("Content-Type", "text/event-stream")
		for sent := 0; next < stubTokens; sent++ {
			if sent == limit {
				_ = http.NewResponseController(w).Flush()
				interrupt(w, r)
				return
			}
			next++
			fmt.Fprintf(w, "id: c%d\ndata: {\"choices\":[{\"text\":\"t%d \"}]}\n\n", next, next)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func TestStreamResumesOnAnotherEntryVM(t *testing.T) {
	interruptions := map[string]func(http.ResponseWriter, *http.Request){
		"break": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"stall": func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() },
		"half an event": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "id: c99\ndata: {\"choices\":[{\"text\":\"half")
		},
		"handed over": func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, "event: reconnect\nretry: 0\ndata: {}\n\n")
		},
	}
	for name, interrupt := range interruptions {
		t.Run(name, func(t *testing.T) {
			first := httptest.NewServer(stubStream(2, interrupt))
			defer first.Close()
			second := httptest.NewServer(stubStream(2, interrupt))
			defer second.Close()
			answer := sendOne(t, testOptions(first, second), Request{Kind: KindStream})
			require.Equal(t, OutcomeAnswered, answer.Outcome)
			require.Equal(t, "t1 t2 t3 t4 t5 t6 ", answer.Text)
			require.Len(t, answer.Gaps, 5)
			require.Len(t, answer.Tries, 3)
			require.Equal(t, name == "handed over", answer.Tries[0].Failure == "")
			require.Equal(t, name == "stall", answer.Tries[0].GaveUp)
			require.True(t, answer.Tries[0].LastReceived.After(answer.Tries[0].Started))
			require.NotEqual(t, answer.Tries[0].Entry, answer.Tries[1].Entry)
		})
	}
}

func TestErrorsAreFinal(t *testing.T) {
	streamed := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "event: error\ndata: {\"error\":{\"type\":\"generation_lost\",\"message\":\"gone\"}}\n\n")
	}))
	defer streamed.Close()
	answer := sendOne(t, testOptions(streamed), Request{Kind: KindStream})
	require.Equal(t, "generation_lost", answer.ErrorKind)
	require.False(t, answer.IsNotRun())

	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"type":"not_run","message":"later"}}`)
	}))
	defer refusing.Close()
	answer = sendOne(t, testOptions(refusing), Request{Kind: KindWhole})
	require.True(t, answer.IsNotRun())
	late := Answer{Outcome: OutcomeError, ErrorKind: "deadline_exceeded", Message: "no room; the request did not run"}
	require.True(t, late.IsNotRun())
	require.Len(t, answer.Tries, 1)
}

func TestRetriesWithSameKeyUntilDeadline(t *testing.T) {
	var calls atomic.Int32
	flaky := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		require.Equal(t, "key-1", r.Header.Get(headerKey))
		require.Equal(t, "false", r.Header.Get(headerIdempotent))
		if calls.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	defer flaky.Close()
	answer := sendOne(t, testOptions(flaky), Request{Kind: KindPlain, Service: "s", NonIdempotent: true, Tokens: 3})
	require.Equal(t, "tag=1-1 len=3 ", answer.Text)
	require.Len(t, answer.Tries, 2)

	dead := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dead.Close()
	options := testOptions(dead)
	options.Deadline = 100 * time.Millisecond
	answer = sendOne(t, options, Request{Kind: KindWhole})
	require.Equal(t, OutcomeNone, answer.Outcome)
}

func TestRunFollowsThePlan(t *testing.T) {
	entry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, pathServices) {
			_, _ = io.Copy(w, r.Body)
			return
		}
		var body generationBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		if body.Stream {
			stubStream(stubTokens, nil)(w, r)
			return
		}
		fmt.Fprint(w, `{"choices":[{"text":"t1 "}]}`)
	}))
	defer entry.Close()
	options := testOptions(entry)
	options.Rate, options.Duration, options.Seed = 1000, 100*time.Millisecond, 7
	options.Mix = Mix{Stream: 1, Whole: 1, Plain: 1}
	options.Services, options.MedianTokens, options.MaxTokens = []string{"s"}, 10, 100
	options.NonIdempotentShare, options.DuplicateShare, options.MaxStagger = 0.5, 0.5, 20*time.Millisecond
	options.DisconnectShare = 0.3

	records := Run(t.Context(), options)
	planned := planRequests(options)
	require.Len(t, records, len(planned))
	for i, record := range records {
		require.Equal(t, planned[i], record.Request)
	}
	summary := Summarize(records)
	require.Greater(t, summary.Requests, len(records), "some requests are sent twice")
	require.Equal(t, summary.Requests, summary.Answered+summary.Disconnected)
	require.Positive(t, summary.Disconnected)
	require.Positive(t, summary.FirstToken.P99)
	require.Positive(t, summary.Plain.P50)
}

func TestBalancerFollowsReadiness(t *testing.T) {
	var down atomic.Bool
	check := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer check.Close()
	b := newBalancer(http.DefaultClient, []string{"a", "b"}, []string{check.URL, check.URL})
	require.NotEqual(t, b.choose(""), b.choose(""))
	require.Equal(t, "b", b.choose("a"))
	require.True(t, b.isReady(context.Background(), check.URL))
	down.Store(true)
	require.False(t, b.isReady(context.Background(), check.URL))
	b.ready = []bool{false, true}
	require.Equal(t, "b", b.choose(""))
	require.Equal(t, "b", b.choose("b"), "b is the only ready entry VM")
}
