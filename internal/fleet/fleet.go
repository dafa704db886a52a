// Package fleet exchanges state between entry VMs, so that only a few of them read the platform's store.
//
// Each VM periodically sends a digest as one datagram: the load that it has placed on targets, and how fresh its
// view of the platform is. In a small fleet the digest goes to all VMs, in a larger one to those of the sender's zone.
// In each zone the live VM with the highest rank is the reader: it polls the platform for the zone and exchanges
// zone totals with the readers of the other zones. A VM that receives no digest with a fresh proof from a reader reads
// the platform itself. Lost datagrams are not repeated; the next digest replaces them.
//
// The age of a peer's proof of freshness is measured with this VM's own clock: a digest echoes the sequence number of
// the last digest that its sender had received from this VM. When this VM sent the echoed digest, the sender's proof
// was no older than the age that the sender states.
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
	"godwitcart/internal/origin"
	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

const (
	// baseInterval is the minimum time between two regular digests. Prefill of a prompt takes several times as long.
	baseInterval = 100 * time.Millisecond
	// urgentInterval is the minimum time between two digests if they are sent ahead of schedule.
	urgentInterval = 10 * time.Millisecond
	// intervalPerPeer is multiplied by the number of peers to get the interval of a large fleet. It bounds the rate at
	// which a VM receives digests.
	intervalPerPeer = 8 * time.Millisecond
	// idleInterval is the time between two digests while the loads do not change.
	idleInterval = 500 * time.Millisecond
	// peerTimeout is the time without a digest after which a peer no longer counts as live.
	peerTimeout = 2 * time.Second
	// freshProofShare is the maximum age of a reader's proof at which other VMs rely on that reader.
	// readerTimeoutShare is how long they rely on it after a digest with such a proof. Both are shares of
	// Options.InForceWithin. A reader renews its proof within about 0.6 of that bound. The rest of the bound is left
	// for the read of a VM that no longer receives fresh proofs.
	freshProofShare    = 0.55
	readerTimeoutShare = 0.2
	// changeRepeatTime is how long a change is repeated in digests, since some datagrams are lost.
	changeRepeatTime = 2 * time.Second
	// maxChanges limits the changes in a digest, which must fit into a datagram. The oldest are dropped first, since
	// the other VMs also read them from the platform.
	maxChanges = 256
	// maxMeshSize is the fleet size up to which all entry VMs exchange digests directly. Each VM then receives two
	// small datagrams for every generation that the fleet places.
	maxMeshSize = 128
	// readerCandidates is the number of VMs that a reader sends to in a zone whose reader is not known.
	readerCandidates = 3
	// sendTimesKept is the number of sent digests whose send times are kept. They date the proofs in the digests that
	// echo them.
	sendTimesKept = 64
	// maxDatagramBytes is the maximum size of an encoded digest.
	maxDatagramBytes = 60 << 10
)

// ConfigurationState is the version of the configuration that this VM has, and the proof that it is the newest.
type ConfigurationState interface {
	// Proof returns the version in force and the instant at which it was proven to be the newest; zeros mean none.
	Proof() (version uint64, at boottime.Instant)
	// RecordProof records the version of a peer's configuration and the instant of the peer's proof, or zero for none.
	RecordProof(version uint64, at boottime.Instant)
}

// Options configures a Fleet.
type Options struct {
	Self          Member
	Table         *placement.Table
	Configuration ConfigurationState
	// Conn is the socket for sending and receiving digests.
	Conn   net.PacketConn
	Logger *log.Logger
	// SizeChanged is called when the size of the fleet has changed, but not before the directory has been read.
	SizeChanged func(size Size)
	// InForceWithin is the maximum time until an accepted configuration is in force on every VM.
	InForceWithin time.Duration
	// TargetChanged is called with each change of a target that a peer has announced.
	TargetChanged func(target roster.Target)
	// Limits keeps the request limits of targets; nil means that digests carry none.
	Limits Limits
	// Origins receives the messages about where streams began; nil means that they are ignored.
	Origins Origins
}

// Origins handles messages about where streams began.
type Origins interface {
	HandleMessage(vm string, message origin.Message)
}

