// Package inforce holds the configuration in force on this VM, and the proof that it is the newest.
//
// A configuration is accepted when the platform acknowledges the operator's write; no VM takes part in this. A Poller
// reads the configuration at a fixed interval. The interval bounds the time until a version is in force and the age of
// the proof that no newer version exists. Invariant: the version in force never decreases.
package inforce

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/boottime"
	"godwitcart/internal/object"
	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
)

// Reader reads the configuration from the platform. The result is at least as new as the start of the call.
type Reader interface {
	// ReadConfiguration returns the newest configuration. It fails if the platform cannot be read, or if the stored
	// configuration is not usable.
	ReadConfiguration(ctx context.Context) (*policy.RouteTable, error)
}

// Options configures a Poller.
type Options struct {
	Reader Reader
	Logger *log.Logger
	// InForceWithin is the maximum time until an accepted version is in force.
	InForceWithin time.Duration
	// RevokedWithin is the maximum time for which a revoked API key may still be accepted.
	RevokedWithin time.Duration
	// Changed is called after a new version has come into force. It may be nil.
	Changed func(*policy.RouteTable)
	// Regained is called when a read has succeeded after one that failed; it must not block. It may be nil.
	Regained func()
	// IsReader reports whether this VM must read at every interval; nil means always. Other VMs rely on the proofs of
	// peers, and read only when a peer names a newer version or the proof is too old.
	IsReader func() bool
	// IsZoneLeader reports whether this VM retries a failed read after a short delay; nil means always.
	IsZoneLeader func() bool
	// Now returns the time that the age of proofs is measured with; nil means boottime.Now.
	Now func() boottime.Instant
}

const (
	// readsPerBound is the number of reads within InForceWithin, so that one of them may fail.
	readsPerBound = 2
	// readsPerRevocation is the number of reads within RevokedWithin, so that three of them may fail.
	readsPerRevocation = 4
	// checksPerInterval is the number of times per interval at which Run checks whether a read is due.
	checksPerInterval = 4
	// minReadDelay is the minimum delay between two reads, so that a burst of versions causes few reads.
	minReadDelay = 150 * time.Millisecond
	// firstReadTimeout is the timeout of a read while this VM has no configuration.
	firstReadTimeout = 2500 * time.Millisecond
	// readAtProofShare is the age of the proof at which a VM that relies on peers reads itself, as a share of
	// RevokedWithin.
	readAtProofShare = 0.75
	// proofMargin is subtracted from RevokedWithin, for the time between the check and the arrival at the target.
	proofMargin = 300 * time.Millisecond
)

// Poller reads the configuration and holds the version in force. It is safe for concurrent use.
type Poller struct {
	options  Options
	interval time.Duration
	current  atomic.Pointer[policy.RouteTable]
	// provenAt is the start of the latest read that proved the current version to be the newest; zero means none.
	provenAt atomic.Int64
	// newestNamed is the newest version that a peer has named.
	newestNamed  atomic.Uint64
	wake         chan struct{}
	platformLost atomic.Bool
	// refusingKeys is set while API keys are refused because the proof is missing or too old.
	refusingKeys atomic.Bool
}

// NewPoller returns a Poller without a configuration.
func NewPoller(options Options) *Poller {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	interval := min(options.InForceWithin/readsPerBound, options.RevokedWithin/readsPerRevocation)
	return &Poller{options: options, interval: interval, wake: make(chan struct{}, 1)}
}

// Current returns the configuration in force, or nil if none has been read yet.
func (p *Poller) Current() *policy.RouteTable { return p.current.Load() }

// ProofAge returns the age of the proof that the current version is the newest, or false if there is no proof.
func (p *Poller) ProofAge() (time.Duration, bool) {
	proof := p.provenAt.Load()
	if proof == 0 {
		return 0, false
	}
	return p.options.Now().Sub(boottime.Instant(proof)), true
}

// CanAcceptKeys reports whether API keys may be accepted: the proof is recent enough that the current version cannot
// still contain a key that was revoked more than RevokedWithin ago. It logs when the answer changes.
func (p *Poller) CanAcceptKeys() bool {
	age, known := p.ProofAge()
	proven := known && age <= p.options.RevokedWithin-proofMargin
	// The answer has changed if refusingKeys equals proven. The swap lets one of several concurrent callers log it.
	if p.refusingKeys.Load() == proven && p.refusingKeys.CompareAndSwap(proven, !proven) {
		p.options.Logger.Warn("acceptance of API keys changed", "accepted", proven, "proof_age_ms", age.Milliseconds())
	}
	return proven
}

// Proof returns the version in force and the instant at which it was last proven to be the newest; zeros mean none.
func (p *Poller) Proof() (version uint64, at boottime.Instant) {
	// Load the proof before the version. If a newer version comes into force in between, the proof holds for it too:
	// no version newer than that one existed at the instant of the proof. In the opposite order, the proof of a newer
	// version could be returned with an older version, for which it does not hold.
	proof := boottime.Instant(p.provenAt.Load())
	current := p.current.Load()
	if current == nil {
		return 0, 0
	}
	return current.Version, proof
}

