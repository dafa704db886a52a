package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// versionedDeployment starts a deployment with as many engines of each of two software versions.
func versionedDeployment(t *testing.T, enginesPerVersion int) *deployment {
	t.Helper()
	d := newDeployment(t)
	for _, version := range []string{"v1", "v2"} {
		for i := range enginesPerVersion {
			d.targetOfVersion(fmt.Sprintf("%s-%d", version, i+1), "drafter", version)
		}
	}
	d.configure("key-1")
	return d
}

// readSome reads up to the given number of events and returns the number of the last one. It returns fewer if the stream ends.
func readSome(response *http.Response, count int) (last int) {
	lines := bufio.NewScanner(response.Body)
	for last < count && lines.Scan() {
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &last); err != nil {
			continue
		}
	}
	return last
}

// resumption returns the request by which a caller resumes the stream after its last event.
func (v *vm) resumption(first *http.Request, events, gapMillis, last int) *http.Request {
	v.t.Helper()
	request := v.generation(first.URL.Path, events, gapMillis)
	request.Header.Set("Last-Event-Id", fmt.Sprint(last))
	request.Header.Set("Resumes", first.Header.Get("X-Attempt-Id"))
	return request
}

// requireOneVersion requires that all runs of the caller's attempts were of one version.
func (d *deployment) requireOneVersion(attempts ...*http.Request) {
	d.t.Helper()
	var runs []platformtest.Run
	for _, attempt := range attempts {
		runs = append(runs, d.Cluster.Runs(attempt.Header.Get("X-Attempt-Id"))...)
	}
	require.NotEmpty(d.t, runs)
	for _, run := range runs {
		require.Equal(d.t, runs[0].Version, run.Version, "the stream began at %s and continued at %s", runs[0].Target, run.Target)
	}
}

// TestStreamContinuesAtAnotherVersion guards against streams that hold events of two software versions, on every way by
// which a stream continues.
func TestStreamContinuesAtAnotherVersion(t *testing.T) {
	const (
		streams = 8
		events  = 60
	)
	continueStreams := func(t *testing.T, path string, gapMillis int, fault, afterEvent string) {
		d := versionedDeployment(t, 2)
		v := d.start("vm-1", nil)
		for range streams {
			request := v.generation(path, events, gapMillis)
			request.Header.Set(fault, afterEvent)
			response, err := v.client.Do(request)
			require.NoError(t, err)
			readEvents(t, response, events, nil)
			d.requireOneVersion(request)
		}
	}
	t.Run("engine breaks off", func(t *testing.T) {
		t.Parallel()
		continueStreams(t, "/checks/1", 1, platformtest.HeaderBreakAfter, "3")
	})
	t.Run("engine leaves", func(t *testing.T) {
		t.Parallel()
		for range streams {
			d := versionedDeployment(t, 2)
			v := d.start("vm-1", nil)
			request := v.generation("/letters/1", events, 10)
			request.Header.Set("X-Token-Usage", "9000,9000") // too large for copies, so that it moves
			response, err := v.client.Do(request)
			require.NoError(t, err)
			readEvents(t, response, events, func(number int) {
				if number == 10 {
					d.MarkLeaving(d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))[0].Target)
				}
			})
			d.requireOneVersion(request)
		}
	})
	t.Run("engine falls silent", func(t *testing.T) {
		t.Parallel()
		continueStreams(t, "/letters/1", 5, platformtest.HeaderSilentAfter, "20")
	})
	t.Run("resumed at the same VM", func(t *testing.T) {
		t.Parallel()
		d := versionedDeployment(t, 2)
		v := d.start("vm-1", nil)
		for range streams {
			first := v.generation("/checks/1", events, 5)
			response, err := v.client.Do(first)
			require.NoError(t, err)
			last := readSome(response, 5)
			response.Body.Close()
			second := v.resumption(first, events, 1, last)
			response, err = v.client.Do(second)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, events, readSome(response, events))
			response.Body.Close()
			d.requireOneVersion(first, second)
		}
	})
	t.Run("resumed after the VM was killed", func(t *testing.T) {
		t.Parallel()
		d := versionedDeployment(t, 2)
		vms := d.startFleet(4)
		time.Sleep(time.Second) // for the VMs to read the directory
		attempts := make([][]*http.Request, streams)
		lasts := make([]int, streams)
		for i := range streams {
			first := vms[0].generation("/checks/1", 500, 20)
			response, err := vms[0].client.Do(first)
			require.NoError(t, err)
			defer response.Body.Close()
			lasts[i] = readSome(response, 2)
			attempts[i] = append(attempts[i], first)
		}
		vms[0].kill()
		<-vms[0].stopped
		for i := range streams {
			v := vms[1+i%3]
			second := v.resumption(attempts[i][0], 100, 1, lasts[i])
			response, err := v.client.Do(second)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, 100, readSome(response, 100))
			response.Body.Close()
			d.requireOneVersion(attempts[i][0], second)
		}
	})
	t.Run("no engine of the version is left", func(t *testing.T) {
		t.Parallel()
		for range streams {
			d := versionedDeployment(t, 1)
			v := d.start("vm-1", nil)
			first := v.generation("/checks/1", events, 1)
			first.Header.Set(platformtest.HeaderBreakAfter, "3")
			response, err := v.client.Do(first)
			require.NoError(t, err)
			last := readSome(response, events)
			response.Body.Close()
			require.Equal(t, 3, last)
			begun := d.Cluster.Runs(first.Header.Get("X-Attempt-Id"))[0]
			d.Unregister(begun.Target)
			require.Eventually(t, func() bool {
				second := v.resumption(first, events, 1, last)
				response, body := v.do(second)
				return response.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, begun.Version) &&
					len(d.Cluster.Runs(second.Header.Get("X-Attempt-Id"))) == 0
			}, waitTimeout, pollInterval)
			d.requireOneVersion(first)
		}
	})
	t.Run("nobody knows where the stream began", func(t *testing.T) {
		t.Parallel()
		d := versionedDeployment(t, 1)
		v := d.start("vm-1", nil)
		unknown := v.generation("/checks/9", 1, 1)
		for _, resumes := range []string{unknown.Header.Get("X-Attempt-Id"), ""} {
			request := v.resumption(unknown, events, 1, 4)
			request.Header.Set("Resumes", resumes)
			response, _ := v.do(request)
			require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			require.Empty(t, d.Cluster.Runs(request.Header.Get("X-Attempt-Id")))
		}
	})
}
