package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

const (
	// smallMemoryMB is the memory of the smallest VMs of the users' deployments.
	smallMemoryMB = 112
	// maxLiveBytes is half of it: the runtime lets the heap grow to twice its live bytes before it collects garbage.
	maxLiveBytes = smallMemoryMB << 20 / 2
)

// endless answers requests by bytes without end.
type endless func(conn net.Conn, attempt string)

func endlessParts(head, part string) endless {
	return func(conn net.Conn, attempt string) {
		fmt.Fprintf(conn, "HTTP/1.1 "+head, attempt)
		bytes := []byte(part)
		for _, err := conn.Write(bytes); err == nil; {
			_, err = conn.Write(bytes)
		}
	}
}

const (
	endlessHead = "200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: stamp\r\n"
	stream      = endlessHead + "Content-Type: text/event-stream\r\n\r\n"
	failure     = "500 Failed\r\nX-Attempt-Id: %[1]s\r\nX-Response-Stamp: stamp\r\n"
)

// TestBytesWithoutEndStayWithinTheMemory guards against a VM that runs out of memory since targets send bytes without end,
// in one place of their answers, to many requests. Requests to sound targets are served meanwhile.
func TestBytesWithoutEndStayWithinTheMemory(t *testing.T) {
	part := strings.Repeat("a", 32<<10)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	cases := map[string]struct {
		path   string
		answer endless
	}{
		"event":                {"/letters/1", endlessParts(stream+"\r\n", "data: "+part)},
		"event, resumable":     {"/checks/1", endlessParts(stream+"\r\n", "data: "+part)},
		"lines of one event":   {"/letters/1", endlessParts(stream, "data: "+part[:1000]+"\n")},
		"error body, stream":   {"/letters/1", endlessParts(failure+"\r\n", part)},
		"body":                 {"/peek/1", endlessParts(endlessHead+"\r\n", part)},
		"body in chunks":       {"/peek/1", endlessParts(endlessHead+"Transfer-Encoding: chunked\r\n\r\n", chunk)},
		"field":                {"/peek/1", endlessParts(endlessHead+"A: ", part)},
		"fields":               {"/peek/1", endlessParts(endlessHead, "A: "+part[:1000]+"\r\n")},
		"interim answers":      {"/peek/1", endlessParts("103 Early Hints\r\nA: %s\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nA: "+part[:1000]+"\r\n\r\n")},
		"comments of a stream": {"/letters/1", endlessParts(stream+"\r\n", ": "+part[:1000]+"\n\n")},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) { testEndlessBytes(t, test.path, test.answer) })
	}
}

func testEndlessBytes(t *testing.T, path string, answer endless) {
	const requests, faulty = 150, 6
	d := newDeployment(t)
	service := platformtest.EngineService
	if strings.HasPrefix(path, "/peek/") {
		service = platformtest.PlainService
	}
	for i := range faulty {
		d.target(fmt.Sprintf("faulty-%d", i), service).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Test-Sound") != "" {
				respondNotRun(w)
				return true
			}
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				answer(conn, r.Header.Get("X-Attempt-Id"))
				conn.Close()
			}
			return true
		})
	}
	sound := platformtest.PlainService
	if service == sound {
		sound = platformtest.EngineService
	}
	d.target("sound", sound)
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Limits.MemoryMB = smallMemoryMB })
	peak := watchHeap(t)
	var callers sync.WaitGroup
	for range requests {
		request := v.request(http.MethodGet, path, "")
		if service == platformtest.EngineService {
			request = v.generation(path, 10, 10)
		}
		request.Header.Set("X-Deadline-Ms", "3000")
		callers.Go(func() {
			response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		})
	}
	served := 0
	for range 20 {
		soundPath := map[string]string{platformtest.PlainService: "/open/1", platformtest.EngineService: "/checks/1"}[sound]
		request := v.request(http.MethodGet, soundPath, "")
		if sound == platformtest.EngineService {
			request = v.generation(soundPath, 3, 1)
		}
		response, err := v.client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			served++
		}
	}
	callers.Wait()
	require.Equal(t, 20, served, "requests to sound targets")
	t.Logf("peak %d MB", peak()>>20)
	require.LessOrEqual(t, peak(), uint64(maxLiveBytes), "live bytes of the heap")
}

// watchHeap returns a function that ends the watch and returns the most that the heap has grown to in live bytes.
func watchHeap(t *testing.T) (peak func() uint64) {
	live := func() uint64 {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	before := live()
	var most atomic.Uint64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if now := live(); now > before {
				most.Store(max(most.Load(), now-before))
			}
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	end := sync.OnceFunc(func() { close(done); <-ended })
	t.Cleanup(end)
	return func() uint64 { end(); return most.Load() }
}
