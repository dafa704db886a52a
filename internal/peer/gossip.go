package peer

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"godwitcart/internal/membership"
	"godwitcart/internal/peer/peerpb"
)

const (
	// spreadTime is the time in which news should reach most VMs of a zone. News spreads to n VMs in
	// about ln(n) rounds, so the pause between two asks is spreadTime/ln(n) within the bounds.
	spreadTime  = 900 * time.Millisecond
	minInterval = 150 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// foreignRound is the time in which each other zone is asked once. Where the other zones have too
	// many targets to be kept fresh from outside, one zone is asked each largeForeignInterval, to know
	// them roughly; their targets are confirmed before they get work.
	foreignRound         = time.Second
	largeForeignInterval = 2 * time.Second
	// Of a zone that is kept fresh nearPartners VMs are asked in turn, of another one farPartners. One of
	// the set is replaced each nearPartnerLife or farPartnerLife, and one that does not answer at once.
	// The sets are small, so that connections are used again before they are closed as idle.
	nearPartners    = 8
	nearPartnerLife = time.Minute
	farPartners     = 2
	farPartnerLife  = 5 * time.Minute
	// peersLife is how long a reading of the directory's entry VMs is used.
	peersLife = time.Second
	// maxAsks bounds the asks in flight, so that frozen peers do not pile them up.
	maxAsks = 8
	// pushConcurrency bounds the pushes in flight, and foreignPushes the VMs of each other zone that
	// a fact is pushed to; they spread it by answers.
	pushConcurrency = 16
	foreignPushes   = 3
	// pushDelay gathers facts that become known together.
	pushDelay = 20 * time.Millisecond
	// usageEntriesPerSecond and maxUsages bound the account usage that is told.
	usageEntriesPerSecond = 60
	maxUsages             = 32
)

// GossipOptions configures a Gossip.
type GossipOptions struct {
	// Self, Incarnation and Zone describe this VM.
	Self, Incarnation, Zone string
	Directory               *membership.Directory
	// Ask makes one exchange; Client.Exchange does.
	Ask func(ctx context.Context, vm string, ask *peerpb.Digest) (*peerpb.Digest, error)
	// Interval is the pause between two asks inside the zone; zero chooses it by the size of the zone.
	Interval time.Duration
	// ConfigurationVersion returns the version in force here; nil tells none.
	ConfigurationVersion func() uint64
	// OnConfigurationVersion, if set, learns the version in force at a peer. It must not block.
	OnConfigurationVersion func(vm string, version uint64)
	// Usages returns the use of accounts on this VM; nil tells none. The 32 largest are told.
	Usages func() []*peerpb.Usage
	// OnUsages, if set, learns the use of accounts at a peer. It must not block.
	OnUsages func(vm string, usages []*peerpb.Usage)
}

// Gossip spreads what this VM knows and learns what others know. Each round asks one peer; only
// answers confirm targets. Facts that a target tells this VM are pushed at once.
type Gossip struct {
	options GossipOptions
	leaving atomic.Bool
	usages  *rate.Limiter
	asks    chan struct{}
	running sync.WaitGroup
	// peers holds the names of the entry VMs by zone, as read at peersReadAt; only Run uses them.
	peers       map[string][]string
	peersReadAt time.Time

	mu       sync.Mutex
	partners map[string]*partners
}

// NewGossip returns a Gossip that Run starts.
func NewGossip(options GossipOptions) *Gossip {
	return &Gossip{
		options:  options,
		usages:   rate.NewLimiter(usageEntriesPerSecond, 4*maxUsages),
		asks:     make(chan struct{}, maxAsks),
		partners: make(map[string]*partners),
	}
}

