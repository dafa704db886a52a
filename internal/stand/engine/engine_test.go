package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/platform"
	"godwitcart/internal/wire/enginewire"
)

// startEngine returns an engine with model "m" loaded that runs until the test ends.
func startEngine(t *testing.T, options Options) *Engine {
	options.Name = "engine-1"
	options.Text = TextAttempt
	options.Loaded = []enginewire.ModelVariant{{Model: "m", Version: "1"}}
	engine := New(options)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go engine.Run(ctx)
	return engine
}

// sendRequest sends one request to the handler and returns the whole response, also that of an aborted handler.
func sendRequest(ctx context.Context, handler http.Handler, method, path string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(string(data)))
	recorder := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler
		handler.ServeHTTP(recorder, request)
	}()
	return recorder
}

func newRequest(id string, priority, tokens int) enginewire.GenerationRequest {
	return enginewire.GenerationRequest{
		AttemptID: id, RequestID: "request-" + id, Model: "m", Priority: priority,
		Prompt: "write len=" + strconv.Itoa(tokens),
	}
}

func generate(ctx context.Context, engine *Engine, request enginewire.GenerationRequest) []enginewire.TokenEvent {
	return decodeEvents(sendRequest(ctx, engine.Handler(), http.MethodPost, enginewire.PathCompletions, request))
}

func decodeEvents(recorder *httptest.ResponseRecorder) []enginewire.TokenEvent {
	var events []enginewire.TokenEvent
	scanner := bufio.NewScanner(recorder.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			var event enginewire.TokenEvent
			_ = json.Unmarshal([]byte(data), &event)
			events = append(events, event)
		}
	}
	return events
}

// requireCompleteStream requires the attempt's tokens from index from on, each once and in order, and a normal end.
func requireCompleteStream(t *testing.T, events []enginewire.TokenEvent, id string, from, tokens int) {
	t.Helper()
	next := from
	for _, event := range events {
		require.Equal(t, id, event.AttemptID)
		require.Equal(t, next, event.Index)
		if event.Text != "" {
			require.Equal(t, id+":"+strconv.Itoa(next)+" ", event.Text)
			next++
		}
	}
	require.Equal(t, tokens, next)
	require.Equal(t, enginewire.FinishStop, events[len(events)-1].FinishReason)
}

func TestStreamResumesWithoutGapsOrRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{})
		reader, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		first := generate(reader, engine, newRequest("a", 0, 100))
		require.Less(t, len(first), 100, "the reader left before the generation ended")

		path := enginewire.PathAttempts + "a?from=" + strconv.Itoa(len(first))
		rest := sendRequest(t.Context(), engine.Handler(), http.MethodGet, path, nil)
		requireCompleteStream(t, append(first, decodeEvents(rest)...), "a", 0, 100)

		resumed := sendRequest(t.Context(), engine.Handler(), http.MethodGet, enginewire.PathAttempts+"a?from=98", nil)
		requireCompleteStream(t, decodeEvents(resumed), "a", 98, 100)
		time.Sleep(DefaultRetention + time.Second)
		expired := sendRequest(t.Context(), engine.Handler(), http.MethodGet, enginewire.PathAttempts+"a?from=98", nil)
		require.Equal(t, http.StatusNotFound, expired.Code, "the retention has expired")
	})
}

func TestMemoryShortagePreemptsLowestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{MemoryTokens: 150})
		streams := make([][]enginewire.TokenEvent, 3)
		var group sync.WaitGroup
		for i := range streams {
			group.Go(func() {
				streams[i] = generate(t.Context(), engine, newRequest("a"+strconv.Itoa(i), i, 80))
			})
		}
		group.Wait()
		for i, events := range streams {
			requireCompleteStream(t, events, "a"+strconv.Itoa(i), 0, 80)
		}
		activity := engine.Activity()
		for _, attempt := range activity.Attempts {
			require.Equal(t, attempt.Priority == 2, attempt.Preemptions == 0, "only the highest priority is never preempted")
		}
		require.True(t, hasPreempted(streams[0]))
		big := generate(t.Context(), engine, newRequest("big", 0, 500))
		require.Equal(t, enginewire.FinishLength, big[len(big)-1].FinishReason, "one generation outgrew the whole memory")
	})
}

func hasPreempted(events []enginewire.TokenEvent) bool {
	for _, event := range events {
		if event.Preempted {
			return true
		}
	}
	return false
}

func TestHigherPriorityPreemptsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{MaxBatch: 1})
		var low []enginewire.TokenEvent
		var group sync.WaitGroup
		group.Go(func() { low = generate(t.Context(), engine, newRequest("low", 0, 50)) })
		time.Sleep(50 * time.Millisecond)
		requireCompleteStream(t, generate(t.Context(), engine, newRequest("high", 9, 5)), "high", 0, 5)
		group.Wait()
		requireCompleteStream(t, low, "low", 0, 50)
		require.True(t, hasPreempted(low))
	})
}

func TestOrphanTimeoutAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{OrphanTimeout: time.Second})
		reader, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		generate(reader, engine, newRequest("orphan", 0, 5000))
		time.AfterFunc(50*time.Millisecond, func() {
			sendRequest(t.Context(), engine.Handler(), http.MethodDelete, enginewire.PathAttempts+"canceled", nil)
		})
		events := generate(t.Context(), engine, newRequest("canceled", 0, 5000))
		require.Equal(t, enginewire.FinishCanceled, events[len(events)-1].FinishReason)
		time.Sleep(2 * time.Second)
		require.Equal(t, enginewire.FinishCanceled, engine.Activity().Attempts[0].Finished)
	})
}

func TestRefusals(t *testing.T) {
	cases := map[enginewire.RefusalKind]func(*Engine) enginewire.GenerationRequest{
		enginewire.RefusedDuplicateAttempt: func(e *Engine) enginewire.GenerationRequest {
			generate(context.Background(), e, newRequest("x", 0, 1))
			return newRequest("x", 0, 1)
		},
		enginewire.RefusedNotLoaded: func(*Engine) enginewire.GenerationRequest {
			return enginewire.GenerationRequest{AttemptID: "x", Model: "other"}
		},
		enginewire.RefusedLeaving: func(e *Engine) enginewire.GenerationRequest {
			e.Leave()
			return newRequest("x", 0, 1)
		},
		enginewire.RefusedBadRequest: func(*Engine) enginewire.GenerationRequest {
			return enginewire.GenerationRequest{AttemptID: "x", Model: "m", Prompt: strings.Repeat("p", 8*DefaultMemoryTokens)}
		},
		enginewire.RefusedQueueFull: func(e *Engine) enginewire.GenerationRequest {
			for _, id := range []string{"runs", "waits"} {
				_, refused := e.submit(newRequest(id, 0, 99), time.Now())
				require.Empty(t, refused)
				synctest.Wait()
			}
			return newRequest("x", 0, 1)
		},
		enginewire.RefusedWeightStore: func(e *Engine) enginewire.GenerationRequest {
			e.SetFaults(Faults{Refuse: enginewire.RefusedWeightStore})
			return newRequest("x", 0, 1)
		},
	}
	for kind, prepare := range cases {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := startEngine(t, Options{MaxBatch: 1, MaxWaiting: 1})
				request := prepare(engine)
				answer := sendRequest(t.Context(), engine.Handler(), http.MethodPost, enginewire.PathCompletions, request)
				require.Equal(t, kind.HTTPStatus(), answer.Code)
				require.Equal(t, string(kind), answer.Header().Get(enginewire.HeaderRefused))
				attempts := engine.Activity().Attempts
				require.Equal(t, kind, attempts[len(attempts)-1].Refused)
			})
		})
	}
}

func TestStreamFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{})
		engine.SetFaults(Faults{BreakStreams: 1, LoseAnswers: 1})
		require.Empty(t, generate(t.Context(), engine, newRequest("lost", 0, 5)))
		require.Len(t, generate(t.Context(), engine, newRequest("broken", 0, 5)), 1)
		engine.SetFaults(Faults{StallStreams: true})
		started := time.Now()
		time.AfterFunc(time.Minute, func() { engine.SetFaults(Faults{}) })
		requireCompleteStream(t, generate(t.Context(), engine, newRequest("stalled", 0, 5)), "stalled", 0, 5)
		require.GreaterOrEqual(t, time.Since(started), time.Minute)
		for _, attempt := range engine.Activity().Attempts {
			require.Equal(t, 5, attempt.Tokens, "the faults affect the connection, not the generation")
		}
	})
}

func TestDrainFinishesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var journal bytes.Buffer
		engine := startEngine(t, Options{Journal: &journal})
		var drained sync.WaitGroup
		drained.Go(func() {
			time.Sleep(20 * time.Millisecond)
			engine.Drain()
		})
		requireCompleteStream(t, generate(t.Context(), engine, newRequest("a", 0, 100)), "a", 0, 100)
		drained.Wait()
		require.True(t, engine.Load().Leaving)
		generate(t.Context(), engine, newRequest("late", 0, 1))
		for _, event := range []string{"taken", "started", "leaving", "refused"} {
			line, err := journal.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, `"event":"`+event+`"`)
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := startEngine(t, Options{ReportLag: time.Second})
		time.Sleep(2 * time.Second)
		_, refused := engine.submit(newRequest("a", 0, 1000), time.Now())
		require.Empty(t, refused)
		time.Sleep(900 * time.Millisecond)
		require.Zero(t, engine.Load().Running)
		time.Sleep(200 * time.Millisecond)
		require.Equal(t, 1, engine.Load().Running)
	})
}

func TestOrdersAndFencing(t *testing.T) {
	load := func(id string, fencing uint64) enginewire.Order {
		return enginewire.Order{
			ID: id, Fencing: fencing, Kind: enginewire.OrderLoad, ModelVariant: enginewire.ModelVariant{Model: "m", Version: "2"},
		}
	}
	send := func(engine *Engine, order enginewire.Order) int {
		return sendRequest(context.Background(), engine.Handler(), http.MethodPost, enginewire.PathOrders, order).Code
	}
	for _, checksFencing := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			engine := startEngine(t, Options{ChecksFencing: checksFencing})
			require.Equal(t, http.StatusOK, send(engine, load("first", 7)))
			require.Len(t, engine.Load().Loaded, 1, "the load has not completed yet")
			time.Sleep(2 * DefaultLoadTime)
			require.Len(t, engine.Load().Loaded, 2)
			require.Equal(t, http.StatusOK, send(engine, load("first", 7)), "an order with a known id is not executed again")
			stale := send(engine, load("stale", 6))
			if checksFencing {
				require.Equal(t, http.StatusConflict, stale)
				require.EqualValues(t, 7, engine.Load().Fencing)
				return
			}
			require.Equal(t, http.StatusOK, stale)
			require.Zero(t, engine.Load().Fencing)
		})
	}
}

func TestWeightStoreRateLimitRefusesLoad(t *testing.T) {
	store := httptest.NewServer(platform.New(platform.Options{WeightsPerSecond: 1e-9}).Handler())
	defer store.Close()
	engine := New(Options{WeightsURL: store.URL})
	for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		order := enginewire.Order{ID: strconv.Itoa(i), Kind: enginewire.OrderLoad, ModelVariant: enginewire.ModelVariant{Model: "m"}}
		answer := sendRequest(t.Context(), engine.Handler(), http.MethodPost, enginewire.PathOrders, order)
		require.Equal(t, want, answer.Code)
	}
}

func TestPrefixCache(t *testing.T) {
	now := time.Unix(0, 0)
	block := func(letter string) string { return strings.Repeat(letter, enginewire.PrefixBlockBytes) }
	cache := newPrefixCache(3, 0, 1)
	require.Zero(t, cache.access(block("a")+block("b"), now))
	require.Equal(t, 2*enginewire.PrefixBlockBytes, cache.access(block("a")+block("b")+"tail", now))
	require.Equal(t, enginewire.PrefixBlockBytes, cache.access(block("a")+block("c"), now))
	cache.access(block("d"), now)
	require.Equal(t, enginewire.PrefixBlockBytes, cache.access(block("a")+block("b"), now), "block b was the least recently used one and has been evicted")
	events := cache.eventsAfter(3, now)
	require.True(t, events[1].Evicted)
	require.Empty(t, cache.eventsAfter(0, now.Add(-time.Second)), "events are delayed")

	lossy := newPrefixCache(1, 0.5, 1)
	for _, letter := range []string{"a", "b", "c", "d", "e", "f"} {
		lossy.access(block(letter), now)
	}
	require.Less(t, len(lossy.eventsAfter(0, now)), int(lossy.lastSequence), "dropped events leave gaps in the sequence")
}

func TestOutputLengthsAreHeavyTailed(t *testing.T) {
	options := Options{}.withDefaults()
	longest, total := 0, 0
	for i := range 2000 {
		length, _ := outputLength(options, enginewire.GenerationRequest{Prompt: strconv.Itoa(i)})
		repeated, _ := outputLength(options, enginewire.GenerationRequest{Prompt: strconv.Itoa(i)})
		require.Equal(t, length, repeated)
		longest, total = max(longest, length), total+length
	}
	require.Greater(t, longest, 10*total/2000)
	length, reason := outputLength(options, enginewire.GenerationRequest{Prompt: "len=30", MaxTokens: 7})
	require.Equal(t, 7, length)
	require.Equal(t, enginewire.FinishLength, reason)
}
