package entry_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

// TestForwarding sends a plain call and a streamed generation through an entry VM.
func TestForwarding(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)

	plainRequest := v.request(http.MethodPost, "/lookup/7?size=2", "flour")
	response, body := v.do(plainRequest)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "POST of c1", body)
	require.Equal(t, "stamp.c1", response.Header.Get("X-Response-Stamp"))
	runs := d.Cluster.Runs(plainRequest.Header.Get("X-Attempt-Id"))
	require.Len(t, runs, 1)
	require.Equal(t, "acme", runs[0].Account)
	require.Equal(t, "flour", runs[0].Body)
	require.Empty(t, runs[0].Header.Get("X-Api-Key"), "the API key is passed on to the target")

	generation := v.generation("/letters/1", 20, 1)
	stream, err := v.client.Do(generation)
	require.NoError(t, err)
	readEvents(t, stream, 20, nil)

	metrics, err := v.client.Get("http://" + v.metricsAddress + "/metrics")
	require.NoError(t, err)
	defer metrics.Body.Close()
	text, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), "godwitcart_forward_answers_total")
}

// TestExplain queries a running VM for its decisions about a request, as godwitctl does.
func TestExplain(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	digest := sha256.Sum256([]byte("secret"))
	v := d.start("vm-1", func(s *settings.Deployment) {
		s.Operators.Tokens = []settings.Token{{Name: "alice", Role: settings.RoleRead, SHA256: hex.EncodeToString(digest[:])}}
	})
	request := v.request(http.MethodPost, "/lookup/7", "flour")
	v.do(request)
	id := request.Header.Get("X-Attempt-Id")

	client := &admin.Client{BaseURL: "http://" + v.metricsAddress, Token: "secret"}
	result, err := client.Query(context.Background(), "explain "+strconv.Quote(id))
	require.NoError(t, err)
	require.Equal(t, "vm-1", result.Timeline.Request.VM)
	require.Len(t, result.Timeline.Steps, 2)
	require.Equal(t, "sent", result.Timeline.Steps[0].State)
	require.Contains(t, result.Timeline.Steps[0].Reason, "target=c1")
	require.Equal(t, "request ended", result.Timeline.Steps[1].State)
	require.Contains(t, result.Timeline.Steps[1].Reason, "outcome=answered status=200")

	_, err = client.Query(context.Background(), "explain nobody")
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	_, err = client.Query(context.Background(), "show targets")
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	client.Token = "wrong"
	_, err = client.Query(context.Background(), "explain "+strconv.Quote(id))
	require.True(t, apierror.Is(err, apierror.KindUnauthenticated))
}

// TestUnresponsiveTarget guards against sending further requests to a target that accepts them and never responds:
// after some missed deadlines, requests must go to the other target.
func TestUnresponsiveTarget(t *testing.T) {
	d := newDeployment(t)
	var unanswered atomic.Int64
	d.target("c1", "counter").SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
		unanswered.Add(1)
		<-r.Context().Done()
		return true
	})
	d.target("c2", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	const requests = 40
	for range requests {
		request := v.request(http.MethodPost, "/lookup/1", "x")
		request.Header.Set("X-Deadline-Ms", "40")
		v.do(request)
	}
	require.Less(t, unanswered.Load(), int64(requests/4))
}

