package failures

import (
	"math/rand/v2"
	"time"
)

// The phases of a run: a warm-up without faults, a phase with unplanned faults, a settle time without faults, and
// planned stops until the load ends. Durations and gaps are drawn between the minimum and the maximum.
const (
	warmUp          = 2 * time.Second
	faultPhaseShare = 0.45
	// faultPhaseOverrun bounds how long after the fault phase the last fault ends.
	faultPhaseOverrun = 4 * time.Second
	// settleTime exceeds faultEffectWindow, so that no violation by a planned stop is attributed to an unplanned
	// fault.
	settleTime       = faultEffectWindow + 3*time.Second
	pairProbability  = 0.4
	minFaultGap      = time.Second
	maxFaultGap      = 4 * time.Second
	minFaultDuration = 500 * time.Millisecond
	maxFaultDuration = 7 * time.Second
	// Some faults outlast the callers' idle timeout and the progress timeouts of the system.
	longFaultProbability = 0.2
	maxLongFaultDuration = 14 * time.Second
)

// action is one planned fault.
type action struct {
	startAfter time.Duration
	duration   time.Duration
	kind       FaultKind
	// subject is a member's name, a zone, a link as "zone>member", or platformName.
	subject string
}

// faultKinds are the unplanned faults; repeated kinds are drawn more often.
var faultKinds = []FaultKind{
	KillEntry, KillEntry, FreezeEntry, KillTarget, KillTarget, FreezeTarget, ReclaimTarget,
	StallLink, StallLink, CutLink, CutZone, CutPlatform, PlatformOutage, PlatformFreeze, PlatformSlow,
	LoseWriteResponses, LoseWriteResponses, StallStreams, BreakStreams, LoseResponses,
}

// faultGenerator generates pseudorandom actions from a seed.
type faultGenerator struct {
	random  *rand.Rand
	entries []string
	engines []string
	targets []string
}

func newFaultGenerator(seed uint64, f *fleet) *faultGenerator {
	return &faultGenerator{
		random:  rand.New(rand.NewPCG(seed, 2)),
		entries: memberNames(f.entries),
		engines: memberNames(f.engines),
		targets: memberNames(f.targets()),
	}
}

func memberNames(members []*member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// faults returns the unplanned faults of a run ordered by start; some start in simultaneous pairs.
func (g *faultGenerator) faults(duration time.Duration) []action {
	phaseEnd := time.Duration(faultPhaseShare * float64(duration))
	var actions []action
	for at := warmUp; at < phaseEnd; at += g.randomDuration(minFaultGap, maxFaultGap) {
		count := 1
		if g.random.Float64() < pairProbability {
			count = 2
		}
		for range count {
			fault := g.randomAction(at)
			fault.duration = min(fault.duration, phaseEnd+faultPhaseOverrun-at)
			actions = append(actions, fault)
		}
	}
	return actions
}

func (g *faultGenerator) randomAction(at time.Duration) action {
	kind := g.pick(faultKindNames())
	fault := action{startAfter: at, duration: g.randomDuration(minFaultDuration, maxFaultDuration), kind: FaultKind(kind)}
	if g.random.Float64() < longFaultProbability {
		fault.duration = g.randomDuration(maxFaultDuration, maxLongFaultDuration)
	}
	fault.subject = g.randomSubject(fault.kind)
	return fault
}

func faultKindNames() []string {
	var list []string
	for _, kind := range faultKinds {
		list = append(list, string(kind))
	}
	return list
}

func (g *faultGenerator) randomSubject(kind FaultKind) string {
	switch kind {
	case KillEntry, FreezeEntry:
		return g.pick(g.entries)
	case KillTarget, FreezeTarget, ReclaimTarget, LoseResponses:
		return g.pick(g.targets)
	case StallStreams, BreakStreams:
		return g.pick(g.engines)
	case StallLink, CutLink:
		return g.pick(zones) + linkSeparator + g.pick(g.targets)
	case CutZone, CutPlatform:
		return g.pick(zones)
	default:
		return platformName
	}
}

// linkSeparator separates the zone from the destination in the subject of a link fault.
const linkSeparator = ">"

func (g *faultGenerator) pick(list []string) string { return list[g.random.IntN(len(list))] }

func (g *faultGenerator) shuffled(members []*member) []*member {
	g.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

func (g *faultGenerator) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(g.random.Int64N(int64(high-low)))
}
