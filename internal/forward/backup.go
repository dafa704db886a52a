package forward

import (
	"slices"
	"time"

	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// backupSendInterval is the longest time that an engine takes to start sending new parts of a KV cache to the backup.
const backupSendInterval = 300 * time.Millisecond

// hasUsableBackup reports whether the generation has a backup that its target has begun to fill.
func (s *stream) hasUsableBackup() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetSentEvent && s.backup != nil
}

// backupReadyAt returns when the backup is expected to hold the prompt, of which the source sends nothing before its
// first event. It returns false if there is no backup that the current target has begun to fill.
func (s *stream) backupReadyAt() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.targetSentEvent || s.backup == nil {
		return time.Time{}, false
	}
	transfer := transferTime(s.service.Engine, s.call.Prompt.Tokens)
	if s.backup.Target.Zone != s.lease.Target.Zone {
		transfer *= crossZoneTransferFactor
	}
	return s.firstOfTargetAt.Add(backupSendInterval + transfer), true
}

// awaitBackup waits until the backup is expected to hold the prompt, and reports whether there is a backup. Until
// then the backup would refuse the generation, and a move would only compete with it for the source's link.
func (s *stream) awaitBackup() bool {
	readyAt, found := s.backupReadyAt()
	return found && pause.For(s.ctx, time.Until(readyAt))
}

// transferQuery is query for a target that receives the generation's memory from the source.
func (s *stream) transferQuery(source roster.Target) placement.Query {
	query := s.query()
	query.FixVersion(source.Version)
	return query
}

// reserveBackup reserves an engine to hold a copy of the generation's KV cache and returns its address, or "" if no
// copy is wanted or none has the memory for it. It prefers engines in the zone of this VM: these remain reachable when
// the zones are cut off from each other, whatever the zone of the source.
func (s *stream) reserveBackup(lease *placement.Lease) string {
	s.releaseBackup(false)
	engine := s.service.Engine
	if engine == nil || !engine.SupportsBackups || s.route.Resumable {
		return ""
	}
	query := s.transferQuery(lease.Target)
	query.Copy = true
	query.Zone = s.options.Zone
	query.Excluded = append(append(slices.Clone(s.excluded), lease.Target.ID), s.excludedBackups()...)
	query.Excluded = append(query.Excluded, s.targetsBeingLeft()...)
	backup, err := s.options.Table.Pick(query, time.Now())
	if err != nil {
		return "" // no engine has spare memory; the generation runs without a backup
	}
	if !s.setBackup(backup) {
		return ""
	}
	return backup.Target.Address
}

// excludeBackup keeps the engine from holding another copy of the generation. One that refuses to go on has none, since it has no
// room for it or the source cannot reach it, and one that fails the request without a copy runs it again.
func (s *stream) excludeBackup(target roster.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unfitBackups = append(s.unfitBackups, target.ID)
}

func (s *stream) excludedBackups() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.unfitBackups)
}

// setBackup sets the backup, unless the stream has ended: then it releases the reservation and returns false.
func (s *stream) setBackup(backup *placement.Lease) bool {
	s.mu.Lock()
	isReleased := s.isReleased
	if !isReleased {
		s.backup = backup
	}
	s.mu.Unlock()
	if isReleased {
		backup.Done(placement.Canceled, time.Now())
	}
	return !isReleased
}

// releaseBackup releases the backup. The engine frees the copy on its own only if the generation completed at its
// source; otherwise the copy would occupy memory for seconds, so it is freed explicitly.
func (s *stream) releaseBackup(completed bool) {
	s.mu.Lock()
	backup := s.backup
	s.backup = nil
	s.mu.Unlock()
	if backup == nil {
		return
	}
	backup.Done(placement.Moved, time.Now())
	if !completed {
		go s.freeMemory(KVCacheRef{Address: backup.Target.Address, Handle: s.call.ID})
	}
}

// continueFromBackup prepares to continue at the backup after the target's response was interrupted.
func (s *stream) continueFromBackup() bool {
	if !s.hasTargetSentEvent() {
		return false
	}
	next, found := s.claimBackup()
	if !found {
		return false
	}
	s.metrics.backupSwitches.Inc(1)
	return s.setContinuation(next)
}

// claimBackup replaces the backup's reservation by one for running the generation there.
func (s *stream) claimBackup() (*continuation, bool) {
	s.mu.Lock()
	backup, source := s.backup, s.lease.Target
	s.backup = nil
	s.mu.Unlock()
	if backup == nil {
		return nil, false
	}
	backup.Done(placement.Moved, time.Now())
	query := s.transferQuery(source)
	query.Move = true
	lease, usable := s.options.Table.PickTarget(backup.Target, query, time.Now())
	if !usable {
		return nil, false
	}
	return &continuation{lease: lease, from: &KVCacheRef{Address: backup.Target.Address, Handle: s.call.ID}}, true
}

// restoreBackup reserves the engine again that was not asked to continue the generation after all, since the source still
// sends the KV cache there.
func (s *stream) restoreBackup(target roster.Target) {
	query := s.transferQuery(target)
	query.Copy = true
	backup, usable := s.options.Table.PickTarget(target, query, time.Now())
	if !usable {
		return
	}
	s.setBackup(backup)
}
