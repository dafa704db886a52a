// Package inforce keeps the newest configuration of a deployment and the proof of how fresh it is.
//
// The platform's answer to an operator's write is the acceptance of a configuration, so no VM takes part in
// it: a Keeper reads the configuration at a fixed interval, which bounds both the time until a version is in
// force and the age of the proof that no newer one exists. Invariant: the version never falls.
package inforce

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/boottime"
	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
)

// Reader reads the configuration from the platform. Its answer is no older than the call.
type Reader interface {
	// ReadConfiguration returns the newest configuration. An error says that it could not be read, or that
	// the one that the platform holds cannot be used.
	ReadConfiguration(ctx context.Context) (*policy.RouteTable, error)
}

// Options configures a Keeper.
type Options struct {
	Reader Reader
	Logger *log.Logger
	// InForceWithin bounds the time until an accepted version is in force.
	InForceWithin time.Duration
	// RevokedWithin bounds the time for which a revoked key may still be accepted.
	RevokedWithin time.Duration
	// Changed is called after a new version is in force.
	Changed func(*policy.RouteTable)
	// Close reports whether this VM reads closely; nil stands for always. Others rely on the proofs of
	// peers, and read when they hear of a newer version or when proofs grow old.
	Close func() bool
	// First reports whether this VM tries again soon after a failed read; nil stands for always.
	First func() bool
	// Now reads the clock that ages proofs; nil stands for boottime.Now.
	Now func() boottime.Instant
}

const (
	// readsPerBound is the number of reads within the bound on new versions: one may be lost.
	readsPerBound = 2
	// readsPerRevocation is the number of reads within the bound on revoked keys: three may be lost.
	readsPerRevocation = 4
	// checksPerInterval is how often within an interval it is looked whether a read is due.
	checksPerInterval = 4
	// storePause is the least time between two reads, so that a storm of versions costs few.
	storePause = 150 * time.Millisecond
	// oldProof is the share of the bound on revoked keys at which a VM that relies on peers reads itself.
	oldProof = 0.75
	// proofMargin is kept between the age of a proof and the bound, for the way from the check to the target.
	proofMargin = 300 * time.Millisecond
)

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	options  Options
	interval time.Duration
	current  atomic.Pointer[policy.RouteTable]
	// proof is when the read was sent that last proved the current version to be the newest; zero is never.
	proof atomic.Int64
	// heardOf is the newest version that a peer has named.
	heardOf atomic.Uint64
	wake    chan struct{}
	lost    bool
	// refusing is set while keys are refused for want of a proof.
	refusing atomic.Bool
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper(options Options) *Keeper {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	interval := min(options.InForceWithin/readsPerBound, options.RevokedWithin/readsPerRevocation)
	return &Keeper{options: options, interval: interval, wake: make(chan struct{}, 1)}
}

// Current returns the configuration in force, or nil before the first is known.
func (k *Keeper) Current() *policy.RouteTable { return k.current.Load() }

// ProofAge returns the age of the proof that the current version is the newest; false means that there is none.
func (k *Keeper) ProofAge() (time.Duration, bool) {
	proof := k.proof.Load()
	if proof == 0 {
		return 0, false
	}
	return k.options.Now().Sub(boottime.Instant(proof)), true
}

// KeysProven reports whether API keys may be accepted: a key that was revoked longer ago than the bound is
// certain to be missing from the current version.
func (k *Keeper) KeysProven() bool {
	age, known := k.ProofAge()
	proven := known && age <= k.options.RevokedWithin-proofMargin
	if k.refusing.Load() == proven && k.refusing.CompareAndSwap(proven, !proven) {
		k.options.Logger.Warn("acceptance of API keys changed", "accepted", proven, "proof_age_ms", age.Milliseconds())
	}
	return proven
}

// Proof returns the version in force and when it was last proven to be the newest; zeros stand for none.
func (k *Keeper) Proof() (version uint64, at boottime.Instant) {
	// The proof is read first: it holds for the version that was in force then, and for none before it.
	proof := boottime.Instant(k.proof.Load())
	current := k.current.Load()
	if current == nil {
		return 0, 0
	}
	return current.Version, proof
}

// Prove records a proof, told by a peer, that the version was the newest at the instant; zero proves nothing.
// A version that is newer than the one in force is read at once.
func (k *Keeper) Prove(version uint64, at boottime.Instant) {
	current := k.current.Load()
	switch {
	case current == nil || version < current.Version:
	case version == current.Version:
		if at != 0 {
			k.advance(at)
		}
	default:
		k.heardOf.Store(max(version, k.heardOf.Load()))
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
}

func (k *Keeper) advance(at boottime.Instant) {
	for {
		proof := k.proof.Load()
		if proof >= int64(at) || k.proof.CompareAndSwap(proof, int64(at)) {
			return
		}
	}
}

// Run reads the configuration until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		if err := k.read(ctx); err != nil {
			k.failed(ctx, err)
			pause.For(ctx, pause.RetryWait(k.options.First == nil || k.options.First()))
			continue
		}
		k.wait(ctx, started)
	}
	return nil
}

// wait waits until the next read is due.
func (k *Keeper) wait(ctx context.Context, started time.Time) {
	if !pause.For(ctx, storePause) {
		return
	}
	for ctx.Err() == nil && !k.due(started) {
		timer := time.NewTimer(k.interval / checksPerInterval)
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// due reports whether the configuration must be read.
func (k *Keeper) due(lastRead time.Time) bool {
	if current := k.current.Load(); current == nil || k.heardOf.Load() > current.Version {
		return true
	}
	if k.options.Close == nil || k.options.Close() {
		return time.Since(lastRead) >= k.interval
	}
	age, known := k.ProofAge()
	return !known || age > time.Duration(float64(k.options.RevokedWithin)*oldProof)
}

func (k *Keeper) failed(ctx context.Context, err error) {
	if ctx.Err() != nil || k.lost {
		return
	}
	k.lost = true
	age, _ := k.ProofAge()
	k.options.Logger.Warn("dependency lost", "dependency", "configuration", "proof_age_ms", age.Milliseconds(), "error", err)
}

func (k *Keeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.interval)
	defer cancel()
	sentAt := k.options.Now()
	read, err := k.options.Reader.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	if k.lost {
		k.lost = false
		k.options.Logger.Info("dependency regained", "dependency", "configuration")
	}
	k.take(read, sentAt)
	return nil
}

// take puts the version in force unless it is older than the current one.
func (k *Keeper) take(read *policy.RouteTable, sentAt boottime.Instant) {
	current := k.current.Load()
	if current != nil && read.Version < current.Version {
		k.options.Logger.Warn("configuration ignored", "reason", "older than the version in force", "version", read.Version, "in_force", current.Version)
		return
	}
	if current == nil || read.Version > current.Version {
		k.current.Store(read)
		k.options.Logger.Info("configuration in force", "version", read.Version, "routes", read.RouteCount(), "services", len(read.Services))
		if k.options.Changed != nil {
			k.options.Changed(read)
		}
	}
	k.advance(sentAt)
}
