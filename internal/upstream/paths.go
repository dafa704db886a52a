package upstream

import (
	"sync"
	"time"
)

const (
	// detourTTL is how long a detour is preferred without a new sign that the direct path fails.
	detourTTL = 3 * time.Second
	// probeInterval is the time between two tries of the direct path of a target that is reached by a detour.
	probeInterval = time.Second
	// minDetours is the number of targets behind detours, and directSilence the time without a direct connect, after which
	// this VM counts as cut off from all targets.
	minDetours    = 2
	directSilence = time.Second
	// detourBackoff is how long a target is tried directly only after no other VM has reached it either.
	detourBackoff = 2 * time.Second
)

// paths records by which way targets are reached. A detour through another VM is evidence only where the direct path
// failed at the same time: a target that is down or silent is reached by neither. It is safe for concurrent use.
type paths struct {
	mu sync.Mutex
	// detours holds when the direct path last failed while the detour did not, by the address of the target.
	detours map[string]time.Time
	// probedAt holds when the direct path was last tried beside a detour.
	probedAt map[string]time.Time
	// failedAt holds when a detour last failed, by the address of the target.
	failedAt map[string]time.Time
	// directAt is when any target was last reached directly.
	directAt time.Time
}

func newPaths() *paths {
	return &paths{detours: make(map[string]time.Time), probedAt: make(map[string]time.Time), failedAt: make(map[string]time.Time)}
}

// prefersDetour reports whether the target is to be reached through another VM first.
func (p *paths) prefersDetour(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.detours[address]) < detourTTL || p.isCut(now)
}

// mayDetour reports whether the target may be tried through other VMs. A VM that is cut off has no other way.
func (p *paths) mayDetour(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.failedAt[address]) >= detourBackoff || p.isCut(now)
}

// recordFailedDetour records that no other VM reached the target.
func (p *paths) recordFailedDetour(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, at := range p.failedAt {
		if now.Sub(at) >= detourBackoff {
			delete(p.failedAt, other)
		}
	}
	p.failedAt[address] = now
}

// isCutOff reports whether this VM seems to be cut off from all targets.
func (p *paths) isCutOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isCut(now)
}

// isCut requires the lock.
func (p *paths) isCut(now time.Time) bool {
	if now.Sub(p.directAt) < directSilence {
		return false
	}
	count := 0
	for _, at := range p.detours {
		if now.Sub(at) < detourTTL {
			count++
		}
	}
	return count >= minDetours
}

// recordDetour records that the target was reached through another VM while the direct path failed. It reports whether
// that is new.
func (p *paths) recordDetour(address string, now time.Time) (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	isNew = now.Sub(p.detours[address]) >= detourTTL
	p.detours[address] = now
	for other, at := range p.detours {
		if now.Sub(at) >= detourTTL {
			delete(p.detours, other)
		}
	}
	return isNew
}

// recordDirect records that the target was reached directly. It reports whether that ends a detour.
func (p *paths) recordDirect(address string, now time.Time) (endsDetour bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.directAt = now
	_, endsDetour = p.detours[address]
	delete(p.detours, address)
	return endsDetour
}

// startProbe reports whether a try of the direct path is due, and counts it as made.
func (p *paths) startProbe(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.probedAt[address]) < probeInterval {
		return false
	}
	for other, at := range p.probedAt {
		if now.Sub(at) > detourTTL {
			delete(p.probedAt, other)
		}
	}
	p.probedAt[address] = now
	return true
}
