package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
)

// TestRetryBudgetWhileCutOff has every target refuse what a VM sends that has lost sight of all others, as while the
// network between VMs is cut: it spends its own share of the budget that all have together, not all of it.
func TestRetryBudgetWhileCutOff(t *testing.T) {
	const (
		vms      = 4
		requests = 120
		ratio    = 0.1
		slack    = 20.0
	)
	d := newDeployment(t)
	var arrivals atomic.Int64
	for _, id := range []string{"c1", "c2", "c3"} {
		d.target(id, "counter").Behave(func(w http.ResponseWriter, _ *http.Request) bool {
			arrivals.Add(1)
			notRun(w)
			return true
		})
	}
	d.configure("key-1")
	for _, name := range []string{"vm-3", "vm-4"} {
		d.Store.Put("entry-vms", name, map[string]string{"digest_address": "127.0.0.1:9", "zone": zone})
	}
	port := udpPort(t)
	start := func(name, address string) *vm {
		return d.start(name, func(s *settings.Deployment) {
			s.VM.Address, s.Peers.Port = address, port
			s.Bounds.RetryRatio, s.Bounds.RetrySlack = ratio, slack
		})
	}
	v, other := start("vm-1", "127.0.0.1"), start("vm-2", "127.0.0.2")
	time.Sleep(time.Second) // lets them hear each other
	other.entry.Shutdown()
	<-other.stopped
	time.Sleep(3 * time.Second) // lets the first find that it hears nobody
	for range requests {
		response, _ := v.do(v.request(http.MethodPost, "/lookup/1", "x"))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	retries := arrivals.Load() - requests
	require.Positive(t, retries)
	require.LessOrEqual(t, float64(retries), slack/vms+ratio*requests)
}
