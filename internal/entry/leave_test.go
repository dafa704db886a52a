package entry_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

const (
	// overlapBound is the users' bound on how long a target may work on a request that goes on at another one.
	overlapBound = 400 * time.Millisecond
	// leftBound is the users' bound on how long a target may work on a request whose caller has gone.
	leftBound = 500 * time.Millisecond
)

// stubbornTargets starts engines that do not drop a run when its connection is closed.
func (d *deployment) stubbornTargets(ids ...string) map[string]*platformtest.Target {
	d.t.Helper()
	targets := make(map[string]*platformtest.Target)
	for _, id := range ids {
		targets[id] = d.target(id, platformtest.EngineService)
		targets[id].SetIgnoresCloses(true)
	}
	return targets
}

// requireNoOverlap requires that no target worked on the request for longer than overlapBound after another had begun.
func (d *deployment) requireNoOverlap(id string) {
	d.t.Helper()
	time.Sleep(overlapBound + leftBound) // runs that are left end within it, or are reported
	for _, overlap := range platformtest.Overlaps(d.Cluster.Runs(id), overlapBound, time.Now()) {
		d.t.Errorf("%s goes on at %s, and %s works on it for %v more", id, overlap.After.Target, overlap.Before.Target, overlap.Duration)
	}
}

// TestLeftRunsStop guards against two engines that work on one generation: an engine that does not notice the end of its
// connection works on after the generation has gone on elsewhere.
func TestLeftRunsStop(t *testing.T) {
	const events = 200
	cases := map[string]struct {
		path string
		// trouble makes the stream leave the engine that runs it.
		trouble func(d *deployment, link *rig.Link, running *platformtest.Target)
		silent  string
	}{
		"slow":             {"/letters/1", func(_ *deployment, _ *rig.Link, running *platformtest.Target) { running.SetSlowness(60) }, ""},
		"silent":           {"/letters/1", nil, "30"},
		"leaving":          {"/letters/1", func(d *deployment, _ *rig.Link, running *platformtest.Target) { d.MarkLeaving(running.ID) }, ""},
		"connection reset": {"/letters/1", func(_ *deployment, link *rig.Link, _ *platformtest.Target) { link.Reset() }, ""},
		"resumable, reset": {"/checks/1", func(_ *deployment, link *rig.Link, _ *platformtest.Target) { link.Reset() }, ""},
		"no room for a move": {"/letters/1", func(_ *deployment, _ *rig.Link, running *platformtest.Target) {
			running.SetRefuseCopies(true)
			running.SetSlowness(60)
		}, ""},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			targets := d.stubbornTargets("e1", "e2", "e3")
			d.configure("key-1")
			path, err := rig.NewPath(freePort(t), "")
			require.NoError(t, err)
			t.Cleanup(path.Close)
			link, err := rig.NewLink(freePort(t), path.Address)
			require.NoError(t, err)
			v := d.start("vm-1", func(s *settings.Deployment) { s.Targets.Proxy = link.Address })
			request := v.generation(test.path, events, 10)
			request.Header.Set(platformtest.HeaderSilentAfter, test.silent)
			id := request.Header.Get("X-Attempt-Id")
			response, err := v.client.Do(request)
			require.NoError(t, err)
			readEvents(t, response, events, func(number int) {
				if number == 60 && test.trouble != nil {
					test.trouble(d, link, targets[d.Cluster.Runs(id)[0].Target])
				}
			})
			require.Greater(t, len(d.Cluster.Runs(id)), 1, "the stream did not leave its engine")
			d.requireNoOverlap(id)
		})
	}
}

// TestRunOfWrongContinuationStops guards against an engine that works on a request whose answer was given up because it does
// not continue the stream.
func TestRunOfWrongContinuationStops(t *testing.T) {
	d := newDeployment(t)
	targets := d.stubbornTargets("e1", "e2", "e3")
	skips := make(chan struct{}, 1)
	skips <- struct{}{}
	for _, target := range targets {
		target.SetContinuation(func(t *platformtest.Target, w http.ResponseWriter, r *http.Request) bool {
			select {
			case <-skips:
				return platformtest.AnswerFromEvent(func(after int) int { return after + 3 })(t, w, r)
			default:
				return false
			}
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/checks/1", 200, 10)
	request.Header.Set(platformtest.HeaderBreakAfter, "30")
	response, err := v.client.Do(request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	require.Error(t, err, "the route allows two attempts")
	time.Sleep(leftBound)
	require.Zero(t, activeRuns(targets), "an engine works on though its answer was given up")
}

func activeRuns(targets map[string]*platformtest.Target) int {
	count := 0
	for _, target := range targets {
		count += target.ActiveCount()
	}
	return count
}

// TestRunOfGoneCallerStops guards against an engine that works on for callers that have gone because it does not notice the end
// of its connection.
func TestRunOfGoneCallerStops(t *testing.T) {
	for name, path := range map[string]string{"run once": "/letters/1", "resumable": "/checks/1"} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			targets := d.stubbornTargets("e1", "e2")
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation(path, 1000, 10)
			response, err := v.client.Do(request)
			require.NoError(t, err)
			_, err = io.ReadFull(response.Body, make([]byte, 100))
			require.NoError(t, err)
			response.Body.Close()
			time.Sleep(leftBound)
			require.Zero(t, activeRuns(targets), "an engine works on for a caller that has gone")
		})
	}
}

// TestRunsStopWithTheirVM guards against engines that work on the streams that a VM cuts off at the end of its grace time.
func TestRunsStopWithTheirVM(t *testing.T) {
	d := newDeployment(t)
	targets := d.stubbornTargets("e1", "e2")
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Bounds.GraceSeconds = 1 })
	response, err := v.client.Do(v.generation("/letters/1", 1000, 10))
	require.NoError(t, err)
	defer response.Body.Close()
	v.entry.Shutdown()
	_, err = io.Copy(io.Discard, response.Body)
	require.Error(t, err, "the stream was not cut off")
	<-v.stopped
	require.Zero(t, activeRuns(targets), "an engine works on for a VM that has ended")
}