// Run gossips until ctx ends and then waits for what is in flight.
func (g *Gossip) Run(ctx context.Context) {
	changes, cancel := g.options.Directory.Subscribe()
	defer cancel()
	near := time.NewTimer(0)
	defer near.Stop()
	far := time.NewTimer(0)
	defer far.Stop()
	pushed := time.Now()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			g.running.Wait()
			return
		case <-near.C:
			g.askZone(ctx, g.options.Zone)
			near.Reset(g.interval())
		case <-far.C:
			far.Reset(g.askForeign(ctx, round))
			round++
		case <-changes:
			pushed = g.pushNews(ctx, pushed)
		}
	}
}

// interval returns the pause until the next ask inside the zone.
func (g *Gossip) interval() time.Duration {
	if g.options.Interval > 0 {
		return g.options.Interval
	}
	size := len(g.peers[g.options.Zone]) + 1
	pause := time.Duration(float64(spreadTime) / math.Log(float64(size)+1))
	return min(max(pause, minInterval), maxInterval)
}

// foreignZones returns the other zones that have targets.
func (g *Gossip) foreignZones() []string {
	return slices.DeleteFunc(g.options.Directory.Zones(), func(zone string) bool { return zone == g.options.Zone })
}

// askForeign asks one other zone, in turn by the round, and returns the pause until the next.
func (g *Gossip) askForeign(ctx context.Context, round int) time.Duration {
	zones := g.foreignZones()
	if len(zones) == 0 {
		return foreignRound
	}
	zone := zones[round%len(zones)]
	g.askZone(ctx, zone)
	if g.options.Directory.TracksAllTargets(zone) {
		return foreignRound / time.Duration(len(zones))
	}
	return largeForeignInterval
}

// askZone asks one entry VM of the zone, unless too many asks are unanswered.
func (g *Gossip) askZone(ctx context.Context, zone string) {
	vm, found := g.partner(zone, time.Now())
	if !found {
		return
	}
	select {
	case g.asks <- struct{}{}:
	default:
		return
	}
	g.running.Go(func() {
		defer func() { <-g.asks }()
		g.ask(ctx, vm, zone)
	})
}

