package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
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
	d.requireNoOverlap(request.Header.Get("X-Attempt-Id"))
}

// TestSilenceWhileBackupCannotBeReached guards against a stream that is given up after a silence of its engine since no connection to
// its backup can be made meanwhile: the engine goes on.
func TestSilenceWhileBackupCannotBeReached(t *testing.T) {
	const (
		events  = 200
		silence = 2 * time.Second // longer than a connection may take
	)
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, "drafter")
	}
	d.configure("key-1")
	path, err := rig.NewPath(freePort(t), "")
	require.NoError(t, err)
	t.Cleanup(path.Close)
	link, err := rig.NewLink(freePort(t), path.Address)
	require.NoError(t, err)
	link.AddDelay(60 * time.Millisecond) // connections that usually take long are given more time
	v := d.start("vm-1", func(s *settings.Deployment) { s.Targets.Proxy = link.Address })
	response, err := v.client.Do(v.generation("/letters/1", events, 10))
	require.NoError(t, err)
	readEvents(t, response, events, func(number int) {
		if number == 60 {
			link.Stall()
			time.AfterFunc(silence, link.Unstall)
		}
	})
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
	const answerDelay = 1200 * time.Millisecond
	d := newDeployment(t)
	continued := make(chan time.Time, 1)
	for _, id := range []string{"e1", "e2"} {
		target := d.target(id, "drafter")
		target.SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Kv-From") != "" {
				continued <- time.Now()
				r.Header.Set(platformtest.HeaderPrefillMillis, fmt.Sprint(answerDelay.Milliseconds()))
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
	source := func() platformtest.Run { return d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0] }
	require.Eventually(t, func() bool { return !source().EndedAt.IsZero() }, waitTimeout, pollInterval)
	require.Less(t, source().EndedAt.Sub(began), overlapBound, "the source still works on the request")
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

// respondUnframed makes a target answer generations with the text after a header without length and chunks, and end the
// connection.
func respondUnframed(text string) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		proceed := make(chan struct{})
		close(proceed)
		return respondUnframedInParts(w, r, text, func() {}, proceed, "")
	}
}

// respondUnframedInParts is respondUnframed that calls begun after the first part and waits for proceed before the second.
func respondUnframedInParts(w http.ResponseWriter, r *http.Request, first string, begun func(), proceed chan struct{}, second string) bool {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return false
	}
	defer conn.Close()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: stamp.a\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), first)
	begun()
	<-proceed
	_, _ = io.WriteString(conn, second)
	return true
}

// TestUnframedStreamWithoutEventsLooksComplete guards against taking the end of a connection for the end of a stream that
// has brought no event, or that ends inside an event.
func TestUnframedStreamWithoutEventsLooksComplete(t *testing.T) {
	const first = "id: 1\ndata: part 1\n\n"
	for name, c := range map[string]struct {
		text  string
		whole bool
	}{
		"nothing": {"", false}, "a comment": {": busy\n\n", false}, "inside the first event": {"id: 1\nda", false},
		"inside a later event": {first + "id: 2\ndata", false}, "whole": {first, true}, "whole, and an empty line": {first + "\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			for _, id := range []string{"a", "b"} { // a second word on the end is needed
				d.target(id, "drafter").SetOverride(respondUnframed(c.text))
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			response, err := v.client.Do(v.generation("/checks/1", 1, 1))
			require.NoError(t, err)
			defer response.Body.Close()
			_, err = io.ReadAll(response.Body)
			require.Equal(t, c.whole, err == nil && response.StatusCode == http.StatusOK, "status %d, error %v", response.StatusCode, err)
		})
	}
}
