package entry_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/admin"
	"godwitcart/internal/evacuation"
	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

const (
	otherZone = "moosejaw"
	// evacuateWithin is the bound of an evacuation in these tests.
	evacuateWithin = 5 * time.Second
)

// targetIn starts a target in a zone.
func (d *deployment) targetIn(id, service, inZone string) *platformtest.Target {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := d.Add(id, listener.Addr().String(), service, inZone)
	server := &http.Server{Handler: target, ErrorLog: log.New(io.Discard).StandardLog()}
	go server.Serve(listener)
	d.t.Cleanup(func() { server.Close() })
	return target
}

// operatorState returns the state dump of the VM.
func (v *vm) operatorState(token string) []byte {
	v.t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+v.metricsAddress+admin.PathState, http.NoBody)
	require.NoError(v.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	require.NoError(v.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(v.t, err)
	require.Equal(v.t, http.StatusOK, response.StatusCode)
	return body
}

// startWithEvacuations starts VMs of a deployment whose zones may be evacuated.
func (d *deployment) startWithEvacuations(count int) []*vm {
	d.t.Helper()
	port := peerPort(d.t)
	digest := sha256.Sum256([]byte("secret"))
	var vms []*vm
	for i := range count {
		vms = append(vms, d.start(fmt.Sprintf("vm-%d", i+1), func(s *settings.Deployment) {
			s.VM.Address, s.Peers.Port = fmt.Sprintf("127.0.0.%d", i+1), port
			s.Bounds.EvacuationMillis = float64(evacuateWithin.Milliseconds())
			s.Operators.Tokens = []settings.Token{{Name: "alice", Role: settings.RoleRead, SHA256: hex.EncodeToString(digest[:])}}
		}))
	}
	return vms
}

// TestZoneIsEvacuated plays a zone that is emptied while streams run there: these move and stay whole, later requests at
// all VMs, also at one that has just started, run elsewhere, and they are refused at once while no zone is left.
func TestZoneIsEvacuated(t *testing.T) {
	const events = 150
	d := newDeployment(t)
	emptied := []*platformtest.Target{d.targetIn("plain-1", "counter", zone), d.targetIn("engine-1", "drafter", zone)}
	d.configure("key-1")
	vms := d.startWithEvacuations(3)
	request := vms[0].generation("/letters/1", events, 20)
	request.Header.Set("X-Token-Usage", "9000,9000") // too large for copies, so that it moves
	response, err := vms[0].client.Do(request)
	require.NoError(t, err)
	others := []*platformtest.Target{d.targetIn("plain-2", "counter", otherZone), d.targetIn("engine-2", "drafter", otherZone)}
	evacuatedAt := time.Now()
	readEvents(t, response, events, func(number int) {
		if number == 20 {
			evacuatedAt = time.Now()
			d.Store.Put("evacuations", zone, map[string]string{})
		}
	})
	runs := d.Cluster.Runs(request.Header.Get("X-Attempt-Id"))
	require.Equal(t, "engine-2", runs[len(runs)-1].Target, "the stream has not moved")

	time.Sleep(time.Until(evacuatedAt.Add(evacuateWithin / 2)))
	vms = append(vms, d.start("vm-late", func(s *settings.Deployment) { s.Bounds.EvacuationMillis = float64(evacuateWithin.Milliseconds()) }))
	before := arrivals(emptied)
	for i := range 40 {
		v := vms[i%len(vms)]
		require.True(t, v.isServed(v.request(http.MethodPost, "/lookup/1", "x")))
		require.True(t, v.isServed(v.generation("/checks/1", 2, 1)))
	}
	require.Equal(t, before, arrivals(emptied), "requests reached the zone")

	d.Store.Put("evacuations", otherZone, map[string]string{})
	require.Eventually(t, func() bool { return !vms[1].isServed(vms[1].request(http.MethodPost, "/lookup/1", "x")) }, evacuateWithin/2, pollInterval)
	before = arrivals(append(others, emptied...))
	startedAt := time.Now()
	refusal, body := vms[1].do(vms[1].generation("/checks/1", 2, 1))
	require.Equal(t, http.StatusServiceUnavailable, refusal.StatusCode)
	require.Less(t, time.Since(startedAt), 200*time.Millisecond)
	require.Contains(t, body, "evacuation")
	retryAfter, err := strconv.ParseFloat(refusal.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	require.Positive(t, retryAfter)
	require.Equal(t, before, arrivals(append(others, emptied...)))

	d.Store.Delete("evacuations", zone)
	require.Eventually(t, func() bool { return vms[1].isServed(vms[1].request(http.MethodPost, "/lookup/1", "x")) }, evacuateWithin, pollInterval)
}

// TestEvacuationHoldsWhileStoreIsAway checks that an evacuation which was acknowledged stays in force, and that a
// VM whose settings name no bound knows of none.
func TestEvacuationHoldsWhileStoreIsAway(t *testing.T) {
	d := newDeployment(t)
	emptied := d.targetIn("plain-1", "counter", zone)
	d.targetIn("plain-2", "counter", otherZone)
	d.configure("key-1")
	vms := d.startWithEvacuations(2)
	d.Store.Put("evacuations", zone, map[string]string{})
	time.Sleep(time.Second) // far within the bound
	d.Store.SetDown(true)
	before := arrivals([]*platformtest.Target{emptied})
	for i := range 20 {
		v := vms[i%len(vms)]
		require.True(t, v.isServed(v.request(http.MethodPost, "/lookup/1", "x")))
		time.Sleep(50 * time.Millisecond)
	}
	require.Equal(t, before, arrivals([]*platformtest.Target{emptied}))
	var state struct {
		Zones []evacuation.ZoneStatus `json:"zones_in_evacuation"`
	}
	require.NoError(t, json.Unmarshal(vms[0].operatorState("secret"), &state))
	require.Len(t, state.Zones, 1)
	require.Equal(t, zone, state.Zones[0].Zone)
	d.Store.SetDown(false)
	unaware := d.start("vm-unaware", nil)
	require.Eventually(t, func() bool {
		return unaware.isServed(unaware.request(http.MethodPost, "/lookup/1", "x")) && arrivals([]*platformtest.Target{emptied}) > before
	}, waitTimeout, pollInterval)
}

func arrivals(targets []*platformtest.Target) int {
	count := 0
	for _, target := range targets {
		count += len(target.Arrivals())
	}
	return count
}