// TestRejectedRequests checks the status of requests that cannot be served, and that these never reach a target.
func TestRejectedRequests(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	cases := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"no attempt id":      {func(r *http.Request) { r.Header.Del("X-Attempt-Id") }, http.StatusBadRequest},
		"two attempt ids":    {func(r *http.Request) { r.Header.Add("X-Attempt-Id", "another") }, http.StatusBadRequest},
		"malformed deadline": {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, http.StatusBadRequest},
		"unknown key":        {func(r *http.Request) { r.Header.Set("X-Api-Key", "key-9") }, http.StatusUnauthorized},
		"no key":             {func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusUnauthorized},
		"unknown path":       {func(r *http.Request) { r.URL.Path = "/nowhere/" }, http.StatusNotFound},
		"unknown host":       {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"no target":          {func(r *http.Request) { r.URL.Path = "/checks/1" }, http.StatusServiceUnavailable},
		"part of a prefix":   {func(r *http.Request) { r.URL.Path = "/peekaboo/1" }, http.StatusNotFound},
		"an open route":      {func(r *http.Request) { r.URL.Path = "/open/1"; r.Header.Del("X-Api-Key") }, http.StatusOK},
		"body too large":     {func(r *http.Request) { r.ContentLength = 5000; r.Body = io.NopCloser(zeros(5000)) }, http.StatusRequestEntityTooLarge},
		"host with port":     {func(r *http.Request) { r.Host = host + ":80" }, http.StatusOK},
		"host in upper case": {func(r *http.Request) { r.Host = "PRAIRIE.example" }, http.StatusOK},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			request := v.request(http.MethodPost, "/peek/1", "x")
			c.change(request)
			response, _ := v.do(request)
			require.Equal(t, c.status, response.StatusCode)
			if c.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
			if c.status != http.StatusOK {
				require.Empty(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")))
			}
		})
	}
}

type zeroReader struct{ remaining int }

func zeros(count int) io.Reader { return &zeroReader{remaining: count} }

// Read implements io.Reader.
func (z *zeroReader) Read(p []byte) (int, error) {
	if z.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.remaining)
	z.remaining -= n
	return n, nil
}

// TestForgedHeaders checks that callers cannot set the header fields that only the system may set.
func TestForgedHeaders(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.request(http.MethodPost, "/peek/1", "x")
	for _, forged := range []string{"X-Tenant", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Request-Priority", "X-Expect-Version"} {
		request.Header.Set(forged, "forged")
	}
	request.Header.Set("X-Note", "kept")
	request.Header.Set("Connection", "X-Secret")
	request.Header.Set("X-Secret", "for one connection")
	response, _ := v.do(request)
	require.Equal(t, http.StatusOK, response.StatusCode)
	run := d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0]
	require.Equal(t, "acme", run.Account)
	require.Equal(t, "kept", run.Header.Get("X-Note"))
	for _, name := range []string{"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Expect-Version", "X-Secret"} {
		require.Empty(t, run.Header.Get(name), name)
	}
}

// TestLeavingEngine checks that a running generation moves off an engine that is leaving, twice in a row, and that the
// caller receives every event exactly once, in order and from a single run.
func TestLeavingEngine(t *testing.T) {
	for name, memory := range map[string]int{"by a move": 2000, "by a backup": 30000} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			for _, id := range []string{"e1", "e2", "e3"} {
				d.target(id, "drafter")
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation("/letters/1", 120, 10)
			if memory == 2000 {
				request.Header.Set("X-Token-Usage", "9000,9000") // a usage that leaves no memory for backups
			}
			response, err := v.client.Do(request)
			require.NoError(t, err)
			id := request.Header.Get("X-Attempt-Id")
			readEvents(t, response, 120, func(number int) {
				if number == 30 || number == 80 {
					runs := d.Cluster.Runs(id)
					require.True(t, d.MarkLeaving(runs[len(runs)-1].Target))
				}
			})
			runs := d.Cluster.Runs(id)
			require.Len(t, runs, 3)
			require.False(t, runs[0].Continued)
			require.True(t, runs[1].Continued)
			require.True(t, runs[2].Continued)
			require.NotEqual(t, runs[0].Target, runs[1].Target)
		})
	}
}

// TestSilentEngine guards against a stream that stalls until TCP gives up, seconds later, because its engine was cut off
// without a close: the stream continues at its backup as soon as it is silent for longer than its gaps explain, and the
// caller receives every event once.
func TestSilentEngine(t *testing.T) {
	t.Run("nothing", func(t *testing.T) { testSilentEngine(t, "") })
	// An engine that is stuck may go on sending comments, which keep connections open.
	t.Run("comments", func(t *testing.T) { testSilentEngine(t, "1") })
}

