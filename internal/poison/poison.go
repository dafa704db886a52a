// Package poison finds what the requests have in common under which targets crash, and keeps such requests from further
// targets.
//
// A target that ends while requests wait for their answers to begin accuses the features of these requests: the shared
// parts of their prompts, or the content of plain requests. VMs tell each other of such crashes and of accused features
// that have been answered since, and each decides for itself from the same evidence. The request itself is a feature too.
// Client accounts are none: one that sends a few bad requests would lose all its sound ones.
//
// Invariants: an answer clears a feature of all crashes before it; a target that answers a request sent after the report
// of its crash has not crashed; a crash explained by one feature does not count against the others; the word of one other VM alone
// blocks nothing; a blocked feature is tried by one VM at a time, with one request; a request that may be to blame for an outage
// is blocked for a short time, which grows only if its trial ends in a crash.
package poison

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/targetlimit"
)

const (
	// accusationTime is how long a crash counts towards a new block, and crashTTL how long it is kept for the review of a
	// block.
	accusationTime = 5 * time.Minute
	crashTTL       = accusationTime + reviewTime
	// maxCrashes bounds the crashes that are kept, maxWitnessed the features that other VMs state as blocked, and
	// maxFeatures the features of one request or message: 32 shared ones and the request itself.
	maxCrashes   = 256
	maxWitnessed = 256
	maxFeatures  = 33
	// directoryPollInterval is how often a VM that starts looks whether the directory has been read.
	directoryPollInterval = 20 * time.Millisecond
	// suspensionTime is the time between two statements after which this VM was suspended.
	suspensionTime = 2 * statementInterval
	// answerReviewTime is how long after a crash each answer makes this VM decide anew.
	answerReviewTime = 10 * time.Second
	// maxTellDelay bounds the random wait before a VM tells that an accused feature was answered. One that hears the same
	// from another VM meanwhile says nothing.
	maxTellDelay = 40 * time.Millisecond
)

// Options configures a Registry.
type Options struct {
	// VM is the name of this entry VM.
	VM string
	// VMs returns the names of the entry VMs of the directory, this one included.
	VMs func() []string
	// Broadcast sends a message to all other VMs, and Send to one. They must not block; messages may be lost.
	Broadcast func(Message)
	Send      func(vm string, message Message)
	Logger    *log.Logger
}

// Registry is what one VM knows about requests that crash their targets. It is safe for concurrent use.
type Registry struct {
	options Options
	metrics *registryMetrics

	mu sync.Mutex
	// trials are the requests that wait for their answers to begin.
	trials  map[*Trial]struct{}
	crashes map[targetlimit.Incarnation]*crash
	// crashedAt is when the last of them was reported.
	crashedAt time.Time
	// own holds when features were answered here, public when this VM or others have told so.
	own, public answerTimes
	answers     answerLog
	blocks      map[Feature]*block
	// witnesses holds the VMs that have stated a block, and lifters those that have lifted it, and when.
	witnesses, lifters words
	// telling holds the features that are about to be told as answered.
	telling map[Feature]struct{}
}

type registryMetrics struct{ crashes, refuted, blocks, refused metrics.Counter }

// NewRegistry returns a Registry that blocks nothing.
func NewRegistry(options Options) *Registry {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("poison."+name, metrics.DefaultRegistry)
	}
	return &Registry{
		options: options,
		metrics: &registryMetrics{crashes: counter("crashes"), refuted: counter("refuted"), blocks: counter("blocks"), refused: counter("refused")},
		trials:  make(map[*Trial]struct{}), crashes: make(map[targetlimit.Incarnation]*crash),
		own: newAnswerTimes(), public: newAnswerTimes(),
		blocks: make(map[Feature]*block), witnesses: make(words), lifters: make(words), telling: make(map[Feature]struct{}),
	}
}

// Run asks the other VMs for their blocks as soon as they are known, and repeats those of this VM for VMs that have started
// since, until ctx is done.
func (r *Registry) Run(ctx context.Context) error {
	r.askOnceOthersAreKnown(ctx)
	ticker := time.NewTicker(statementInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := time.Now()
			if now.Sub(lastTick) > suspensionTime {
				r.ask()
			}
			lastTick = now
			r.stateBlocks(now)
		}
	}
}

