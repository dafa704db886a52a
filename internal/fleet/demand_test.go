package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/placement"
)

// TestDemandsPassBetweenVMs: a demand reaches a peer unchanged, one that no VM can have is left out, and a digest of an earlier
// build states none.
func TestDemandsPassBetweenVMs(t *testing.T) {
	sent := []placement.ServiceDemand{{Service: "drafter", Urgent: placement.UrgentDemand{Running: 2, Waiting: 1, Tokens: 6600}, WaitingTokens: 2200, HeadDue: -300 * time.Millisecond}}
	impossible := serviceDemand{Service: "drafter", UrgentRunning: -4}
	out := digest{VM: "vm-1", Demands: append(packDemands(sent), impossible)}
	datagram, err := out.marshal()
	require.NoError(t, err)
	received, err := parseDigest(datagram)
	require.NoError(t, err)
	require.Equal(t, sent, unpackDemands(received.Demands))

	earlier := digest{VM: "vm-1"}
	datagram, err = earlier.marshal()
	require.NoError(t, err)
	require.NotContains(t, string(datagram), "wq")
	received, err = parseDigest(datagram)
	require.NoError(t, err)
	require.Empty(t, unpackDemands(received.Demands))
}
