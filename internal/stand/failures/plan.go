package failures

import (
	"math/rand/v2"
	"time"
)

// The parts of a run: a start without faults, then faults, then a rest, then planned stops
// until the load ends.
const (
	warmUp      = 2 * time.Second
	faultsShare = 0.45
	// lastFaultEnds is how long after the part with faults the last one ends.
	lastFaultEnds = 4 * time.Second
	// settle is the rest; it exceeds faultAftermath, so that no fault excuses a planned stop.
	settle       = faultAftermath + 3*time.Second
	pairShare    = 0.4
	shortestRest = time.Second
	longestRest  = 4 * time.Second
	shortestHold = 500 * time.Millisecond
	longestHold  = 7 * time.Second
	// Some faults outlast the patience of callers and the progress timeouts.
	lastingShare = 0.2
	lastingHold  = 14 * time.Second
)

// action is one planned fault.
type action struct {
	after time.Duration
	hold  time.Duration
	kind  FaultKind
	// subject is a member, a zone, a link as "zone>member", or the platform.
	subject string
}

// faultKinds are the unplanned faults, each as often as it stands here.
var faultKinds = []FaultKind{
	KillEntry, KillEntry, FreezeEntry, KillTarget, KillTarget, FreezeTarget, ReclaimTarget,
	StallLink, StallLink, CutLink, CutZone, CutPlatform, PlatformOutage, PlatformFreeze, PlatformSlow,
	LoseWriteAnswer, LoseWriteAnswer, StallStreams, BreakStreams, LoseAnswers,
}

// drawer draws actions from a seed.
type drawer struct {
	random  *rand.Rand
	entries []string
	engines []string
	targets []string
}

func newDrawer(seed uint64, f *fleet) *drawer {
	return &drawer{
		random:  rand.New(rand.NewPCG(seed, 2)),
		entries: names(f.entries),
		engines: names(f.engines),
		targets: names(f.targets()),
	}
}

func names(members []*member) []string {
	var list []string
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// faults returns the unplanned faults of a run, some of them in pairs, in the order of their times.
func (d *drawer) faults(duration time.Duration) []action {
	last := time.Duration(faultsShare * float64(duration))
	var actions []action
	for at := warmUp; at < last; at += d.between(shortestRest, longestRest) {
		count := 1
		if d.random.Float64() < pairShare {
			count = 2
		}
		for range count {
			drawn := d.draw(at)
			drawn.hold = min(drawn.hold, last+lastFaultEnds-at)
			actions = append(actions, drawn)
		}
	}
	return actions
}

func (d *drawer) draw(at time.Duration) action {
	kind := d.pick(kindNames())
	drawn := action{after: at, hold: d.between(shortestHold, longestHold), kind: FaultKind(kind)}
	if d.random.Float64() < lastingShare {
		drawn.hold = d.between(longestHold, lastingHold)
	}
	drawn.subject = d.subject(drawn.kind)
	return drawn
}

func kindNames() []string {
	var list []string
	for _, kind := range faultKinds {
		list = append(list, string(kind))
	}
	return list
}

func (d *drawer) subject(kind FaultKind) string {
	switch kind {
	case KillEntry, FreezeEntry:
		return d.pick(d.entries)
	case KillTarget, FreezeTarget, ReclaimTarget, LoseAnswers:
		return d.pick(d.targets)
	case StallStreams, BreakStreams:
		return d.pick(d.engines)
	case StallLink, CutLink:
		return d.pick(zones) + linkSeparator + d.pick(d.targets)
	case CutZone, CutPlatform:
		return d.pick(zones)
	default:
		return platformName
	}
}

// linkSeparator stands between the zone and the destination in the subject of a link's fault.
const linkSeparator = ">"

func (d *drawer) pick(list []string) string { return list[d.random.IntN(len(list))] }

func (d *drawer) shuffled(members []*member) []*member {
	d.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	return members
}

func (d *drawer) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}
