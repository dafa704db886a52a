package entry_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// startFleetWithPaths is startFleet for VMs whose paths to targets can be cut.
func (d *deployment) startFleetWithPaths(count int) ([]*vm, []*rig.Path) {
	d.t.Helper()
	port := peerPort(d.t)
	vms, paths := make([]*vm, count), make([]*rig.Path, count)
	for i := range vms {
		number := listenerCount.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d", 128+i, number/250, 1+number%250)
		path, err := rig.NewPath(freePort(d.t), address)
		require.NoError(d.t, err)
		d.t.Cleanup(path.Close)
		paths[i] = path
		vms[i] = d.start(fmt.Sprintf("vm-%d", i+1), func(s *settings.Deployment) {
			s.VM.Address, s.Peers.Port, s.Targets.Proxy = address, port, path.Address
		})
	}
	return vms, paths
}

// The users' bound: from cutContact after a cut, the first attempts at VMs that are cut off are served at least two thirds
// as often as those at the others, or at most cutAllowance and a fiftieth of all fail there.
const (
	cutContact   = 3 * time.Second
	cutAllowance = 10
)

// tally counts first attempts and those that were served.
type tally struct{ sent, served int }

// TestVMsCutOffFromAllTargetsServeNobody guards against VMs that refuse their callers because they reach no target
// themselves, while other VMs do. Most of the VMs are cut off.
func TestVMsCutOffFromAllTargetsServeNobody(t *testing.T) {
	const (
		vms, cutOff = 5, 3
		interval    = 15 * time.Millisecond
		cutTime     = cutContact + 4*time.Second
	)
	for _, how := range []string{rig.Refused, rig.Reset, rig.Hanging} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			for i := range 3 {
				d.target(fmt.Sprintf("plain-%d", i), "counter")
				d.target(fmt.Sprintf("engine-%d", i), "drafter")
			}
			d.configure("key-1")
			fleet, paths := d.startFleetWithPaths(vms)
			var mu sync.Mutex
			counts := map[bool]tally{}
			var cutAt time.Time
			send := func(i, number int) {
				v := fleet[i]
				request := []func() *http.Request{
					func() *http.Request { return v.request(http.MethodPost, "/lookup/1", "x") },
					func() *http.Request { return v.request(http.MethodGet, "/peek/1", "") },
					func() *http.Request { return v.generation("/letters/1", 5, 5) },
					func() *http.Request { return v.generation("/checks/1", 5, 5) },
				}[number%4]()
				platformtest.SetCallerHeaders(request, request.Header.Get("X-Attempt-Id"), "key-1", time.Second)
				ctx, cancel := context.WithTimeout(context.Background(), 1200*time.Millisecond)
				defer cancel()
				sentAt := time.Now()
				response, err := v.client.Do(request.WithContext(ctx))
				served := false
				if err == nil {
					_, err = io.Copy(io.Discard, response.Body)
					response.Body.Close()
					served = err == nil && response.StatusCode == http.StatusOK
				}
				mu.Lock()
				defer mu.Unlock()
				if !cutAt.IsZero() && sentAt.Sub(cutAt) > cutContact {
					count := counts[i < cutOff]
					count.sent++
					if served {
						count.served++
					}
					counts[i < cutOff] = count
				}
			}
			var callers sync.WaitGroup
			load := func(duration time.Duration) {
				for number, began := 0, time.Now(); time.Since(began) < duration; number++ {
					callers.Go(func() { send(number%vms, number/vms) })
					time.Sleep(interval)
				}
			}
			load(time.Second)
			mu.Lock()
			cutAt = time.Now()
			mu.Unlock()
			for i := range cutOff {
				paths[i].Cut(how)
			}
			load(cutTime)
			callers.Wait()
			cut, others := counts[true], counts[false]
			t.Logf("served %d of %d at the VMs that are cut off, %d of %d at the others", cut.served, cut.sent, others.served, others.sent)
			require.Greater(t, others.served, others.sent*9/10)
			failed := cut.sent - cut.served
			require.True(t, float64(failed) <= cutAllowance+float64(cut.sent+others.sent)/50 || 3*cut.served*others.sent >= 2*others.served*cut.sent,
				"%d of %d first attempts failed at the VMs that are cut off", failed, cut.sent)
		})
	}
}

