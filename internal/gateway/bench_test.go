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
	// benchTokens is the number of tokens of each stream.
	benchTokens = 200
	// benchGap is the time between two tokens.
	benchGap = 2 * time.Millisecond
	// benchStreams is the number of concurrent streams.
	benchStreams = 50
	maxMicros    = int64(10 * time.Second / time.Microsecond)
)

// newPacedEngine serves streams whose tokens are sent at fixed times after the request, so that a direct stream and
// one through the gateway differ only by the gateway.
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

// streamLatencies records the times to the first token and the transfer times of tokens, in microseconds.
type streamLatencies struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	token *hdrhistogram.Histogram
}

// measureStream reads one stream and records its latencies. Each token's text is the time at which the engine sent it.
func measureStream(times *streamLatencies, url, body string) error {
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
		timestamp, _, _ := bytes.Cut(after, []byte(" "))
		var nanos int64
		if !found || json.Unmarshal(timestamp, &nanos) != nil {
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

func (s *streamLatencies) record(first bool, sinceStart, sinceSent time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first {
		_ = s.first.RecordValue(sinceStart.Microseconds())
	}
	_ = s.token.RecordValue(sinceSent.Microseconds())
}

// benchClient reuses the connections of all streams, so that connection set-up is not measured.
var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * benchStreams}}

// warmUp opens the connections by running as many concurrent streams as the benchmark.
func warmUp(b *testing.B, url, body string) {
	warmUpTimes := &streamLatencies{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
	var running sync.WaitGroup
	for range benchStreams {
		running.Go(func() {
			if err := measureStream(warmUpTimes, url, body); err != nil {
				b.Error(err)
			}
		})
	}
	running.Wait()
}

// benchmarkStreams runs b.N streams, benchStreams at a time.
func benchmarkStreams(b *testing.B, url, body string) {
	warmUp(b, url, body)
	times := &streamLatencies{first: hdrhistogram.New(1, maxMicros, 3), token: hdrhistogram.New(1, maxMicros, 3)}
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

// BenchmarkStreamDirect reads from the paced engine without a gateway. Client and engine share the process in both
// benchmarks, so the difference to BenchmarkStreamThroughGateway is the cost of the gateway.
func BenchmarkStreamDirect(b *testing.B) {
	server := newPacedEngine(b)
	benchmarkStreams(b, server.URL, `{"attempt_id":"a"}`)
}

func BenchmarkStreamThroughGateway(b *testing.B) {
	h := newHarness(b)
	server := newPacedEngine(b)
	h.placer["godwit-lm"] = []target.Address{{Name: "paced", HostPort: server.Listener.Addr().String()}}
	benchmarkStreams(b, h.entryVMs[0].URL, `{"model":"sheet","prompt":"x","stream":true}`)
}

// newInstantEngine responds to every generation immediately with one token.
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

// benchmarkFirstToken sends requests one after the other and reports the time to the end of each response, which has
// one token.
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

// BenchmarkFirstTokenDirect sends the requests to the engine without a gateway.
func BenchmarkFirstTokenDirect(b *testing.B) {
	benchmarkFirstToken(b, newInstantEngine(b).URL, `{"attempt_id":"a"}`)
}

func BenchmarkFirstTokenThroughGateway(b *testing.B) {
	h := newHarness(b)
	server := newInstantEngine(b)
	h.placer["godwit-lm"] = []target.Address{{Name: "instant", HostPort: server.Listener.Addr().String()}}
	benchmarkFirstToken(b, h.entryVMs[0].URL, `{"model":"sheet","prompt":"x","stream":true}`)
}

// BenchmarkWholeRequests measures the throughput of requests with short responses that are not streamed.
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
