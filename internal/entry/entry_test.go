package entry_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/settings"
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

// TestTargetThatRanARequestMakesItsCallerRepeatIt guards against a status that promises "not run" and comes from a target that has run the request.
func TestTargetThatRanARequestMakesItsCallerRepeatIt(t *testing.T) {
	for path, service := range map[string]string{"/lookup/1": "counter", "/letters/1": "drafter"} {
		for _, status := range []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
			t.Run(fmt.Sprint(path, status), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.target("only", service).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
					w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
					w.Header().Set("X-Response-Stamp", "stamp.only")
					w.WriteHeader(status)
					return true
				})
				d.configure("key-1")
				v := d.start("vm-1", nil)
				request := v.request(http.MethodPost, path, "x")
				if service == "drafter" {
					request = v.generation(path, 3, 1)
				}
				response, _ := v.do(request)
				require.Equal(t, http.StatusBadGateway, response.StatusCode)
			})
		}
	}
}
