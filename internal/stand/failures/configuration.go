package failures

import (
	"slices"
	"time"
)

// inForceWithin is how long after its acceptance a configuration may not yet be in force.
const inForceWithin = 4 * time.Second

// ConfigurationVerdict counts the violations of what configuration promises.
type ConfigurationVerdict struct {
	ChangesAccepted  int `json:"changes_accepted"`
	ChangesRejected  int `json:"changes_rejected"`
	ChangesUnknown   int `json:"changes_unknown"`
	RolloutsAccepted int `json:"rollouts_accepted"`

	ConfigurationReverts  int `json:"configuration_reverts"`
	TwoVersionsInForce    int `json:"two_versions_in_force_past_4_s"`
	AcceptedButNotInForce int `json:"accepted_but_not_in_force"`
	RejectedButInForce    int `json:"rejected_but_in_force"`
	OneVersionTwoMeanings int `json:"one_version_two_meanings"`
	// StaleOrdersLeftStanding counts the engines whose loaded versions stay wrong.
	StaleOrdersLeftStanding int `json:"stale_orders_left_standing"`
	// OrdersSettledSeconds is how long after the run the engines came to what the configuration says.
	OrdersSettledSeconds float64 `json:"orders_settled_seconds"`
	// LongestInForceSeconds is the longest time for which a connected VM stayed behind.
	LongestInForceSeconds float64 `json:"longest_until_in_force_seconds"`
}

// clean reports whether no promise was violated.
func (v ConfigurationVerdict) clean() bool {
	return v.ConfigurationReverts+v.TwoVersionsInForce+v.AcceptedButNotInForce+
		v.RejectedButInForce+v.OneVersionTwoMeanings+v.StaleOrdersLeftStanding == 0
}

// judgeConfiguration compares what the operators were told with what was in force.
func (o *oracle) judgeConfiguration(history History) {
	o.verdict.RolloutsAccepted = history.Rollouts
	o.verdict.OrdersSettledSeconds = history.OrdersSettled.Seconds()
	for _, stale := range history.StaleOrders {
		o.violate(&o.verdict.StaleOrdersLeftStanding, 1, "%s", stale)
	}
	observations := slices.Clone(history.Observations)
	slices.SortFunc(observations, func(a, b Observation) int { return a.Received.Compare(b.Received) })
	o.judgeReverts(observations)
	o.judgeMeanings(observations)
	o.judgeRejected(history.Changes, observations)
	o.judgeInForce(history, observations)
}

func (o *oracle) judgeReverts(observations []Observation) {
	highest := make(map[string]uint64)
	for _, seen := range observations {
		if seen.Version < highest[seen.Entry] {
			o.violate(&o.verdict.ConfigurationReverts, 1, "%s went from version %d to %d at %s",
				seen.Entry, highest[seen.Entry], seen.Version, seen.Received.Format(clockFormat))
		}
		highest[seen.Entry] = seen.Version
	}
}

func (o *oracle) judgeMeanings(observations []Observation) {
	meaning := make(map[uint64]int)
	for _, seen := range observations {
		share, known := meaning[seen.Version]
		if known && share != seen.Share {
			o.violate(&o.verdict.OneVersionTwoMeanings, 1, "version %d has the share %d on %s, and %d elsewhere",
				seen.Version, seen.Share, seen.Entry, share)
		}
		meaning[seen.Version] = seen.Share
	}
}

func (o *oracle) judgeRejected(changes []Change, observations []Observation) {
	for _, change := range changes {
		switch change.Outcome {
		case ChangeAccepted:
			o.verdict.ChangesAccepted++
		case ChangeUnknown:
			o.verdict.ChangesUnknown++
		case ChangeRejected:
			o.verdict.ChangesRejected++
			o.judgeRejectedChange(change, observations)
		}
	}
}

func (o *oracle) judgeRejectedChange(change Change, observations []Observation) {
	at := slices.IndexFunc(observations, func(seen Observation) bool { return seen.Share == change.Share })
	if at >= 0 {
		o.violate(&o.verdict.RejectedButInForce, 1, "share=%d was rejected (%s) but is version %d on %s",
			change.Share, change.Message, observations[at].Version, observations[at].Entry)
	}
}

// judgeInForce checks that each version is in force on every connected entry VM in time: from
// when its operator was told, or from when it was first in force anywhere.
func (o *oracle) judgeInForce(history History, observations []Observation) {
	told, shown := make(map[uint64]time.Time), make(map[uint64]time.Time)
	for _, change := range history.Changes {
		if change.Outcome == ChangeAccepted {
			told[change.Version] = change.Ended
		}
	}
	for _, seen := range observations {
		if _, known := shown[seen.Version]; !known {
			shown[seen.Version] = seen.Received
		}
	}
	for version, since := range told {
		if o.lateVersion(history, observations, version, since) {
			o.verdict.AcceptedButNotInForce++
		}
	}
	for version, since := range shown {
		if o.lateVersion(history, observations, version, since) {
			o.verdict.TwoVersionsInForce++
		}
	}
}

// lateVersion reports whether a connected entry VM had a lower version in force too long after since.
func (o *oracle) lateVersion(history History, observations []Observation, version uint64, since time.Time) bool {
	for _, seen := range observations {
		if seen.Version >= version || !seen.Sent.After(since) {
			continue
		}
		connected, ok := o.connectedSince(history, seen)
		if !ok {
			continue
		}
		late := seen.Sent.Sub(laterOf(since, connected))
		o.verdict.LongestInForceSeconds = max(o.verdict.LongestInForceSeconds, late.Seconds())
		if late > inForceWithin {
			var none int
			o.violate(&none, 1, "%s had version %d at %s, %v after version %d", seen.Entry, seen.Version,
				seen.Sent.Format(clockFormat), late, version)
			return true
		}
	}
	return false
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// connectedSince returns since when the observed entry VM has run without a fault of its own and
// without a cut of its zone; false while there is one.
func (o *oracle) connectedSince(history History, seen Observation) (time.Time, bool) {
	var since time.Time
	for _, fault := range o.faults {
		if !cutsOff(fault, seen.Entry, history.Zones[seen.Entry]) {
			continue
		}
		if fault.overlaps(seen.Sent, seen.Received) {
			return since, false
		}
		if fault.To.Before(seen.Sent) {
			since = laterOf(since, fault.To)
		}
	}
	return since, true
}

func cutsOff(fault Fault, entry, zone string) bool {
	switch fault.Kind {
	case KillEntry, FreezeEntry, StopEntry:
		return fault.Subject == entry
	case CutZone:
		return fault.Subject == zone
	default:
		return false
	}
}
