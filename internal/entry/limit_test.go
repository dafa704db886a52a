package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

// The users' bound on a target with a limit: from limitContact after it first named the limit, it gets at most one and
// a half times what the limit allows in any limitWindow, and limitAllowance more requests.
const (
	limitWindow    = 4 * time.Second
	limitContact   = 3 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
)

// mostInWindow returns the largest number of arrivals in any limitWindow that begins at from or later.
func mostInWindow(arrivals []platformtest.Arrival, from time.Time) int {
	most := 0
	for first, opened := range arrivals {
		if opened.At.Before(from) {
			continue
		}
		count := 0
		for _, arrival := range arrivals[first:] {
			if arrival.At.Sub(opened.At) < limitWindow {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// startFleet starts entry VMs that exchange digests.
func (d *deployment) startFleet(count int) []*vm {
	d.t.Helper()
	port := peerPort(d.t)
	vms := make([]*vm, count)
	for i := range vms {
		vms[i] = d.startMember(port, i, func(*settings.Deployment) {})
	}
	return vms
}

// startMember starts an entry VM that exchanges digests with others on the port; change may modify its settings.
func (d *deployment) startMember(port, index int, change func(*settings.Deployment)) *vm {
	d.t.Helper()
	number := listenerCount.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d", 128+index, number/250, 1+number%250)
	return d.start(fmt.Sprintf("vm-%d", index+1), func(s *settings.Deployment) {
		s.VM.Address, s.Peers.Port = address, port
		change(s)
	})
}

// TestLimitedTargetGetsMoreThanItsLimit guards against entry VMs that each use a target as if its limit did not exist
// or were theirs alone, on every way by which a request reaches a target.
func TestLimitedTargetGetsMoreThanItsLimit(t *testing.T) {
	const (
		vms       = 4
		perSecond = 3.0
		loadTime  = 8 * time.Second
		interval  = 80 * time.Millisecond
	)
	cases := map[string]struct {
		service string
		// prepare sets up the other target; nil if there is none.
		prepare func(other *platformtest.Target)
		request func(v *vm) *http.Request
	}{
		"new requests":      {"counter", func(*platformtest.Target) {}, func(v *vm) *http.Request { return v.request(http.MethodPost, "/lookup/1", "x") }},
		"the only target":   {"counter", nil, func(v *vm) *http.Request { return v.request(http.MethodPost, "/lookup/1", "x") }},
		"retries":           {"counter", func(other *platformtest.Target) { other.FailEvery(1) }, func(v *vm) *http.Request { return v.request(http.MethodGet, "/peek/1", "") }},
		"continued streams": {"drafter", func(other *platformtest.Target) { other.SetOverride(breakOffStream) }, func(v *vm) *http.Request { return v.generation("/checks/1", 3, 1) }},
		"streams resumed by their callers": {"drafter", nil, func(v *vm) *http.Request {
			request := v.generation("/checks/1", 3, 1)
			request.Header.Set("Last-Event-Id", "1")
			return request
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			limited := d.target("limited", c.service)
			limited.SetLimit(perSecond)
			if c.prepare != nil {
				c.prepare(d.target("other", c.service))
			}
			d.configure("key-1")
			fleet := d.startFleet(vms)
			began := time.Now()
			var callers sync.WaitGroup
			for _, v := range fleet {
				callers.Go(func() {
					for time.Since(began) < loadTime {
						response, err := v.client.Do(c.request(v))
						if err == nil {
							_, _ = io.Copy(io.Discard, response.Body) // streams that break off end with an error
							response.Body.Close()
						}
						time.Sleep(interval)
					}
				})
			}
			callers.Wait()
			arrivals := limited.Arrivals()
			t.Logf("%d requests in all, at most %d in a window", len(arrivals), mostInWindow(arrivals, arrivals[0].At.Add(limitContact)))
			require.NotEmpty(t, arrivals)
			allowed := perSecond*limitFactor*limitWindow.Seconds() + limitAllowance
			require.Greater(t, len(arrivals), int(perSecond), "the target is hardly used")
			require.LessOrEqual(t, float64(mostInWindow(arrivals, arrivals[0].At.Add(limitContact))), allowed)
		})
	}
}
