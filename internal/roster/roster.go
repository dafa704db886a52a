// Package roster follows the platform's list of targets.
//
// The list may be stale or unavailable. Invariants: a malformed entry is ignored and does not affect others; a target
// that is leaving or was removed gets no new work under the same incarnation; after an outage of the platform, the
// removal of missing entries is deferred, since live targets need some time to register again.
package roster

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

// Target is one incarnation of a target.
type Target struct {
	// ID names the target in the platform's list. A restarted target may keep it.
	ID string
	// StartedAt is when the target started, in Unix milliseconds, or zero if the target does not report it.
	StartedAt int64
	Service   string
	// Address is host:port.
	Address string
	Zone    string
	// Version is the version of the target's software, which an incarnation keeps. Versions have no order.
	Version string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving is set if the target accepts no new work.
	Leaving bool
	// Missing is set while the target is no longer listed after an outage of the platform, and may register again.
	Missing bool
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// Revision is the platform's revision of the entry, which dates WarmupRemaining; zero if it is not known.
	Revision uint64
}

// SameIncarnation reports whether both describe the same run of the same target, with no restart in between.
func (t Target) SameIncarnation(other Target) bool {
	return t.ID == other.ID && t.StartedAt == other.StartedAt && t.Address == other.Address
}

// ErrUnknownStart marks the error of a Decoder for a target whose entry states no usable StartedAt.
var ErrUnknownStart = errors.New("the start of the target is not known")

// Decoder decodes an object of the list into a target. With an error marked as ErrUnknownStart the target is valid but
// for its StartedAt.
type Decoder func(object.Object) (Target, error)

// Listener receives changes of the list. Its methods are called from one goroutine.
type Listener interface {
	// TargetsListed replaces the known targets, including those that are leaving.
	TargetsListed(targets map[string]Target)
	// TargetLeaving is called when a target is leaving, or when it was removed from the list or replaced by a new
	// incarnation.
	TargetLeaving(target Target)
}

// Options configures a Follower.
type Options struct {
	Store object.Store
	// Relaxed is a cheaper store whose answers may be seconds old. It is watched while IsReader reports false; nil
	// means Store.
	Relaxed object.Store
	// Prefix is the common prefix of the keys of the list.
	Prefix   string
	Decode   Decoder
	Listener Listener
	Logger   *log.Logger
	// IsReader reports whether this VM must follow the list without delay; nil means always. Other VMs receive changes
	// from peers first, and watch the list at a longer interval for those that they missed.
	IsReader func() bool
	// IsZoneLeader reports whether this VM retries a failed call after a short delay; nil means always.
	IsZoneLeader func() bool
	// TargetChanged is called with each change that this VM reads from the platform after the first list. It may be
	// nil.
	TargetChanged func(Target)
	// TargetCold is called with each new entry that states that its target is cold, before the Listener learns of it, and
	// reports whether that limits requests, so that peers must know. It may be nil.
	TargetCold func(Target) bool
}

const (
	// reRegistrationTime is how long live targets may take to register again after an outage of the platform.
	reRegistrationTime = 2200 * time.Millisecond
	// watchDelay is the delay before the next watch, so that one call returns a burst of changes.
	watchDelay = 80 * time.Millisecond
	// relaxedWatchDelay is the delay before the next watch of a VM that receives changes from peers.
	relaxedWatchDelay = 8 * time.Second
	// readerCheckInterval is how often a VM checks during that delay whether it has become the reader.
	readerCheckInterval = 200 * time.Millisecond
	// listTimeout is the timeout of one read of the list.
	listTimeout = 2 * time.Second
	// removalMargin is how long after the next pending removal a watch may end.
	removalMargin = 500 * time.Millisecond
	// minOutage is the time without an answer of the platform after which entries may have expired.
	minOutage = 500 * time.Millisecond
)

