package evacuation

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

// sourceStore is the source of a state that this VM has read itself.
const sourceStore = "store"

const (
	// listTimeout is the timeout of one read of all objects.
	listTimeout = 2 * time.Second
	// readerCheckInterval is how often a VM checks during a relaxed watch whether it has become the reader.
	readerCheckInterval = 250 * time.Millisecond
	// memberRetry is the minimum wait after a failed call of a VM on which no other relies; a random time of up to the same
	// length is added. The leader of the zone retries sooner and tells the others when the store is available again.
	memberRetry = 4 * time.Second
	// relaxedReadDelay is the wait after a relaxed watch that brought nothing, unless the VM becomes the reader.
	relaxedReadDelay = 20 * time.Second
)

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Registry *Registry
	Store    object.Store
	// Relaxed is a cheaper store whose answers may be seconds old. It is watched while IsReader reports false: other VMs
	// hear of changes from the reader.
	Relaxed object.Store
	// Prefix is the common prefix of the keys.
	Prefix string
	// ZoneOf returns the zone that a key names.
	ZoneOf func(key string) (string, error)
	Logger *log.Logger
	// Announce is called after a read has changed the zones in evacuation; it must not block.
	Announce func()
	// IsReader reports whether this VM must follow the objects without delay.
	IsReader func() bool
	// IsZoneLeader reports whether this VM retries a failed call after a short delay.
	IsZoneLeader func() bool
}

// Follower follows the objects in the store that name zones in evacuation.
type Follower struct {
	options FollowerOptions
	zones   map[string]struct{}
	synced  atomic.Bool
	lost    bool
}

// NewFollower returns a Follower that has read nothing.
func NewFollower(options FollowerOptions) *Follower {
	return &Follower{options: options, zones: make(map[string]struct{})}
}

// HasSynced reports whether the objects have been read at least once.
func (f *Follower) HasSynced() bool { return f.synced.Load() }

// Run follows the objects until ctx is done. After a failure it continues from the last revision.
func (f *Follower) Run(ctx context.Context) error {
	object.Follow(ctx, object.Followed{List: f.list, Watch: f.watch, Failed: func(ctx context.Context, err error) {
		if isFirst := f.recordFailure(ctx, err); !isFirst || !object.IsUnanswered(err) {
			f.awaitRetry(ctx)
		}
	}})
	return nil
}

// awaitRetry waits after a failed call, briefly if others rely on this VM or it cannot serve yet.
func (f *Follower) awaitRetry(ctx context.Context) {
	switch {
	case !f.HasSynced():
		pause.For(ctx, min(pause.RetryWait(f.options.IsZoneLeader()), pause.StartRetryWait()))
	case f.options.IsZoneLeader():
		pause.For(ctx, pause.RetryWait(true))
	default:
		pauseUnless(ctx, memberRetry+rand.N(memberRetry), f.options.IsZoneLeader)
	}
}

// pauseUnless waits for the given time, or until the condition holds.
func pauseUnless(ctx context.Context, wait time.Duration, condition func() bool) {
	for started := time.Now(); time.Since(started) < wait && !condition(); {
		if !pause.For(ctx, readerCheckInterval) {
			return
		}
	}
}

// recordFailure reports whether the failure is the first since the last answer.
func (f *Follower) recordFailure(ctx context.Context, err error) (isFirst bool) {
	if ctx.Err() != nil || f.lost {
		return false
	}
	f.lost = true
	f.options.Logger.Warn("dependency lost", "dependency", "zones in evacuation", "error", err)
	return true
}

func (f *Follower) recordAnswer() {
	if f.lost {
		f.lost = false
		f.options.Logger.Info("dependency regained", "dependency", "zones in evacuation")
	}
}

// list reads all objects. It returns the revision from which to watch.
func (f *Follower) list(ctx context.Context) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	listing, err := f.options.Store.List(bounded, f.options.Prefix)
	if err != nil {
		return 0, err
	}
	f.recordAnswer()
	clear(f.zones)
	for _, entry := range listing.Objects {
		f.apply(entry)
	}
	f.publish(listing.Revision)
	f.synced.Store(true)
	return listing.Revision, nil
}

// watch waits for changes after the given revision and applies them. It returns the revision from which to continue, or
// object.ErrRelist if the objects must be listed again.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	callCtx, endCall := context.WithCancel(ctx)
	defer endCall()
	store := f.options.Store
	if !f.options.IsReader() {
		store = f.options.Relaxed
		go f.endWhenReader(callCtx, endCall)
	}
	batch, err := store.Watch(callCtx, f.options.Prefix, after)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		return after, nil // this VM has become the reader
	}
	if err != nil {
		return 0, err
	}
	f.recordAnswer()
	if batch.Compacted {
		return 0, object.ErrRelist
	}
	for _, entry := range batch.Events {
		f.apply(entry)
	}
	// Without a change the state stays the one of its last change, which all VMs know by the same revision.
	if len(batch.Events) > 0 {
		f.publish(batch.Revision)
	} else if store != f.options.Store {
		pauseUnless(ctx, relaxedReadDelay, f.options.IsReader)
	}
	return batch.Revision, nil
}

// endWhenReader ends a relaxed watch once this VM has become the reader, on which the others then rely.
func (f *Follower) endWhenReader(ctx context.Context, endCall context.CancelFunc) {
	for pause.For(ctx, readerCheckInterval) {
		if f.options.IsReader() {
			endCall()
		}
	}
}

func (f *Follower) apply(entry object.Object) {
	name, err := f.options.ZoneOf(entry.Key)
	switch {
	case err != nil:
		f.options.Logger.Warn("evacuation ignored", "key", entry.Key, "revision", entry.Version, "error", err)
	case entry.Deleted:
		delete(f.zones, name)
	default:
		f.zones[name] = struct{}{}
	}
}

func (f *Follower) publish(revision uint64) {
	if f.options.Registry.record(State{Revision: revision, Zones: slices.Sorted(maps.Keys(f.zones))}, sourceStore, time.Now()) {
		f.options.Announce()
	}
}