// TestStopOfVMThatCarriesTunnelsCutsOffStreams guards against a VM that ends at SIGTERM while streams of a VM that is cut
// off from the targets run through it.
func TestStopOfVMThatCarriesTunnelsCutsOffStreams(t *testing.T) {
	d := newDeployment(t)
	d.target("engine", "drafter")
	d.configure("key-1")
	fleet, paths := d.startFleetWithPaths(2)
	paths[0].Cut(rig.Refused)
	const events = 150
	response, err := fleet[0].client.Do(fleet[0].generation("/letters/1", events, 20))
	require.NoError(t, err)
	var stop sync.Once
	readEvents(t, response, events, func(number int) {
		if number > 5 {
			stop.Do(fleet[1].entry.Shutdown)
		}
	})
	<-fleet[1].stopped
}

// TestKilledVMThatCarriesTunnelsMakesAnswersUnknown guards against calling a request "not run" whose tunnel was lost with
// another VM after it was sent.
func TestKilledVMThatCarriesTunnelsMakesAnswersUnknown(t *testing.T) {
	d := newDeployment(t)
	started := make(chan struct{})
	d.target("plain", "counter").SetOverride(func(_ http.ResponseWriter, r *http.Request) bool {
		close(started)
		<-r.Context().Done()
		return true
	})
	d.configure("key-1")
	fleet, paths := d.startFleetWithPaths(2)
	paths[0].Cut(rig.Refused)
	go func() {
		<-started
		fleet[1].kill()
	}()
	response, body := fleet[0].do(fleet[0].request(http.MethodPost, "/lookup/1", "x"))
	require.Equal(t, http.StatusBadGateway, response.StatusCode, body)
}

// TestCarriedStreamEndsAsCompleteWithItsCarrier guards against a stream without a length that ends as complete when the VM ends
// through which it comes.
func TestCarriedStreamEndsAsCompleteWithItsCarrier(t *testing.T) {
	const first, second = "id: 1\ndata: part 1\n\n", "id: 2\ndata: part 2\n\n"
	for name, request := range map[string]func(v *vm) *http.Request{
		"stream": func(v *vm) *http.Request { return v.generation("/letters/1", 2, 1) },
		"plain":  func(v *vm) *http.Request { return v.request(http.MethodPost, "/lookup/1", "x") },
	} {
		for _, isLost := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/lost %t", name, isLost), func(t *testing.T) {
				d := newDeployment(t)
				begun, proceed := make(chan struct{}), make(chan struct{})
				begin := sync.OnceFunc(func() { close(begun) })
				// The word of a second engine on the end of the stream is needed. These cannot say whether they run it.
				for id, service := range map[string]string{"engine": "drafter", "backup": "drafter", "plain": "counter"} {
					d.wrappedTarget(id, service, func(w http.ResponseWriter, r *http.Request) bool {
						if strings.HasPrefix(r.URL.Path, "/v1/") {
							w.WriteHeader(http.StatusServiceUnavailable)
							return true
						}
						return respondUnframedInParts(w, r, first, begin, proceed, second)
					}, "")
				}
				d.configure("key-1")
				fleet, paths := d.startFleetWithPaths(2)
				paths[0].Cut(rig.Refused)
				go func() {
					<-begun
					if isLost {
						fleet[1].kill()
						<-fleet[1].stopped
					} else {
						close(proceed)
					}
				}()
				response, err := fleet[0].client.Do(request(fleet[0]))
				require.NoError(t, err)
				defer response.Body.Close()
				body, err := io.ReadAll(response.Body)
				isWhole := err == nil && response.StatusCode == http.StatusOK
				require.Equal(t, !isLost, isWhole, "status %d, error %v, body %q", response.StatusCode, err, body)
				if isWhole {
					require.Equal(t, first+second, string(body))
				} else {
					close(proceed)
				}
			})
		}
	}
}