// Size is the number of entry VMs, including this one.
type Size struct {
	// Live counts the VMs whose digests have been received recently.
	Live int
	// Known also counts the VMs of the directory. A shared limit must be divided by this number, since a VM that
	// sends no digests may be partitioned from this one and still serve requests.
	Known int
}

// peer is the last known state of another entry VM, or of another zone.
type peer struct {
	zone     string
	heardAt  time.Time
	sequence uint32
	reader   bool
	// zoneTotal is set if loads are the totals of the peer's zone.
	zoneTotal bool
	vmCount   int
	// waitingVMs is the number of those VMs where requests wait for capacity.
	waitingVMs int
	loads      map[string]placement.Load
	// limitCoordinator is the rank of the VM that the peer takes as coordinator of request limits; zero for none.
	limitCoordinator uint32
}

// Fleet exchanges digests with the other entry VMs. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu sync.Mutex
	// members is nil until the directory has been read.
	members map[string]Member
	peers   map[string]*peer
	// zones holds the loads of other zones, keyed by zone.
	zones     map[string]*peer
	changes   []recentChange
	sequence  uint32
	sendTimes [sendTimesKept]boottime.Instant
	// readerHeardAt is when a reader's digest with a fresh proof was last received.
	readerHeardAt time.Time
	size          Size
	wake          chan struct{}
	direct        chan directMessage
	// coordinatedAt is when the coordination of request limits was last brought up to date.
	coordinatedAt time.Time
}

type recentChange struct {
	recordedAt time.Time
	target     roster.Target
}

// New returns a Fleet without peers.
func New(options Options) *Fleet {
	return &Fleet{
		options: options, peers: make(map[string]*peer),
		zones: make(map[string]*peer), wake: make(chan struct{}, 1), direct: make(chan directMessage, maxQueuedMessages),
	}
}

// SetMembers replaces the entry VMs that are registered in the directory.
func (f *Fleet) SetMembers(members map[string]Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
}

// IsReader reports whether this VM must read the platform at the full rate: because it is the reader of its zone, or
// because no reader's digest with a fresh proof has been received recently.
func (f *Fleet) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return now.Sub(f.readerHeardAt) > f.shareOfBound(readerTimeoutShare) || f.isZoneLeader(now)
}

// shareOfBound returns a share of Options.InForceWithin.
func (f *Fleet) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(f.options.InForceWithin))
}

// IsZoneLeader reports whether this VM has the highest rank among the live VMs of its zone.
func (f *Fleet) IsZoneLeader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isZoneLeader(time.Now())
}

// isZoneLeader is IsZoneLeader with mu held by the caller. The rank of a VM is its nameHash.
func (f *Fleet) isZoneLeader(now time.Time) bool {
	ownHash := nameHash(f.options.Self.Name)
	for name, remote := range f.peers {
		if remote.zone == f.options.Self.Zone && now.Sub(remote.heardAt) <= peerTimeout && nameHash(name) > ownHash {
			return false
		}
	}
	return true
}

func nameHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// AnnounceChange sends a change of a target to the other VMs at once, and repeats it for changeRepeatTime.
func (f *Fleet) AnnounceChange(target roster.Target) {
	f.mu.Lock()
	f.changes = append(f.changes, recentChange{recordedAt: time.Now(), target: target})
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changes = slices.Delete(f.changes, 0, excess)
	}
	f.mu.Unlock()
	f.SendSoon()
}

// SendSoon sends the next digest ahead of schedule, for example after placing a request whose load the other VMs
// should count in their next choice. It does not block.
func (f *Fleet) SendSoon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Run exchanges digests until ctx is done, and then closes Options.Conn.
func (f *Fleet) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { f.options.Conn.Close() })
	defer stop()
	go f.receive(ctx)
	go f.sendDirectMessages(ctx)
	var lastLoads map[string]placement.Load
	var sentAt time.Time
	for {
		urgent, ok := f.waitForNextDigest(ctx)
		if !ok {
			return nil
		}
		now := time.Now()
		f.expire(now)
		f.coordinateLimits(now)
		loads := f.options.Table.OwnLoads()
		if !urgent && maps.Equal(loads, lastLoads) && now.Sub(sentAt) < idleInterval {
			continue
		}
		f.send(loads, now)
		lastLoads, sentAt = loads, now
		if !pause.For(ctx, urgentInterval) {
			return nil
		}
	}
}

