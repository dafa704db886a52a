package pause

import (
	"math/rand/v2"
	"time"
)

const (
	// zoneLeaderRetry and otherVMRetry are the minimum waits after a failed call to the platform. A random time of up
	// to the same length is added, so that VMs that fail at the same time do not retry at the same time.
	zoneLeaderRetry = 100 * time.Millisecond
	otherVMRetry    = time.Second
	// startRetry is that wait of a VM that has started and has read nothing yet: it cannot serve until it has.
	startRetry = 500 * time.Millisecond
)

// StartRetryWait returns a random wait after a failed call to the platform of a VM that cannot serve without it.
func StartRetryWait() time.Duration { return startRetry + rand.N(startRetry) }

// RetryWait returns a random wait after a failed call to the platform. The leader of a zone retries sooner; the other
// VMs learn from it when the platform is available again. They retry less often because every call to the platform is
// billed, including failed ones.
func RetryWait(zoneLeader bool) time.Duration {
	if zoneLeader {
		return zoneLeaderRetry + rand.N(zoneLeaderRetry)
	}
	return otherVMRetry + rand.N(otherVMRetry)
}