// askOnceOthersAreKnown waits for the directory, and asks the VMs in it for their blocks.
func (r *Registry) askOnceOthersAreKnown(ctx context.Context) {
	ticker := time.NewTicker(directoryPollInterval)
	defer ticker.Stop()
	for len(r.options.VMs()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	r.ask()
}

// ask asks some of the other VMs for their blocks, and others a little later: messages are lost, and VMs are down.
func (r *Registry) ask() {
	r.askSome()
	for _, delay := range resendDelays {
		time.AfterFunc(delay, r.askSome)
	}
}

func (r *Registry) askSome() {
	others := slices.DeleteFunc(r.options.VMs(), func(vm string) bool { return vm == r.options.VM })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, vm := range others[:min(len(others), blocksAskedOf)] {
		r.options.Send(vm, Message{Kind: Asked})
	}
}

// MayRetry reports whether a request may be sent again after its target has crashed: not while another crash accuses one
// of its features too.
func (r *Registry) MayRetry(features Features) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	open := r.openCrashes()
	for _, feature := range features.list {
		against := r.gather(feature, open, now)
		if r.blocks[feature] != nil || against.crashes > 1 && !against.answered {
			return false
		}
	}
	return true
}

// openCrashes returns the crashes that count, in no order. The caller holds mu.
func (r *Registry) openCrashes() []*crash {
	open := make([]*crash, 0, len(r.crashes))
	for _, c := range r.crashes {
		if !c.isRefuted() {
			open = append(open, c)
		}
	}
	return open
}

// recordCrash records that a VM saw a target end. The caller holds mu.
func (r *Registry) recordCrash(vm string, message Message, at, now time.Time) {
	r.forgetCrashes(now)
	target, features := message.Target, message.features()
	known := r.crashes[target]
	if known != nil && known.isRefuted() && at.After(known.refutedAt) {
		known = nil // it has crashed after all
	}
	isNew := known == nil
	if isNew {
		if len(r.crashes) >= maxCrashes {
			return
		}
		r.crashedAt = now
		known = newCrash(at, now)
		r.crashes[target] = known
		r.metrics.crashes.Inc(1)
		time.AfterFunc(settleTime, r.reconsider)
	}
	if at.Before(known.at) {
		known.at = at
	}
	known.reporters[vm] = struct{}{}
	known.accuse(message.Request, features)
	for _, feature := range features.list {
		r.extend(feature, at)
		r.tellIfDue(feature)
	}
	r.updateBlocks(now)
	if isNew {
		r.logCrash(vm, target, features, now)
	}
}

// logCrash logs what is known against the features of a request under which a target has crashed. The caller holds mu.
func (r *Registry) logCrash(vm string, target targetlimit.Incarnation, features Features, now time.Time) {
	open := r.openCrashes()
	descriptions := make([]string, len(features.list))
	for i, feature := range features.list {
		against := r.gather(feature, open, now)
		descriptions[i] = fmt.Sprintf("%s crashes=%d requests=%d others_answered=%d answered=%t blocked=%t",
			feature, against.crashes, against.requests, against.control, against.answered, against.blocked)
	}
	r.options.Logger.Info("target crashed under a request", "target", target.ID, "reporter", vm, "features", strings.Join(descriptions, "; "))
}

// reconsider decides again after time has passed.
func (r *Registry) reconsider() {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetCrashes(now)
	r.updateBlocks(now)
}

// forgetCrashes requires the lock.
func (r *Registry) forgetCrashes(now time.Time) {
	for target, c := range r.crashes {
		if now.Sub(c.at) > crashTTL {
			delete(r.crashes, target)
		}
	}
}