// TestLeavingAnUnreachableEngine guards against a stream that waits for an engine which cannot tell that it has stopped: the
// stream goes on at once, within the longest gap of its route.
func TestLeavingAnUnreachableEngine(t *testing.T) {
	faults := map[string]func(link *rig.Link){
		"answers nothing": (*rig.Link).Stall,
		"crashes":         (*rig.Link).Cut,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t)
			links := make(map[string]*rig.Link)
			for _, id := range []string{"e1", "e2"} {
				target := d.target(id, platformtest.EngineService)
				link, err := rig.NewLink(freePort(t), target.Address)
				require.NoError(t, err)
				target.Address, links[id] = link.Address, link
				d.Register(target, platformtest.EngineService, zone)
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			request := v.generation("/letters/1", 120, 10)
			id := request.Header.Get("X-Attempt-Id")
			response, err := v.client.Do(request)
			require.NoError(t, err)
			var lastEventAt time.Time
			var longestGap time.Duration
			readEvents(t, response, 120, func(number int) {
				if number == 60 {
					fault(links[d.Cluster.Runs(id)[0].Target])
				}
				if number > 60 {
					longestGap = max(longestGap, time.Since(lastEventAt))
				}
				lastEventAt = time.Now()
			})
			t.Logf("longest gap %v", longestGap)
			runs := d.Cluster.Runs(id)
			require.Len(t, runs, 2)
			require.True(t, runs[1].Continued)
		})
	}
}

// TestRefusingBackupIsNotAskedAgain guards against a run-once stream that is sent again and again to an engine without a copy of
// it: each time, an engine that fails requests may run it again.
func TestRefusingBackupIsNotAskedAgain(t *testing.T) {
	const events = 200 // with the silences, less than the caller's deadline
	d := newDeployment(t)
	var asked atomic.Int64
	targets := make(map[string]*platformtest.Target)
	for _, id := range []string{"e1", "e2"} {
		targets[id] = d.target(id, platformtest.EngineService)
		targets[id].SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			attempt := r.Header.Get("X-Attempt-Id")
			isBackup := r.Header.Get("Kv-From") != "" && strings.HasSuffix(r.Header.Get("Kv-From"), "/"+attempt)
			if isBackup {
				asked.Add(1)
				w.Header().Set("X-Attempt-Id", attempt)
				respondNotRun(w)
			}
			return isBackup
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", events, 10)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, events, func(number int) {
		for _, target := range targets {
			target.SetSlowness(map[bool]int{true: 60}[number%100 == 60])
		}
	})
	require.EqualValues(t, 1, asked.Load(), "requests to the engine without a copy")
	for _, run := range d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[1:] {
		require.True(t, run.Continued, "the generation ran again")
	}
}

// TestEngineThatIsSlowWithinTheGapIsKept guards against streams that leave engines which are slow, but in time for their routes.
func TestEngineThatIsSlowWithinTheGapIsKept(t *testing.T) {
	const events = 120
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService)
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", events, 20)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, events, func(number int) {
		if number == 60 {
			for _, target := range d.Targets() {
				target.SetSlowness(5) // 100 ms between events, of 180 allowed
			}
		}
	})
	require.Len(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")), 1, "the stream left its engine")
}

// TestMoveGoesOnWhenItsDestinationRefuses guards against a stream that is lost since the engine to which it was moved refuses it or
// cannot be reached, though the engine that was stopped for the move keeps its memory.
func TestMoveGoesOnWhenItsDestinationRefuses(t *testing.T) {
	d := newDeployment(t)
	var refused atomic.Bool
	for _, id := range []string{"e1", "e2"} {
		d.target(id, platformtest.EngineService).SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			from := r.Header.Get("Kv-From")
			isMove := strings.Contains(from, "/h-")
			if from == "" || isMove && refused.Swap(true) {
				return false // a backup always refuses, the destination of a move once
			}
			w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
			respondNotRun(w)
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	request := v.generation("/letters/1", 120, 10)
	response, err := v.client.Do(request)
	require.NoError(t, err)
	readEvents(t, response, 120, func(number int) {
		if number == 30 {
			d.MarkLeaving(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target)
		}
	})
	require.True(t, refused.Load())
}
