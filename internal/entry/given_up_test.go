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

	"godwitcart/internal/settings"
	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// requireWhole requires that the answers to the requests are whole streams of the given number of events.
func (v *vm) requireWhole(requests []*http.Request, events int) {
	v.t.Helper()
	var callers sync.WaitGroup
	var mu sync.Mutex
	var broken []string
	for _, request := range requests {
		callers.Go(func() {
			if err := v.readWhole(request, events); err != nil {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("%s: %v", request.Header.Get("X-Attempt-Id"), err))
			}
		})
	}
	callers.Wait()
	require.Empty(v.t, broken, "of %d streams", len(requests))
}

func (v *vm) readWhole(request *http.Request, events int) error {
	response, err := v.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("broken off after %d events: %w", strings.Count(string(body), "id: "), err)
	}
	for number := 1; number <= events; number++ {
		if strings.Count(string(body), fmt.Sprintf("id: %d\n", number)) != 1 {
			return fmt.Errorf("event %d is missing or comes twice", number)
		}
	}
	return nil
}

func isForBackup(r *http.Request) bool {
	return strings.HasSuffix(r.Header.Get("Kv-From"), "/"+r.Header.Get("X-Attempt-Id"))
}

func refuseRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	respondNotRun(w)
}

// TestStreamOfLeavingEngineEndsBeforeItsBackupRefuses guards against a leaving engine that is given up, though it works, before its backup has answered.
func TestStreamOfLeavingEngineEndsBeforeItsBackupRefuses(t *testing.T) {
	const (
		streams = 16
		events  = 200
	)
	for _, delay := range []int{20, 100, 200, 300, 600, 1500} {
		t.Run(fmt.Sprint(delay, " ms"), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for number := range 4 {
				target := d.target(fmt.Sprint("e", number), platformtest.EngineService)
				target.SetRefuseCopies(true)
				target.SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
					if isForBackup(r) {
						time.Sleep(time.Duration(delay) * time.Millisecond)
						refuseRun(w, r)
						return true
					}
					return false
				})
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			time.AfterFunc(800*time.Millisecond, func() { d.MarkLeaving("e0") })
			var requests []*http.Request
			for range streams {
				requests = append(requests, v.generation("/letters/1", events, 10))
			}
			v.requireWhole(requests, events)
		})
	}
}

// TestStreamOfLeavingEngineIsLostWhenItsBackupTakesLong guards against streams that end since their backup begins late or not at all.
func TestStreamOfLeavingEngineIsLostWhenItsBackupTakesLong(t *testing.T) {
	const events = 200
	for _, delay := range []int{100, 200, 300, 600} {
		t.Run(fmt.Sprint(delay, " ms"), func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for number := range 4 {
				target := d.target(fmt.Sprint("e", number), platformtest.EngineService)
				target.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
					if isForBackup(r) {
						time.Sleep(time.Duration(delay) * time.Millisecond)
					}
					return false
				})
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			time.AfterFunc(800*time.Millisecond, func() { d.MarkLeaving("e0") })
			var requests []*http.Request
			for range 16 {
				requests = append(requests, v.generation("/letters/1", events, 10))
			}
			v.requireWhole(requests, events)
		})
	}
}

// TestSourceIsGivenUpForAWrongAnswer guards against a working engine that is given up since another has answered, though not with the next event.
func TestSourceIsGivenUpForAWrongAnswer(t *testing.T) {
	const events = 200
	for name, answer := range platformtest.WrongContinuations {
		if name == "from the start" {
			continue // a right answer: what the caller has is dropped
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for number := range 3 {
				target := d.target(fmt.Sprint("e", number), platformtest.EngineService)
				target.SetRefuseCopies(true)
				target.SetContinuation(func(t *platformtest.Target, w http.ResponseWriter, r *http.Request) bool {
					return isForBackup(r) && answer(t, w, r)
				})
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			time.AfterFunc(800*time.Millisecond, func() { d.MarkLeaving("e0") })
			var requests []*http.Request
			for range 6 {
				requests = append(requests, v.generation("/letters/1", events, 10))
			}
			v.requireWhole(requests, events)
		})
	}
}

