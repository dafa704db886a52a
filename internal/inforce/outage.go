package inforce

import (
	"math/rand/v2"
	"time"

	"godwitcart/internal/boottime"
)

const (
	// minReturnWait is the Retry-After where a proof may come at any moment, or where another VM may have one.
	minReturnWait = 700 * time.Millisecond
	// maxReturnWait bounds the Retry-After in a long outage, so that callers find out soon when it has ended.
	maxReturnWait = 10 * time.Second
)

// ReturnWait returns when a caller whose key cannot be checked should come back. Callers repeat a request a few times at
// most, so one who comes back during the outage has used up an attempt.
func (p *Poller) ReturnWait() time.Duration {
	wait := returnWait(p.outage(), p.options.MayOthersServe != nil && p.options.MayOthersServe())
	// Spread by half, since those who are refused together must not return together.
	return wait*3/4 + rand.N(wait/2)
}

// returnWait grows with the outage, of which nothing is known but how long it has lasted: a caller misses its end by half of
// that at most. Where another VM may serve the caller, the outage of this one does not matter.
func returnWait(outage time.Duration, mayOthersServe bool) time.Duration {
	if mayOthersServe {
		return minReturnWait
	}
	return min(max(outage/2, minReturnWait), maxReturnWait)
}

// outage returns how long reads have failed without a proof from elsewhere; zero if the last read succeeded.
func (p *Poller) outage() time.Duration {
	lostAt := p.lostAt.Load()
	if lostAt == 0 {
		return 0
	}
	return p.options.Now().Sub(boottime.Instant(max(lostAt, p.provenAt.Load())))
}
