package roster

// maxSaidLeaving limits the incarnations that are remembered to have said that they are leaving. They are few at a time,
// and each leaves the list within seconds.
const maxSaidLeaving = 4096

// RecordLeaving records that the target has said itself that it is leaving. The statement holds for this incarnation,
// whatever the list and peers say, and also if it disappears from the list and is listed again. RecordLeaving does not
// block; the listener is called soon after.
func (f *Follower) RecordLeaving(target Target) {
	target.Leaving = true
	f.saidLeavingMu.Lock()
	if len(f.saidLeaving) >= maxSaidLeaving {
		clear(f.saidLeaving)
	}
	f.saidLeaving[target.ID] = target
	f.saidLeavingMu.Unlock()
	f.QueuePeerChange(target)
}

// hasSaidLeaving reports whether the incarnation has said that it is leaving.
func (f *Follower) hasSaidLeaving(target Target) bool {
	f.saidLeavingMu.Lock()
	defer f.saidLeavingMu.Unlock()
	said, found := f.saidLeaving[target.ID]
	return found && said.SameIncarnation(target)
}