// partner chooses an entry VM of the zone.
func (g *Gossip) partner(zone string, now time.Time) (string, bool) {
	names := g.peersOf(zone, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	chosen := g.partnersOf(zone)
	chosen.size, chosen.life = farPartners, farPartnerLife
	if g.options.Directory.TracksAllTargets(zone) {
		chosen.size, chosen.life = nearPartners, nearPartnerLife
	}
	return chosen.next(names, now)
}

// partnersOf returns the partners of the zone. The caller holds the lock.
func (g *Gossip) partnersOf(zone string) *partners {
	if chosen := g.partners[zone]; chosen != nil {
		return chosen
	}
	chosen := &partners{}
	g.partners[zone] = chosen
	return chosen
}

// dropPartner replaces a partner that did not answer.
func (g *Gossip) dropPartner(zone, vm string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partnersOf(zone).drop(vm)
}

// peersOf returns the entry VMs of the zone as they were at most peersLife ago. Only Run uses it.
func (g *Gossip) peersOf(zone string, now time.Time) []string {
	if now.Sub(g.peersReadAt) >= peersLife {
		g.peersReadAt = now
		g.peers = make(map[string][]string)
		for _, vm := range g.options.Directory.Peers() {
			g.peers[vm.Zone] = append(g.peers[vm.Zone], vm.Name)
		}
	}
	return g.peers[zone]
}

func (g *Gossip) ask(ctx context.Context, vm, zone string) {
	asked := time.Now()
	question := g.options.Directory.DigestRequest(zone, asked)
	g.introduce(question)
	answer, err := g.options.Ask(ctx, vm, question)
	if err != nil {
		g.dropPartner(zone, vm)
		return
	}
	g.learn(answer, vm, asked)
	g.options.Directory.MergeReply(question, answer, asked)
}

// Exchange answers a peer; it implements Exchanger.
func (g *Gossip) Exchange(_ context.Context, ask *peerpb.Digest) (*peerpb.Digest, error) {
	now := time.Now()
	g.learn(ask, ask.Sender, now)
	g.options.Directory.MergeFacts(ask.Facts, time.Time{})
	g.options.Directory.MergeListChanges(ask.News, now)
	answer := &peerpb.Digest{}
	if ask.WantedZone != "" {
		answer = g.options.Directory.DigestReply(ask, now)
	}
	g.introduce(answer)
	return answer, nil
}

// introduce fills in what every digest says of its sender.
func (g *Gossip) introduce(digest *peerpb.Digest) {
	digest.Sender = g.options.Self
	digest.Incarnation = g.options.Incarnation
	digest.Zone = g.options.Zone
	digest.Leaving = g.leaving.Load()
	if g.options.ConfigurationVersion != nil {
		digest.ConfigurationVersion = g.options.ConfigurationVersion()
	}
	g.tellUsages(digest)
}

// tellUsages adds the use of accounts, within the bound. Having none is told too, since it replaces
// what was told before.
func (g *Gossip) tellUsages(digest *peerpb.Digest) {
	if g.options.Usages == nil {
		return
	}
	usages := g.options.Usages()
	slices.SortFunc(usages, func(a, b *peerpb.Usage) int { return cmp.Compare(b.InProgress, a.InProgress) })
	usages = usages[:min(len(usages), maxUsages)]
	if !g.usages.AllowN(time.Now(), max(len(usages), 1)) {
		return
	}
	digest.Usages = usages
	digest.TellsUsages = true
}

// learn takes what a digest says of its sender, which spoke at the given time.
func (g *Gossip) learn(digest *peerpb.Digest, vm string, spoke time.Time) {
	sign := membership.Live(vm, digest.Incarnation, spoke)
	// The sender tells everybody itself, so this VM need not push it on.
	sign.Source = membership.SourcePeer
	if digest.Leaving {
		sign.State = membership.StateLeaving
	}
	g.options.Directory.Observe(sign)
	if g.options.OnConfigurationVersion != nil && digest.ConfigurationVersion > 0 {
		g.options.OnConfigurationVersion(vm, digest.ConfigurationVersion)
	}
	if g.options.OnUsages != nil && digest.TellsUsages {
		g.options.OnUsages(vm, digest.Usages)
	}
}

// pushNews pushes the facts that VMs told this VM after the given time, and what it read as new in the
// platform's list. It returns the time of the next push.
func (g *Gossip) pushNews(ctx context.Context, after time.Time) time.Time {
	select {
	case <-ctx.Done():
		return after
	case <-time.After(pushDelay):
	}
	now := time.Now()
	digest := &peerpb.Digest{
		Facts: g.options.Directory.DirectFacts(after, now),
		News:  g.options.Directory.TakeListChanges(),
	}
	if len(digest.Facts) > 0 || digest.News != nil {
		g.running.Go(func() { g.push(ctx, digest) })
	}
	return now
}

// Leave tells the peers that this VM is leaving. It returns when they have answered or timed out.
func (g *Gossip) Leave(ctx context.Context) {
	g.leaving.Store(true)
	g.push(ctx, &peerpb.Digest{})
}

// push sends a digest to all entry VMs of this zone and to some of each other.
func (g *Gossip) push(ctx context.Context, digest *peerpb.Digest) {
	g.introduce(digest)
	digest.Usages, digest.TellsUsages = nil, false
	slots := make(chan struct{}, pushConcurrency)
	var pushes sync.WaitGroup
	for _, vm := range g.pushTo() {
		slots <- struct{}{}
		pushes.Go(func() {
			defer func() { <-slots }()
			_, _ = g.options.Ask(ctx, vm, digest)
		})
	}
	pushes.Wait()
}

func (g *Gossip) pushTo() []string {
	peers := g.options.Directory.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	foreign := make(map[string]int)
	var names []string
	for _, vm := range peers {
		if vm.Zone != g.options.Zone {
			foreign[vm.Zone]++
		}
		if foreign[vm.Zone] <= foreignPushes {
			names = append(names, vm.Name)
		}
	}
	return names
}
