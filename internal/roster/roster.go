// Package roster follows the platform's list of targets.
//
// The list lags and may be away. Invariants: an entry that cannot be read names no target and harms no other;
// a target that is leaving or has left gets no new work under the same incarnation; after an outage of the
// platform, entries that are missing are kept for a while, since live targets need that long to return to it.
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
	// ID names the target in the platform's list; a target that starts again may keep it.
	ID string
	// StartedAt is when the target started, in Unix milliseconds, or zero where it does not say.
	StartedAt int64
	Service   string
	// Address is host:port.
	Address string
	Zone    string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving targets take no new work.
	Leaving bool
	// SlowFor is how much longer the target is slow after its start.
	SlowFor time.Duration
}

// SameIncarnation reports whether both are the same start of the same target.
func (t Target) SameIncarnation(other Target) bool {
	return t.ID == other.ID && t.StartedAt == other.StartedAt && t.Address == other.Address
}

// Decoder turns an object of the list into a target.
type Decoder func(object.Object) (Target, error)

// Listener learns of changes. Its methods are called from one goroutine.
type Listener interface {
	// Listed replaces the targets that may be used, leaving ones included.
	Listed(targets map[string]Target)
	// Left says that the target leaves, or has left the list and ends soon.
	Left(target Target)
}

// errListAgain says that the list must be read again.
var errListAgain = errors.New("the list must be read again")

// Options configures a Follower.
type Options struct {
	Store object.Store
	// Relaxed is a store whose answers may be seconds old and cost less. It is watched while peers tell of changes
	// first; nil stands for Store.
	Relaxed object.Store
	// Prefix is the common start of the keys of the list.
	Prefix   string
	Decode   Decoder
	Listener Listener
	Logger   *log.Logger
	// Close reports whether this VM follows the list closely; nil stands for always. Others learn of changes
	// from peers first, and watch now and then for what they missed.
	Close func() bool
	// First reports whether this VM tries again soon after a failed call; nil stands for always.
	First func() bool
	// Learnt is called with each change that this VM learns from the platform after its first list; nil for nobody.
	Learnt func(Target)
}

const (
	// returnTime is how long live targets need to return to the list after an outage of the platform.
	returnTime = 2200 * time.Millisecond
	// gatherTime is the wait before the next watch, so that changes that come together cost one call.
	gatherTime = 80 * time.Millisecond
	// relaxedTime is the wait between two watches of a VM that learns of changes from peers.
	relaxedTime = 8 * time.Second
	// closeCheck is how often it is looked whether the list must be followed closely after all.
	closeCheck = 200 * time.Millisecond
	// listTimeout bounds one reading of the list.
	listTimeout = 2 * time.Second
	// removalSlack is the time past a held removal for which the watch that ends with it may last.
	removalSlack = 500 * time.Millisecond
	// outageAfter is the time without the platform after which entries may have lapsed.
	outageAfter = 500 * time.Millisecond
)

// Follower follows the list.
type Follower struct {
	options Options
	targets map[string]Target
	// missing holds targets that have gone from the list since an outage, until the time given.
	missing map[string]time.Time
	// heldUntil is until when removals count as effects of an outage.
	heldUntil time.Time
	lastHeard time.Time
	lost      bool
	malformed sync.Map
	listed    atomic.Bool
	hints     chan Target
	// dropped are targets that have left the list lately; a peer's older word does not bring them back.
	dropped map[string]Target
}

// NewFollower returns a Follower that knows no target.
func NewFollower(options Options) *Follower {
	return &Follower{options: options, targets: make(map[string]Target), missing: make(map[string]time.Time), hints: make(chan Target, maxHints), dropped: make(map[string]Target)}
}

// The sources of a change.
const (
	fromList = "list"
	fromPeer = "peer"
)

// maxDropped bounds the targets that are remembered after they have left; peers repeat a change for seconds.
const maxDropped = 1024

// maxHints bounds the peers' changes that wait to be taken; one that does not fit comes again.
const maxHints = 256

