package poison

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"godwitcart/internal/apierror"
)

const (
	// suspectTime, secondSuspectTime and lastSuspectTime are how long a feature is blocked on suspicion until one request with
	// it is tried, each after a trial that ended in a crash. A wrong block must end within seconds of the return of the
	// targets, and a right one must cost few of them.
	suspectTime       = 2 * time.Second
	secondSuspectTime = 4 * time.Second
	lastSuspectTime   = 2 * time.Minute
	// provenTime is how long a feature is blocked that is proven to be to blame.
	provenTime = 15 * time.Second
	// blockTime is how long the next blocks last. It doubles with each trial that ends in a crash, up to maxBlockTime.
	blockTime    = 10 * time.Minute
	maxDoublings = 5
	maxBlockTime = blockTime << maxDoublings
	// trialPeriod is how long one VM of the fleet has the first turn to try, and the longest time for which a trial keeps the
	// other VMs from theirs.
	trialPeriod = 30 * time.Second
	// trialTurn is how long a VM waits after a request that it might try until twice as many VMs have a turn: the first ones
	// may be down, or get no such request.
	trialTurn = 500 * time.Millisecond
	// maxTrialTurns bounds the doublings, to more VMs than a fleet has.
	maxTrialTurns = 12
	// trialSlackShare is the share of a block's time by which its end may differ between VMs.
	trialSlackShare = 0.05
	// unusedBlockTTL is how long a block is kept after its time while no request with the feature comes.
	unusedBlockTTL = time.Hour
	// statementInterval is how often a block is repeated, for VMs that have started since, and statementTTL how long such a
	// statement counts.
	statementInterval = time.Second
	statementTTL      = 4 * time.Second
	// blockSpeakers is the number of VMs that repeat a block in that time, and blockWitnesses the number that convinces
	// another.
	blockSpeakers  = 3
	blockWitnesses = 2
	// blocksAskedOf is the number of VMs that a VM asks for their blocks at a time.
	blocksAskedOf = 5
	// maxStateDelay bounds the random wait before a VM states a block that it has just made. It says nothing once it has heard
	// blockSpeakers others.
	maxStateDelay = 200 * time.Millisecond
	// reviewTime is how long a block rests on the crashes that led to it: it is lifted if these turn out to have had another
	// cause.
	reviewTime = 30 * time.Second
)

// nextBlockTime returns how long a feature is blocked after a trial that ended in a crash.
func nextBlockTime(current time.Duration) time.Duration {
	switch {
	case current < secondSuspectTime:
		return secondSuspectTime
	case current < provenTime:
		return lastSuspectTime
	case current < blockTime:
		return blockTime
	default:
		return min(2*current, maxBlockTime)
	}
}

// block is a feature whose requests get no target.
type block struct {
	since time.Time
	// until is when one request may be tried.
	until    time.Time
	failures int
	// duration is the time from the last crash until a trial.
	duration time.Duration
	// isRequest is set if only repetitions of one request have the feature.
	isRequest bool
	// adopted is set if this VM has the block from others and not from the crashes that it knows.
	adopted bool
	// triedAt is when a VM of the fleet last sent a request with the feature.
	triedAt time.Time
	// waitingSince is when this VM first refused one since a trial is due.
	waitingSince time.Time
	usedAt       time.Time
	// refused counts the requests refused here.
	refused int
}

// BlockedError reports that requests like this one crash their targets.
type BlockedError struct{ cause *apierror.Error }

// Error implements error.
func (e *BlockedError) Error() string { return e.cause.Error() }

// Unwrap returns the error for the caller. It names no time to come back: a repetition would be refused too.
func (e *BlockedError) Unwrap() error { return e.cause }

func newBlockedError(feature Feature, isRequest bool) *BlockedError {
	if isRequest {
		return &BlockedError{cause: apierror.Newf(apierror.KindNotRun, "change the request, or ask the operators",
			"targets crash when they answer this request (%s)", feature)}
	}
	return &BlockedError{cause: apierror.Newf(apierror.KindNotRun, "send the request without the part, or ask the operators",
		"targets crash when they answer requests with a part that this one has (%s)", feature)}
}

// String returns the form of the feature in logs and answers.
func (f Feature) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Check returns a *BlockedError if one of the features is blocked.
func (r *Registry) Check(features Features) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.check(features, time.Now())
}