func testSilentEngine(t *testing.T, comments string) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, "drafter")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", 60, 10)
	request.Header.Set(platformtest.HeaderSilentAfter, "30")
	request.Header.Set(platformtest.HeaderComments, comments)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, 60, nil)
	runs := d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))
	require.Len(t, runs, 2)
	require.True(t, runs[1].Continued)
	require.Equal(t, 30, runs[1].After)
	require.Eventually(t, func() bool { return d.Cluster.DisconnectCount() == 1 }, waitTimeout, pollInterval, "the silent engine still works on the request")
}

// TestRefusedBackupsCopyAtOnce guards against a leaving engine from which no generation gets away: the backups refuse, all
// generations are then copied at once, and none is complete when the engine ends.
func TestRefusedBackupsCopyAtOnce(t *testing.T) {
	const (
		streams  = 21 // seven at each of three engines
		copyTime = 235 * time.Millisecond
		notice   = 1700 * time.Millisecond
	)
	d := newDeployment(t)
	source := d.target("e1", "drafter")
	for _, id := range []string{"e2", "e3"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Attempt-Id")
			isBackup := strings.HasSuffix(r.Header.Get("Kv-From"), "/"+id)
			if isBackup {
				w.Header().Set("X-Attempt-Id", id)
				respondNotRun(w)
			}
			return isBackup
		})
	}
	source.SetCopyTime(copyTime)
	d.configure("key-1")
	v := d.start("vm-1", nil)
	var callers sync.WaitGroup
	var complete atomic.Int64
	for range streams {
		request := v.generation("/letters/1", 300, 10)
		callers.Go(func() {
			response, err := v.client.Do(request)
			if err != nil {
				return
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err == nil && strings.Contains(string(body), "id: 300\n") {
				complete.Add(1)
			}
		})
	}
	time.Sleep(time.Second) // the streams run, and have backups
	onSource := source.ActiveCount()
	require.Greater(t, onSource, streams/4)
	require.True(t, d.MarkLeaving("e1"))
	time.Sleep(notice)
	source.Kill()
	callers.Wait()
	t.Logf("%d of %d streams began at the leaving engine; %d streams complete", onSource, streams, complete.Load())
	require.GreaterOrEqual(t, int(complete.Load()), streams-onSource/4, "the last ones may be too late")
}

// TestBackupThatAnswersLateRunsBesideItsSource guards against two engines that work on one generation: the backup begins to
// run at once, its answer takes long, and the silent source was kept until then.
func TestBackupThatAnswersLateRunsBesideItsSource(t *testing.T) {
	const (
		answerDelay  = 1200 * time.Millisecond
		overlapBound = 400 * time.Millisecond // the users' rule on one request at two replicas
	)
	d := newDeployment(t)
	continued := make(chan time.Time, 1)
	for _, id := range []string{"e1", "e2"} {
		target := d.target(id, "drafter")
		target.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Kv-From") != "" {
				continued <- time.Now()
				time.Sleep(answerDelay)
			}
			return false
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", 60, 10)
	request.Header.Set(platformtest.HeaderSilentAfter, "30")
	response, err := v.client.Do(request)
	require.NoError(t, err)
	go func() {
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
	}()
	began := <-continued
	require.Eventually(t, func() bool { return d.Cluster.DisconnectCount() == 1 }, waitTimeout, pollInterval)
	require.Less(t, time.Since(began), overlapBound, "the source still works on the request")
}

// TestMoveBeforeFirstEvent guards against telling the caller that the request did not run after an engine left while
// processing the prompt and the destination of the move refused to continue.
func TestMoveBeforeFirstEvent(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			refuse := r.Header.Get("Kv-From") != ""
			if refuse {
				respondNotRun(w)
			}
			return refuse
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", 3, 3000)
	request.Header.Set("X-Token-Usage", "9000,9000")
	go func() {
		for len(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))) == 0 {
			time.Sleep(pollInterval)
		}
		time.Sleep(20 * pollInterval)
		d.MarkLeaving(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target)
	}()
	response, _ := v.do(request)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Len(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")), 1)
}