// Follower follows the platform's list of targets.
type Follower struct {
	options Options
	targets map[string]Target
	// pendingRemovals maps targets that have been missing from the list since an outage to the time of their removal.
	pendingRemovals map[string]time.Time
	// removalsDeferredUntil is the time until which a missing entry may be an effect of the last outage.
	removalsDeferredUntil time.Time
	lastAnswerAt          time.Time
	platformLost          bool
	ignored               ignoredEntries
	listed                atomic.Bool
	peerChanges           chan Target
	// removed holds recently removed targets, so that an outdated change of a peer does not add them again.
	removed map[string]Target
	// saidLeaving holds the incarnations that have said themselves that they are leaving, by id.
	saidLeaving   map[string]Target
	saidLeavingMu sync.Mutex
}

// NewFollower returns a Follower without targets.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, targets: make(map[string]Target), pendingRemovals: make(map[string]time.Time), peerChanges: make(chan Target, maxPeerChanges), ignored: newIgnoredEntries(options.Logger), removed: make(map[string]Target), saidLeaving: make(map[string]Target)}
}

// The sources of a change.
const (
	sourceList = "list"
	sourcePeer = "peer"
)

// maxRemoved limits the removed targets that are remembered. Peers repeat a change only for a few seconds.
const maxRemoved = 1024

// maxPeerChanges limits the queue of peers' changes. A change that does not fit is dropped, since peers repeat it.
const maxPeerChanges = 256

// QueuePeerChange queues a change that a peer has read from the platform. It does not block.
func (f *Follower) QueuePeerChange(target Target) {
	select {
	case f.peerChanges <- target:
	default:
	}
}

// HasSynced reports whether the list has been read at least once.
func (f *Follower) HasSynced() bool { return f.listed.Load() }

// Run follows the list until ctx is done. After a failure it continues from the last revision: the list is read again only
// if the platform has dropped its history since, or if a removal is due.
func (f *Follower) Run(ctx context.Context) error {
	object.Follow(ctx, object.Followed{List: f.list, Watch: f.watch, Failed: func(ctx context.Context, err error) {
		f.recordFailure(ctx, err)
		wait := pause.RetryWait(f.options.IsZoneLeader == nil || f.options.IsZoneLeader())
		if !f.HasSynced() {
			wait = min(wait, pause.StartRetryWait())
		}
		f.applyPeerChangesDuring(ctx, func() { pause.For(ctx, wait) })
	}})
	return nil
}

func (f *Follower) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil || f.platformLost {
		return
	}
	f.platformLost = true
	var age time.Duration
	if !f.lastAnswerAt.IsZero() {
		age = time.Since(f.lastAnswerAt)
	}
	f.options.Logger.Warn("dependency lost", "dependency", "list of targets", "age_ms", age.Milliseconds(), "error", err)
}

// recordAnswer records that the platform has answered. The first answer after an outage starts the time in which
// targets may register again.
func (f *Follower) recordAnswer(now time.Time) {
	if !f.lastAnswerAt.IsZero() && f.platformLost && now.Sub(f.lastAnswerAt) > minOutage {
		f.removalsDeferredUntil = now.Add(reRegistrationTime)
	}
	if f.platformLost {
		f.platformLost = false
		f.options.Logger.Info("dependency regained", "dependency", "list of targets")
	}
	f.lastAnswerAt = now
}

// list reads the whole list, removes the targets that are missing from it, and publishes the result. It returns the
// revision from which to watch.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var listing object.Listing
	var err error
	f.applyPeerChangesDuring(ctx, func() { listing, err = f.options.Store.List(bounded, f.options.Prefix) })
	if err != nil {
		return 0, err
	}
	now := time.Now()
	f.recordAnswer(now)
	seen := make(map[string]bool, len(listing.Objects))
	for _, entry := range listing.Objects {
		if target, ok := f.decode(entry); ok {
			seen[target.ID] = true
			f.put(target, sourceList)
		}
	}
	for id := range f.targets {
		if !seen[id] {
			f.remove(id, now)
		}
	}
	f.publish(now)
	f.listed.Store(true)
	return listing.Revision, nil
}

