package failures

import (
	"slices"
	"time"
)

// inForceLimit is the time within which an accepted configuration must be in force on every connected entry VM.
const inForceLimit = 4 * time.Second

// ConfigurationVerdict counts configuration changes and the violations of the guarantees given for them.
type ConfigurationVerdict struct {
	ChangesAccepted  int `json:"changes_accepted"`
	ChangesRejected  int `json:"changes_rejected"`
	ChangesUnknown   int `json:"changes_unknown"`
	RolloutsAccepted int `json:"rollouts_accepted"`

	ConfigurationReverts     int `json:"configuration_reverts"`
	TwoVersionsInForce       int `json:"two_versions_in_force_past_4_s"`
	AcceptedButNotInForce    int `json:"accepted_but_not_in_force"`
	RejectedButInForce       int `json:"rejected_but_in_force"`
	VersionContentMismatches int `json:"one_version_two_meanings"`
	// UnappliedOrders counts the engines whose loaded versions still differ from the configuration when the run ends.
	UnappliedOrders int `json:"stale_orders_left_standing"`
	// OrdersSettledSeconds is the time from the end of the run until all engines had loaded what the configuration
	// says.
	OrdersSettledSeconds float64 `json:"orders_settled_seconds"`
	// LongestInForceSeconds is the longest time for which a connected entry VM had an older version in force.
	LongestInForceSeconds float64 `json:"longest_until_in_force_seconds"`
}

// isClean reports whether no guarantee was violated.
func (v ConfigurationVerdict) isClean() bool {
	return v.ConfigurationReverts+v.TwoVersionsInForce+v.AcceptedButNotInForce+
		v.RejectedButInForce+v.VersionContentMismatches+v.UnappliedOrders == 0
}

// checkConfiguration compares the results that operators received with the configurations that were in force.
func (o *oracle) checkConfiguration(history History) {
	o.verdict.RolloutsAccepted = history.Rollouts
	o.verdict.OrdersSettledSeconds = history.OrderSettleTime.Seconds()
	for _, stale := range history.UnappliedOrders {
		o.addViolation(&o.verdict.UnappliedOrders, 1, "%s", stale)
	}
	observations := slices.Clone(history.Observations)
	slices.SortFunc(observations, func(a, b Observation) int { return a.Received.Compare(b.Received) })
	o.checkReverts(observations)
	o.checkVersionContents(observations)
	o.checkChanges(history.Changes, observations)
	o.checkInForce(history, observations)
}

// checkReverts checks that the version in force on an entry VM never decreases.
func (o *oracle) checkReverts(observations []Observation) {
	highest := make(map[string]uint64)
	for _, observation := range observations {
		if observation.Version < highest[observation.Entry] {
			o.addViolation(&o.verdict.ConfigurationReverts, 1, "%s reverted from version %d to %d at %s",
				observation.Entry, highest[observation.Entry], observation.Version, observation.Received.Format(clockFormat))
		}
		highest[observation.Entry] = observation.Version
	}
}

// checkVersionContents checks that a version has the same content on all entry VMs.
func (o *oracle) checkVersionContents(observations []Observation) {
	shareByVersion := make(map[uint64]int)
	for _, observation := range observations {
		share, known := shareByVersion[observation.Version]
		if known && share != observation.Share {
			o.addViolation(&o.verdict.VersionContentMismatches, 1, "version %d has share %d on %s, but %d elsewhere",
				observation.Version, observation.Share, observation.Entry, share)
		}
		shareByVersion[observation.Version] = observation.Share
	}
}

func (o *oracle) checkChanges(changes []Change, observations []Observation) {
	for _, change := range changes {
		switch change.Outcome {
		case ChangeAccepted:
			o.verdict.ChangesAccepted++
		case ChangeUnknown:
			o.verdict.ChangesUnknown++
		case ChangeRejected:
			o.verdict.ChangesRejected++
			o.checkRejectedChange(change, observations)
		}
	}
}

func (o *oracle) checkRejectedChange(change Change, observations []Observation) {
	index := slices.IndexFunc(observations, func(observation Observation) bool { return observation.Share == change.Share })
	if index >= 0 {
		o.addViolation(&o.verdict.RejectedButInForce, 1, "share=%d was rejected (%s) but is in force as version %d on %s",
			change.Share, change.Message, observations[index].Version, observations[index].Entry)
	}
}

// checkInForce checks that each version is in force on every connected entry VM within inForceLimit. The limit counts
// from the operator's receipt of the acceptance, and separately from the first observation of the version on any entry
// VM.
func (o *oracle) checkInForce(history History, observations []Observation) {
	acceptedAt, firstSeenAt := make(map[uint64]time.Time), make(map[uint64]time.Time)
	for _, change := range history.Changes {
		if change.Outcome == ChangeAccepted {
			acceptedAt[change.Version] = change.Ended
		}
	}
	for _, observation := range observations {
		if _, known := firstSeenAt[observation.Version]; !known {
			firstSeenAt[observation.Version] = observation.Received
		}
	}
	for version, since := range acceptedAt {
		if o.hasStaleEntry(history, observations, version, since) {
			o.verdict.AcceptedButNotInForce++
		}
	}
	for version, since := range firstSeenAt {
		if o.hasStaleEntry(history, observations, version, since) {
			o.verdict.TwoVersionsInForce++
		}
	}
}

// hasStaleEntry reports whether a connected entry VM had a lower version in force more than inForceLimit after since.
// It records the longest such time in the verdict.
func (o *oracle) hasStaleEntry(history History, observations []Observation, version uint64, since time.Time) bool {
	for _, observation := range observations {
		if observation.Version >= version || !observation.Sent.After(since) {
			continue
		}
		connected, ok := o.connectedSince(history, observation)
		if !ok {
			continue
		}
		staleFor := observation.Sent.Sub(laterTime(since, connected))
		o.verdict.LongestInForceSeconds = max(o.verdict.LongestInForceSeconds, staleFor.Seconds())
		if staleFor > inForceLimit {
			var ignored int
			o.addViolation(&ignored, 1, "%s still had version %d in force at %s, %v after version %d",
				observation.Entry, observation.Version, observation.Sent.Format(clockFormat), staleFor, version)
			return true
		}
	}
	return false
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// connectedSince returns the end of the last fault before the observation that stopped the entry VM or cut off its
// zone. It returns false when such a fault was active during the observation.
func (o *oracle) connectedSince(history History, observation Observation) (time.Time, bool) {
	var since time.Time
	for _, fault := range o.faults {
		if !isolatesEntry(fault, observation.Entry, history.Zones[observation.Entry]) {
			continue
		}
		if fault.overlaps(observation.Sent, observation.Received) {
			return since, false
		}
		if fault.To.Before(observation.Sent) {
			since = laterTime(since, fault.To)
		}
	}
	return since, true
}

func isolatesEntry(fault Fault, entry, zone string) bool {
	switch fault.Kind {
	case KillEntry, FreezeEntry, StopEntry:
		return fault.Subject == entry
	case CutZone:
		return fault.Subject == zone
	default:
		return false
	}
}
