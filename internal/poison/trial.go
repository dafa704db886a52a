package poison

import (
	"slices"
	"time"

	"godwitcart/internal/targetlimit"
)

// Trial is a request at a target until its answer begins. Its methods may be called in any order and more than once; the
// first one counts.
type Trial struct {
	registry *Registry
	target   targetlimit.Incarnation
	request  uint64
	features Features
	sentAt   time.Time
	abort    func()
	ended    bool
}

func (t *Trial) has(feature Feature) bool { return slices.Contains(t.features.list, feature) }

// Begin records that a request with that id and the features is sent to the target. abort is called if they are blocked before its
// answer begins; it must not block. The error is a *BlockedError if one of them is blocked already.
func (r *Registry) Begin(target targetlimit.Incarnation, request string, features Features, abort func()) (*Trial, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.check(features, now); err != nil {
		return nil, err
	}
	for _, feature := range features.list {
		if known := r.blocks[feature]; known != nil {
			known.triedAt = now
			r.broadcast(Message{Kind: Tried, Features: []Feature{feature}}, now)
		}
	}
	t := &Trial{registry: r, target: target, request: uint64(newFeature("request", []byte(request))), features: features, sentAt: now, abort: abort}
	r.trials[t] = struct{}{}
	return t, nil
}

// end reports whether this call ends the trial. The caller holds the registry's lock.
func (t *Trial) end() bool {
	if t.ended {
		return false
	}
	t.ended = true
	delete(t.registry.trials, t)
	return true
}

// Answered records that the target has begun its answer.
func (t *Trial) Answered() {
	now := time.Now()
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.end() {
		return
	}
	r.recordAlive(t.target, t.sentAt, now)
	r.answers.add(now, t.features.list)
	isLifted := false
	for _, feature := range t.features.list {
		r.own.record(feature, now, now)
		if r.clear(feature, now) {
			isLifted = true
			r.public.record(feature, now, now)
			r.broadcast(Message{Kind: Answered, Features: []Feature{feature}}, now)
		}
		r.tellIfDue(feature)
	}
	r.reviewAfterAnswer(isLifted, now)
}

// Crashed records that the target ended before its answer began. It returns false if the trial had ended before.
func (t *Trial) Crashed() bool {
	now := time.Now()
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.end() {
		return false
	}
	if len(t.features.list) > 0 {
		message := Message{Kind: Crashed, Target: t.target, Request: t.request, Features: t.features.list, NamesRequest: t.features.namesRequest}
		isNew := r.isNewEvidence(message)
		r.recordCrash(r.options.VM, message, now, now)
		if isNew {
			r.broadcast(message, now)
		}
	}
	return true
}

// isNewEvidence reports whether the other VMs learn something from this VM's report of a crash. Many repetitions of one
// request may be lost with a target. The caller holds mu.
func (r *Registry) isNewEvidence(message Message) bool {
	known := r.crashes[message.Target]
	if known == nil || known.isRefuted() {
		return true
	}
	if _, reported := known.reporters[r.options.VM]; !reported {
		return true
	}
	return slices.ContainsFunc(message.Features, func(feature Feature) bool { return known.accused[feature] == nil })
}

// Refused records that the target has answered that it does not run the request.
func (t *Trial) Refused() {
	r := t.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.end() {
		r.recordAlive(t.target, t.sentAt, time.Now())
	}
}

// recordAlive records that a target has answered a request that was sent at the given time. It proves that the target has
// not crashed only if that was after the report of the crash: bytes from before may arrive late. The caller holds mu.
func (r *Registry) recordAlive(target targetlimit.Incarnation, sentAt, now time.Time) {
	if known := r.crashes[target]; known != nil && !known.isRefuted() && sentAt.After(known.reportedAt) {
		r.refute(target, now)
		r.broadcast(Message{Kind: Alive, Target: target}, now)
	}
}

// Done ends the trial without a result.
func (t *Trial) Done() {
	t.registry.mu.Lock()
	defer t.registry.mu.Unlock()
	t.end()
}
