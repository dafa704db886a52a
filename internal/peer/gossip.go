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
	// propagationTime is the time in which an update should reach most VMs of a zone. An update reaches n VMs in
	// about ln(n) rounds, so the interval between two exchanges is propagationTime/ln(n) within the bounds.
	propagationTime     = 900 * time.Millisecond
	minExchangeInterval = 150 * time.Millisecond
	maxExchangeInterval = 500 * time.Millisecond
	// remoteZoneRound is the time for one exchange with each other zone. If the other zones have too many targets
	// to keep all of them confirmed, there is one exchange with one of them per partialZoneInterval, which gives
	// an approximate view; their targets still get work only while they are confirmed.
	remoteZoneRound     = time.Second
	partialZoneInterval = 2 * time.Second
	// trackedZonePartners is the number of VMs that are asked in rotation in a zone whose targets are all tracked,
	// partialZonePartners that in any other zone. One partner is replaced per trackedZoneReplaceInterval or
	// partialZoneReplaceInterval, and one that does not answer is replaced at once. The sets are small, so that
	// connections are reused before the idle timeout closes them.
	trackedZonePartners        = 8
	trackedZoneReplaceInterval = time.Minute
	partialZonePartners        = 2
	partialZoneReplaceInterval = 5 * time.Minute
	// peersCacheTTL is how long the entry VMs read from the directory are cached.
	peersCacheTTL = time.Second
	// maxConcurrentExchanges bounds the exchanges in flight, so that they do not accumulate on unresponsive peers.
	maxConcurrentExchanges = 8
	// maxConcurrentPushes bounds the pushes in flight, and pushesPerRemoteZone the VMs of each other zone that
	// receive a push; these pass facts on in their replies.
	maxConcurrentPushes = 16
	pushesPerRemoteZone = 3
	// pushBatchDelay is the wait for further facts before a push, so that one push carries several.
	pushBatchDelay = 20 * time.Millisecond
	// usagesPerSecond and maxUsages bound the account usages sent, per second and per digest.
	usagesPerSecond = 60
	maxUsages       = 32
)

// GossipOptions configures a Gossip.
type GossipOptions struct {
	// Self, Incarnation and Zone describe this VM.
	Self, Incarnation, Zone string
	Directory               *membership.Directory
	// Exchange sends a digest to a peer and returns the peer's digest, as Client.Exchange does.
	Exchange func(ctx context.Context, vm string, request *peerpb.Digest) (*peerpb.Digest, error)
	// Interval is the delay between two exchanges inside the zone; if it is zero, it depends on the zone's size.
	Interval time.Duration
	// ConfigurationVersion returns the configuration version in force on this VM; if nil, none is sent.
	ConfigurationVersion func() uint64
	// OnConfigurationVersion, if set, is called with the version in force on a peer. It must not block.
	OnConfigurationVersion func(vm string, version uint64)
	// Usages returns the account usages on this VM, of which the maxUsages largest are sent; if nil, none are sent.
	Usages func() []*peerpb.Usage
	// OnUsages, if set, is called with the account usages on a peer. It must not block.
	OnUsages func(vm string, usages []*peerpb.Usage)
}

// Gossip propagates membership state between entry VMs. Each round requests newer state from one peer; only replies
// confirm targets. Facts reported directly to this VM are pushed to peers at once.
type Gossip struct {
	options       GossipOptions
	leaving       atomic.Bool
	usageLimiter  *rate.Limiter
	exchangeSlots chan struct{}
	running       sync.WaitGroup
	// peers holds the names of the entry VMs by zone, as read at peersReadAt; only Run uses them.
	peers       map[string][]string
	peersReadAt time.Time

	mu             sync.Mutex
	partnersByZone map[string]*partnerSet
}

// NewGossip returns a Gossip that Run starts.
func NewGossip(options GossipOptions) *Gossip {
	return &Gossip{
		options:        options,
		usageLimiter:   rate.NewLimiter(usagesPerSecond, 4*maxUsages),
		exchangeSlots:  make(chan struct{}, maxConcurrentExchanges),
		partnersByZone: make(map[string]*partnerSet),
	}
}

