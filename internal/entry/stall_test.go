package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

const (
	stallEvents = 60
	// stallAfter is the event after which a connection falls silent.
	stallAfter = 30
	// maxStallTime is well before the deadline (10 s), and before callers abandon a stream whose objective is 1.5 s (6 s).
	maxStallTime = 5 * time.Second
)

// TestStreamOnASilentConnectionWaitsForItsDeadline guards against a stream whose connection has gone silent for good, and that waits there
// until its deadline though it may be resumed elsewhere, or though its engine keeps its memory when asked to stop.
func TestStreamOnASilentConnectionWaitsForItsDeadline(t *testing.T) {
	t.Run("resumable", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		var runs atomic.Int64
		for _, id := range []string{"e1", "e2"} {
			d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("X-Token-Usage") == "" {
					return false
				}
				s := startRawStream(w, r, inChunks, 0)
				after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				isFirst := runs.Add(1) == 1
				for number := after + 1; number <= stallEvents; number++ {
					if isFirst && number > stallAfter {
						time.Sleep(maxStallTime)
						return true
					}
					s.write(eventText(number))
					time.Sleep(10 * time.Millisecond)
				}
				s.end()
				return true
			}, "")
		}
		d.configure("key-1")
		v := d.start("vm-1", nil)
		requireWholeInTime(t, v, v.generation("/checks/1", stallEvents, 10))
		require.EqualValues(t, 2, runs.Load())
	})
	t.Run("without a backup", func(t *testing.T) {
		t.Parallel()
		d := newDeployment(t)
		d.target("e1", platformtest.EngineService)
		d.configure("key-1")
		v := d.start("vm-1", nil)
		request := v.generation("/letters/1", stallEvents, 10)
		request.Header.Set(platformtest.HeaderSilentAfter, strconv.Itoa(stallAfter))
		sentAt := time.Now()
		response, err := v.client.Do(request)
		require.NoError(t, err)
		d.target("e2", platformtest.EngineService) // too late to be the backup
		readEvents(t, response, stallEvents, nil)
		require.Less(t, time.Since(sentAt), maxStallTime)
	})
}

// TestDeniedRunIsAwaitedUntilTheDeadline guards against a stream whose engine denies that it runs the generation, and that is awaited until
// the deadline all the same; and against one that is given up while its generation waits in the queue of the engine, which denies it, too.
func TestDeniedRunIsAwaitedUntilTheDeadline(t *testing.T) {
	for name, waits := range map[string]bool{"has ended": false, "waits in the queue": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			pause := 7 * time.Second // nearly until the deadline
			if waits {
				pause /= 2
			}
			d := newDeployment(t)
			for _, id := range []string{"e1", "e2"} {
				d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
					switch {
					case r.URL.Path == "/v1/kv-move":
						w.WriteHeader(http.StatusNotFound)
						return true
					case r.URL.Path == "/v1/report":
						queued := 0
						if waits {
							queued = 1
						}
						fmt.Fprintf(w, `{"state":"ready","queued":%d}`, queued)
						return true
					case r.Header.Get("X-Token-Usage") == "":
						return false
					case r.Header.Get("Kv-From") != "":
						refuseRun(w, r)
						return true
					}
					s := startRawStream(w, r, inChunks, 0)
					s.write(eventTexts(1, stallAfter))
					time.Sleep(pause)
					if waits {
						s.write(eventTexts(stallAfter+1, stallEvents))
						s.end()
					}
					return true
				}, "")
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			sentAt := time.Now()
			err := v.readWhole(v.generation("/letters/1", stallEvents, 10), stallEvents)
			if waits {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			require.Less(t, time.Since(sentAt), maxStallTime)
		})
	}
}

// requireWholeInTime requires a whole answer within maxStallTime.
func requireWholeInTime(t *testing.T, v *vm, request *http.Request) {
	t.Helper()
	sentAt := time.Now()
	require.NoError(t, v.readWhole(request, stallEvents))
	require.Less(t, time.Since(sentAt), maxStallTime)
}