// waitForNextDigest waits until the next digest is due. It reports whether that digest is sent ahead of schedule; ok
// is false once ctx is done.
func (f *Fleet) waitForNextDigest(ctx context.Context) (urgent, ok bool) {
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
	return max(baseInterval, time.Duration(len(f.peers))*intervalPerPeer)
}

// expire removes peers and zones that have timed out, and changes that have been repeated for long enough.
func (f *Fleet) expire(now time.Time) {
	f.mu.Lock()
	for name, remote := range f.peers {
		if now.Sub(remote.heardAt) > peerTimeout {
			delete(f.peers, name)
			if !remote.zoneTotal {
				f.options.Logger.Info("peer lost", "peer", name, "zone", remote.zone, "silent_ms", now.Sub(remote.heardAt).Milliseconds())
			}
		}
	}
	maps.DeleteFunc(f.zones, func(_ string, zone *peer) bool { return now.Sub(zone.heardAt) > 2*peerTimeout })
	f.changes = slices.DeleteFunc(f.changes, func(c recentChange) bool { return now.Sub(c.recordedAt) > changeRepeatTime })
	live := 1
	for _, remote := range f.peers {
		if !remote.zoneTotal {
			live++
		}
	}
	for _, zone := range f.zones {
		live += zone.vmCount
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

// zoneSize returns the number of live VMs in this zone. The caller holds mu.
func (f *Fleet) zoneSize(now time.Time) int {
	size := 1
	for _, remote := range f.peers {
		if remote.zone == f.options.Self.Zone && now.Sub(remote.heardAt) <= peerTimeout {
			size++
		}
	}
	return size
}

// waitingPeers returns the number of other live VMs in this zone where requests wait for capacity. The caller holds mu.
func (f *Fleet) waitingPeers(now time.Time) int {
	waiting := 0
	for _, remote := range f.peers {
		if remote.zone == f.options.Self.Zone && now.Sub(remote.heardAt) <= peerTimeout {
			waiting += remote.waitingVMs
		}
	}
	return waiting
}

// send sends a digest to the local recipients. A reader also sends its zone's totals to the readers of other zones.
func (f *Fleet) send(loads map[string]placement.Load, now time.Time) {
	f.mu.Lock()
	f.sequence++
	f.sendTimes[f.sequence%sendTimesKept] = boottime.Now()
	reader := f.isZoneLeader(now)
	local, crossZone := f.recipients(now, reader)
	localDigest := digest{VM: f.options.Self.Name, Zone: f.options.Self.Zone, Sequence: f.sequence, Reader: reader, Echoes: make(map[uint32]uint32, len(f.peers))}
	if reader {
		for name, remote := range f.peers {
			localDigest.Echoes[nameHash(name)] = remote.sequence
		}
	}
	for _, change := range f.changes {
		localDigest.addChange(change.target)
	}
	localDigest.VMCount = 1
	if f.options.Table.HasWaiting() {
		localDigest.WaitingVMs = 1
	}
	localDigest.Loads = packLoads(loads)
	f.addLimits(&localDigest, reader, now)
	crossZoneDigest := localDigest // copied before OtherZones is filled, which is only for local recipients
	if reader {
		for name, zone := range f.zones {
			localDigest.OtherZones = append(localDigest.OtherZones, zoneLoads{Zone: name, VMCount: zone.vmCount, Loads: packLoads(zone.loads)})
		}
		crossZoneDigest.ZoneTotal = true
		crossZoneDigest.VMCount = f.zoneSize(now)
		crossZoneDigest.WaitingVMs += f.waitingPeers(now)
		crossZoneDigest.Loads = packLoads(f.totalZoneLoads(loads))
	}
	f.mu.Unlock()
	version, proof := f.options.Configuration.Proof()
	if proof != 0 {
		age := boottime.Now().Sub(proof).Milliseconds() + 1 // rounded up, so that the proof never appears newer than it is
		localDigest.Version, localDigest.ProofAgeMillis = version, age
		crossZoneDigest.Version, crossZoneDigest.ProofAgeMillis = version, age
	}
	f.sendTo(&localDigest, local)
	f.sendTo(&crossZoneDigest, crossZone)
}

// totalZoneLoads adds up the loads that the VMs of this zone have placed on targets. The caller holds mu.
func (f *Fleet) totalZoneLoads(own map[string]placement.Load) map[string]placement.Load {
	total := maps.Clone(own)
	for _, remote := range f.peers {
		if remote.zone != f.options.Self.Zone {
			continue
		}
		for id, load := range remote.loads {
			total[id] = total[id].Plus(load)
		}
	}
	return total
}

func (f *Fleet) sendTo(out *digest, recipients []Member) {
	if len(recipients) == 0 {
		return
	}
	datagram, err := out.marshal()
	if err != nil || len(datagram) > maxDatagramBytes {
		f.options.Logger.Error("digest not sent", "bytes", len(datagram), "error", err)
		return
	}
	for _, member := range recipients {
		// A failed send is treated like a lost datagram: the next digest replaces it.
		_, _ = f.options.Conn.WriteTo(datagram, net.UDPAddrFromAddrPort(member.Address))
	}
}

func (f *Fleet) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := f.options.Conn.ReadFrom(buffer)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			f.options.Logger.Warn("digest socket cannot be read", "error", err)
			pause.For(ctx, baseInterval)
			continue
		}
		in, err := parseDigest(buffer[:n])
		if err != nil || in.VM == "" || in.VM == f.options.Self.Name {
			f.options.Logger.Warn("digest ignored", "bytes", n, "error", err)
			continue
		}
		if now := time.Now(); !f.handleDirect(in, now) {
			f.handleDigest(in, now)
		}
	}
}

