package entry_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/internal/stand/rig"
)

const resumedEvents = 60

// beginAt begins a resumable stream at an engine of the version, and returns it with the last event that its caller has received
// before its connection broke.
func (d *deployment) beginAt(v *vm, version string) (first *http.Request, last int) {
	d.t.Helper()
	for range 200 {
		first = v.generation("/checks/1", resumedEvents, 5)
		response, err := v.client.Do(first)
		require.NoError(d.t, err)
		last = readSome(response, 3)
		response.Body.Close()
		if runs := d.Cluster.Runs(first.Header.Get("X-Attempt-Id")); len(runs) > 0 && runs[0].Version == version {
			return first, last
		}
		time.Sleep(pollInterval)
	}
	require.Fail(d.t, "no stream began", "version %s", version)
	return nil, 0
}

// resume resumes the stream at the VM and requires that it does not change its version. It reports whether the stream went on.
func (d *deployment) resume(v *vm, first *http.Request, last int, isNamed bool) bool {
	d.t.Helper()
	second := v.resumption(first, resumedEvents, 1, last)
	if !isNamed {
		second.Header.Del("Resumes")
	}
	response, err := v.client.Do(second)
	require.NoError(d.t, err)
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		require.Equal(d.t, http.StatusServiceUnavailable, response.StatusCode)
		require.Empty(d.t, d.Cluster.Runs(second.Header.Get("X-Attempt-Id")))
		return false
	}
	require.Equal(d.t, resumedEvents, readSome(response, resumedEvents))
	d.requireOneVersion(first, second)
	return true
}

func describe(isNamed bool) string {
	if isNamed {
		return "named"
	}
	return "not named"
}

// TestStreamsResumedAfterAllVMsRestarted guards against streams that hold events of two software versions since all VMs lost power, and
// those that started again know only the versions that serve then. Where there has been one version, streams go on.
func TestStreamsResumedAfterAllVMsRestarted(t *testing.T) {
	cases := map[string]struct {
		versions []string
		// left is the version whose engines leave before or while the VMs are away.
		left       string
		leftBefore bool
		wantResume bool
	}{
		"two versions serve":             {versions: []string{"v1", "v2"}},
		"the old one has just left":      {versions: []string{"v1", "v2"}, left: "v1", leftBefore: true},
		"the old one leaves meanwhile":   {versions: []string{"v1", "v2"}, left: "v1"},
		"the new one is taken back":      {versions: []string{"v1", "v2"}, left: "v2"},
		"there has been one version":     {versions: []string{"v1"}, wantResume: true},
		"there has been one, on engines": {versions: []string{"v1", "v1", "v1"}, wantResume: true},
	}
	for name, c := range cases {
		for _, isNamed := range []bool{true, false} {
			t.Run(name+"/"+describe(isNamed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				for i, version := range c.versions {
					d.targetOfVersion(fmt.Sprintf("e%d", i), "drafter", version)
				}
				d.configure("key-1")
				fleet := d.startFleet(3)
				began := "v1"
				if c.left != "" {
					began = c.left
				}
				first, last := d.beginAt(fleet[0], began)
				leave := func() {
					for i, version := range c.versions {
						if version == c.left {
							d.Unregister(fmt.Sprintf("e%d", i))
						}
					}
				}
				if c.leftBefore {
					leave()
					time.Sleep(300 * time.Millisecond) // the VMs learn of it
				}
				for _, v := range fleet {
					v.kill()
					<-v.stopped
				}
				leave()
				for _, v := range d.restartFleet(3) {
					require.Equal(t, c.wantResume, d.resume(v, first, last, isNamed))
				}
			})
		}
	}
}

// restartFleet starts a fleet at new addresses in a deployment that has run before.
func (d *deployment) restartFleet(count int) []*vm {
	d.t.Helper()
	port := peerPort(d.t)
	vms := make([]*vm, count)
	for i := range vms {
		vms[i] = d.startMember(port, i, func(s *settings.Deployment) { s.FirstStart = false })
	}
	return vms
}

// TestStreamResumedAtVMThatIsOutOfStep guards against streams that hold events of two software versions since the VM where they are
// resumed has not learnt of the version at which they began, and takes the one that it knows for the only one.
func TestStreamResumedAtVMThatIsOutOfStep(t *testing.T) {
	cases := map[string]struct {
		// isAlone is set if the VM exchanges nothing with the others.
		isAlone bool
		impair  func(store *rig.Link)
		// wake is called right before the stream is resumed.
		wake func(store *rig.Link)
	}{
		"without the store":           {impair: (*rig.Link).Cut},
		"with a store that is silent": {impair: (*rig.Link).Stall},
		"without the others":          {isAlone: true},
		"without both":                {isAlone: true, impair: (*rig.Link).Cut},
		"stood still":                 {isAlone: true, impair: (*rig.Link).Stall, wake: (*rig.Link).Unstall},
	}
	for name, c := range cases {
		for _, isNamed := range []bool{true, false} {
			t.Run(name+"/"+describe(isNamed), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				d.targetOfVersion("old", "drafter", "v1")
				d.configure("key-1")
				port := peerPort(t)
				inStep := d.startMember(port, 0, func(*settings.Deployment) {})
				store, err := rig.NewLink(freePort(t), d.address)
				require.NoError(t, err)
				outOfStep := d.startMember(port, 1, func(s *settings.Deployment) {
					s.Platform.Address = store.Address
					// Keys are accepted for as long as the VM is impaired.
					s.Bounds.RevocationMillis = 60_000
					if c.isAlone {
						s.Peers.Port = 0
					}
				})
				require.True(t, d.resumeSole(inStep, outOfStep, isNamed), "with one version streams go on")
				if c.impair != nil {
					c.impair(store)
				}
				d.targetOfVersion("new", "drafter", "v2")
				first, last := d.beginAt(inStep, "v2")
				if c.wake != nil {
					c.wake(store)
				}
				began := time.Now()
				d.resume(outOfStep, first, last, isNamed)
				require.Less(t, time.Since(began), 2*time.Second, "what cannot be resumed is refused at once")
			})
		}
	}
}

// resumeSole begins a stream at one VM and resumes it at the other.
func (d *deployment) resumeSole(from, to *vm, isNamed bool) bool {
	d.t.Helper()
	first, last := d.beginAt(from, "v1")
	return d.resume(to, first, last, isNamed)
}