// TestUnreadableEntry checks that an engine whose entry in the list becomes unreadable is treated as leaving: its
// running generation moves to another engine, once, and no event is lost.
func TestUnreadableEntry(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		d.target(id, "drafter")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", 100, 10)
	request.Header.Set("X-Token-Usage", "9000,9000")
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, 100, func(number int) {
		if number == 20 {
			d.Store.Put("servers", d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target, json.RawMessage(`{"service":7}`))
		}
	})
	require.Len(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")), 2, "a listed entry that cannot be read must not be used as a target")
}

// TestInterruptedStream checks what the caller receives when an engine fails during a stream: a resumable stream is
// resumed at another engine, and a stream that cannot continue ends so that it cannot look complete.
func TestInterruptedStream(t *testing.T) {
	crash := func(d *deployment, id string, after int) func(http.ResponseWriter, *http.Request) bool {
		return func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") != "" {
				return false
			}
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Stamp", "stamp."+id)
			for number := 1; number <= after; number++ {
				_, _ = io.WriteString(w, "id: "+string(rune('0'+number))+"\ndata: x\n\n")
				w.(http.Flusher).Flush()
			}
			_, _ = io.WriteString(w, "id: 9\nda") // cut within an event
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		}
	}
	t.Run("resumed", func(t *testing.T) {
		d := newDeployment(t)
		for _, id := range []string{"e1", "e2"} {
			d.target(id, "drafter").SetOverride(crash(d, id, 3))
		}
		d.configure("key-1")
		v := d.start("vm-1", nil)
		response, err := v.client.Do(v.generation("/checks/1", 8, 1))
		require.NoError(t, err)
		readEvents(t, response, 8, nil)
	})
	t.Run("aborted", func(t *testing.T) {
		d := newDeployment(t)
		d.target("e1", "drafter").SetOverride(crash(d, "e1", 3))
		d.configure("key-1")
		v := d.start("vm-1", nil)
		response, err := v.client.Do(v.generation("/letters/1", 8, 1))
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.Error(t, err, "an interrupted answer looks complete")
		require.NotContains(t, string(body), "id: 9", "a part of an event was passed on to the caller")
	})
}

// TestResumedAfterLastEvent guards against a success without the engine's header: a caller that lost its connection after
// the last event resumes a stream that has no events left.
func TestResumedAfterLastEvent(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/checks/1", 3, 1)
	request.Header.Set("Last-Event-Id", "3")
	response, body := v.do(request)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Empty(t, body)
	require.Equal(t, "stamp.e1", response.Header.Get("X-Response-Stamp"))
}