// Run gossips until ctx ends and then waits for calls in flight.
func (g *Gossip) Run(ctx context.Context) {
	changes, cancel := g.options.Directory.Subscribe()
	defer cancel()
	localTimer := time.NewTimer(0)
	defer localTimer.Stop()
	remoteTimer := time.NewTimer(0)
	defer remoteTimer.Stop()
	lastPush := time.Now()
	for round := 0; ; {
		select {
		case <-ctx.Done():
			g.running.Wait()
			return
		case <-localTimer.C:
			g.exchangeWithZone(ctx, g.options.Zone)
			localTimer.Reset(g.exchangeInterval())
		case <-remoteTimer.C:
			remoteTimer.Reset(g.exchangeWithRemoteZone(ctx, round))
			round++
		case <-changes:
			lastPush = g.pushUpdates(ctx, lastPush)
		}
	}
}

// exchangeInterval returns the delay until the next exchange inside the zone.
func (g *Gossip) exchangeInterval() time.Duration {
	if g.options.Interval > 0 {
		return g.options.Interval
	}
	zoneSize := len(g.peers[g.options.Zone]) + 1
	interval := time.Duration(float64(propagationTime) / math.Log(float64(zoneSize)+1))
	return min(max(interval, minExchangeInterval), maxExchangeInterval)
}

// remoteZones returns the other zones that have targets.
func (g *Gossip) remoteZones() []string {
	return slices.DeleteFunc(g.options.Directory.Zones(), func(zone string) bool { return zone == g.options.Zone })
}

// exchangeWithRemoteZone starts an exchange with one other zone, chosen round-robin by the round number, and returns
// the delay until the next one.
func (g *Gossip) exchangeWithRemoteZone(ctx context.Context, round int) time.Duration {
	zones := g.remoteZones()
	if len(zones) == 0 {
		return remoteZoneRound
	}
	zone := zones[round%len(zones)]
	g.exchangeWithZone(ctx, zone)
	if g.options.Directory.TracksAllTargets(zone) {
		return remoteZoneRound / time.Duration(len(zones))
	}
	return partialZoneInterval
}

// exchangeWithZone starts an exchange with one entry VM of the zone, unless too many are in flight.
func (g *Gossip) exchangeWithZone(ctx context.Context, zone string) {
	vm, found := g.nextPartner(zone, time.Now())
	if !found {
		return
	}
	select {
	case g.exchangeSlots <- struct{}{}:
	default:
		return
	}
	g.running.Go(func() {
		defer func() { <-g.exchangeSlots }()
		g.exchangeWith(ctx, vm, zone)
	})
}

