// Package roster follows the platform's list of targets.
//
// The list may be stale or unavailable. Invariants: a malformed entry is ignored and does not affect others; an incarnation
// that has announced that it is leaving gets no new work any more; one whose entry was removed gets none until it is listed
// again. All that is read or heard of an entry is ordered by the platform's revision, and the later word holds. After an
// outage of the platform, the removal of missing entries is deferred, since live targets need some time to register again,
// and no target is dropped for the passing of time alone: only a list that was read after that shows that it is gone.
package roster

import (
	"context"
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
	// Gone is set in a change: the platform had no entry of the target at Revision. Leaving is set as well, for VMs of
	// earlier builds.
	Gone bool
	// Missing is set while the target is no longer listed after an outage of the platform, and may register again.
	Missing bool
	// WarmupRemaining is how much longer the target is slow after its start.
	WarmupRemaining time.Duration
	// Revision is the platform's revision of the entry, which dates what is said of the target; zero if it is not known.
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
	// TargetLeaving is called when a target is leaving, or was replaced by a new incarnation.
	TargetLeaving(target Target)
	// TargetGone is called when a target was removed from the list. It may be listed again.
	TargetGone(target Target)
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
	// pendingRemovals maps targets that have been missing from the list since an outage to the time after which a list without
	// them shows that they are gone.
	pendingRemovals map[string]time.Time
	// removalsDeferredUntil is the time until which a missing entry may be an effect of the last outage.
	removalsDeferredUntil time.Time
	lastAnswerAt          time.Time
	platformLost          bool
	ignored               ignoredEntries
	listed                atomic.Bool
	peerChanges           chan Target
	// removed holds recently removed targets with the revision at which they were gone, so that an outdated change of a peer
	// does not add them again.
	removed map[string]Target
	// unconfirmed holds the revisions of the entries of incarnations that a peer of an earlier build has called leaving. It may
	// have meant that the entry was removed: a later entry refutes it.
	unconfirmed map[string]uint64
	// returnedAt is when targets that had been missing or removed were listed again.
	returnedAt map[string]time.Time
	// mustList is set if only a list read from now on tells what a peer meant, and endWatch ends the watch in progress then;
	// it is nil if there is none.
	mustList bool
	endWatch context.CancelFunc
	// announced holds the incarnations whose entry this VM has read as leaving.
	announced map[string]Target
	// saidLeaving holds the incarnations that have said themselves that they are leaving, by id.
	saidLeaving   map[string]Target
	saidLeavingMu sync.Mutex
}

// NewFollower returns a Follower without targets.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, targets: make(map[string]Target), pendingRemovals: make(map[string]time.Time), peerChanges: make(chan Target, maxPeerChanges), ignored: newIgnoredEntries(options.Logger), removed: make(map[string]Target), unconfirmed: make(map[string]uint64), returnedAt: make(map[string]time.Time), announced: make(map[string]Target), saidLeaving: make(map[string]Target)}
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
		isFirst := f.recordFailure(ctx, err)
		if isFirst && object.IsUnanswered(err) {
			return
		}
		wait := pause.RetryWait(f.options.IsZoneLeader == nil || f.options.IsZoneLeader())
		if !f.HasSynced() {
			wait = min(wait, pause.StartRetryWait())
		}
		f.applyPeerChangesDuring(ctx, func() { pause.For(ctx, wait) })
	}})
	return nil
}

// list reads the whole list, removes the targets that are missing from it, and publishes the result. It returns the
// revision from which to watch.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var listing object.Listing
	var err error
	askedAt := time.Now()
	f.mustList = false
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
			f.forgetLaterRevision(target, listing.Revision)
			f.put(target, sourceList)
		}
	}
	for id, target := range f.targets {
		if !seen[id] {
			f.settleRemoval(id, target, listing.Revision, askedAt, now)
		}
	}
	for id, gone := range f.removed {
		gone.Revision = listing.Revision
		f.removed[id] = gone
	}
	f.publish()
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
	if f.mustList {
		return 0, object.ErrRelist
	}
	callCtx, endCall := context.WithCancel(bounded)
	defer endCall()
	f.endWatch = endCall
	defer func() { f.endWatch = nil }()
	store, relaxed := f.watchStore()
	if relaxed {
		go f.endWhenReader(callCtx, endCall)
	}
	f.applyPeerChangesDuring(ctx, func() { batch, err = store.Watch(callCtx, f.options.Prefix, after) })
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return 0, object.ErrRelist // a pending removal is due; the platform has not failed
	}
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return after, nil // this VM has become the reader, or the list must be read
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
	f.publish()
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
				f.publish()
			}
			if f.mustList && f.endWatch != nil {
				f.endWatch()
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
// without such a change, other VMs for relaxedWatchDelay or until a removal is due or they become the reader.
func (f *Follower) delayNextWatch(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		if f.applyQueuedPeerChanges() {
			f.publish()
		}
		wait := readerCheckInterval
		if f.isReader() {
			wait = watchDelay
		} else if time.Since(started) > relaxedWatchDelay || f.isRemovalDue(time.Now()) || f.mustList {
			return
		}
		select {
		case <-ctx.Done():
		case target := <-f.peerChanges:
			f.applyPeerChange(target)
			f.publish()
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

// withRemovalDeadline sets a deadline on the context of a watch, so that the watch ends when the first pending removal
// is due. The store limits its waiting time to the deadline of the context.
func (f *Follower) withRemovalDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	due, isPending := f.nextRemoval()
	if !isPending {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, due.Add(removalMargin))
}

// nextRemoval returns when the first pending removal is due.
func (f *Follower) nextRemoval() (earliest time.Time, isPending bool) {
	for _, due := range f.pendingRemovals {
		if !isPending || due.Before(earliest) {
			earliest, isPending = due, true
		}
	}
	return earliest, isPending
}

func (f *Follower) isRemovalDue(now time.Time) bool {
	due, isPending := f.nextRemoval()
	return isPending && !now.Before(due)
}