// TestFailedContinuation guards against a second run of a generation: an engine fails, then its backup fails when it is
// to continue. The third engine was reserved as the next backup but has no copy yet, so nothing may start there.
func TestFailedContinuation(t *testing.T) {
	d := newDeployment(t)
	var continuations atomic.Int64
	for _, id := range []string{"e1", "e2", "e3"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Stamp", "stamp."+id)
			if r.Header.Get("Kv-From") != "" {
				continuations.Add(1)
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			panic(http.ErrAbortHandler)
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", 8, 1))
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err, "an interrupted answer looks complete")
	require.Equal(t, int64(1), continuations.Load())
}

// TestLostResponse checks calls whose target closes the connection without a response: a non-idempotent call is neither
// sent again nor reported as "not run"; an idempotent one is sent to another target.
func TestLostResponse(t *testing.T) {
	d := newDeployment(t)
	var mu sync.Mutex
	arrivalCounts := map[string]int{}
	countArrivals := func(id string, delta int) int {
		mu.Lock()
		defer mu.Unlock()
		arrivalCounts[id] += delta
		return arrivalCounts[id]
	}
	for _, id := range []string{"c1", "c2"} {
		d.target(id, "counter").SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
			if countArrivals(r.Header.Get("X-Attempt-Id"), 1) == 1 {
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	nonIdempotent := v.request(http.MethodPost, "/lookup/1", "x")
	response, _ := v.do(nonIdempotent)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, 1, countArrivals(nonIdempotent.Header.Get("X-Attempt-Id"), 0))
	idempotent := v.request(http.MethodGet, "/peek/1", "")
	response, _ = v.do(idempotent)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 2, countArrivals(idempotent.Header.Get("X-Attempt-Id"), 0))
}

// TestRefusedCall checks that a call is sent to another target after a target stated that it did not run it, even if it
// is not idempotent.
func TestRefusedCall(t *testing.T) {
	d := newDeployment(t)
	var hasRefused atomic.Bool
	for _, id := range []string{"c1", "c2"} {
		d.target(id, "counter").SetOverride(func(w http.ResponseWriter, _ *http.Request) bool {
			refuse := hasRefused.CompareAndSwap(false, true)
			if refuse {
				respondNotRun(w)
			}
			return refuse
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.request(http.MethodPost, "/lookup/1", "x")
	response, _ := v.do(request)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")), 1)
}

// TestMismatchedResponses checks that a response that belongs to another request, has no response stamp or has a
// content encoding is not relayed as a success.
func TestMismatchedResponses(t *testing.T) {
	headers := map[string]map[string]string{
		"another request": {"X-Attempt-Id": "another", "X-Response-Stamp": "s"},
		"no stamp":        {},
		"encoded":         {"X-Response-Stamp": "s", "Content-Encoding": "br"},
	}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.target("c1", "counter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				for field, value := range header {
					w.Header().Set(field, value)
				}
				_, _ = io.WriteString(w, "wrong")
				return true
			})
			d.configure("key-1")
			v := d.start("vm-1", nil)
			response, body := v.do(v.request(http.MethodPost, "/lookup/1", "x"))
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.NotContains(t, body, "wrong")
		})
	}
}

// TestRouteTimeout checks that the caller receives a timeout error at the route's timeout if the target is too slow.
func TestRouteTimeout(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter").SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	})
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, _ := v.do(v.request(http.MethodGet, "/hurried/1", ""))
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// TestCallerDisconnects checks that the generation is canceled at its engine when the caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	ctx, disconnect := context.WithCancel(context.Background())
	response, err := v.client.Do(v.generation("/letters/1", 10000, 5).WithContext(ctx))
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, 16))
	require.NoError(t, err)
	disconnect()
	require.Eventually(t, func() bool { return d.Cluster.DisconnectCount() == 1 }, waitTimeout, pollInterval)
}