// Hint takes what a peer has learnt of a target from the platform.
func (f *Follower) Hint(target Target) {
	select {
	case f.hints <- target:
	default:
	}
}

// Known reports whether the list has been read once.
func (f *Follower) Known() bool { return f.listed.Load() }

// Run follows the list until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		revision, err := f.list(ctx)
		for err == nil && ctx.Err() == nil {
			revision, err = f.watch(ctx, revision)
		}
		if err != nil && !errors.Is(err, errListAgain) {
			f.failed(ctx, err)
			wait := pause.RetryWait(f.options.First == nil || f.options.First())
			f.meanwhile(ctx, func() { pause.For(ctx, wait) })
		}
	}
	return nil
}

func (f *Follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || f.lost {
		return
	}
	f.lost = true
	var age time.Duration
	if !f.lastHeard.IsZero() {
		age = time.Since(f.lastHeard)
	}
	f.options.Logger.Warn("dependency lost", "dependency", "list of targets", "age_ms", age.Milliseconds(), "error", err)
}

// heard notes an answer of the platform; one after a long silence starts the time for targets to return.
func (f *Follower) heard(now time.Time) {
	if !f.lastHeard.IsZero() && f.lost && now.Sub(f.lastHeard) > outageAfter {
		f.heldUntil = now.Add(returnTime)
	}
	if f.lost {
		f.lost = false
		f.options.Logger.Info("dependency regained", "dependency", "list of targets")
	}
	f.lastHeard = now
}

func (f *Follower) list(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var listing object.Listing
	var err error
	f.meanwhile(ctx, func() { listing, err = f.options.Store.List(bounded, f.options.Prefix) })
	if err != nil {
		return 0, err
	}
	now := time.Now()
	f.heard(now)
	seen := make(map[string]bool, len(listing.Objects))
	for _, entry := range listing.Objects {
		if target, ok := f.decode(entry); ok {
			seen[target.ID] = true
			f.put(target, fromList)
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

func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	bounded, cancel := f.untilNextRemoval(ctx)
	defer cancel()
	var batch object.Batch
	var err error
	f.meanwhile(ctx, func() { batch, err = f.watched().Watch(bounded, f.options.Prefix, after) })
	if err != nil && bounded.Err() != nil && ctx.Err() == nil {
		return 0, errListAgain // a held removal is due, which is no failure of the platform
	}
	if err != nil {
		return 0, err
	}
	now := time.Now()
	f.heard(now)
	if batch.Compacted {
		f.options.Logger.Info("list of targets is read again", "reason", "the platform dropped its history", "revision", after)
		return 0, errListAgain
	}
	for _, entry := range batch.Events {
		f.apply(entry, now)
	}
	f.publish(now)
	if len(batch.Events) > 0 {
		f.gather(ctx)
	}
	return batch.Revision, nil
}

// meanwhile takes peers' changes until wait, which may take seconds while the platform is away, has ended.
func (f *Follower) meanwhile(ctx context.Context, wait func()) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait()
	}()
	for {
		select {
		case <-ended:
			return
		case target := <-f.hints:
			if ctx.Err() == nil && f.takeHint(target) {
				f.takeHints() // those that came with it are published together
				f.publish(time.Now())
			}
		}
	}
}

// watched is the store for the next watch.
func (f *Follower) watched() object.Store {
	if f.options.Relaxed == nil || f.closely() {
		return f.options.Store
	}
	return f.options.Relaxed
}

func (f *Follower) closely() bool { return f.options.Close == nil || f.options.Close() }

// gather waits before the next watch, and takes peers' changes meanwhile.
func (f *Follower) gather(ctx context.Context) {
	started := time.Now()
	for ctx.Err() == nil {
		if f.takeHints() {
			f.publish(time.Now())
		}
		wait := closeCheck
		if f.closely() {
			wait = gatherTime
		} else if time.Since(started) > relaxedTime {
			return
		}
		select {
		case <-ctx.Done():
		case target := <-f.hints:
			f.takeHint(target)
			f.publish(time.Now())
		case <-time.After(wait):
			if wait == gatherTime {
				return
			}
		}
	}
}

