// Package order reconciles the variants that targets report as loaded with those that they should have
// loaded.
//
// Decide is level-triggered and pure: it compares the desired with the reported state and returns the
// next actions. The only state kept between comparisons is which replicas are drained, so the next
// comparison detects and corrects a stale or lost order. The Reconciler executes the actions while it
// holds a lease.
package order

import (
	"cmp"
	"slices"

	"godwitcart/internal/policy"
)

// Replica is the last reported state of one target of a service.
type Replica struct {
	Target string
	// Known is false if there is no fresh report. An unknown replica receives no orders.
	Known   bool
	Leaving bool
	Loaded  []policy.Variant
	// Drained means that the reconciler removed the replica from routing.
	Drained bool
	// Reserved means that another owner removed the replica from routing. The reconciler does not
	// touch it.
	Reserved bool
	// Idle means that the replica is drained, that the drain has had time to reach every entry VM, and
	// that the replica has no running or waiting generations.
	Idle bool
	// Pending means that the replica has not completed an earlier order.
	Pending bool
}

// Plan describes the desired state of a service and the limits on changing it.
type Plan struct {
	Desired []policy.Variant
	// Capacity is the number of variants that a replica can have loaded at once.
	Capacity int
	// MaxUnavailable limits the number of replicas that are out of routing at once for any reason.
	MaxUnavailable int
	// ChunkSize is the number of replicas that go through the stages together. With 1, each replica
	// proceeds independently; with MaxUnavailable, every stage is a barrier.
	ChunkSize int
	// LoadBudget is the number of loads that the weight store's rate limit allows now.
	LoadBudget int
}

// ActionKind is the kind of an Action.
type ActionKind string

const (
	ActionDrain  ActionKind = "drain"
	ActionUnload ActionKind = "unload"
	ActionLoad   ActionKind = "load"
	ActionReturn ActionKind = "return"
)

// Action is one change of one replica.
type Action struct {
	Kind   ActionKind
	Target string
	// Variant is set for ActionUnload and ActionLoad.
	Variant policy.Variant
}

// stage is the progress of a replica. Within a chunk, no replica starts a stage before all have
// completed the earlier stages.
type stage int

const (
	stageLoadAlongside stage = iota
	stageDrain
	stageUnload
	stageLoad
	stageReturn
	stageDone
)

// plannedAction is a replica with its next action.
type plannedAction struct {
	replica Replica
	stage   stage
	action  Action
	// blocked means that the action must wait for the replica itself.
	blocked bool
}

// Decide returns the actions to start now, those of later stages first, so that they are the first to
// use the plan's limits. It groups replicas into chunks by their position, so they must always have the
// same order. Replicas that are unknown, leaving or reserved get no action, but count as unavailable.
func Decide(plan Plan, replicas []Replica) []Action {
	planned := make([]plannedAction, 0, len(replicas))
	unavailable, excluded := 0, 0
	for _, replica := range replicas {
		switch {
		case !replica.Known || replica.Leaving || replica.Reserved:
			excluded++
			continue
		case replica.Drained:
			unavailable++
		}
		planned = append(planned, nextAction(plan, replica))
	}
	unavailable += excluded
	// A chunk with more replicas than may be drained at once would block itself.
	size := max(1, min(plan.ChunkSize, plan.MaxUnavailable-excluded))
	var ready []plannedAction
	for chunk := range slices.Chunk(planned, size) {
		ready = append(ready, startable(chunk)...)
	}
	slices.SortStableFunc(ready, func(a, b plannedAction) int { return cmp.Compare(b.stage, a.stage) })
	return applyLimits(plan, ready, unavailable)
}

// nextAction returns the stage and the next action of one replica. Missing variants are loaded while the
// replica stays in routing, if it has room for them. To unload a variant, the replica is first drained;
// it returns to routing once it has no surplus variant and has loaded the missing ones that fit.
func nextAction(plan Plan, replica Replica) plannedAction {
	missing := difference(plan.Desired, replica.Loaded)
	surplus := difference(replica.Loaded, plan.Desired)
	planned := plannedAction{replica: replica, blocked: replica.Pending}
	with := func(stage stage, kind ActionKind, variant policy.Variant) plannedAction {
		planned.stage = stage
		planned.action = Action{Kind: kind, Target: replica.Target, Variant: variant}
		return planned
	}
	hasRoom := len(replica.Loaded) < plan.Capacity
	switch {
	case len(missing) > 0 && hasRoom && !replica.Drained:
		return with(stageLoadAlongside, ActionLoad, missing[0])
	case len(surplus) > 0 && !replica.Drained:
		return with(stageDrain, ActionDrain, policy.Variant{})
	case len(surplus) > 0:
		planned.blocked = planned.blocked || !replica.Idle
		return with(stageUnload, ActionUnload, surplus[0])
	case len(missing) > 0 && hasRoom:
		return with(stageLoad, ActionLoad, missing[0])
	case replica.Drained:
		return with(stageReturn, ActionReturn, policy.Variant{})
	default:
		planned.stage = stageDone
		return planned
	}
}

// startable returns the replicas of a chunk that are in its earliest stage and not blocked.
func startable(chunk []plannedAction) []plannedAction {
	earliest := slices.MinFunc(chunk, func(a, b plannedAction) int { return cmp.Compare(a.stage, b.stage) }).stage
	var ready []plannedAction
	for _, planned := range chunk {
		if planned.stage == earliest && planned.stage != stageDone && !planned.blocked {
			ready = append(ready, planned)
		}
	}
	return ready
}

// applyLimits returns the actions in the given order, without the drains and loads that exceed the
// plan's limits. unavailable is the number of replicas that are already out of routing.
func applyLimits(plan Plan, ready []plannedAction, unavailable int) []Action {
	var actions []Action
	loadBudget := plan.LoadBudget
	for _, planned := range ready {
		switch planned.action.Kind {
		case ActionDrain:
			if unavailable >= plan.MaxUnavailable {
				continue
			}
			unavailable++
		case ActionLoad:
			if loadBudget <= 0 {
				continue
			}
			loadBudget--
		}
		actions = append(actions, planned.action)
	}
	return actions
}

// difference returns the variants that are in a but not in b.
func difference(a, b []policy.Variant) []policy.Variant {
	var rest []policy.Variant
	for _, variant := range a {
		if !slices.Contains(b, variant) {
			rest = append(rest, variant)
		}
	}
	return rest
}