// TestRevokedKey checks that a revoked key is denied, and that no key is accepted while the platform has been
// unavailable for longer than the bound, since any key may have been revoked in the meantime.
func TestRevokedKey(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1", "key-2")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.RevocationMillis = 1200 })
	response, _ := v.do(v.request(http.MethodGet, "/peek/1", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	d.configure("key-2")
	require.Eventually(t, func() bool {
		response, _ := v.do(v.request(http.MethodGet, "/peek/1", ""))
		return response.StatusCode == http.StatusUnauthorized
	}, waitTimeout, pollInterval)
	d.Store.SetDown(true)
	require.Eventually(t, func() bool {
		request := v.request(http.MethodGet, "/peek/1", "")
		request.Header.Set("X-Api-Key", "key-2")
		response, _ := v.do(request)
		return response.StatusCode == http.StatusServiceUnavailable
	}, waitTimeout, pollInterval)
	request := v.request(http.MethodGet, "/open/1", "")
	response, _ = v.do(request)
	require.Equal(t, http.StatusOK, response.StatusCode, "a route without keys needs no confirmed configuration")
	d.Store.SetDown(false)
	require.Eventually(t, func() bool {
		request := v.request(http.MethodGet, "/peek/1", "")
		request.Header.Set("X-Api-Key", "key-2")
		response, _ := v.do(request)
		return response.StatusCode == http.StatusOK
	}, waitTimeout, pollInterval)
}

// TestReusedAddress checks that calls to a target whose address now belongs to another target are run by a third one.
func TestReusedAddress(t *testing.T) {
	d := newDeployment(t)
	d.target("c2", "counter")
	reused := d.target("somebody-else", "other")
	d.Store.Put("servers", "c1", reused.RegistryEntry("counter", zone, "ready"))
	d.configure("key-1")
	v := d.start("vm-1", nil)
	for range 6 {
		response, body := v.do(v.request(http.MethodPost, "/lookup/1", "x"))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "POST of c2", body)
	}
}

// TestGracefulShutdown checks that readiness fails immediately and that requests in progress complete.
func TestGracefulShutdown(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", 60, 10))
	require.NoError(t, err)
	readEvents(t, response, 60, func(number int) {
		if number == 10 {
			v.entry.Shutdown()
			require.Equal(t, http.StatusServiceUnavailable, v.readyStatus())
		}
	})
	select {
	case <-v.stopped:
	case <-time.After(waitTimeout):
		t.Fatal("the entry VM did not stop within the time limit")
	}
}

// TestRequestReadAtTheEndOfAStopIsCutOff guards against a request that is cut off without an answer because the VM, idle for a
// moment, closes its connections while the request is being read.
func TestRequestReadAtTheEndOfAStopIsCutOff(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 8 })
	conn, err := net.Dial("tcp4", v.callerAddress)
	require.NoError(t, err)
	defer conn.Close()
	v.entry.Shutdown()
	time.Sleep(2200 * time.Millisecond) // the VM closes its listener 2.5 s after the start of the stop
	_, err = fmt.Fprintf(conn, "POST /lookup/1 HTTP/1.1\r\nHost: %s\r\nX-Api-Key: key-1\r\nX-Attempt-Id: late-1\r\n", host)
	require.NoError(t, err)
	time.Sleep(800 * time.Millisecond)
	_, err = fmt.Fprint(conn, "X-Deadline-Ms: 2000\r\nContent-Length: 1\r\n\r\nx")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err, "the connection ended without an answer")
	require.Equal(t, http.StatusOK, response.StatusCode)
	<-v.stopped
}

// TestRequestsDuringShutdown checks that a VM that shuts down refuses requests that it might have to abort, without
// running them, and completes those in progress.
func TestRequestsDuringShutdown(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 60 })
	response, err := v.client.Do(v.generation("/letters/1", 40, 100))
	require.NoError(t, err)
	refused := make(chan *http.Request, 1)
	readEvents(t, response, 40, func(number int) {
		if number == 1 {
			v.entry.Shutdown()
			go func() {
				for {
					request := v.generation("/letters/2", 1, 1)
					response, _ := v.do(request)
					if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
						refused <- request
						return
					}
					time.Sleep(pollInterval)
				}
			}()
		}
	})
	require.Empty(t, d.Cluster.Runs((<-refused).Header.Get("X-Attempt-Id")))
}

// TestShutdownRefusesLongStreams guards against streams that a VM accepts after SIGTERM, while the load balancer still
// sends to it, and then aborts at the end of its grace period.
func TestShutdownRefusesLongStreams(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 2 })
	response, err := v.client.Do(v.generation("/letters/1", 30, 50))
	require.NoError(t, err)
	readEvents(t, response, 30, nil)
	running := v.generation("/letters/1", 10, 100)
	response, err = v.client.Do(running)
	require.NoError(t, err)
	readEvents(t, response, 10, func(number int) {
		if number != 1 {
			return
		}
		v.entry.Shutdown()
		time.Sleep(200 * time.Millisecond)
		long := v.generation("/letters/2", 30, 50)
		refusal, _ := v.do(long)
		require.Equal(t, http.StatusServiceUnavailable, refusal.StatusCode)
		require.NotEmpty(t, refusal.Header.Get("Retry-After"))
		require.Empty(t, d.Cluster.Runs(long.Header.Get("X-Attempt-Id")))
		short, _ := v.do(v.generation("/checks/1", 3, 1))
		require.Equal(t, http.StatusOK, short.StatusCode, "a resumable stream is accepted until the load balancer has noticed")
	})
}
