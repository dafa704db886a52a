// Package order closes the gap between what targets should have loaded and what they report.
//
// Decide is level-triggered and pure: it compares desired with reported state and returns the
// next actions; nothing is remembered between comparisons but who is drained, so a stale or
// lost order is seen and put right by the next one. The Reconciler carries the actions out
// under a lease.
package order

import (
	"cmp"
	"slices"

	"godwitcart/internal/policy"
)

// Replica is one target of a service as it was last reported.
type Replica struct {
	Target string
	// Known is false while there is no fresh report; an unknown replica gets no order.
	Known   bool
	Leaving bool
	Loaded  []policy.Variant
	// Drained means that this reconciler took the replica out of routing.
	Drained bool
	// Reserved means that somebody else took it out of routing; it is left alone.
	Reserved bool
	// Idle means that the replica is drained, that every entry VM has had the time to learn it,
	// and that nothing runs or waits there.
	Idle bool
	// Pending means that an order is being carried out.
	Pending bool
}

// Plan is how a service is changed.
type Plan struct {
	Desired []policy.Variant
	// Room is the number of variants that a replica can have loaded at once.
	Room int
	// MaxOut bounds the replicas that are out of routing at once, whatever the cause.
	MaxOut int
	// ChunkSize is the number of replicas that wait for each other at every step: 1 lets each
	// replica go ahead by itself, MaxOut makes every step a barrier.
	ChunkSize int
	// Loads is the number of loads that the weight store's rate allows now.
	Loads int
}

// ActionKind names what is done to a replica.
type ActionKind string

// The kinds of action.
const (
	ActionDrain  ActionKind = "drain"
	ActionUnload ActionKind = "unload"
	ActionLoad   ActionKind = "load"
	ActionReturn ActionKind = "return"
)

// Action is one step of one replica.
type Action struct {
	Kind   ActionKind
	Target string
	// Variant is set for ActionUnload and ActionLoad.
	Variant policy.Variant
}

// step is how far a replica is; within a chunk nobody starts a step before all have left the
// earlier ones.
type step int

const (
	stepLoadBeside step = iota
	stepDrain
	stepUnload
	stepLoad
	stepReturn
	stepDone
)

// work is a replica with its next action.
type work struct {
	replica Replica
	step    step
	action  Action
	// waits means that the action has to wait for the replica itself.
	waits bool
}

// Decide returns the actions that may be started now. Replicas must be in a fixed order, by
// which they form chunks.
func Decide(plan Plan, replicas []Replica) []Action {
	works := make([]work, 0, len(replicas))
	out, absent := 0, 0
	for _, replica := range replicas {
		switch {
		case !replica.Known || replica.Leaving || replica.Reserved:
			absent++
			continue
		case replica.Drained:
			out++
		}
		works = append(works, next(plan, replica))
	}
	out += absent
	// A chunk that could not be out as a whole would wait for itself.
	size := max(1, min(plan.ChunkSize, plan.MaxOut-absent))
	var ready []work
	for chunk := range slices.Chunk(works, size) {
		ready = append(ready, startable(chunk)...)
	}
	slices.SortStableFunc(ready, func(a, b work) int { return cmp.Compare(b.step, a.step) })
	return admit(plan, ready, out)
}

// next returns the next step of one replica.
func next(plan Plan, replica Replica) work {
	missing := difference(plan.Desired, replica.Loaded)
	surplus := difference(replica.Loaded, plan.Desired)
	at := work{replica: replica, waits: replica.Pending}
	set := func(next step, kind ActionKind, variant policy.Variant) work {
		at.step = next
		at.action = Action{Kind: kind, Target: replica.Target, Variant: variant}
		return at
	}
	hasRoom := len(replica.Loaded) < plan.Room
	switch {
	case len(missing) > 0 && hasRoom && !replica.Drained:
		return set(stepLoadBeside, ActionLoad, missing[0])
	case len(surplus) > 0 && !replica.Drained:
		return set(stepDrain, ActionDrain, policy.Variant{})
	case len(surplus) > 0:
		at.waits = at.waits || !replica.Idle
		return set(stepUnload, ActionUnload, surplus[0])
	case len(missing) > 0 && hasRoom:
		return set(stepLoad, ActionLoad, missing[0])
	case replica.Drained:
		return set(stepReturn, ActionReturn, policy.Variant{})
	default:
		at.step = stepDone
		return at
	}
}

// startable returns the replicas of a chunk that are at its earliest step and wait for nothing.
func startable(chunk []work) []work {
	earliest := slices.MinFunc(chunk, func(a, b work) int { return cmp.Compare(a.step, b.step) }).step
	var ready []work
	for _, at := range chunk {
		if at.step == earliest && at.step != stepDone && !at.waits {
			ready = append(ready, at)
		}
	}
	return ready
}

// admit applies the bounds on replicas out of routing and on loads.
func admit(plan Plan, ready []work, out int) []Action {
	var actions []Action
	loads := plan.Loads
	for _, at := range ready {
		switch at.action.Kind {
		case ActionDrain:
			if out >= plan.MaxOut {
				continue
			}
			out++
		case ActionLoad:
			if loads <= 0 {
				continue
			}
			loads--
		}
		actions = append(actions, at.action)
	}
	return actions
}

// difference returns the variants of a that are not in b.
func difference(a, b []policy.Variant) []policy.Variant {
	var rest []policy.Variant
	for _, variant := range a {
		if !slices.Contains(b, variant) {
			rest = append(rest, variant)
		}
	}
	return rest
}
