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

func (d *deployment) wrappedMoves(id string, offer func(http.ResponseWriter, *http.Request) bool, onLast func()) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := d.AddVersion(id, listener.Addr().String(), platformtest.EngineService, zone, "v1")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-move" {
			body, _ := io.ReadAll(r.Body)
			if strings.Contains(string(body), `"last":true`) {
				onLast()
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		} else if offer(w, r) {
			return
		}
		target.ServeHTTP(w, r)
	})}
	go server.Serve(listener)
	d.t.Cleanup(func() { server.Close() })
}

// TestStreamIsLostWhenTheSourceResetsItsResumption guards against a stream that is lost since the engine which keeps its memory resets one call.
func TestStreamIsLostWhenTheSourceResetsItsResumption(t *testing.T) {
	t.Parallel()
	const events = 150
	d := newDeployment(t)
	var calls atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			switch {
			case r.Header.Get("Kv-From") == "":
				return false
			case isForBackup(r):
				refuseRun(w, r)
				return true
			}
			switch calls.Add(1) {
			case 1:
				refuseRun(w, r) // the destination
			case 2:
				resetConnection(w, r) // the source, that has not begun
			default:
				return false
			}
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", events, 10)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, events, func(number int) {
		if number == 30 {
			d.MarkLeaving(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target)
		}
	})
}

// TestSlowSourceAndBackupWorkTogether guards against two engines that work on one generation since the leaving one sends events with long gaps.
func TestSlowSourceAndBackupWorkTogether(t *testing.T) {
	for _, gap := range []int{500, 800, 1200} {
		t.Run(fmt.Sprint(gap), func(t *testing.T) {
			t.Parallel()
			const events = 6
			d := newDeployment(t)
			for number := range 3 {
				d.target(fmt.Sprint("e", number), platformtest.EngineService)
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation("/letters/1", events, gap)
			request.Header.Set("X-Deadline-Ms", "30000")
			response, err := v.client.Do(request)
			require.NoError(t, err)
			readEvents(t, response, events, func(number int) {
				if number == 2 {
					d.MarkLeaving(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target)
				}
			})
			d.requireNoOverlap(request.Header.Get("X-Attempt-Id"))
		})
	}
}

// TestLeavingEngineGetsRequestsLate guards against a generation that is stopped and resumed at a leaving engine without end.
func TestLeavingEngineGetsRequestsLate(t *testing.T) {
	t.Parallel()
	const (
		events  = 500
		drainMs = 3000
	)
	d := newDeployment(t)
	var mu sync.Mutex
	var markedAt time.Time
	var late []time.Duration
	requests := 0
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	target := d.AddVersion("e1", listener.Addr().String(), platformtest.EngineService, zone, "v1")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-move" {
			body, _ := io.ReadAll(r.Body)
			target.SetRefuseCopies(strings.Contains(string(body), `"last":true`)) // the destination has filled up in between
			r.Body = io.NopCloser(strings.NewReader(string(body)))
		}
		if r.Header.Get("Kv-From") != "" {
			mu.Lock()
			requests++
			if since := time.Since(markedAt); since > drainMs*time.Millisecond {
				late = append(late, since.Round(time.Millisecond))
			}
			mu.Unlock()
		}
		target.ServeHTTP(w, r)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", events, 10))
	require.NoError(t, err)
	d.target("e2", platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("Kv-From") != "" {
			refuseRun(w, r)
			return true
		}
		return false
	}) // too late to be the backup
	readEvents(t, response, events, func(number int) {
		if number == 30 {
			mu.Lock()
			markedAt = time.Now()
			mu.Unlock()
			d.MarkLeaving("e1")
		}
	})
	mu.Lock()
	defer mu.Unlock()
	t.Logf("%d resumptions, late: %v", requests, late)
	require.Empty(t, late, "a leaving engine got requests after drain_ms")
}

// TestMemoryIsGivenUpThoughItIsKept guards against a stream that is given up while a crowded engine keeps its memory.
func TestMemoryIsGivenUpThoughItIsKept(t *testing.T) {
	t.Parallel()
	const events = 150
	d := newDeployment(t)
	var firstAt atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Kv-From") == "" {
				return false
			}
			firstAt.CompareAndSwap(0, time.Now().UnixNano())
			if isForBackup(r) || time.Since(time.Unix(0, firstAt.Load())) < time.Second {
				refuseRun(w, r)
				return true
			}
			return false
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", events, 10)
	request.Header.Set(platformtest.HeaderSilentAfter, "30") // preempted; not leaving
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, events, nil)
}

// TestStatedEndIsLostAfterItsEngineHasGone guards against a stated end that counts for nothing since its engine has gone.
func TestStatedEndIsLostAfterItsEngineHasGone(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	stop := make(chan struct{})
	var once sync.Once
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	target := d.AddVersion("e1", listener.Addr().String(), platformtest.EngineService, zone, "v1")
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/kv-move":
			body, _ := io.ReadAll(r.Body)
			if strings.Contains(string(body), `"last":true`) {
				once.Do(func() { close(stop) })
				resetConnection(w, r)
				return
			}
			fmt.Fprint(w, `{"transfer_handle":"h","created":6}`)
		case r.Header.Get("X-Token-Usage") == "":
			target.ServeHTTP(w, r)
		default:
			s := startRawStream(w, r, inChunks, 0)
			s.write(eventTexts(1, breakAfter))
			<-stop
			listener.Close()
			s.write(eventTexts(breakAfter+1, endedEvents))
			s.end()
		}
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", endedEvents, 1))
	require.NoError(t, err)
	d.target("e2", platformtest.EngineService)
	require.True(t, d.MarkLeaving("e1"))
	body, err := io.ReadAll(response.Body)
	require.Equal(t, eventTexts(1, endedEvents), string(body))
	require.NoError(t, err)
}

// TestManyStreamsOfALeavingEngineWhoseBackupsAreLate guards against streams that end with a leaving engine since late backups were given up and the moves do not fit.
func TestManyStreamsOfALeavingEngineWhoseBackupsAreLate(t *testing.T) {
	for _, delay := range []int{100, 200, 300} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			t.Parallel()
			const (
				streams, events = 32, 400
				notice          = 2 * time.Second
			)
			d := newDeployment(t)
			var first *platformtest.Target
			for number := range 4 {
				target := d.target(fmt.Sprint("e", number), platformtest.EngineService)
				target.SetCopyTime(300 * time.Millisecond)
				target.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
					if isForBackup(r) {
						time.Sleep(time.Duration(delay) * time.Millisecond)
					}
					return false
				})
				if number == 0 {
					first = target
				}
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			time.AfterFunc(1500*time.Millisecond, func() {
				d.MarkLeaving("e0")
				time.AfterFunc(notice, first.Kill)
			})
			var requests []*http.Request
			for range streams {
				requests = append(requests, v.generation("/letters/1", events, 10))
			}
			v.requireWhole(requests, events)
		})
	}
}
