package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
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
