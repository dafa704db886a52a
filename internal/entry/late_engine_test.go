package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// evenGap is the time between two events of an engine that is slow within the route's longest gap (180 ms). Two events come later than
// the others, and still within that gap.
const (
	evenGap, lateGap = 130 * time.Millisecond, 175 * time.Millisecond
	evenEvents       = 30
)

var lateEvents = map[int]bool{14: true, 22: true}

// evenEngine sends events at an even pace. It stops a generation when asked to and has no room to take it back.
type evenEngine struct {
	stops, runs atomic.Int64
	mu          sync.Mutex
	stopped     map[string]chan struct{}
}

func newEvenEngine() *evenEngine { return &evenEngine{stopped: make(map[string]chan struct{})} }

// serveMove answers a call for a copy: there is no room for one, and one that asks for it ends the generation.
func (e *evenEngine) serveMove(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.WriteHeader(http.StatusServiceUnavailable)
	if !strings.Contains(string(body), `"last":true`) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, stopped := range e.stopped {
		if strings.Contains(string(body), id) {
			e.stops.Add(1)
			close(stopped)
			delete(e.stopped, id)
			_, _ = io.WriteString(w, `{"transfer_handle":"h","created":1}`)
		}
	}
}

func (e *evenEngine) serveRun(w http.ResponseWriter, r *http.Request) {
	e.runs.Add(1)
	stopped := make(chan struct{})
	e.mu.Lock()
	e.stopped[r.Header.Get("X-Attempt-Id")] = stopped
	e.mu.Unlock()
	s := startRawStream(w, r, inChunks, 0)
	for number := 1; number <= evenEvents; number++ {
		gap := evenGap
		if lateEvents[number] {
			gap = lateGap
		}
		select {
		case <-time.After(gap):
			s.write(eventText(number))
		case <-stopped:
			s.conn.Close()
			return
		}
	}
	s.end()
}

// TestLateEngineIsStoppedThoughItWorks guards against an even stream that is stopped, or moved, since one of its events comes a few
// milliseconds later than the others.
func TestLateEngineIsStoppedThoughItWorks(t *testing.T) {
	for name, goesOn := range map[string]bool{"backup refuses": false, "backup goes on": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var continued atomic.Int64
			engines := map[string]*evenEngine{"e1": newEvenEngine(), "e2": newEvenEngine()}
			for id, engine := range engines {
				d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
					switch {
					case r.URL.Path == "/v1/kv-move":
						engine.serveMove(w, r)
					case r.Header.Get("X-Token-Usage") == "":
						return false
					case r.Header.Get("Kv-From") == "":
						engine.serveRun(w, r)
					case goesOn:
						_, _ = io.Copy(io.Discard, r.Body) // net/http notices that a connection closes once the body is read
						select {
						case <-time.After(200 * time.Millisecond):
							continued.Add(1)
							engine.serveRun(w, r)
						case <-r.Context().Done():
						}
					default:
						time.Sleep(200 * time.Millisecond)
						refuseRun(w, r)
					}
					return true
				}, "")
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			v.requireWhole([]*http.Request{v.generation("/letters/1", evenEvents, 10), v.generation("/letters/2", evenEvents, 10)}, evenEvents)
			for _, engine := range engines {
				require.Zero(t, engine.stops.Load(), "an engine that works was stopped")
			}
			require.EqualValues(t, 2, engines["e1"].runs.Load()+engines["e2"].runs.Load())
			require.Zero(t, continued.Load(), "a stream left an engine that works")
		})
	}
}
