package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/settings"
)

// TestWholePath sends one request of each kind through an entry VM.
func TestWholePath(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)

	lookup := v.request(http.MethodPost, "/lookup/7?size=2", "flour")
	response, body := v.do(lookup)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "POST of c1", body)
	require.Equal(t, "stamp.c1", response.Header.Get("X-Response-Stamp"))
	runs := d.Cluster.Runs(lookup.Header.Get("X-Attempt-Id"))
	require.Len(t, runs, 1)
	require.Equal(t, "acme", runs[0].Account)
	require.Equal(t, "flour", runs[0].Body)
	require.Empty(t, runs[0].Header.Get("X-Api-Key"), "the key is passed on")

	letter := v.generation("/letters/1", 20, 1)
	answer, err := v.client.Do(letter)
	require.NoError(t, err)
	follow(t, answer, 20, nil)

	metrics, err := v.client.Get("http://" + v.metrics + "/metrics")
	require.NoError(t, err)
	defer metrics.Body.Close()
	text, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), "godwitcart_forward_answers_total")
}

// TestExplain asks a running VM what it decided about a request, as godwitctl does.
func TestExplain(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	digest := sha256.Sum256([]byte("secret"))
	v := d.start("vm-1", func(s *settings.Deployment) {
		s.Operators.Tokens = []settings.Token{{Name: "alice", Role: settings.RoleRead, SHA256: hex.EncodeToString(digest[:])}}
	})
	lookup := v.request(http.MethodPost, "/lookup/7", "flour")
	v.do(lookup)
	id := lookup.Header.Get("X-Attempt-Id")

	client := &admin.Client{BaseURL: "http://" + v.metrics, Token: "secret"}
	answer, err := client.Query(context.Background(), "explain "+strconv.Quote(id))
	require.NoError(t, err)
	require.Equal(t, "vm-1", answer.Life.Request.VM)
	require.Len(t, answer.Life.Steps, 2)
	require.Equal(t, "sent", answer.Life.Steps[0].State)
	require.Contains(t, answer.Life.Steps[0].Reason, "target=c1")
	require.Equal(t, "request ended", answer.Life.Steps[1].State)
	require.Contains(t, answer.Life.Steps[1].Reason, "outcome=answered status=200")

	_, err = client.Query(context.Background(), "explain nobody")
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	_, err = client.Query(context.Background(), "show targets")
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	client.Token = "wrong"
	_, err = client.Query(context.Background(), "explain "+strconv.Quote(id))
	require.True(t, apierror.Is(err, apierror.KindUnauthenticated))
}

