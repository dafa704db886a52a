package entry_test

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// TestTargetThatTurnsOneVMAwayHearsFromItsAddress guards against requests that reach a target from an address which it has
// turned away, because the VM that is cut off and the one that carries its connections do not know of each other's pauses.
func TestTargetThatTurnsOneVMAwayHearsFromItsAddress(t *testing.T) {
	const (
		pause      = 2500 * time.Millisecond
		noticeTime = 500 * time.Millisecond
		allowed    = 2
		user       = 0
		carrier    = 1
	)
	for name, c := range map[string]struct{ turnedAway, sender int }{
		"the carrier, for a request of the user": {user, carrier},
		"the carrier, for its own request":       {carrier, user},
	} {
		for _, service := range []string{"counter", "drafter"} {
			t.Run(fmt.Sprintf("%s, %s", name, service), func(t *testing.T) {
				t.Parallel()
				d := newDeployment(t)
				busy := d.target("busy", service)
				d.target("other", service)
				d.configure("key-1")
				fleet, paths := d.startFleetWithPaths(2)
				paths[user].Cut(rig.Reset)
				request := func(v *vm) *http.Request {
					if service == "drafter" {
						return v.generation("/checks/1", 3, 1)
					}
					return v.request(http.MethodPost, "/lookup/1", "x")
				}
				for _, v := range fleet {
					v.load(600*time.Millisecond, request)
				}
				busy.SetRetryAfter(strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
				var refusal platformtest.Arrival
				require.Eventually(t, func() bool {
					fleet[c.turnedAway].load(20*time.Millisecond, request)
					for _, arrival := range busy.Arrivals() {
						if arrival.TurnedAway {
							refusal = arrival
							return true
						}
					}
					return false
				}, waitTimeout, pollInterval)
				busy.SetRetryAfter("")
				fleet[c.sender].load(time.Until(refusal.At.Add(pause)), request)
				early := 0
				for _, arrival := range busy.Arrivals() {
					if since := arrival.At.Sub(refusal.At); arrival.From == refusal.From && since > noticeTime && since < pause {
						early++
					}
				}
				require.LessOrEqual(t, early, allowed, "requests from %s in the time for which it was turned away", refusal.From)
				require.Eventually(t, func() bool {
					fleet[c.sender].load(50*time.Millisecond, request)
					arrivals := busy.Arrivals()
					return arrivals[len(arrivals)-1].At.After(refusal.At.Add(pause))
				}, waitTimeout, pollInterval, "the target gets requests again")
			})
		}
	}
}
