package targetlimit

import "time"

const (
	// initialShare is the part of a brittle target's estimated capacity with which its rate begins.
	initialShare = 0.7
	// cutFactor is applied to the rate when the target turns a request away, at most once in cutInterval: those that were
	// under way then say nothing new.
	cutFactor   = 0.7
	cutInterval = 150 * time.Millisecond
	// holdTime is how long after that no permits are given out, so that the target's queue becomes shorter.
	holdTime = 100 * time.Millisecond
	// growthFactor is applied to the rate at each growthInterval in which more permits are asked for, from calmTime after
	// the last refusal on. Before the first refusal it is firstGrowthFactor, since the estimate may be far too low.
	growthFactor      = 1.08
	firstGrowthFactor = 1.15
	growthInterval    = 250 * time.Millisecond
	calmTime          = time.Second
	// maxAdaptiveRate bounds the growth, in requests a second.
	maxAdaptiveRate = 10000.0
)

// adaptiveRate is the rate of permits at a target that does not say how much it takes, only that it is brittle. It grows
// while requests want more, and is cut when the target turns one away.
type adaptiveRate struct {
	perSecond float64
	cutAt     time.Time
	grownAt   time.Time
}

// begin sets the first rate from the estimated capacity in requests a second.
func (a *adaptiveRate) begin(capacity float64, now time.Time) {
	*a = adaptiveRate{perSecond: max(initialShare*capacity, minRate), grownAt: now}
}

// turnedAway records that the target had no room for a request. It reports whether the rate was cut.
func (a *adaptiveRate) turnedAway(now time.Time) bool {
	if now.Sub(a.cutAt) < cutInterval {
		return false
	}
	a.cutAt = now
	a.perSecond = max(cutFactor*a.perSecond, minRate)
	return true
}

// wanted records that a permit was asked for and none was due.
func (a *adaptiveRate) wanted(now time.Time) {
	if now.Sub(a.cutAt) < calmTime || now.Sub(a.grownAt) < growthInterval {
		return
	}
	a.grownAt = now
	factor := growthFactor
	if a.cutAt.IsZero() {
		factor = firstGrowthFactor
	}
	a.perSecond = min(factor*a.perSecond, maxAdaptiveRate)
}

// heldFor returns how long no permit may be given out yet after a refusal.
func (a *adaptiveRate) heldFor(now time.Time) time.Duration { return max(holdTime-now.Sub(a.cutAt), 0) }
