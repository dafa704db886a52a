package roster

import (
	"maps"
	"time"

	"godwitcart/internal/object"
)

// applyPeerChange applies a peer's change and reports whether it was new. A change that is about an older incarnation than the
// known one, or about an older revision of the entry, is ignored. So is the leaving of an unknown target.
func (f *Follower) applyPeerChange(target Target) bool {
	if target.Gone {
		return f.applyPeerRemoval(target)
	}
	known, found := f.targets[target.ID]
	if found && known.SameIncarnation(target) {
		return f.applyPeerUpdate(known, target)
	}
	if found && target.StartedAt <= known.StartedAt {
		return false
	}
	if last, wasRemoved := f.removed[target.ID]; !found && (target.Leaving || wasRemoved && !isListedAgain(last, target)) {
		return false
	}
	f.put(target, sourcePeer)
	return true
}

// isListedAgain reports whether a target that was removed is listed in the change: in a later incarnation, or in the same one
// by an entry that was written after its removal.
func isListedAgain(removed, change Target) bool {
	return change.StartedAt > removed.StartedAt || change.SameIncarnation(removed) && change.Revision > removed.Revision
}

// applyPeerRemoval applies a peer's word that a target was not listed at a revision.
func (f *Follower) applyPeerRemoval(target Target) bool {
	known, found := f.targets[target.ID]
	if !found || !known.SameIncarnation(target) || known.Revision > target.Revision {
		return false
	}
	f.drop(target.ID, known, target.Revision, sourcePeer)
	return true
}

// applyPeerUpdate applies a peer's word on a known incarnation.
func (f *Follower) applyPeerUpdate(known, target Target) bool {
	_, isPending := f.pendingRemovals[known.ID]
	switch {
	case target.Leaving && !known.Leaving && target.Revision == 0 && !f.hasSaidLeaving(target):
		if f.mayMeanRemoval(known.ID) {
			f.mustList = true
			return false
		}
		f.unconfirmed[known.ID] = known.Revision
	case target.Leaving && !known.Leaving:
		// The entry, or the target itself, says so.
	case target.Leaving && target.Revision > 0:
		delete(f.unconfirmed, known.ID) // the entry itself says so
		return false
	case !target.Leaving && target.Revision > known.Revision && (isPending || f.isRefuted(target)):
		// The entry has been written again.
	default:
		f.applyPeerCold(known, target)
		return false
	}
	f.put(target, sourcePeer)
	return true
}

// applyPeerCold records a peer's word that a known incarnation is cold, unless it is as old as what is known.
func (f *Follower) applyPeerCold(known, target Target) {
	if target.Revision > known.Revision && f.recordCold(target) {
		known.Revision = target.Revision
		f.targets[known.ID] = known
	}
}

// recordCold passes on that a target is cold, if it is, and reports whether that limits requests.
func (f *Follower) recordCold(target Target) bool {
	return target.WarmupRemaining > 0 && f.options.TargetCold != nil && f.options.TargetCold(target)
}

// isRefuted reports whether the entry refutes an unconfirmed word that its incarnation is leaving.
func (f *Follower) isRefuted(entry Target) bool {
	revision, unconfirmed := f.unconfirmed[entry.ID]
	return unconfirmed && !entry.Leaving && entry.Revision > revision
}

// maxWordAge is how long after the removal of a target a peer may still repeat it.
const maxWordAge = 3 * time.Second

// mayMeanRemoval reports whether a peer's word that the target is leaving may be about its removal before it was listed again.
func (f *Follower) mayMeanRemoval(id string) bool {
	at, returned := f.returnedAt[id]
	return returned && time.Since(at) < maxWordAge
}

func (f *Follower) recordReturn(id string) {
	now := time.Now()
	maps.DeleteFunc(f.returnedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= maxWordAge })
	f.returnedAt[id] = now
}

// applyEvent applies one change of the list. An entry that cannot be decoded removes its target.
func (f *Follower) applyEvent(entry object.Object, now time.Time) {
	if !entry.Deleted {
		if target, ok := f.decode(entry); ok {
			if gone, wasRemoved := f.removed[target.ID]; !wasRemoved || target.Revision > gone.Revision {
				f.put(target, sourceList)
			}
			return
		}
	}
	id := f.targetID(entry)
	known, found := f.targets[id]
	if !found || known.Revision > entry.Version {
		return // a peer has read a later entry
	}
	f.remove(id, known, entry.Version, now)
}

// forgetLaterRevision makes the entry of a list the latest word where the platform's revision has gone back, as after a
// restore of its data.
func (f *Follower) forgetLaterRevision(entry Target, listRevision uint64) {
	if known, found := f.targets[entry.ID]; found && known.Revision > listRevision {
		known.Revision = entry.Revision
		f.targets[entry.ID] = known
	}
}

func (f *Follower) targetID(entry object.Object) string { return entry.Key[len(f.options.Prefix):] }

