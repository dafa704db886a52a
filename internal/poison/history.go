package poison

import (
	"slices"
	"time"
)

const (
	// answeredTime is how long it is remembered that a request with a feature was answered.
	answeredTime = time.Minute
	// maxAnsweredFeatures bounds the features that are remembered, against callers that invent them.
	maxAnsweredFeatures = 16384
	// answersKept is the number of answers that are kept as control.
	answersKept = 64
)

// answerTimes holds when features were last answered. It forgets them after answeredTime, sooner where there are many.
type answerTimes struct {
	newer, older map[Feature]time.Time
	rotatedAt    time.Time
}

func newAnswerTimes() answerTimes {
	return answerTimes{newer: make(map[Feature]time.Time), older: make(map[Feature]time.Time)}
}

// record keeps the later of the known and the given time.
func (a *answerTimes) record(feature Feature, at, now time.Time) {
	if len(a.newer) >= maxAnsweredFeatures/2 || now.Sub(a.rotatedAt) > answeredTime/2 {
		a.older, a.newer = a.newer, make(map[Feature]time.Time)
		a.rotatedAt = now
	}
	if at.After(a.last(feature)) {
		a.newer[feature] = at
	}
}

// last returns when the feature was last answered; zero if that is not known.
func (a *answerTimes) last(feature Feature) time.Time {
	if at, found := a.newer[feature]; found {
		return at
	}
	return a.older[feature]
}

// answerLog holds the newest answers of any request, as a ring.
type answerLog struct {
	entries [answersKept]answered
	next    int
}

type answered struct {
	at       time.Time
	features []Feature
}

func (l *answerLog) add(at time.Time, features []Feature) {
	l.entries[l.next] = answered{at: at, features: features}
	l.next = (l.next + 1) % answersKept
}

// countWithout returns the number of answers since the time to requests without the feature.
func (l *answerLog) countWithout(feature Feature, since time.Time) int {
	count := 0
	for _, entry := range l.entries {
		if entry.at.After(since) && !slices.Contains(entry.features, feature) {
			count++
		}
	}
	return count
}
