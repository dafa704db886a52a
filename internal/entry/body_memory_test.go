package entry_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

// TestBodiesBeyondTheMemoryAreRefused guards against a VM that runs out of memory since it holds the bodies of all requests in
// progress: a request for whose body there is no memory is refused at once, as not run, and small ones are served.
func TestBodiesBeyondTheMemoryAreRefused(t *testing.T) {
	const (
		bodyBytes = 2 << 20
		requests  = 40 // 80 MB of bodies
	)
	d := newDeployment(t)
	d.target("e1", platformtest.EngineService)
	d.target("p1", platformtest.PlainService)
	d.Store.Put("config", "main", withBodyLimit(platformtest.Configuration(3, "key-1"), 4<<20))
	v := d.start("vm-1", func(s *settings.Deployment) { s.Limits.MemoryMB = smallMemoryMB })
	content := strings.Repeat("a", bodyBytes) // of all requests, so that the callers take little memory themselves
	peak := watchHeap(t)
	statuses := make(chan int, requests)
	for i := range requests {
		request := v.generation("/letters/1", 100, 10)
		body := io.Reader(strings.NewReader(content))
		request.ContentLength = bodyBytes
		if i%2 == 0 {
			body, request.ContentLength = io.MultiReader(body), -1 // in chunks
		}
		request.Body = io.NopCloser(body)
		go func() {
			response, err := (&http.Client{Transport: &http.Transport{}}).Do(request)
			if err != nil {
				statuses <- 0
				return
			}
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
			if err != nil {
				statuses <- 0
				return
			}
			if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
				t.Error("the refusal does not say when to come back")
			}
			statuses <- response.StatusCode
		}()
		time.Sleep(5 * time.Millisecond)
	}
	for range 20 {
		response, _ := v.do(v.request(http.MethodGet, "/open/1", ""))
		require.Equal(t, http.StatusOK, response.StatusCode, "a small request")
	}
	counts := make(map[int]int)
	for range requests {
		counts[<-statuses]++
	}
	t.Logf("answers by status: %v, peak %d MB", counts, peak()>>20)
	require.Equal(t, requests, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], "each request is served or refused")
	require.NotZero(t, counts[http.StatusOK])
	require.LessOrEqual(t, peak(), uint64(maxLiveBytes), "live bytes of the heap")
}

func withBodyLimit(configuration map[string]any, bytes int) map[string]any {
	configuration["limits"].(map[string]any)["max_body_bytes"] = bytes
	return configuration
}
