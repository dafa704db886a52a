// Package inforce keeps the newest configuration of a deployment and the proof of how fresh it is.
//
// The platform's answer to an operator's write is the acceptance of a configuration, so no VM takes part in
// it: a Keeper reads the configuration at a fixed interval, which bounds both the time until a version is in
// force and the age of the proof that no newer one exists. Invariant: the version never falls.
package inforce

import (
	"context"
	"math/rand/v2"
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
	// Now reads the clock that ages proofs; nil stands for boottime.Now.
	Now func() boottime.Instant
}

const (
	// readsPerBound is the number of reads within the bound on new versions: one may be lost.
	readsPerBound = 2
	// readsPerRevocation is the number of reads within the bound on revoked keys: three may be lost.
	readsPerRevocation = 4
	// proofMargin is kept between the age of a proof and the bound, for the way from the check to the target.
	proofMargin = 300 * time.Millisecond
	// retryPause is the least wait after a failed read; up to as much again is added at random, so that
	// VMs that fail together do not come back together.
	retryPause = 100 * time.Millisecond
)

// Keeper holds the configuration in force. It is safe for concurrent use.
type Keeper struct {
	options  Options
	interval time.Duration
	current  atomic.Pointer[policy.RouteTable]
	// proof is when the read was sent that last proved the current version to be the newest; zero is never.
	proof atomic.Int64
	lost  bool
}

// NewKeeper returns a Keeper without a configuration.
func NewKeeper(options Options) *Keeper {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	interval := min(options.InForceWithin/readsPerBound, options.RevokedWithin/readsPerRevocation)
	return &Keeper{options: options, interval: interval}
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
	return known && age <= k.options.RevokedWithin-proofMargin
}

// Prove records a proof, told by a peer, that the version was the newest at the instant.
func (k *Keeper) Prove(version uint64, at boottime.Instant) {
	current := k.current.Load()
	if current == nil || current.Version != version {
		return
	}
	k.advance(at)
}

func (k *Keeper) advance(at boottime.Instant) {
	for {
		proof := k.proof.Load()
		if proof >= int64(at) || k.proof.CompareAndSwap(proof, int64(at)) {
			return
		}
	}
}

// ProofInstant returns when the current proof was taken; zero means never.
func (k *Keeper) ProofInstant() boottime.Instant { return boottime.Instant(k.proof.Load()) }

// Run reads the configuration until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		started := time.Now()
		wait := k.interval
		if err := k.read(ctx); err != nil {
			k.failed(ctx, err)
			wait = min(retryPause+rand.N(retryPause), k.interval)
			pause.For(ctx, wait)
			continue
		}
		pause.For(ctx, wait-time.Since(started))
	}
	return nil
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