// takeHints takes the peers' changes that wait and reports whether one was new.
func (f *Follower) takeHints() (taken bool) {
	for {
		select {
		case target := <-f.hints:
			taken = f.takeHint(target) || taken
		default:
			return taken
		}
	}
}

// takeHint reports whether the peer's change was new. A target that this VM knows to be leaving stays so.
func (f *Follower) takeHint(target Target) bool {
	known, found := f.targets[target.ID]
	if found && known.SameIncarnation(target) && (known.Leaving || !target.Leaving) {
		return false
	}
	if found && !known.SameIncarnation(target) && target.StartedAt <= known.StartedAt {
		return false
	}
	if gone, left := f.dropped[target.ID]; !found && (target.Leaving || left && target.StartedAt <= gone.StartedAt) {
		return false
	}
	f.put(target, fromPeer)
	return true
}

// untilNextRemoval bounds a watch so that it ends when the first held removal is due. The store cuts its
// wait to the deadline of the context.
func (f *Follower) untilNextRemoval(ctx context.Context) (context.Context, context.CancelFunc) {
	var first time.Time
	for _, until := range f.missing {
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, first.Add(removalSlack))
}

func (f *Follower) apply(entry object.Object, now time.Time) {
	if entry.Deleted {
		f.remove(f.idOf(entry), now)
		return
	}
	target, ok := f.decode(entry)
	if !ok {
		f.remove(f.idOf(entry), now)
		return
	}
	f.put(target, fromList)
}

func (f *Follower) idOf(entry object.Object) string { return entry.Key[len(f.options.Prefix):] }

func (f *Follower) decode(entry object.Object) (Target, bool) {
	target, err := f.options.Decode(entry)
	if err == nil {
		return target, true
	}
	if _, known := f.malformed.LoadOrStore(entry.Key, entry.Version); !known {
		f.options.Logger.Warn("entry of the list ignored", "key", entry.Key, "revision", entry.Version, "error", err)
	}
	return Target{}, false
}

func (f *Follower) put(target Target, source string) {
	delete(f.missing, target.ID)
	old, known := f.targets[target.ID]
	same := known && old.SameIncarnation(target)
	if same && old.Leaving {
		target.Leaving = true
	}
	f.targets[target.ID] = target
	if changed := !same || target.Leaving && !old.Leaving; changed && source == fromList && f.listed.Load() && f.options.Learnt != nil {
		f.options.Learnt(target)
	}
	if known && !same {
		f.options.Listener.Left(old)
	}
	if same && target.Leaving && !old.Leaving {
		f.options.Logger.Info("target is leaving", "target", target.ID, "service", target.Service, "source", source)
		f.options.Listener.Left(target)
	}
}

// remove takes a target off the list, or holds it while targets return after an outage.
func (f *Follower) remove(id string, now time.Time) {
	target, known := f.targets[id]
	if !known {
		return
	}
	if _, held := f.missing[id]; held {
		return // publish drops it when its time is over
	}
	if now.Before(f.heldUntil) {
		f.missing[id] = f.heldUntil
		return
	}
	f.drop(id, target)
}

func (f *Follower) drop(id string, target Target) {
	delete(f.targets, id)
	delete(f.missing, id)
	if len(f.dropped) >= maxDropped {
		clear(f.dropped)
	}
	f.dropped[id] = target
	if !target.Leaving && f.options.Learnt != nil {
		gone := target
		gone.Leaving = true
		f.options.Learnt(gone)
	}
	f.options.Logger.Info("target has left the list", "target", id, "service", target.Service, "was_leaving", target.Leaving)
	f.options.Listener.Left(target)
}

// publish tells the listener the targets. Those that did not return in time go first.
func (f *Follower) publish(now time.Time) {
	for id, until := range f.missing {
		if !now.Before(until) {
			f.drop(id, f.targets[id])
		}
	}
	f.options.Listener.Listed(maps.Clone(f.targets))
}
