package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestStreamStoppedForItsLastCopyEndsAsComplete guards against a stream that looks whole since its engine stopped it for the last copy and the
// answer to the call was lost.
func TestStreamStoppedForItsLastCopyEndsAsComplete(t *testing.T) {
	ends := map[string]func(*rawStream){"closes": closings["closes"], "ends its answer": (*rawStream).end}
	for _, c := range []struct {
		framing framing
		end     string
	}{{withLength, "closes"}, {inChunks, "closes"}, {unframed, "closes"}, {inChunks, "ends its answer"}} {
		t.Run(string(c.framing)+"/"+c.end, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			stop := make(chan struct{})
			d.wrappedTarget("e1", "drafter", func(w http.ResponseWriter, r *http.Request) bool {
				switch {
				case r.URL.Path == "/v1/kv-move":
					body, _ := io.ReadAll(r.Body)
					if strings.Contains(string(body), `"last":true`) {
						close(stop)
						time.Sleep(20 * time.Millisecond)
						panic(http.ErrAbortHandler)
					}
					return false
				case r.Header.Get("X-Token-Usage") == "":
					return false
				}
				s := startRawStream(w, r, c.framing, len(eventTexts(1, endedEvents)))
				s.write(eventTexts(1, breakAfter))
				<-stop
				ends[c.end](s)
				return true
			}, `{"transfer_handle":"h","created":6}`)
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation("/letters/1", endedEvents, 1)
			request.Header.Set("X-Token-Usage", "9000,9000") // a usage that leaves no memory for backups
			response, err := v.client.Do(request)
			require.NoError(t, err)
			d.target("e2", "drafter")
			require.True(t, d.MarkLeaving("e1"))
			body, err := io.ReadAll(response.Body)
			require.Equal(t, eventTexts(1, breakAfter), string(body))
			require.Error(t, err, "the stream ends as complete in the middle")
		})
	}
}

// wrappedTarget starts a target before which a function is offered all requests, calls of other targets included. It answers copies
// with the given body.
func (d *deployment) wrappedTarget(id, service string, offer func(http.ResponseWriter, *http.Request) bool, copied string) {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := d.AddVersion(id, listener.Addr().String(), service, zone, "v1")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case offer(w, r):
		case r.URL.Path == "/v1/kv-move":
			fmt.Fprint(w, copied)
		default:
			target.ServeHTTP(w, r)
		}
	})}
	go server.Serve(listener)
	d.t.Cleanup(func() { server.Close() })
}

// TestWholeStreamThatMovedAtItsEndLooksBroken guards against a whole stream that is given up since its engine was asked to stop it right after its end.
func TestWholeStreamThatMovedAtItsEndLooksBroken(t *testing.T) {
	d := newDeployment(t)
	stop := make(chan struct{})
	d.wrappedTarget("e1", "drafter", func(w http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/v1/kv-move" {
			body, _ := io.ReadAll(r.Body)
			if strings.Contains(string(body), `"last":true`) {
				close(stop)
			}
			return false
		}
		if r.Header.Get("X-Token-Usage") == "" {
			return false
		}
		s := startRawStream(w, r, inChunks, 0)
		s.write(eventTexts(1, endedEvents))
		<-stop
		s.end()
		return true
	}, `{"transfer_handle":"h","created":10}`)
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", endedEvents, 1)
	request.Header.Set("X-Token-Usage", "9000,9000") // a usage that leaves no memory for backups
	response, err := v.client.Do(request)
	require.NoError(t, err)
	d.target("e2", "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
		continuesWhole(w, r)
		return true
	})
	require.True(t, d.MarkLeaving("e1"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, eventTexts(1, endedEvents), string(body))
}

// TestStatedEndIsLostAfterACallToStopWasReset guards against a whole stream that ends as broken since a call to stop it had no answer.
func TestStatedEndIsLostAfterACallToStopWasReset(t *testing.T) {
	const events = 100
	d := newDeployment(t)
	var asked atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
			switch {
			case r.URL.Path == "/v1/kv-move":
				asked.Add(1)
				resetConnection(w, r)
				return true
			case r.Header.Get("X-Token-Usage") == "":
				return false
			case isForBackup(r):
				refuseRun(w, r)
				return true
			}
			s := startRawStream(w, r, inChunks, 0)
			for number := 1; number <= events; number++ {
				s.write(eventText(number))
				time.Sleep(10 * time.Millisecond)
				if number == 60 {
					time.Sleep(1500 * time.Millisecond) // preempted, for so long that the engine is asked to stop
				}
			}
			s.end()
			return true
		}, "")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	v.requireWhole([]*http.Request{v.generation("/letters/1", events, 10)}, events)
	require.NotZero(t, asked.Load(), "the engine was not asked to stop")
}

// TestStreamStoppedAfterItsLastEventLooksBroken guards against a whole stream that ends as broken since its engine, asked to stop it, states the end twice.
func TestStreamStoppedAfterItsLastEventLooksBroken(t *testing.T) {
	d := newDeployment(t)
	stop := make(chan struct{})
	var stopOnce sync.Once
	d.wrappedTarget("e1", platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
		switch {
		case r.URL.Path == "/v1/kv-move":
			body, _ := io.ReadAll(r.Body)
			if !strings.Contains(string(body), `"last":true`) {
				return false
			}
			stopOnce.Do(func() { close(stop) })
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"transfer_handle":"h","created":10}`)
			return true
		case r.Header.Get("X-Token-Usage") == "":
			return false
		case r.Header.Get("Kv-From") != "":
			continuesWhole(w, r)
			return true
		}
		s := startRawStream(w, r, inChunks, 0)
		s.write(eventTexts(1, endedEvents))
		<-stop
		s.end()
		return true
	}, `{"transfer_handle":"h","created":10}`)
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", endedEvents, 1)
	request.Header.Set("X-Token-Usage", "9000,9000") // a usage that leaves no memory for backups
	response, err := v.client.Do(request)
	require.NoError(t, err)
	d.target("e2", platformtest.EngineService)
	require.True(t, d.MarkLeaving("e1"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, eventTexts(1, endedEvents), string(body))
}
