package poison

import (
	"maps"
	"time"
)

// words holds which VMs have lately said something of a feature, and when.
type words map[Feature]map[string]time.Time

// add records the word of a VM.
func (w words) add(feature Feature, vm string, now time.Time) {
	if w[feature] == nil {
		if len(w) >= maxWitnessed {
			clear(w)
		}
		w[feature] = make(map[string]time.Time)
	}
	w[feature][vm] = now
	maps.DeleteFunc(w[feature], func(_ string, at time.Time) bool { return now.Sub(at) > statementTTL })
}

// count returns the number of VMs whose word still counts.
func (w words) count(feature Feature, now time.Time) int {
	return w.countSince(feature, now.Add(-statementTTL))
}

// countSince returns the number of VMs that have said it since the given time.
func (w words) countSince(feature Feature, since time.Time) int {
	count := 0
	for _, at := range w[feature] {
		if at.After(since) {
			count++
		}
	}
	return count
}
