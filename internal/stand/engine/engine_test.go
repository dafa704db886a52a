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

// start returns an engine that has model "m" loaded and generates until the test ends.
func start(t *testing.T, options Options) *Engine {
	options.Name = "engine-1"
	options.Text = TextAttempt
	options.Loaded = []enginewire.Loaded{{Model: "m", Version: "1"}}
	engine := New(options)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go engine.Run(ctx)
	return engine
}

// call sends one request to the handler and returns what was answered until the end.
func call(ctx context.Context, handler http.Handler, method, path string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(string(data)))
	recorder := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // http.ErrAbortHandler
		handler.ServeHTTP(recorder, request)
	}()
	return recorder
}

func generation(id string, priority, tokens int) enginewire.GenerationRequest {
	return enginewire.GenerationRequest{
		AttemptID: id, RequestID: "request-" + id, Model: "m", Priority: priority,
		Prompt: "write len=" + strconv.Itoa(tokens),
	}
}

func generate(ctx context.Context, engine *Engine, request enginewire.GenerationRequest) []enginewire.TokenEvent {
	return events(call(ctx, engine.Handler(), http.MethodPost, enginewire.PathCompletions, request))
}

func events(recorder *httptest.ResponseRecorder) []enginewire.TokenEvent {
	var list []enginewire.TokenEvent
	scanner := bufio.NewScanner(recorder.Body)
	for scanner.Scan() {
		if data, ok := strings.CutPrefix(scanner.Text(), "data: "); ok {
			var event enginewire.TokenEvent
			_ = json.Unmarshal([]byte(data), &event)
			list = append(list, event)
		}
	}
	return list
}

// requireWhole checks that the events are every token of the attempt from an index on, once and in order.
func requireWhole(t *testing.T, list []enginewire.TokenEvent, id string, from, tokens int) {
	t.Helper()
	next := from
	for _, event := range list {
		require.Equal(t, id, event.AttemptID)
		require.Equal(t, next, event.Index)
		if event.Text != "" {
			require.Equal(t, id+":"+strconv.Itoa(next)+" ", event.Text)
			next++
		}
	}
	require.Equal(t, tokens, next)
	require.Equal(t, enginewire.FinishStop, list[len(list)-1].FinishReason)
}

func TestGenerationIsWholeAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{})
		reader, leave := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer leave()
		first := generate(reader, engine, generation("a", 0, 100))
		require.Less(t, len(first), 100, "the reader left in mid-generation")

		path := enginewire.PathAttempts + "a?from=" + strconv.Itoa(len(first))
		rest := call(t.Context(), engine.Handler(), http.MethodGet, path, nil)
		requireWhole(t, append(first, events(rest)...), "a", 0, 100)

		again := call(t.Context(), engine.Handler(), http.MethodGet, enginewire.PathAttempts+"a?from=98", nil)
		requireWhole(t, events(again), "a", 98, 100)
		time.Sleep(DefaultRetention + time.Second)
		late := call(t.Context(), engine.Handler(), http.MethodGet, enginewire.PathAttempts+"a?from=98", nil)
		require.Equal(t, http.StatusNotFound, late.Code, "the retention is over")
	})
}

func TestMemoryShortagePreemptsLowestPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{MemoryTokens: 150})
		streams := make([][]enginewire.TokenEvent, 3)
		var group sync.WaitGroup
		for i := range streams {
			group.Go(func() {
				streams[i] = generate(t.Context(), engine, generation("a"+strconv.Itoa(i), i, 80))
			})
		}
		group.Wait()
		for i, list := range streams {
			requireWhole(t, list, "a"+strconv.Itoa(i), 0, 80)
		}
		ran := engine.Ran()
		for _, attempt := range ran.Attempts {
			require.Equal(t, attempt.Priority == 2, attempt.Preemptions == 0, "only the highest priority is never preempted")
		}
		require.True(t, hasPreempted(streams[0]))
		big := generate(t.Context(), engine, generation("big", 0, 500))
		require.Equal(t, enginewire.FinishLength, big[len(big)-1].FinishReason, "it outgrew the memory on its own")
	})
}

func hasPreempted(list []enginewire.TokenEvent) bool {
	for _, event := range list {
		if event.Preempted {
			return true
		}
	}
	return false
}

func TestHigherPriorityDisplacesRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{MaxBatch: 1})
		var low []enginewire.TokenEvent
		var group sync.WaitGroup
		group.Go(func() { low = generate(t.Context(), engine, generation("low", 0, 50)) })
		time.Sleep(50 * time.Millisecond)
		requireWhole(t, generate(t.Context(), engine, generation("high", 9, 5)), "high", 0, 5)
		group.Wait()
		requireWhole(t, low, "low", 0, 50)
		require.True(t, hasPreempted(low))
	})
}

func TestOrphanAndCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{OrphanTimeout: time.Second})
		reader, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer leave()
		generate(reader, engine, generation("orphan", 0, 5000))
		time.AfterFunc(50*time.Millisecond, func() {
			call(t.Context(), engine.Handler(), http.MethodDelete, enginewire.PathAttempts+"canceled", nil)
		})
		list := generate(t.Context(), engine, generation("canceled", 0, 5000))
		require.Equal(t, enginewire.FinishCanceled, list[len(list)-1].FinishReason)
		time.Sleep(2 * time.Second)
		require.Equal(t, enginewire.FinishCanceled, engine.Ran().Attempts[0].Finished)
	})
}

func TestRefusals(t *testing.T) {
	cases := map[enginewire.RefusalKind]func(*Engine) enginewire.GenerationRequest{
		enginewire.RefusedDuplicateAttempt: func(e *Engine) enginewire.GenerationRequest {
			generate(context.Background(), e, generation("x", 0, 1))
			return generation("x", 0, 1)
		},
		enginewire.RefusedNotLoaded: func(*Engine) enginewire.GenerationRequest {
			return enginewire.GenerationRequest{AttemptID: "x", Model: "other"}
		},
		enginewire.RefusedLeaving: func(e *Engine) enginewire.GenerationRequest {
			e.Leave()
			return generation("x", 0, 1)
		},
		enginewire.RefusedBadRequest: func(*Engine) enginewire.GenerationRequest {
			return enginewire.GenerationRequest{AttemptID: "x", Model: "m", Prompt: strings.Repeat("p", 8*DefaultMemoryTokens)}
		},
		enginewire.RefusedQueueFull: func(e *Engine) enginewire.GenerationRequest {
			for _, id := range []string{"runs", "waits"} {
				_, refused := e.submit(generation(id, 0, 99), time.Now())
				require.Empty(t, refused)
				synctest.Wait()
			}
			return generation("x", 0, 1)
		},
		enginewire.RefusedWeightStore: func(e *Engine) enginewire.GenerationRequest {
			e.SetFaults(Faults{Refuse: enginewire.RefusedWeightStore})
			return generation("x", 0, 1)
		},
	}
	for kind, prepare := range cases {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := start(t, Options{MaxBatch: 1, MaxWaiting: 1})
				request := prepare(engine)
				answer := call(t.Context(), engine.Handler(), http.MethodPost, enginewire.PathCompletions, request)
				require.Equal(t, kind.HTTPStatus(), answer.Code)
				require.Equal(t, string(kind), answer.Header().Get(enginewire.HeaderRefused))
				attempts := engine.Ran().Attempts
				require.Equal(t, kind, attempts[len(attempts)-1].Refused)
			})
		})
	}
}

func TestStreamFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{})
		engine.SetFaults(Faults{BreakStreams: 1, LoseAnswers: 1})
		require.Empty(t, generate(t.Context(), engine, generation("lost", 0, 5)))
		require.Len(t, generate(t.Context(), engine, generation("broken", 0, 5)), 1)
		engine.SetFaults(Faults{StallStreams: true})
		started := time.Now()
		time.AfterFunc(time.Minute, func() { engine.SetFaults(Faults{}) })
		requireWhole(t, generate(t.Context(), engine, generation("stalled", 0, 5)), "stalled", 0, 5)
		require.GreaterOrEqual(t, time.Since(started), time.Minute)
		for _, attempt := range engine.Ran().Attempts {
			require.Equal(t, 5, attempt.Tokens, "the faults are in the link, not in the generation")
		}
	})
}

func TestDrainFinishesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		engine := start(t, Options{Journal: &out})
		var drained sync.WaitGroup
		drained.Go(func() {
			time.Sleep(20 * time.Millisecond)
			engine.Drain()
		})
		requireWhole(t, generate(t.Context(), engine, generation("a", 0, 100)), "a", 0, 100)
		drained.Wait()
		require.True(t, engine.Load().Leaving)
		generate(t.Context(), engine, generation("late", 0, 1))
		for _, event := range []string{"taken", "started", "leaving", "refused"} {
			line, err := out.ReadString('\n')
			require.NoError(t, err)
			require.Contains(t, line, `"event":"`+event+`"`)
		}
	})
}

func TestLoadReportLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := start(t, Options{ReportLag: time.Second})
		time.Sleep(2 * time.Second)
		_, refused := engine.submit(generation("a", 0, 1000), time.Now())
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
			ID: id, Fencing: fencing, Kind: enginewire.OrderLoad, Loaded: enginewire.Loaded{Model: "m", Version: "2"},
		}
	}
	send := func(engine *Engine, order enginewire.Order) int {
		return call(context.Background(), engine.Handler(), http.MethodPost, enginewire.PathOrders, order).Code
	}
	for _, checks := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			engine := start(t, Options{ChecksFencing: checks})
			require.Equal(t, http.StatusOK, send(engine, load("first", 7)))
			require.Len(t, engine.Load().Loaded, 1, "the load takes its time")
			time.Sleep(2 * DefaultLoadTime)
			require.Len(t, engine.Load().Loaded, 2)
			require.Equal(t, http.StatusOK, send(engine, load("first", 7)), "orders are idempotent by id")
			stale := send(engine, load("stale", 6))
			if checks {
				require.Equal(t, http.StatusConflict, stale)
				require.EqualValues(t, 7, engine.Load().Fencing)
				return
			}
			require.Equal(t, http.StatusOK, stale)
			require.Zero(t, engine.Load().Fencing)
		})
	}
}

func TestLoadsObeyTheWeightStore(t *testing.T) {
	store := httptest.NewServer(platform.New(platform.Options{WeightsPerSecond: 1e-9}).Handler())
	defer store.Close()
	engine := New(Options{Weights: store.URL})
	for i, want := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		order := enginewire.Order{ID: strconv.Itoa(i), Kind: enginewire.OrderLoad, Loaded: enginewire.Loaded{Model: "m"}}
		answer := call(t.Context(), engine.Handler(), http.MethodPost, enginewire.PathOrders, order)
		require.Equal(t, want, answer.Code)
	}
}

func TestPrefixCache(t *testing.T) {
	now := time.Unix(0, 0)
	block := func(letter string) string { return strings.Repeat(letter, enginewire.PrefixBlockBytes) }
	cache := newPrefixCache(3, 0, 1)
	require.Zero(t, cache.use(block("a")+block("b"), now))
	require.Equal(t, 2*enginewire.PrefixBlockBytes, cache.use(block("a")+block("b")+"tail", now))
	require.Equal(t, enginewire.PrefixBlockBytes, cache.use(block("a")+block("c"), now))
	cache.use(block("d"), now)
	require.Equal(t, enginewire.PrefixBlockBytes, cache.use(block("a")+block("b"), now), "b was used least recently")
	list := cache.eventsAfter(3, now)
	require.True(t, list[1].Evicted)
	require.Empty(t, cache.eventsAfter(0, now.Add(-time.Second)), "events appear late")

	lossy := newPrefixCache(1, 0.5, 1)
	for _, letter := range []string{"a", "b", "c", "d", "e", "f"} {
		lossy.use(block(letter), now)
	}
	require.Less(t, len(lossy.eventsAfter(0, now)), int(lossy.sequence), "losses leave gaps")
}

func TestLengthsHaveAHeavyTail(t *testing.T) {
	options := Options{}.withDefaults()
	longest, total := 0, 0
	for i := range 2000 {
		length, _ := outputLength(options, enginewire.GenerationRequest{Prompt: strconv.Itoa(i)})
		again, _ := outputLength(options, enginewire.GenerationRequest{Prompt: strconv.Itoa(i)})
		require.Equal(t, length, again)
		longest, total = max(longest, length), total+length
	}
	require.Greater(t, longest, 10*total/2000)
	length, reason := outputLength(options, enginewire.GenerationRequest{Prompt: "len=30", MaxTokens: 7})
	require.Equal(t, 7, length)
	require.Equal(t, enginewire.FinishLength, reason)
}