// check requires the lock. A request that passes because it is this VM's turn to try a block is counted as its trial when
// it is sent.
func (r *Registry) check(features Features, now time.Time) error {
	for _, feature := range features.list {
		known := r.blocks[feature]
		if known == nil {
			continue
		}
		mayTry := r.mayTry(features, feature, known, now)
		known.usedAt = now
		if !mayTry {
			known.refused++
			r.metrics.refused.Inc(1)
			return newBlockedError(feature, known.isRequest)
		}
	}
	return nil
}

// mayTry reports whether this VM may send one request with the blocked feature. The VMs that have such requests get their
// turns in an order that changes with each trialPeriod: first one, then twice as many each trialTurn. A request that may crash
// its target for another reason is no trial, unless no other comes for trialPeriod.
func (r *Registry) mayTry(features Features, feature Feature, known *block, now time.Time) bool {
	due := known.trialDue()
	if now.Before(due) {
		return false
	}
	if known.waitingSince.Before(due) || now.Sub(known.usedAt) > trialPeriod {
		known.waitingSince = now
	}
	waited := now.Sub(known.waitingSince)
	if waited < trialPeriod && !known.isRequest && r.isOtherwiseAccused(features, feature, now) {
		return false
	}
	turns := min(int(waited/trialTurn), maxTrialTurns)
	return r.rank(feature, uint64(now.UnixNano()/int64(trialPeriod))) < 1<<turns
}

// isOtherwiseAccused reports whether a crash accuses one of the other features. The caller holds mu.
func (r *Registry) isOtherwiseAccused(features Features, feature Feature, now time.Time) bool {
	open := r.openCrashes()
	return slices.ContainsFunc(features.list, func(other Feature) bool {
		return other != feature && r.gather(other, open, now).crashes > 0
	})
}

// trialDue returns when the next trial may begin. One that is under way keeps others back.
func (b *block) trialDue() time.Time {
	held := b.triedAt.Add(min(trialPeriod, b.duration))
	if held.After(b.until) {
		return held
	}
	return b.until
}

// recordTrial records that another VM has sent a request with the blocked features. The caller holds mu.
func (r *Registry) recordTrial(message Message, at time.Time) {
	for _, feature := range message.features().list {
		if known := r.blocks[feature]; known != nil && at.After(known.triedAt) {
			known.triedAt = at
		}
	}
}

// rank returns the position of this VM among all VMs for the feature in the given turn, from 0 on.
func (r *Registry) rank(feature Feature, turn uint64) int {
	own := vmWeight(r.options.VM, feature, turn)
	higher := 0
	for _, vm := range r.options.VMs() {
		if vm != r.options.VM && vmWeight(vm, feature, turn) > own {
			higher++
		}
	}
	return higher
}

func vmWeight(vm string, feature Feature, turn uint64) uint64 {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%d/%d", vm, feature, turn)
	return hash.Sum64()
}

// updateBlocks blocks the features that the crashes show to be to blame, and lifts blocks that the crashes of the last
// time no longer support. The caller holds mu.
func (r *Registry) updateBlocks(now time.Time) {
	open := slices.DeleteFunc(r.openCrashes(), func(c *crash) bool { return r.isExplained(c, now) })
	found := make(map[Feature]struct{})
	for _, c := range culprits(open, now, func(f Feature, crashes []*crash) evidence { return r.gather(f, crashes, now) }) {
		found[c.feature] = struct{}{}
		if r.blocks[c.feature] == nil {
			duration := provenTime
			if c.evidence.judge(now) == suspected {
				duration = suspectTime
			}
			r.block(c.feature, &block{since: now, until: now.Add(duration), duration: duration, isRequest: c.evidence.isRequest, usedAt: now})
			time.AfterFunc(rand.N(maxStateDelay), func() { r.stateBlock(c.feature) })
		}
	}
	for feature, known := range r.blocks {
		_, supported := found[feature]
		if !supported && !known.adopted && now.Sub(known.since) < reviewTime {
			r.unblock(feature, "the crashes have another cause")
			r.broadcast(Message{Kind: Unblocked, Features: []Feature{feature}}, now)
		}
	}
}

// isExplained reports whether a block that is no longer in question accounts for the crash.
func (r *Registry) isExplained(c *crash, now time.Time) bool {
	for feature := range c.accused {
		known := r.blocks[feature]
		if known != nil && (known.adopted || now.Sub(known.since) >= reviewTime) {
			return true
		}
	}
	return false
}