// handleDigest records a peer's digest and passes its contents on.
func (f *Fleet) handleDigest(received *digest, now time.Time) {
	loads := unpackLoads(received.Loads)
	f.mu.Lock()
	f.peers[received.VM] = &peer{zone: received.Zone, heardAt: now, sequence: received.Sequence, reader: received.Reader, zoneTotal: received.ZoneTotal, waitingVMs: received.WaitingVMs, loads: loads, limitCoordinator: received.LimitCoordinator}
	if received.ZoneTotal {
		f.zones[received.Zone] = &peer{heardAt: now, vmCount: received.VMCount, loads: loads}
	}
	for _, zone := range received.OtherZones {
		f.storeZone(zone, now)
	}
	// The sender's proof is dated by the send time of the digest that it echoes; see the package comment.
	echoedSequence, canDateProof := received.Echoes[nameHash(f.options.Self.Name)]
	canDateProof = canDateProof && received.Version > 0 && f.sequence-echoedSequence < sendTimesKept && f.sendTimes[echoedSequence%sendTimesKept] != 0
	proof := f.sendTimes[echoedSequence%sendTimesKept] - boottime.Instant(time.Duration(received.ProofAgeMillis)*time.Millisecond)
	if received.Reader && received.Version > 0 && time.Duration(received.ProofAgeMillis)*time.Millisecond < f.shareOfBound(freshProofShare) {
		f.readerHeardAt = now
	}
	f.mu.Unlock()
	sender := placement.Sender{VM: received.VM, Zone: received.Zone}
	if received.ZoneTotal {
		sender.VM = ""
	}
	f.options.Table.SetPeerLoads(sender, loads, now)
	f.options.Table.SetPeerWaiting(sender, received.WaitingVMs)
	for _, zone := range received.OtherZones {
		f.options.Table.SetPeerLoads(placement.Sender{Zone: zone.Zone}, unpackLoads(zone.Loads), now)
	}
	if !canDateProof {
		proof = 0
	}
	f.options.Configuration.RecordProof(received.Version, proof)
	for _, target := range received.changedTargets() {
		f.options.TargetChanged(target)
	}
	f.hearLimits(received, now)
	f.coordinateLimits(now)
}

// storeZone records the loads of another zone, as relayed by a reader. The caller holds mu.
func (f *Fleet) storeZone(zone zoneLoads, now time.Time) {
	f.zones[zone.Zone] = &peer{heardAt: now, vmCount: zone.VMCount, loads: unpackLoads(zone.Loads)}
}