// nextPartner returns the entry VM of the zone for the next exchange, or false if the zone has no other entry VM.
func (g *Gossip) nextPartner(zone string, now time.Time) (string, bool) {
	names := g.zonePeers(zone, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	set := g.zonePartners(zone)
	set.size, set.replaceInterval = partialZonePartners, partialZoneReplaceInterval
	if g.options.Directory.TracksAllTargets(zone) {
		set.size, set.replaceInterval = trackedZonePartners, trackedZoneReplaceInterval
	}
	return set.next(names, now)
}

// zonePartners returns the partner set of the zone, creating it if needed. The caller holds g.mu.
func (g *Gossip) zonePartners(zone string) *partnerSet {
	if set := g.partnersByZone[zone]; set != nil {
		return set
	}
	set := &partnerSet{}
	g.partnersByZone[zone] = set
	return set
}

// removePartner removes a partner that did not answer; nextPartner replaces it.
func (g *Gossip) removePartner(zone, vm string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.zonePartners(zone).remove(vm)
}

// zonePeers returns the names of the zone's entry VMs other than this one, cached for peersCacheTTL. Only Run uses it.
func (g *Gossip) zonePeers(zone string, now time.Time) []string {
	if now.Sub(g.peersReadAt) >= peersCacheTTL {
		g.peersReadAt = now
		g.peers = make(map[string][]string)
		for _, vm := range g.options.Directory.Peers() {
			g.peers[vm.Zone] = append(g.peers[vm.Zone], vm.Name)
		}
	}
	return g.peers[zone]
}

func (g *Gossip) exchangeWith(ctx context.Context, vm, zone string) {
	requestedAt := time.Now()
	request := g.options.Directory.DigestRequest(zone, requestedAt)
	g.fillSender(request)
	reply, err := g.options.Exchange(ctx, vm, request)
	if err != nil {
		g.removePartner(zone, vm)
		return
	}
	g.recordSender(reply, vm, requestedAt)
	g.options.Directory.MergeReply(request, reply, requestedAt)
}

// Exchange implements Exchanger. It merges the peer's digest and replies with newer state if a zone is wanted.
func (g *Gossip) Exchange(_ context.Context, request *peerpb.Digest) (*peerpb.Digest, error) {
	now := time.Now()
	g.recordSender(request, request.Sender, now)
	g.options.Directory.MergeFacts(request.Facts, time.Time{})
	g.options.Directory.MergeListChanges(request.News, now)
	reply := &peerpb.Digest{}
	if request.WantedZone != "" {
		reply = g.options.Directory.DigestReply(request, now)
	}
	g.fillSender(reply)
	return reply, nil
}

// fillSender sets the fields that describe the sender of a digest.
func (g *Gossip) fillSender(digest *peerpb.Digest) {
	digest.Sender = g.options.Self
	digest.Incarnation = g.options.Incarnation
	digest.Zone = g.options.Zone
	digest.Leaving = g.leaving.Load()
	if g.options.ConfigurationVersion != nil {
		digest.ConfigurationVersion = g.options.ConfigurationVersion()
	}
	g.addUsages(digest)
}

// addUsages adds the account usages, as far as the rate limit allows. An empty set is sent too, because it replaces
// the set sent before.
func (g *Gossip) addUsages(digest *peerpb.Digest) {
	if g.options.Usages == nil {
		return
	}
	usages := g.options.Usages()
	slices.SortFunc(usages, func(a, b *peerpb.Usage) int { return cmp.Compare(b.InProgress, a.InProgress) })
	usages = usages[:min(len(usages), maxUsages)]
	if !g.usageLimiter.AllowN(time.Now(), max(len(usages), 1)) {
		return
	}
	digest.Usages = usages
	digest.TellsUsages = true
}

// recordSender records what a digest says about its sender, which was alive at aliveAt.
func (g *Gossip) recordSender(digest *peerpb.Digest, vm string, aliveAt time.Time) {
	observation := membership.Live(vm, digest.Incarnation, aliveAt)
	// SourcePeer, because the sender informs all peers itself and this VM need not push its state.
	observation.Source = membership.SourcePeer
	if digest.Leaving {
		observation.State = membership.StateLeaving
	}
	g.options.Directory.Observe(observation)
	if g.options.OnConfigurationVersion != nil && digest.ConfigurationVersion > 0 {
		g.options.OnConfigurationVersion(vm, digest.ConfigurationVersion)
	}
	if g.options.OnUsages != nil && digest.TellsUsages {
		g.options.OnUsages(vm, digest.Usages)
	}
}

// pushUpdates pushes the facts reported directly to this VM since lastPush and the changes that it read in the
// platform's list. It first waits for pushBatchDelay, and returns the time up to which facts were
// collected, or lastPush if ctx ends.
func (g *Gossip) pushUpdates(ctx context.Context, lastPush time.Time) time.Time {
	select {
	case <-ctx.Done():
		return lastPush
	case <-time.After(pushBatchDelay):
	}
	now := time.Now()
	digest := &peerpb.Digest{
		Facts: g.options.Directory.DirectFacts(lastPush, now),
		News:  g.options.Directory.TakeListChanges(),
	}
	if len(digest.Facts) > 0 || digest.News != nil {
		g.running.Go(func() { g.push(ctx, digest) })
	}
	return now
}

// Leave notifies the peers that this VM is leaving. It returns when they have answered or timed out.
func (g *Gossip) Leave(ctx context.Context) {
	g.leaving.Store(true)
	g.push(ctx, &peerpb.Digest{})
}

// push sends a digest to all entry VMs of this zone and to some of each other zone. It omits account usages, which are
// rate limited.
func (g *Gossip) push(ctx context.Context, digest *peerpb.Digest) {
	g.fillSender(digest)
	digest.Usages, digest.TellsUsages = nil, false
	slots := make(chan struct{}, maxConcurrentPushes)
	var pushes sync.WaitGroup
	for _, vm := range g.pushRecipients() {
		slots <- struct{}{}
		pushes.Go(func() {
			defer func() { <-slots }()
			_, _ = g.options.Exchange(ctx, vm, digest)
		})
	}
	pushes.Wait()
}

// pushRecipients returns all entry VMs of this zone and pushesPerRemoteZone random ones of each other zone.
func (g *Gossip) pushRecipients() []string {
	peers := g.options.Directory.Peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	remoteCounts := make(map[string]int)
	var names []string
	for _, vm := range peers {
		if vm.Zone != g.options.Zone { // the count of this zone stays zero, so all its VMs are included
			remoteCounts[vm.Zone]++
		}
		if remoteCounts[vm.Zone] <= pushesPerRemoteZone {
			names = append(names, vm.Name)
		}
	}
	return names
}