// block requires the lock. Requests with the feature that wait for their answers to begin are given up: each would crash
// its target.
func (r *Registry) block(feature Feature, added *block) {
	r.blocks[feature] = added
	r.metrics.blocks.Inc(1)
	aborted := 0
	for trial := range r.trials {
		if trial.has(feature) {
			trial.abort()
			aborted++
		}
	}
	r.options.Logger.Warn("requests blocked: their targets crash", "feature", feature, "adopted", added.adopted, "given_up", aborted, "crashes", len(r.crashes), "request", added.isRequest, "trial_in_ms", time.Until(added.until).Milliseconds())
}

// unblock requires the lock.
func (r *Registry) unblock(feature Feature, reason string) {
	known := r.blocks[feature]
	delete(r.blocks, feature)
	r.options.Logger.Warn("requests no longer blocked", "feature", feature, "reason", reason, "refused", known.refused)
}

// extend starts a new block time after a trial has ended in a crash. The trial may be that of a VM whose block ended a
// little sooner. The caller holds mu.
func (r *Registry) extend(feature Feature, at time.Time) {
	known := r.blocks[feature]
	if known == nil || at.Before(known.until.Add(-known.trialSlack())) {
		return
	}
	known.failures++
	known.duration = nextBlockTime(known.duration)
	known.until = at.Add(known.duration)
	r.options.Logger.Warn("trial of blocked requests failed", "feature", feature, "failures", known.failures, "next_s", int(known.until.Sub(at).Seconds()))
}

// trialSlack returns how much sooner than here the block may end at another VM.
func (b *block) trialSlack() time.Duration {
	return min(trialPeriod, time.Duration(trialSlackShare*float64(b.duration)))
}

// recordStatement adopts a block once enough VMs have stated it. The caller holds mu.
func (r *Registry) recordStatement(vm string, message Message, now time.Time) {
	duration := message.Duration
	if duration == 0 {
		duration = blockTime << min(message.Failures, maxDoublings)
	}
	for _, feature := range message.features().list {
		r.witnesses.add(feature, vm, now)
		if known := r.blocks[feature]; known != nil {
			known.failures = max(known.failures, message.Failures)
			known.duration = max(known.duration, duration)
			continue
		}
		if r.isConvincing(r.witnesses.count(feature, now)) {
			r.block(feature, &block{
				since: now.Add(-message.Age), until: now.Add(message.Remaining), failures: message.Failures, duration: duration,
				isRequest: message.NamesRequest, adopted: true, usedAt: now,
			})
		}
	}
}

// recordLift lifts a block that this VM has from others once enough of them have lifted it. The caller holds mu.
func (r *Registry) recordLift(vm string, message Message, now time.Time) {
	for _, feature := range message.features().list {
		r.lifters.add(feature, vm, now)
		known := r.blocks[feature]
		if known != nil && known.adopted && r.isConvincing(r.lifters.count(feature, now)) {
			r.unblock(feature, "other VMs have lifted it")
			delete(r.witnesses, feature)
		}
	}
}

// isConvincing reports whether so many other VMs convince this one. In a fleet of two there is one other.
func (r *Registry) isConvincing(vms int) bool {
	if len(r.options.VMs()) == 2 {
		return vms >= 1
	}
	return vms >= blockWitnesses
}

// stateBlock states a new block unless enough others have.
func (r *Registry) stateBlock(feature Feature) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if known := r.blocks[feature]; known != nil && r.witnesses.count(feature, now) < blockSpeakers {
		r.state(feature, known, now)
	}
}

// answerQuestion states the blocks to a VM that has asked. The caller holds mu.
func (r *Registry) answerQuestion(asker string, now time.Time) {
	for feature, known := range r.blocks {
		r.options.Send(asker, statement(feature, known, now))
	}
}

// state requires the lock.
func (r *Registry) state(feature Feature, known *block, now time.Time) {
	r.options.Broadcast(statement(feature, known, now))
}

func statement(feature Feature, known *block, now time.Time) Message {
	return Message{
		Kind: Blocked, Features: []Feature{feature}, NamesRequest: known.isRequest, Age: now.Sub(known.since),
		Remaining: known.until.Sub(now), Failures: known.failures, Duration: known.duration,
	}
}

// stateBlocks repeats the blocks that too few other VMs have repeated lately, and forgets those that nobody asks for.
func (r *Registry) stateBlocks(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for feature, known := range r.blocks {
		switch {
		case now.After(known.until) && now.Sub(known.usedAt) > unusedBlockTTL:
			r.unblock(feature, "not used")
		case r.witnesses.countSince(feature, now.Add(-statementInterval)) < blockSpeakers:
			r.state(feature, known, now)
		}
	}
}
