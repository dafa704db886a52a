package entry_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
)

// TestRetryBudgetOfIsolatedVM guards against a VM that no longer hears the others, for example during a network
// partition between VMs, spending the retry budget that all of them share: while every target refuses its requests, it
// must stay within its own part.
func TestRetryBudgetOfIsolatedVM(t *testing.T) {
	const (
		vms      = 4
		requests = 120
		ratio    = 0.1
		slack    = 20.0
	)
	d := newDeployment(t)
	var arrivals atomic.Int64
	for _, id := range []string{"c1", "c2", "c3"} {
		d.target(id, "counter").SetOverride(func(w http.ResponseWriter, _ *http.Request) bool {
			arrivals.Add(1)
			respondNotRun(w)
			return true
		})
	}
	d.configure("key-1")
	for _, name := range []string{"vm-3", "vm-4"} {
		d.Store.Put("entry-vms", name, map[string]string{"digest_address": "127.0.0.1:9", "zone": zone})
	}
	port := peerPort(t)
	start := func(name, address string) *vm {
		return d.start(name, func(s *settings.Deployment) {
			s.VM.Address, s.Peers.Port = address, port
			s.Bounds.RetryRatio, s.Bounds.RetrySlack = ratio, slack
		})
	}
	v, peer := start("vm-1", "127.0.0.1"), start("vm-2", "127.0.0.2")
	time.Sleep(time.Second) // for the VMs to exchange digests
	peer.entry.Shutdown()
	<-peer.stopped
	time.Sleep(3 * time.Second) // for vm-1 to notice that it receives no more digests
	for range requests {
		response, _ := v.do(v.request(http.MethodPost, "/lookup/1", "x"))
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	retries := arrivals.Load() - requests
	require.Positive(t, retries)
	require.LessOrEqual(t, float64(retries), slack/vms+ratio*requests)
}
