// Package fleet lets entry VMs share what each of them knows, so that the platform's store is read by few.
//
// Each VM sends a digest to the VMs of its zone, up to a certain size of the fleet to all, as one datagram: what it has sent to targets, and how fresh
// its view of the platform is. In each zone the live VM of the highest rank is the reader: it follows the
// platform closely, and exchanges the sums of its zone with the readers of the others. A VM that hears no
// reader reads the platform itself. A datagram that is lost is replaced by the next one.
//
// A proof of freshness that comes from a peer is dated by this VM's own clock: a digest names the last digest
// that its sender had received, so the sender's proof is no older than its stated age when that one was sent.
package fleet

import (
	"context"
	"hash/fnv"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/boottime"
	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

const (
	// baseInterval is the least time between two digests; reading a prompt takes several times as long.
	baseInterval = 100 * time.Millisecond
	// hurryGap is the least time between two digests that are sent before their time.
	hurryGap = 10 * time.Millisecond
	// perPeer lengthens the interval with the zone, so that a VM takes in at a bounded rate.
	perPeer = 8 * time.Millisecond
	// idleInterval is the time between digests while nothing changes.
	idleInterval = 500 * time.Millisecond
	// liveFor is how long a peer that sends nothing counts as live.
	liveFor = 2 * time.Second
	// freshShare is the age of a reader's proof, as a share of the bound on new versions, up to which others leave the
	// reading to it, and hearingShare how long a digest with such a proof stands for hearing a reader. A reader renews
	// its proof within about 0.6 of the bound; what both leave of it is for the read of a VM that hears none.
	freshShare   = 0.55
	hearingShare = 0.2
	// changeLife is how long a change is repeated in digests, against the loss of some.
	changeLife = 2 * time.Second
	// maxChanges bounds the changes in a digest, which must fit a datagram; the oldest go, as others learn of them
	// from the platform.
	maxChanges = 256
	// meshSize is the number of entry VMs up to which all of them exchange digests directly: each takes in two
	// small datagrams for every generation that the fleet places.
	meshSize = 128
	// unknownReaders is the number of VMs that a reader sends to in a zone whose reader it has not heard.
	unknownReaders = 3
	// sentKept is the number of own digests whose send times are kept for echoes.
	sentKept = 64
	// maxDatagram bounds a digest.
	maxDatagram = 60 << 10
)

// Knowledge is what this VM knows of the platform's configuration.
type Knowledge interface {
	// Proof returns the version in force and the instant of its proof; zero stands for none.
	Proof() (version uint64, at boottime.Instant)
	// Prove records a peer's proof. It reports false where the peer knows a newer version.
	Prove(version uint64, at boottime.Instant)
}

// Options configures a Fleet.
type Options struct {
	Self      Member
	Table     *placement.Table
	Knowledge Knowledge
	// Conn is the socket that digests are sent from and come in at.
	Conn   net.PacketConn
	Logger *log.Logger
	// SizeChanged is called when the number of entry VMs has changed, once the directory has been read.
	SizeChanged func(size Size)
	// InForceWithin bounds the time until an accepted configuration is in force on every VM.
	InForceWithin time.Duration
	// Learnt is called with what a peer has learnt of a target.
	Learnt func(target roster.Target)
}

// Size counts entry VMs, this one included.
type Size struct {
	// Live counts those that were heard lately.
	Live int
	// Known counts those of the directory too: what all share must be divided by this number, since a VM that is
	// silent may be cut off and work on.
	Known int
}

// peer is what is known of another entry VM.
type peer struct {
	zone     string
	heardAt  time.Time
	sequence uint32
	reader   bool
	// sum says that its loads are those of its zone.
	sum   bool
	vms   int
	loads map[string]placement.Load
}

// Fleet exchanges digests. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu sync.Mutex
	// members is nil until the directory has been read.
	members map[string]Member
	peers   map[string]*peer
	// zones are the loads of other zones, by zone.
	zones    map[string]*peer
	changes  []timedChange
	sequence uint32
	sentAt   [sentKept]boottime.Instant
	// heardReader is when a digest with a fresh proof last came in.
	heardReader time.Time
	size        Size
	wake        chan struct{}
}

type timedChange struct {
	at     time.Time
	change targetChange
}

// New returns a Fleet that knows no peer.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, peers: make(map[string]*peer),
		zones: make(map[string]*peer), wake: make(chan struct{}, 1),
	}
}

// SetMembers replaces the VMs that the directory names.
func (f *Fleet) SetMembers(members map[string]Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

// Reader reports whether this VM reads the platform closely: it does for its zone, or while it hears nobody who does.
func (f *Fleet) Reader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return now.Sub(f.heardReader) > f.boundShare(hearingShare) || f.leads(now)
}

