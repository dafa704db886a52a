package poison

import (
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is the number of targets that must crash, and of requests that must be lost with them, before a feature is
	// blocked. One request that is sent again and again during an outage proves nothing.
	minCrashes = 3
	// minControl is the number of requests without the feature that must have been answered since the first crash. While
	// nothing is answered, the targets crash for another reason.
	minControl = 2
	// An outage ends all requests, so a feature that was answered shortly before needs stronger evidence: minStrongCrashes
	// over at least minCrashSpan, and minStrongControl.
	minStrongCrashes = 4
	minStrongControl = 5
	minCrashSpan     = time.Second
	// maxOtherCrashes is how many crashes without the feature there may be for each one with it, and maxStrongOtherCrashes
	// if it was answered. In an outage most targets crash without it.
	maxOtherCrashes       = 2
	maxStrongOtherCrashes = 1
	// sameTime is how long before the first crash with the feature another one counts as of the same time.
	sameTime = 500 * time.Millisecond
	// settleTime is how long the newest crash must be past, so that other VMs can contradict.
	settleTime = 60 * time.Millisecond
)

// evidence is what this VM knows against one feature. Crashes before the feature was last answered do not count.
type evidence struct {
	// crashes counts the targets that crashed, between first and last, and requests the requests that did not survive.
	crashes     int
	requests    int
	first, last time.Time
	// otherCrashes counts the targets that crashed without the feature in that time.
	otherCrashes int
	// reporters counts the VMs that saw them; ownReport is set if this VM is one of them.
	reporters int
	ownReport bool
	// answered is set if a request with the feature was answered in the time before.
	answered bool
	// control counts the requests without the feature that were answered since the first crash.
	control int
	// isRequest is set if only repetitions of one request have the feature.
	isRequest bool
	// depth is the position of the feature in its requests; later ones are shared by fewer requests.
	depth int
	// blocked is set if the feature is blocked already.
	blocked bool
}

// confidence is how sure it is that a feature is to blame for crashes.
type confidence int

const (
	unproven confidence = iota
	// suspected is a request that was lost with each target, while too little else was answered to rule out an outage.
	suspected
	proven
)

// suffices reports whether the feature is to be blocked.
func (e *evidence) suffices(now time.Time) bool { return e.judge(now) != unproven }

// judge returns how sure it is that the feature is to blame. One VM alone convinces nobody else: it may be cut off or wrong.
func (e *evidence) judge(now time.Time) confidence {
	if e.reporters < 2 && !e.ownReport || min(e.crashes, e.requests) < minCrashes {
		return unproven
	}
	if e.blocked {
		return proven
	}
	if now.Sub(e.last) < settleTime || e.otherCrashes > maxOtherCrashes*e.crashes {
		return unproven
	}
	isStrong := e.crashes >= minStrongCrashes && e.last.Sub(e.first) >= minCrashSpan && e.otherCrashes <= maxStrongOtherCrashes*e.crashes
	control := minControl
	if e.answered {
		control = minStrongControl
	}
	switch {
	case e.answered && !isStrong:
		return unproven
	case e.control >= control:
		return proven
	case e.isRequest:
		return suspected
	default:
		return unproven
	}
}

// isStronger orders evidence: more crashes first, then features that were not answered before, then those that fewer
// requests share, a single request first.
func (e *evidence) isStronger(other *evidence) bool {
	if e.crashes != other.crashes {
		return e.crashes > other.crashes
	}
	if e.answered != other.answered {
		return !e.answered
	}
	if e.isRequest != other.isRequest {
		return e.isRequest
	}
	return e.depth > other.depth
}

// crash is the end of a target with requests that waited for their answers to begin.
type crash struct {
	at time.Time
	// reportedAt is when this VM first heard of it.
	reportedAt time.Time
	// accused holds the features of those requests.
	accused   map[Feature]*accusation
	reporters map[string]struct{}
	// refutedAt is when the target answered a request that was sent after the report; zero if it did not.
	refutedAt time.Time
}

// accusation is what a crash says about one feature.
type accusation struct {
	// isRequest is set if only repetitions of one request have the feature.
	isRequest bool
	// depth is the position of the feature in its requests.
	depth int
	// requests holds the requests with the feature.
	requests map[uint64]struct{}
}

// newCrash returns a crash that accuses no feature yet.
func newCrash(at, reportedAt time.Time) *crash {
	return &crash{at: at, reportedAt: reportedAt, accused: make(map[Feature]*accusation), reporters: make(map[string]struct{})}
}

// accuse adds a request that was lost.
func (c *crash) accuse(request uint64, features Features) {
	for depth, feature := range features.list {
		if c.accused[feature] == nil {
			c.accused[feature] = &accusation{requests: make(map[uint64]struct{})}
		}
		against := c.accused[feature]
		against.depth = depth
		against.isRequest = against.isRequest || features.namesRequest && depth == 0
		against.requests[request] = struct{}{}
	}
}

func (c *crash) isRefuted() bool { return !c.refutedAt.IsZero() }

// culprit is a feature that is to blame for crashes.
type culprit struct {
	feature  Feature
	evidence evidence
}

// culprits returns the features that the crashes show to be to blame. A crash that a culprit explains does not count
// against the other features of its requests, but one that also crashes a target without the culprit is to blame for all of its
// crashes. gather returns the evidence against a feature from the given crashes.
func culprits(crashes []*crash, now time.Time, gather func(Feature, []*crash) evidence) []culprit {
	var found []culprit
	unexplained := crashes
	for {
		next := strongest(unexplained, unexplained, now, gather)
		if next == nil && len(found) > 0 {
			next = strongest(unexplained, crashes, now, gather)
		}
		if next == nil {
			return found
		}
		found = append(found, *next)
		unexplained = slices.DeleteFunc(slices.Clone(unexplained), func(c *crash) bool { _, has := c.accused[next.feature]; return has })
	}
}

// strongest returns the feature of an unexplained crash with the strongest evidence that suffices, from the given crashes; nil if
// there is none.
func strongest(unexplained, crashes []*crash, now time.Time, gather func(Feature, []*crash) evidence) *culprit {
	var best *culprit
	counts := make(map[Feature]int)
	for _, c := range crashes {
		for feature := range c.accused {
			counts[feature]++
		}
	}
	candidates := make(map[Feature]struct{})
	for _, c := range unexplained {
		for feature := range c.accused {
			if counts[feature] >= minCrashes {
				candidates[feature] = struct{}{}
			}
		}
	}
	for _, feature := range slices.Sorted(maps.Keys(candidates)) {
		against := gather(feature, crashes)
		if against.suffices(now) && (best == nil || against.isStronger(&best.evidence)) {
			best = &culprit{feature: feature, evidence: against}
		}
	}
	return best
}
