package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

const (
	// benchTokens is the number of tokens of each stream of a benchmark.
	benchTokens = 200
	// benchGap is the time between two tokens.
	benchGap = 2 * time.Millisecond
	// benchStreams is the number of streams at the same time.
	benchStreams = 50
	maxMicros    = int64(10 * time.Second / time.Microsecond)
)

// newPacedEngine serves streams whose token n leaves at the same time after the request whoever
// asks, so that the direct and the relayed stream differ only by the gateway.
func newPacedEngine(b *testing.B) *httptest.Server {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var generation enginewire.GenerationRequest
		_ = json.NewDecoder(r.Body).Decode(&generation)
		control := http.NewResponseController(w)
		ticker := time.NewTicker(benchGap)
		defer ticker.Stop()
		for index := range benchTokens {
			fmt.Fprintf(w, "data: {\"attempt_id\":%q,\"index\":%d,\"text\":\"%d \"}\n\n", generation.AttemptID, index, time.Now().UnixNano())
			_ = control.Flush()
			<-ticker.C
		}
		fmt.Fprintf(w, "data: {\"attempt_id\":%q,\"index\":%d,\"finish_reason\":\"stop\"}\n\n", generation.AttemptID, benchTokens)
	}))
	b.Cleanup(server.Close)
	return server
}

// streamTimes are the times of the tokens of many streams, in microseconds.
type streamTimes struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	token *hdrhistogram.Histogram
}

// measureStream reads one stream. Each token's text is when it left the engine.
func measureStream(times *streamTimes, url, body string) error {
	outbound, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	outbound.Header.Set("Authorization", "Bearer "+acmeKey)
	start := time.Now()
	response, err := benchClient.Do(outbound)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	tokens := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		_, after, found := bytes.Cut(lines.Bytes(), []byte(`"text":"`))
		sent, _, _ := bytes.Cut(after, []byte(" "))
		var nanos int64
		if !found || json.Unmarshal(sent, &nanos) != nil {
			continue
		}
		times.record(tokens == 0, time.Since(start), time.Since(time.Unix(0, nanos)))
		tokens++
	}
	if tokens != benchTokens {
		return fmt.Errorf("received %d tokens of %d", tokens, benchTokens)
	}
	return lines.Err()
}

func (s *streamTimes) record(first bool, sinceStart, sinceSent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		_ = s.first.RecordValue(sinceStart.Microseconds())
	}
	_ = s.token.RecordValue(sinceSent.Microseconds())
}

// benchClient keeps the connections of all streams, so that their set-up is not measured.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchStreams}}

// warmUp runs as many streams at once as the benchmark does.
func warmUp(b *testing.B, url, body string) {
	ignored := &streamTimes{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
	var running sync.WaitGroup
	for range benchStreams {
		running.Go(func() {
			if err := measureStream(ignored, url, body); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// benchmarkStreams runs b.N streams, benchStreams at a time.
func benchmarkStreams(b *testing.B, url, body string) {
	warmUp(b, url, body)
	times := &streamTimes{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	b.SetParallelism(1 + benchStreams/runtime.GOMAXPROCS(0))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := measureStream(times, url, body); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(times.first.ValueAtQuantile(50)), "first-p50-µs")
	b.ReportMetric(float64(times.first.ValueAtQuantile(99)), "first-p99-µs")
	b.ReportMetric(float64(times.token.ValueAtQuantile(50)), "token-p50-µs")
	b.ReportMetric(float64(times.token.ValueAtQuantile(99)), "token-p99-µs")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N*benchTokens), "allocs/token")
}

// BenchmarkStreamDirect reads from the paced engine without a gateway. Its client and engine
// share the process, so their cost is in both figures and the difference is the gateway's.
func BenchmarkStreamDirect(b *testing.B) {
	server := newPacedEngine(b)
	benchmarkStreams(b, server.URL, `{"attempt_id":"a"}`)
}

// BenchmarkStreamThroughGateway reads the same streams through one gateway.
func BenchmarkStreamThroughGateway(b *testing.B) {
	h := newHarness(b)
	server := newPacedEngine(b)
	h.placer["godwit-lm"] = []target.Address{{Name: "paced", HostPort: server.Listener.Addr().String()}}
	benchmarkStreams(b, h.entries[0].URL, `{"model":"sheet","prompt":"x","stream":true}`)
}

// newInstantEngine answers every generation with one token at once.
func newInstantEngine(b *testing.B) *httptest.Server {
	b.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var generation enginewire.GenerationRequest
		_ = json.NewDecoder(r.Body).Decode(&generation)
		fmt.Fprintf(w, "data: {\"attempt_id\":%q,\"index\":0,\"text\":\"x \"}\n\n", generation.AttemptID)
		fmt.Fprintf(w, "data: {\"attempt_id\":%q,\"index\":1,\"finish_reason\":\"stop\"}\n\n", generation.AttemptID)
	}))
	b.Cleanup(server.Close)
	return server
}

// benchmarkFirstToken sends one request after the other and reports the time to the end of its one token.
func benchmarkFirstToken(b *testing.B, url, body string) {
	times := hdrhistogram.New(1, maxMicros, 3)
	for b.Loop() {
		start := time.Now()
		outbound, err := http.NewRequest(http.MethodPost, url+"/v1/completions", strings.NewReader(body))
		require.NoError(b, err)
		outbound.Header.Set("Authorization", "Bearer "+acmeKey)
		response, err := benchClient.Do(outbound)
		require.NoError(b, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(b, err)
		response.Body.Close()
		_ = times.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(times.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(times.ValueAtQuantile(99)), "p99-µs")
}

// BenchmarkFirstTokenDirect asks the engine itself.
func BenchmarkFirstTokenDirect(b *testing.B) {
	benchmarkFirstToken(b, newInstantEngine(b).URL, `{"attempt_id":"a"}`)
}

// BenchmarkFirstTokenThroughGateway asks through one gateway.
func BenchmarkFirstTokenThroughGateway(b *testing.B) {
	h := newHarness(b)
	server := newInstantEngine(b)
	h.placer["godwit-lm"] = []target.Address{{Name: "instant", HostPort: server.Listener.Addr().String()}}
	benchmarkFirstToken(b, h.entries[0].URL, `{"model":"sheet","prompt":"x","stream":true}`)
}

// BenchmarkWholeRequests counts the requests a second of a short whole answer.
func BenchmarkWholeRequests(b *testing.B) {
	h := newHarness(b)
	server := newInstantEngine(b)
	h.placer["godwit-lm"] = []target.Address{{Name: "instant", HostPort: server.Listener.Addr().String()}}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			response := h.do(call{path: "/v1/completions", body: `{"model":"sheet","prompt":"x"}`})
			require.Equal(b, http.StatusOK, response.StatusCode)
			response.Body.Close()
		}
	})
}
