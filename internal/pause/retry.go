package pause

import (
	"math/rand/v2"
	"time"
)

const (
	// firstRetry and laterRetry are the least waits after a failed call to the platform; up to as much again is
	// added at random, so that VMs that fail together do not come back together.
	firstRetry = 100 * time.Millisecond
	laterRetry = 500 * time.Millisecond
)

// RetryWait draws the wait after a failed call to the platform. The VM that comes first in its zone tries again
// soon; the others learn from it that the platform is back, and each call is paid for, also one that fails.
func RetryWait(first bool) time.Duration {
	if first {
		return firstRetry + rand.N(firstRetry)
	}
	return laterRetry + rand.N(laterRetry)
}
