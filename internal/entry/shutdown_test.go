package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

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

// configureCompetingObjectives writes a configuration in which letters wait for room for up to two objectives of 4 s, and an
// engine has memory for one.
func (d *deployment) configureCompetingObjectives() {
	configuration := platformtest.Configuration(7, "key-1")
	letters := configuration["routes"].([]any)[0].(map[string]any)
	letters["slo_ms"], letters["priority"], letters["timeout_ms"] = 4000, 2, 30000
	configuration["routes"].([]any)[1].(map[string]any)["session_affinity"] = true
	engine := configuration["services"].([]any)[0].(map[string]any)["engine"].(map[string]any)
	engine["kv_capacity"] = 800
	d.Store.Put("config", "main", configuration)
}

// startWaiting starts a generation that fills the only engine, and others that wait for room behind it. Their answers are sent
// to the channel; what fails is sent as nil.
func startWaiting(t *testing.T, v *vm, running *http.Request, waiting int) (first *http.Response, requests []*http.Request, answers chan *http.Response) {
	t.Helper()
	running.Header.Set("X-Deadline-Ms", "30000")
	first, err := v.client.Do(running)
	require.NoError(t, err)
	answers = make(chan *http.Response, waiting)
	for range waiting {
		request := v.generation("/letters/2", 3, 1)
		request.Header.Set("X-Deadline-Ms", "30000")
		requests = append(requests, request)
		go func() {
			response, err := v.client.Do(request)
			if err != nil {
				t.Logf("%s: %v", request.Header.Get("X-Attempt-Id"), err)
				response = nil
			}
			answers <- response
		}()
	}
	require.Eventually(t, func() bool { return v.entry.Active() == int64(1+waiting) }, waitTimeout, pollInterval)
	return first, requests, answers
}

// TestRequestsThatWaitForRoomAreCutOffByAStop guards against requests that wait for room when SIGTERM comes, are neither passed on
// nor refused, and lose their connections without an answer at the end of the grace period.
func TestRequestsThatWaitForRoomAreCutOffByAStop(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configureCompetingObjectives()
	v := d.start("vm-1", nil)
	first, requests, answers := startWaiting(t, v, v.generation("/letters/1", 2000, 10), 3)
	defer first.Body.Close()
	v.entry.Shutdown()
	for range requests {
		response := <-answers
		require.NotNil(t, response, "a request that waited for room got no answer")
		response.Body.Close()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, "0.050", response.Header.Get("Retry-After"))
	}
	require.EqualValues(t, 1, v.entry.Active(), "the requests are refused while the generation before them runs")
	for _, request := range requests {
		require.Empty(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")))
	}
}

// TestRequestThatWaitsForRoomIsServedWithinAStop guards against refusing, at SIGTERM, a request that gets room soon enough to be
// answered before the end of the grace period.
func TestRequestThatWaitsForRoomIsServedWithinAStop(t *testing.T) {
	d := newDeployment(t)
	d.target("e1", "drafter")
	d.configureCompetingObjectives()
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 20 })
	known, _ := v.do(v.generation("/letters/1", 3, 1)) // the VM learns how long such an answer takes
	require.Equal(t, http.StatusOK, known.StatusCode)
	first, _, answers := startWaiting(t, v, v.generation("/letters/1", 40, 10), 1)
	v.entry.Shutdown()
	readEvents(t, first, 40, nil)
	response := <-answers
	require.NotNil(t, response)
	readEvents(t, response, 3, nil)
}

// TestSilentTargetAtTheEndOfAStop guards against a request whose connection ends without an answer because its target has not
// answered by the end of the grace period.
func TestSilentTargetAtTheEndOfAStop(t *testing.T) {
	for _, path := range []string{"/lookup/1", "/letters/1"} {
		t.Run(path, func(t *testing.T) {
			d := newDeployment(t)
			entered, leave := make(chan struct{}), make(chan struct{})
			defer close(leave)
			for id, service := range map[string]string{"c1": "counter", "e1": "drafter"} {
				d.target(id, service).SetOverride(func(http.ResponseWriter, *http.Request) bool {
					close(entered)
					<-leave
					return true
				})
			}
			d.configureCompetingObjectives()
			v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 3 })
			go func() {
				<-entered
				v.entry.Shutdown()
			}()
			request := v.generation(path, 3, 1)
			request.Header.Set("X-Deadline-Ms", "30000")
			response, _ := v.do(request)
			require.Equal(t, http.StatusBadGateway, response.StatusCode, "the request may have run")
		})
	}
}

// TestBodyThatArrivesLateInAStop guards against a request that is passed on shortly before the VM ends, because its body arrived
// slowly after its head had been accepted: it has run, and its caller gets no answer of its target.
func TestBodyThatArrivesLateInAStop(t *testing.T) {
	cases := map[string]struct {
		path  string
		after time.Duration // of a grace time of 4 s
	}{"plain": {"/lookup/1", 3 * time.Second}, "stream": {"/letters/1", 3 * time.Second}, "not whole": {"/lookup/1", 5 * time.Second}}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			path := test.path
			d := newDeployment(t)
			d.target("e1", platformtest.EngineService)
			d.target("p1", platformtest.PlainService).SetOverride(func(http.ResponseWriter, *http.Request) bool {
				time.Sleep(2 * time.Second)
				return false
			})
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation(path, 400, 10)
			if path == "/lookup/1" {
				request = v.request(http.MethodPost, path, "")
			}
			body, rest := io.Pipe()
			request.Body, request.ContentLength = body, -1
			v.entry.Shutdown()
			go func() {
				fmt.Fprint(rest, "first")
				time.Sleep(test.after)
				fmt.Fprint(rest, "last")
				rest.Close()
			}()
			response, _ := v.do(request)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")), "the request ran, and its answer is lost")
		})
	}
}