// gather returns the evidence against a feature from the given crashes. The caller holds mu.
func (r *Registry) gather(feature Feature, crashes []*crash, now time.Time) evidence {
	lastAnswer := r.lastAnswer(feature)
	against := evidence{answered: now.Sub(lastAnswer) < answeredTime, blocked: r.blocks[feature] != nil}
	reporters, requests := make(map[string]struct{}), make(map[uint64]struct{})
	for _, c := range crashes {
		accusation := c.accused[feature]
		if accusation == nil || !c.at.After(lastAnswer) || !against.blocked && now.Sub(c.at) > accusationTime {
			continue
		}
		against.crashes++
		against.depth = accusation.depth
		against.isRequest = against.isRequest || accusation.isRequest
		maps.Copy(requests, accusation.requests)
		if against.first.IsZero() || c.at.Before(against.first) {
			against.first = c.at
		}
		if c.at.After(against.last) {
			against.last = c.at
		}
		maps.Copy(reporters, c.reporters)
	}
	against.reporters, against.requests = len(reporters), len(requests)
	_, against.ownReport = reporters[r.options.VM]
	if against.crashes >= minCrashes {
		against.control = r.answers.countWithout(feature, against.first)
		against.otherCrashes = countSince(crashes, against.first.Add(-sameTime)) - against.crashes
	}
	return against
}

// countSince returns the number of crashes since the time.
func countSince(crashes []*crash, since time.Time) int {
	count := 0
	for _, c := range crashes {
		if !c.at.Before(since) {
			count++
		}
	}
	return count
}

// lastAnswer returns when a request with the feature was last answered, as far as this VM knows. The caller holds mu.
func (r *Registry) lastAnswer(feature Feature) time.Time {
	own, public := r.own.last(feature), r.public.last(feature)
	if own.After(public) {
		return own
	}
	return public
}

// recordPublicAnswer records that other VMs were told of answers to requests with the features. The caller holds mu.
func (r *Registry) recordPublicAnswer(features Features, at, now time.Time) {
	isLifted := false
	for _, feature := range features.list {
		r.public.record(feature, at, now)
		isLifted = r.clear(feature, at) || isLifted
	}
	r.answers.add(at, features.list)
	r.reviewAfterAnswer(isLifted, now)
}

// reviewAfterAnswer decides anew if a crash was reported lately, or if a block was lifted: the crashes that it explained may
// have another cause. The caller holds mu.
func (r *Registry) reviewAfterAnswer(isLifted bool, now time.Time) {
	if isLifted || now.Sub(r.crashedAt) < answerReviewTime {
		r.updateBlocks(now)
	}
}

// clear lifts the block of a feature that has been answered since, and reports whether it did. The caller holds mu.
func (r *Registry) clear(feature Feature, answeredAt time.Time) bool {
	known := r.blocks[feature]
	if known == nil || !answeredAt.After(known.since) {
		return false
	}
	r.unblock(feature, "a request was answered")
	return true
}

// tellIfDue tells the other VMs soon that an accused feature has been answered here, if they may not know it. The caller
// holds mu.
func (r *Registry) tellIfDue(feature Feature) {
	if _, pending := r.telling[feature]; pending || !r.isWorthTelling(feature) {
		return
	}
	r.telling[feature] = struct{}{}
	time.AfterFunc(rand.N(maxTellDelay), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.telling, feature)
		if !r.isWorthTelling(feature) {
			return
		}
		at := r.own.last(feature)
		r.public.record(feature, at, time.Now())
		r.broadcast(Message{Kind: Answered, Features: []Feature{feature}}, at)
	})
}

// isWorthTelling reports whether the last answer here says more than what has been told: that the feature was ever
// answered, or that it was answered after its latest crash. The caller holds mu.
func (r *Registry) isWorthTelling(feature Feature) bool {
	own, public := r.own.last(feature), r.public.last(feature)
	if !own.After(public) {
		return false
	}
	var latest time.Time
	for _, c := range r.crashes {
		if c.accused[feature] != nil && !c.isRefuted() && c.at.After(latest) {
			latest = c.at
		}
	}
	if latest.IsZero() && r.blocks[feature] == nil {
		return false
	}
	return latest.Sub(public) > answeredTime/2 || own.After(latest) && !public.After(latest)
}

// refute records that a target has answered after the report of its crash. The caller holds mu.
func (r *Registry) refute(target targetlimit.Incarnation, now time.Time) {
	known := r.crashes[target]
	if known == nil {
		if len(r.crashes) < maxCrashes { // the report may come later
			r.crashes[target] = newCrash(now, now)
			r.crashes[target].refutedAt = now
		}
		return
	}
	if known.isRefuted() {
		return
	}
	known.refutedAt = now
	r.metrics.refuted.Inc(1)
	r.updateBlocks(now)
}