// RecordProof records a peer's proof that the version was the newest at the given instant; a zero instant is no proof.
// A version that is newer than the one in force triggers a read.
func (p *Poller) RecordProof(version uint64, at boottime.Instant) {
	current := p.current.Load()
	switch {
	case current == nil || version < current.Version:
	case version == current.Version:
		if at != 0 {
			p.advanceProof(at)
		}
	default:
		p.newestNamed.Store(max(version, p.newestNamed.Load()))
		p.Wake()
	}
}

// advanceProof sets provenAt to a later instant; it never goes back.
func (p *Poller) advanceProof(at boottime.Instant) {
	for {
		proof := p.provenAt.Load()
		if proof >= int64(at) || p.provenAt.CompareAndSwap(proof, int64(at)) {
			return
		}
	}
}

// HasLostPlatform reports whether the last read has failed.
func (p *Poller) HasLostPlatform() bool { return p.platformLost.Load() }

// Wake makes the poller check at once whether a read is due. It does not block.
func (p *Poller) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run reads the configuration until ctx is done.
func (p *Poller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		readStarted := time.Now()
		if err := p.read(ctx); err != nil {
			isFirst := p.recordFailure(ctx, err)
			if !isFirst || !object.IsUnanswered(err) {
				pause.For(ctx, p.retryWait())
			}
			continue
		}
		p.waitUntilDue(ctx, readStarted)
	}
	return nil
}

// waitUntilDue waits until the next read is due, but at least for minReadDelay.
func (p *Poller) waitUntilDue(ctx context.Context, readStarted time.Time) {
	if !pause.For(ctx, minReadDelay) {
		return
	}
	for ctx.Err() == nil && !p.isDue(readStarted) {
		timer := time.NewTimer(p.interval / checksPerInterval)
		select {
		case <-ctx.Done():
		case <-p.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// isDue reports whether the configuration must be read.
func (p *Poller) isDue(lastRead time.Time) bool {
	if current := p.current.Load(); current == nil || p.newestNamed.Load() > current.Version {
		return true
	}
	if p.options.IsReader == nil || p.options.IsReader() {
		return time.Since(lastRead) >= p.interval
	}
	age, known := p.ProofAge()
	return !known || age > time.Duration(float64(p.options.RevokedWithin)*readAtProofShare)
}

// retryWait returns the wait after a failed read.
func (p *Poller) retryWait() time.Duration {
	isLeader := p.options.IsZoneLeader == nil || p.options.IsZoneLeader()
	if !isLeader && p.current.Load() == nil {
		return pause.StartRetryWait()
	}
	return pause.RetryWait(isLeader)
}

// readTimeout returns the timeout of the next read. The first one of many VMs that start together may take long, and would
// take no less if it were begun anew.
func (p *Poller) readTimeout() time.Duration {
	if p.current.Load() == nil {
		return firstReadTimeout
	}
	return p.interval
}

// recordFailure reports whether the failure is the first since the last answer.
func (p *Poller) recordFailure(ctx context.Context, err error) (isFirst bool) {
	if ctx.Err() != nil || p.platformLost.Swap(true) {
		return false
	}
	age, _ := p.ProofAge()
	p.options.Logger.Warn("dependency lost", "dependency", "configuration", "proof_age_ms", age.Milliseconds(), "error", err)
	return true
}

func (p *Poller) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.readTimeout())
	defer cancel()
	sentAt := p.options.Now()
	configuration, err := p.options.Reader.ReadConfiguration(ctx)
	if err != nil {
		return err
	}
	isRegained := p.platformLost.Swap(false)
	p.accept(configuration, sentAt)
	if isRegained {
		p.options.Logger.Info("dependency regained", "dependency", "configuration")
		if p.options.Regained != nil {
			p.options.Regained()
		}
	}
	return nil
}

// accept puts a configuration in force if it is newer than the current one. Unless it is older, the read that was sent
// at sentAt proves that the version in force is the newest.
func (p *Poller) accept(configuration *policy.RouteTable, sentAt boottime.Instant) {
	current := p.current.Load()
	if current != nil && configuration.Version < current.Version {
		p.options.Logger.Warn("configuration ignored", "reason", "older than the version in force", "version", configuration.Version, "in_force", current.Version)
		return
	}
	if current == nil || configuration.Version > current.Version {
		if current == nil {
			p.advanceProof(sentAt) // a VM with a configuration is ready, and must accept keys then
		}
		p.current.Store(configuration)
		p.options.Logger.Info("configuration in force", "version", configuration.Version, "routes", configuration.RouteCount(), "services", len(configuration.Services))
		if p.options.Changed != nil {
			p.options.Changed(configuration)
		}
	}
	p.advanceProof(sentAt)
}