// TestRunIsLostWithItsConnection guards against a stream that ends with the connection to an engine that still works on it.
func TestRunIsLostWithItsConnection(t *testing.T) {
	for name, backup := range map[string]func(http.ResponseWriter, *http.Request){"backup refuses": refuseRun, "backup resets": resetConnection, "no backup": nil} {
		t.Run(name, func(t *testing.T) { testRunIsLostWithItsConnection(t, backup) })
	}
}

// testRunIsLostWithItsConnection starts the second engine before the stream, to be its backup, or after it if backup is nil.
func testRunIsLostWithItsConnection(t *testing.T, backup func(http.ResponseWriter, *http.Request)) {
	const events = 200
	d := newDeployment(t)
	start := func(id string) {
		d.stubbornTargets(id)[id].SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if isForBackup(r) {
				backup(w, r)
			}
			return isForBackup(r)
		})
	}
	start("e1")
	if backup != nil {
		start("e2")
	}
	d.configure("key-1")
	path, err := rig.NewPath(freePort(t), "")
	require.NoError(t, err)
	t.Cleanup(path.Close)
	link, err := rig.NewLink(freePort(t), path.Address)
	require.NoError(t, err)
	v := d.start("vm-1", func(s *settings.Deployment) { s.Targets.Proxy = link.Address })
	request := v.generation("/letters/1", events, 10)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, events, func(number int) {
		if number == 10 && backup == nil {
			start("e2")
		}
		if number == 60 {
			link.Reset()
		}
	})
	d.requireNoOverlap(request.Header.Get("X-Attempt-Id"))
}

// resetConnection ends the connection of a request without an answer.
func resetConnection(w http.ResponseWriter, _ *http.Request) {
	conn := hijack(w)
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// TestMoveIsLostWhenItsDestinationResets guards against a stream that is lost since the engine to which it was moved resets the call.
func TestMoveIsLostWhenItsDestinationResets(t *testing.T) {
	const events = 150
	d := newDeployment(t)
	var reset atomic.Bool
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			switch {
			case isForBackup(r):
				refuseRun(w, r)
			case strings.Contains(r.Header.Get("Kv-From"), "/h-") && !reset.Swap(true):
				resetConnection(w, r)
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
	require.True(t, reset.Load())
}

// TestMoveIsGivenUpAfterOneReset guards against a stream that stays at a leaving engine, and ends with it, since one call for a copy was reset.
func TestMoveIsGivenUpAfterOneReset(t *testing.T) {
	const (
		events = 300
		resets = 2
		notice = 1700 * time.Millisecond
	)
	d := newDeployment(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	source := d.AddVersion("e1", listener.Addr().String(), platformtest.EngineService, zone, "v1")
	var copies atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/kv-move" && copies.Add(1) <= resets {
			resetConnection(w, r)
			return
		}
		source.ServeHTTP(w, r)
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	d.configure("key-1")
	v := d.start("vm-1", nil)
	response, err := v.client.Do(v.generation("/letters/1", events, 10))
	require.NoError(t, err)
	d.target("e2", platformtest.EngineService) // too late to be the backup
	readEvents(t, response, events, func(number int) {
		if number == 30 {
			d.MarkLeaving("e1")
			time.AfterFunc(notice, source.Kill)
		}
	})
	require.Greater(t, copies.Load(), int64(resets))
}

// TestStreamIsLostAfterItsMemoryIsRefusedOnce guards against a stream that is given up while the engine that was stopped for a move keeps its memory.
func TestStreamIsLostAfterItsMemoryIsRefusedOnce(t *testing.T) {
	const events = 150
	d := newDeployment(t)
	var refusals atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			isRefused := r.Header.Get("Kv-From") != "" && (isForBackup(r) || refusals.Add(1) <= 3) // the destination, and twice the source
			if isRefused {
				refuseRun(w, r)
			}
			return isRefused
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
	require.Greater(t, refusals.Load(), int64(3))
}