// watch waits for changes after the given revision, and applies and publishes them. It returns the revision from which
// to continue, or object.ErrRelist if the list must be read again.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	bounded, cancel := f.withRemovalDeadline(ctx)
	defer cancel()
	var batch object.Batch
	var err error
	callCtx, endCall := context.WithCancel(bounded)
	defer endCall()
	store, relaxed := f.watchStore()
	if relaxed {
		go f.endWhenReader(callCtx, endCall)
	}
	f.applyPeerChangesDuring(ctx, func() { batch, err = store.Watch(callCtx, f.options.Prefix, after) })
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return 0, object.ErrRelist // a pending removal is due; the platform has not failed
	}
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return after, nil // this VM has become the reader
	}
	if err != nil {
		return 0, err
	}
	now := time.Now()
	f.recordAnswer(now)
	if batch.Compacted {
		f.options.Logger.Info("list of targets is read again", "reason", "the platform dropped its history", "revision", after)
		return 0, object.ErrRelist
	}
	for _, entry := range batch.Events {
		f.applyEvent(entry, now)
	}
	f.publish(now)
	if len(batch.Events) > 0 {
		f.delayNextWatch(ctx)
	}
	return batch.Revision, nil
}

// applyPeerChangesDuring runs call and applies peers' changes until it returns. A call may take seconds while the
// platform is unavailable, and those changes must not wait for it.
func (f *Follower) applyPeerChangesDuring(ctx context.Context, call func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		call()
	}()
	for {
		select {
		case <-ended:
			return
		case target := <-f.peerChanges:
			if ctx.Err() == nil && f.applyPeerChange(target) {
				f.applyQueuedPeerChanges() // changes that arrived together are published once
				f.publish(time.Now())
			}
		}
	}
}

// watchStore returns the store for the next watch, and whether its answers may be old.
func (f *Follower) watchStore() (store object.Store, relaxed bool) {
	if f.options.Relaxed == nil || f.isReader() {
		return f.options.Store, false
	}
	return f.options.Relaxed, true
}

// endWhenReader ends a relaxed watch once this VM has become the reader, on which the others then rely.
func (f *Follower) endWhenReader(ctx context.Context, endCall context.CancelFunc) {
	for pause.For(ctx, readerCheckInterval) {
		if f.isReader() {
			endCall()
		}
	}
}

func (f *Follower) isReader() bool { return f.options.IsReader == nil || f.options.IsReader() }

// delayNextWatch waits before the next watch and applies peers' changes meanwhile. The reader waits for watchDelay
// without such a change, other VMs for relaxedWatchDelay or until they become the reader.
func (f *Follower) delayNextWatch(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		if f.applyQueuedPeerChanges() {
			f.publish(time.Now())
		}
		wait := readerCheckInterval
		if f.isReader() {
			wait = watchDelay
		} else if time.Since(started) > relaxedWatchDelay {
			return
		}
		select {
		case <-ctx.Done():
		case target := <-f.peerChanges:
			f.applyPeerChange(target)
			f.publish(time.Now())
		case <-time.After(wait):
			if wait == watchDelay {
				return
			}
		}
	}
}

// applyQueuedPeerChanges applies the queued changes of peers and reports whether one of them was new.
func (f *Follower) applyQueuedPeerChanges() (changed bool) {
	for {
		select {
		case target := <-f.peerChanges:
			changed = f.applyPeerChange(target) || changed
		default:
			return changed
		}
	}
}

// applyPeerChange applies a peer's change and reports whether it was new. A change that would make a leaving or
// removed incarnation usable again, or that is about an older incarnation than the known one, is ignored. So is the
// leaving of an unknown target.
func (f *Follower) applyPeerChange(target Target) bool {
	known, found := f.targets[target.ID]
	if found && known.SameIncarnation(target) && (known.Leaving || !target.Leaving) {
		f.applyPeerCold(known, target)
		return false
	}
	if found && !known.SameIncarnation(target) && target.StartedAt <= known.StartedAt {
		return false
	}
	if last, wasRemoved := f.removed[target.ID]; !found && (target.Leaving || wasRemoved && target.StartedAt <= last.StartedAt) {
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

// withRemovalDeadline sets a deadline on the context of a watch, so that the watch ends when the first pending removal
// is due. The store limits its waiting time to the deadline of the context.
func (f *Follower) withRemovalDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	var earliest time.Time
	for _, due := range f.pendingRemovals {
		if earliest.IsZero() || due.Before(earliest) {
			earliest = due
		}
	}
	if earliest.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, earliest.Add(removalMargin))
}