// put stores a target, and calls the listener if an incarnation is leaving or was replaced. A change from the list is
// also passed to Options.TargetChanged, except during the first list. An incarnation that has announced that it is leaving stays
// leaving.
func (f *Follower) put(target Target, source string) {
	_, isPending := f.pendingRemovals[target.ID]
	_, wasRemoved := f.removed[target.ID]
	delete(f.pendingRemovals, target.ID)
	delete(f.removed, target.ID)
	previous, known := f.targets[target.ID]
	entryLeaves := target.Leaving
	target.Leaving = target.Leaving || f.hasSaidLeaving(target)
	sameIncarnation := known && previous.SameIncarnation(target)
	if !sameIncarnation {
		delete(f.unconfirmed, target.ID)
	}
	if sameIncarnation && previous.Leaving && !f.isRefuted(target) {
		target.Leaving = true
	}
	if !target.Leaving || source == sourceList && entryLeaves {
		delete(f.unconfirmed, target.ID)
	}
	if sameIncarnation && previous.Version != "" {
		target.Version = previous.Version
	}
	becameCold := (!sameIncarnation || target.Revision > previous.Revision) && f.recordCold(target) && f.isReader()
	if sameIncarnation {
		target.Revision = max(target.Revision, previous.Revision)
	}
	f.targets[target.ID] = target
	if isPending || wasRemoved || sameIncarnation && previous.Leaving && !target.Leaving {
		f.recordReturn(target.ID)
	}
	if source == sourceList && f.listed.Load() {
		isReturn := sameIncarnation && f.isReader() && (isPending || previous.Leaving && !target.Leaving)
		isNewLeaving := target.Leaving && !previous.Leaving
		isFirstLeaving := entryLeaves && f.isReader() && f.recordAnnounced(target)
		if !sameIncarnation || isNewLeaving || isFirstLeaving || isReturn || becameCold {
			f.tell(target)
		}
	}
	if known && !sameIncarnation {
		f.options.Listener.TargetLeaving(previous)
	}
	if sameIncarnation && target.Leaving && !previous.Leaving {
		f.options.Logger.Info("target is leaving", "target", target.ID, "service", target.Service, "source", source)
		f.options.Listener.TargetLeaving(target)
	}
}

// recordAnnounced records that the entry of an incarnation says that it is leaving, and reports whether this VM reads it for the
// first time. A reader then tells its peers, also if it had heard of it in another way: they may not have.
func (f *Follower) recordAnnounced(target Target) bool {
	if earlier, found := f.announced[target.ID]; found && earlier.SameIncarnation(target) {
		return false
	}
	if len(f.announced) >= maxRemoved {
		clear(f.announced)
	}
	f.announced[target.ID] = target
	return true
}

func (f *Follower) tell(change Target) {
	if f.options.TargetChanged != nil {
		f.options.TargetChanged(change)
	}
}

// remove removes a target that was not listed at the revision, or defers its removal while targets may still register again
// after an outage.
func (f *Follower) remove(id string, target Target, revision uint64, now time.Time) {
	if _, isPending := f.pendingRemovals[id]; isPending {
		return // a list decides once the time to register again is over
	}
	if now.Before(f.removalsDeferredUntil) {
		f.pendingRemovals[id] = f.removalsDeferredUntil
		return
	}
	f.drop(id, target, revision, sourceList)
}

// settleRemoval is remove for a target that is missing from a list that was asked for at askedAt. A pending removal takes place
// once a list shows it that was asked for when the time to register again was over; another outage prolongs that time.
func (f *Follower) settleRemoval(id string, target Target, revision uint64, askedAt, now time.Time) {
	due, isPending := f.pendingRemovals[id]
	switch {
	case now.Before(f.removalsDeferredUntil):
		f.pendingRemovals[id] = f.removalsDeferredUntil
	case !isPending || !askedAt.Before(due):
		f.drop(id, target, revision, sourceList)
	}
}

// drop removes a target that was not listed at the revision. What this VM has read itself is passed on.
func (f *Follower) drop(id string, target Target, revision uint64, source string) {
	delete(f.targets, id)
	delete(f.pendingRemovals, id)
	delete(f.unconfirmed, id)
	delete(f.announced, id)
	if len(f.removed) >= maxRemoved {
		clear(f.removed)
	}
	gone := target
	gone.Gone, gone.Leaving, gone.Revision = true, true, max(revision, target.Revision)
	f.removed[id] = gone
	if source == sourceList && !target.Leaving {
		f.tell(gone)
	}
	f.options.Logger.Info("target has left the list", "target", id, "service", target.Service, "was_leaving", target.Leaving, "source", source, "revision", gone.Revision)
	f.options.Listener.TargetGone(target)
}

// publish passes the targets to the listener.
func (f *Follower) publish() {
	listed := maps.Clone(f.targets)
	for id := range f.pendingRemovals {
		missing := listed[id]
		missing.Missing = true
		listed[id] = missing
	}
	f.options.Listener.TargetsListed(listed)
}