// TestMuteTarget has one of two targets take requests and never answer: the deadlines that it lets pass must lead
// later requests to the other one.
func TestMuteTarget(t *testing.T) {
	d := newDeployment(t)
	var mute atomic.Int64
	d.target("c1", "counter").Behave(func(_ http.ResponseWriter, r *http.Request) bool {
		mute.Add(1)
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
	require.Less(t, mute.Load(), int64(requests/4))
}

// TestBadRequests checks what callers are told whose requests cannot be served.
func TestBadRequests(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	cases := map[string]struct {
		change func(*http.Request)
		status int
	}{
		"no attempt id":     {func(r *http.Request) { r.Header.Del("X-Attempt-Id") }, http.StatusBadRequest},
		"two attempt ids":   {func(r *http.Request) { r.Header.Add("X-Attempt-Id", "another") }, http.StatusBadRequest},
		"malformed time":    {func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, http.StatusBadRequest},
		"unknown key":       {func(r *http.Request) { r.Header.Set("X-Api-Key", "key-9") }, http.StatusUnauthorized},
		"no key":            {func(r *http.Request) { r.Header.Del("X-Api-Key") }, http.StatusUnauthorized},
		"unknown path":      {func(r *http.Request) { r.URL.Path = "/nowhere/" }, http.StatusNotFound},
		"unknown host":      {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"no target":         {func(r *http.Request) { r.URL.Path = "/checks/1" }, http.StatusServiceUnavailable},
		"a prefix in part":  {func(r *http.Request) { r.URL.Path = "/peekaboo/1" }, http.StatusNotFound},
		"an open route":     {func(r *http.Request) { r.URL.Path = "/open/1"; r.Header.Del("X-Api-Key") }, http.StatusOK},
		"too long a body":   {func(r *http.Request) { r.ContentLength = 5000; r.Body = io.NopCloser(zeros(5000)) }, http.StatusRequestEntityTooLarge},
		"a port in a host":  {func(r *http.Request) { r.Host = host + ":80" }, http.StatusOK},
		"a host in capital": {func(r *http.Request) { r.Host = "PRAIRIE.example" }, http.StatusOK},
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

type zeroReader struct{ left int }

func zeros(count int) io.Reader { return &zeroReader{left: count} }

// Read implements io.Reader.
func (z *zeroReader) Read(p []byte) (int, error) {
	if z.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), z.left)
	z.left -= n
	return n, nil
}

// TestForgedHeaders checks that callers cannot set at targets what the system sets.
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

// TestLeavingEngine takes a running generation off an engine that leaves: the caller gets every event once, in
// order, from one run. A second engine that leaves takes it on again.
func TestLeavingEngine(t *testing.T) {
	for name, memory := range map[string]int{"by a move": 2000, "by a backup": 30000} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			for _, id := range []string{"e1", "e2", "e3"} {
				d.target(id, "drafter")
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			letter := v.generation("/letters/1", 120, 10)
			if memory == 2000 {
				letter.Header.Set("X-Token-Usage", "9000,9000") // leaves no room for copies
			}
			response, err := v.client.Do(letter)
			require.NoError(t, err)
			id := letter.Header.Get("X-Attempt-Id")
			follow(t, response, 120, func(number int) {
				if number == 30 || number == 80 {
					runs := d.Cluster.Runs(id)
					require.True(t, d.Leave(runs[len(runs)-1].Target))
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

// TestMovedBeforeItsFirstEvent has an engine leave while it reads a prompt, and the destination refuse to go on:
// the caller must not be told that the request did not run.
func TestMovedBeforeItsFirstEvent(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, "drafter").Behave(func(w http.ResponseWriter, r *http.Request) bool {
			refuse := r.Header.Get("Kv-From") != ""
			if refuse {
				notRun(w)
			}
			return refuse
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	letter := v.generation("/letters/1", 3, 3000)
	letter.Header.Set("X-Token-Usage", "9000,9000")
	go func() {
		for len(d.Cluster.Runs(letter.Header.Get("X-Attempt-Id"))) == 0 {
			time.Sleep(poll)
		}
		time.Sleep(20 * poll)
		d.Leave(d.Cluster.Runs(letter.Header.Get("X-Attempt-Id"))[0].Target)
	}()
	response, _ := v.do(letter)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Len(t, d.Cluster.Runs(letter.Header.Get("X-Attempt-Id")), 1)
}

// TestRefusedCopies has the first destinations refuse: the move asks others until one has room.
func TestRefusedCopies(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		d.target(id, "drafter")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	letter := v.generation("/letters/1", 100, 10)
	letter.Header.Set("X-Token-Usage", "9000,9000")
	response, err := v.client.Do(letter)
	require.NoError(t, err)
	follow(t, response, 100, func(number int) {
		if number == 20 {
			d.Store.Put("servers", d.Cluster.Runs(letter.Header.Get("X-Attempt-Id"))[0].Target, json.RawMessage(`{"service":7}`))
		}
	})
	require.Len(t, d.Cluster.Runs(letter.Header.Get("X-Attempt-Id")), 2, "an entry that cannot be read names no target to use")
}

// TestBrokenStream checks what callers get when an engine breaks off: a resumable stream goes on elsewhere, a
// backup takes over, and a stream that has neither ends so that it cannot look complete.
func TestBrokenStream(t *testing.T) {
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
			d.target(id, "drafter").Behave(crash(d, id, 3))
		}
		d.configure("key-1")
		v := d.start("vm-1", nil)
		response, err := v.client.Do(v.generation("/checks/1", 8, 1))
		require.NoError(t, err)
		follow(t, response, 8, nil)
	})
	t.Run("cut off", func(t *testing.T) {
		d := newDeployment(t)
		d.target("e1", "drafter").Behave(crash(d, "e1", 3))
		d.configure("key-1")
		v := d.start("vm-1", nil)
		response, err := v.client.Do(v.generation("/letters/1", 8, 1))
		require.NoError(t, err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		require.Error(t, err, "an answer that broke off looks complete")
		require.NotContains(t, string(body), "id: 9", "a part of an event was passed on")
	})
}

// TestFailedContinuation has an engine break off and the one that has a copy of the generation fail when it goes on:
// the third one, which was to keep the next copy, has none yet, and a start there would be a second run.
func TestFailedContinuation(t *testing.T) {
	d := newDeployment(t)
	var continued atomic.Int64
	for _, id := range []string{"e1", "e2", "e3"} {
		d.target(id, "drafter").Behave(func(w http.ResponseWriter, r *http.Request) bool {
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			w.Header().Set("X-Response-Stamp", "stamp."+id)
			if r.Header.Get("Kv-From") != "" {
				continued.Add(1)
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
	require.Error(t, err, "an answer that broke off looks complete")
	require.Equal(t, int64(1), continued.Load())
}

// TestRunsOnce has the target break off without an answer: a call that may run once is not sent again and is
// not said not to have run; an idempotent one is tried elsewhere.
func TestRunsOnce(t *testing.T) {
	d := newDeployment(t)
	var mu sync.Mutex
	sent := map[string]int{}
	arrivals := func(id string, more int) int {
		mu.Lock()
		defer mu.Unlock()
		sent[id] += more
		return sent[id]
	}
	for _, id := range []string{"c1", "c2"} {
		d.target(id, "counter").Behave(func(_ http.ResponseWriter, r *http.Request) bool {
			if arrivals(r.Header.Get("X-Attempt-Id"), 1) == 1 {
				panic(http.ErrAbortHandler)
			}
			return false
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	lookup := v.request(http.MethodPost, "/lookup/1", "x")
	response, _ := v.do(lookup)
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Equal(t, 1, arrivals(lookup.Header.Get("X-Attempt-Id"), 0))
	peek := v.request(http.MethodGet, "/peek/1", "")
	response, _ = v.do(peek)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, 2, arrivals(peek.Header.Get("X-Attempt-Id"), 0))
}

// TestRefusedCall has one target state that it did not run the call: another runs it, also one that may run once.
func TestRefusedCall(t *testing.T) {
	d := newDeployment(t)
	var refused atomic.Bool
	for _, id := range []string{"c1", "c2"} {
		d.target(id, "counter").Behave(func(w http.ResponseWriter, _ *http.Request) bool {
			refuse := refused.CompareAndSwap(false, true)
			if refuse {
				notRun(w)
			}
			return refuse
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	lookup := v.request(http.MethodPost, "/lookup/1", "x")
	response, _ := v.do(lookup)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Len(t, d.Cluster.Runs(lookup.Header.Get("X-Attempt-Id")), 1)
}

// TestForeignAnswers checks that an answer that belongs to another request, has no stamp or is encoded reaches
// no caller as a success.
func TestForeignAnswers(t *testing.T) {
	heads := map[string]map[string]string{
		"another request": {"X-Attempt-Id": "another", "X-Response-Stamp": "s"},
		"no stamp":        {},
		"encoded":         {"X-Response-Stamp": "s", "Content-Encoding": "br"},
	}
	for name, head := range heads {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			d.target("c1", "counter").Behave(func(w http.ResponseWriter, r *http.Request) bool {
				w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
				for field, value := range head {
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

// TestRouteTimeout has a target answer late: the caller is told at the route's timeout.
func TestRouteTimeout(t *testing.T) {
	d := newDeployment(t)
	d.target("c1", "counter").Behave(func(_ http.ResponseWriter, r *http.Request) bool {
		<-r.Context().Done()
		return true
	})
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, _ := v.do(v.request(http.MethodGet, "/hurried/1", ""))
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
}

// TestCallerLeaves checks that the engine's work ends when the caller has left.
func TestCallerLeaves(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	ctx, leave := context.WithCancel(context.Background())
	response, err := v.client.Do(v.generation("/letters/1", 10000, 5).WithContext(ctx))
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, 16))
	require.NoError(t, err)
	leave()
	require.Eventually(t, func() bool { return d.Cluster.Cut() == 1 }, patience, poll)
}

// TestRevokedKey checks that a revoked key is denied, and that no key is accepted while the platform is away
// for longer than the bound: the key may have been revoked meanwhile.
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
	}, patience, poll)
	d.Store.SetDown(true)
	require.Eventually(t, func() bool {
		request := v.request(http.MethodGet, "/peek/1", "")
		request.Header.Set("X-Api-Key", "key-2")
		response, _ := v.do(request)
		return response.StatusCode == http.StatusServiceUnavailable
	}, patience, poll)
	request := v.request(http.MethodGet, "/open/1", "")
	response, _ = v.do(request)
	require.Equal(t, http.StatusOK, response.StatusCode, "a route without keys needs no proof")
	d.Store.SetDown(false)
	require.Eventually(t, func() bool {
		request := v.request(http.MethodGet, "/peek/1", "")
		request.Header.Set("X-Api-Key", "key-2")
		response, _ := v.do(request)
		return response.StatusCode == http.StatusOK
	}, patience, poll)
}

// TestReusedAddress has the address of a target answer for another one: the call is not run there.
func TestReusedAddress(t *testing.T) {
	d := newDeployment(t)
	d.target("c2", "counter")
	reused := d.target("somebody-else", "other")
	d.Store.Put("servers", "c1", reused.Entry("counter", zone, "ready"))
	d.configure("key-1")
	v := d.start("vm-1", nil)
	for range 6 {
		response, body := v.do(v.request(http.MethodPost, "/lookup/1", "x"))
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, "POST of c2", body)
	}
}

// TestGracefulShutdown checks that readiness fails at once and that work in progress is finished.
func TestGracefulShutdown(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", 60, 10))
	require.NoError(t, err)
	follow(t, response, 60, func(number int) {
		if number == 10 {
			v.entry.Shutdown()
			require.Equal(t, http.StatusServiceUnavailable, v.readiness())
		}
	})
	select {
	case <-v.stopped:
	case <-time.After(patience):
		t.Fatal("the entry VM does not end")
	}
}

// TestLateRequestsWhileStopping sends requests to a VM that stops: one that it might cut off is refused as not
// run, while one that is in progress ends whole.
func TestLateRequestsWhileStopping(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 60 })
	response, err := v.client.Do(v.generation("/letters/1", 40, 100))
	require.NoError(t, err)
	refused := make(chan *http.Request, 1)
	follow(t, response, 40, func(number int) {
		if number == 1 {
			v.entry.Shutdown()
			go func() {
				for {
					letter := v.generation("/letters/2", 1, 1)
					response, _ := v.do(letter)
					if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != "" {
						refused <- letter
						return
					}
					time.Sleep(poll)
				}
			}()
		}
	})
	require.Empty(t, d.Cluster.Runs((<-refused).Header.Get("X-Attempt-Id")))
}