// applyEvent applies one change of the list. An entry that cannot be decoded removes its target.
func (f *Follower) applyEvent(entry object.Object, now time.Time) {
	if entry.Deleted {
		f.remove(f.targetID(entry), now)
		return
	}
	target, ok := f.decode(entry)
	if !ok {
		f.remove(f.targetID(entry), now)
		return
	}
	f.put(target, sourceList)
}

func (f *Follower) targetID(entry object.Object) string { return entry.Key[len(f.options.Prefix):] }

// put stores a target, and calls the listener if an incarnation is leaving or was replaced. A change from the list is
// also passed to Options.TargetChanged, except during the first list. An incarnation that is leaving stays leaving.
func (f *Follower) put(target Target, source string) {
	delete(f.pendingRemovals, target.ID)
	previous, known := f.targets[target.ID]
	target.Leaving = target.Leaving || f.hasSaidLeaving(target)
	sameIncarnation := known && previous.SameIncarnation(target)
	if sameIncarnation && previous.Leaving {
		target.Leaving = true
	}
	if sameIncarnation && previous.Version != "" {
		target.Version = previous.Version
	}
	becameCold := (!sameIncarnation || target.Revision > previous.Revision) && f.recordCold(target) && f.isReader()
	if sameIncarnation {
		target.Revision = max(target.Revision, previous.Revision)
	}
	f.targets[target.ID] = target
	if changed := !sameIncarnation || target.Leaving && !previous.Leaving || becameCold; changed && source == sourceList && f.listed.Load() && f.options.TargetChanged != nil {
		f.options.TargetChanged(target)
	}
	if known && !sameIncarnation {
		f.options.Listener.TargetLeaving(previous)
	}
	if sameIncarnation && target.Leaving && !previous.Leaving {
		f.options.Logger.Info("target is leaving", "target", target.ID, "service", target.Service, "source", source)
		f.options.Listener.TargetLeaving(target)
	}
}

// remove removes a target, or defers its removal while targets may still register again after an outage.
func (f *Follower) remove(id string, now time.Time) {
	target, known := f.targets[id]
	if !known {
		return
	}
	if _, pending := f.pendingRemovals[id]; pending {
		return // publish removes it when it is due
	}
	if now.Before(f.removalsDeferredUntil) {
		f.pendingRemovals[id] = f.removalsDeferredUntil
		return
	}
	f.drop(id, target)
}

// drop removes a target at once, and announces it as leaving.
func (f *Follower) drop(id string, target Target) {
	delete(f.targets, id)
	delete(f.pendingRemovals, id)
	if len(f.removed) >= maxRemoved {
		clear(f.removed)
	}
	f.removed[id] = target
	if !target.Leaving && f.options.TargetChanged != nil {
		leaving := target
		leaving.Leaving = true
		f.options.TargetChanged(leaving)
	}
	f.options.Logger.Info("target has left the list", "target", id, "service", target.Service, "was_leaving", target.Leaving)
	f.options.Listener.TargetLeaving(target)
}

// publish passes the targets to the listener, after removing those whose pending removal is due.
func (f *Follower) publish(now time.Time) {
	for id, due := range f.pendingRemovals {
		if !now.Before(due) {
			f.drop(id, f.targets[id])
		}
	}
	listed := maps.Clone(f.targets)
	for id := range f.pendingRemovals {
		missing := listed[id]
		missing.Missing = true
		listed[id] = missing
	}
	f.options.Listener.TargetsListed(listed)
}