func (f *Fleet) boundShare(share float64) time.Duration {
	return time.Duration(share * float64(f.options.InForceWithin))
}

// First reports whether this VM has the highest rank of those heard in its zone.
func (f *Fleet) First() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leads(time.Now())
}

// leads reports whether this VM has the highest rank of its zone. It is called with mu held.
func (f *Fleet) leads(now time.Time) bool {
	own := sum(f.options.Self.Name)
	for name, known := range f.peers {
		if known.zone == f.options.Self.Zone && now.Sub(known.heardAt) <= liveFor && sum(name) > own {
			return false
		}
	}
	return true
}

func sum(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// Tell passes a change of a target on to the other VMs, at once and for a while.
func (f *Fleet) Tell(target roster.Target) {
	f.mu.Lock()
	f.changes = append(f.changes, timedChange{at: time.Now(), change: newChange(target)})
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changes = slices.Delete(f.changes, 0, excess)
	}
	f.mu.Unlock()
	f.Hurry()
}

// Hurry has the next digest sent at once, as when work was placed that others' next choice should count. It
// does not block.
func (f *Fleet) Hurry() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.options.Conn.Close() })
	defer stop()
	go f.receive(ctx)
	var last map[string]placement.Load
	var sentAt time.Time
	for {
		hurried, ok := f.wait(ctx)
		if !ok {
			return nil
		}
		now := time.Now()
		f.expire(now)
		loads := f.options.Table.OwnLoads()
		if !hurried && maps.Equal(loads, last) && now.Sub(sentAt) < idleInterval {
			continue
		}
		f.send(loads, now)
		last, sentAt = loads, now
		if !pause.For(ctx, hurryGap) {
			return nil
		}
	}
}

// wait waits for the next digest; it reports whether it is sent before its time, and false at the end of ctx.
func (f *Fleet) wait(ctx context.Context) (hurried, ok bool) {
	timer := time.NewTimer(f.interval())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false, false
	case <-f.wake:
		return true, true
	case <-timer.C:
		return false, true
	}
}

func (f *Fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(baseInterval, time.Duration(len(f.peers))*perPeer)
}

// expire forgets VMs that have fallen silent and changes that all have heard.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	for name, known := range f.peers {
		if now.Sub(known.heardAt) > liveFor {
			delete(f.peers, name)
			if !known.sum {
				f.options.Logger.Info("peer lost", "peer", name, "zone", known.zone, "silent_ms", now.Sub(known.heardAt).Milliseconds())
			}
		}
	}
	maps.DeleteFunc(f.zones, func(_ string, zone *peer) bool { return now.Sub(zone.heardAt) > 2*liveFor })
	f.changes = slices.DeleteFunc(f.changes, func(c timedChange) bool { return now.Sub(c.at) > changeLife })
	live := 1
	for _, known := range f.peers {
		if !known.sum {
			live++
		}
	}
	for _, zone := range f.zones {
		live += zone.vms
	}
	size := Size{Live: live, Known: max(live, 1+len(f.members))}
	changed := f.members != nil && size != f.size
	if changed {
		f.size = size
	}
	f.mu.Unlock()
	if changed {
		f.options.SizeChanged(size)
	}
}

// zoneSize is the number of live VMs in this zone. It is called with mu held.
func (f *Fleet) zoneSize(now time.Time) int {
	size := 1
	for _, known := range f.peers {
		if known.zone == f.options.Self.Zone && now.Sub(known.heardAt) <= liveFor {
			size++
		}
	}
	return size
}

// send sends one digest to the VMs of the zone, and as a reader one to the readers of the others.
func (f *Fleet) send(loads map[string]placement.Load, now time.Time) {
	f.mu.Lock()
	f.sequence++
	f.sentAt[f.sequence%sentKept] = boottime.Now()
	reader := f.leads(now)
	near, far := f.recipients(now, reader)
	out := digest{VM: f.options.Self.Name, Zone: f.options.Self.Zone, Sequence: f.sequence, Reader: reader, Echoes: make(map[uint32]uint32, len(f.peers))}
	if reader {
		for name, known := range f.peers {
			out.Echoes[sum(name)] = known.sequence
		}
	}
	for _, change := range f.changes {
		out.Changes = append(out.Changes, change.change)
	}
	out.VMs = 1
	out.Loads = packLoads(loads)
	outer := out
	if reader {
		for name, zone := range f.zones {
			out.Zones = append(out.Zones, zoneLoads{Zone: name, VMs: zone.vms, Loads: packLoads(zone.loads)})
		}
		outer.Sum = true
		outer.VMs = f.zoneSize(now)
		outer.Loads = packLoads(f.zoneSum(loads))
	}
	f.mu.Unlock()
	version, proof := f.options.Knowledge.Proof()
	if proof != 0 {
		age := boottime.Now().Sub(proof).Milliseconds() + 1 // rounded up
		out.Version, out.ProofMillis = version, age
		outer.Version, outer.ProofMillis = version, age
	}
	f.sendTo(&out, near)
	f.sendTo(&outer, far)
}

// zoneSum adds up what the VMs of the zone have sent. It is called with mu held.
func (f *Fleet) zoneSum(own map[string]placement.Load) map[string]placement.Load {
	total := maps.Clone(own)
	for _, known := range f.peers {
		if known.zone != f.options.Self.Zone {
			continue
		}
		for id, load := range known.loads {
			total[id] = total[id].Plus(load)
		}
	}
	return total
}

// recipients returns who gets a digest: near in the zone, far in the others. It is called with mu held.
func (f *Fleet) recipients(now time.Time, reader bool) (near, far []Member) {
	foreign := make(map[string][]Member)
	for _, member := range f.members {
		if member.Zone == f.options.Self.Zone || len(f.members) < meshSize {
			near = append(near, member)
		} else if reader {
			foreign[member.Zone] = append(foreign[member.Zone], member)
		}
	}
	for _, members := range foreign {
		far = append(far, f.readersAmong(members, now)...)
	}
	return near, far
}

// readersAmong returns the readers among the VMs of a zone, or those of the highest ranks while none is heard.
func (f *Fleet) readersAmong(members []Member, now time.Time) []Member {
	var readers []Member
	for _, member := range members {
		if known := f.peers[member.Name]; known != nil && known.reader && now.Sub(known.heardAt) <= liveFor {
			readers = append(readers, member)
		}
	}
	if len(readers) > 0 {
		return readers
	}
	slices.SortFunc(members, func(a, b Member) int { return int(int64(sum(b.Name)) - int64(sum(a.Name))) })
	return members[:min(unknownReaders, len(members))]
}

func (f *Fleet) sendTo(out *digest, recipients []Member) {
	if len(recipients) == 0 {
		return
	}
	datagram, err := out.marshal()
	if err != nil || len(datagram) > maxDatagram {
		f.options.Logger.Error("digest not sent", "bytes", len(datagram), "error", err)
		return
	}
	for _, member := range recipients {
		// A digest that cannot be sent is as good as lost: the next one replaces it.
		_, _ = f.options.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(member.Address))
	}
}

func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := f.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.options.Logger.Warn("digests cannot be read", "error", err)
			pause.For(ctx, baseInterval)
			continue
		}
		in, err := parseDigest(buffer[:n])
		if err != nil || in.VM == "" || in.VM == f.options.Self.Name {
			f.options.Logger.Warn("digest ignored", "bytes", n, "error", err)
			continue
		}
		f.take(in, time.Now())
	}
}

// take takes a digest of a peer.
func (f *Fleet) take(in *digest, now time.Time) {
	loads := unpackLoads(in.Loads)
	f.mu.Lock()
	f.peers[in.VM] = &peer{zone: in.Zone, heardAt: now, sequence: in.Sequence, reader: in.Reader, sum: in.Sum, loads: loads}
	if in.Sum {
		f.zones[in.Zone] = &peer{heardAt: now, vms: in.VMs, loads: loads}
	}
	for _, zone := range in.Zones {
		f.takeZone(zone, now)
	}
	echo, proven := in.Echoes[sum(f.options.Self.Name)]
	proven = proven && in.Version > 0 && f.sequence-echo < sentKept && f.sentAt[echo%sentKept] != 0
	proof := f.sentAt[echo%sentKept] - boottime.Instant(time.Duration(in.ProofMillis)*time.Millisecond)
	if in.Reader && in.Version > 0 && time.Duration(in.ProofMillis)*time.Millisecond < f.boundShare(freshShare) {
		f.heardReader = now
	}
	f.mu.Unlock()
	sender := placement.Sender{VM: in.VM, Zone: in.Zone}
	if in.Sum {
		sender.VM = ""
	}
	f.options.Table.PeerLoads(sender, loads, now)
	for _, zone := range in.Zones {
		f.options.Table.PeerLoads(placement.Sender{Zone: zone.Zone}, unpackLoads(zone.Loads), now)
	}
	if !proven {
		proof = 0
	}
	f.options.Knowledge.Prove(in.Version, proof)
	for _, change := range in.Changes {
		f.options.Learnt(change.target())
	}
}

// takeZone takes the loads of another zone that a reader passes on. It is called with mu held.
func (f *Fleet) takeZone(zone zoneLoads, now time.Time) {
	f.zones[zone.Zone] = &peer{heardAt: now, vms: zone.VMs, loads: unpackLoads(zone.Loads)}
}
