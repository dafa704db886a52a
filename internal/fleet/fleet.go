// Package fleet exchanges state between entry VMs, so that only a few of them read the platform's store.
//
// Each VM periodically sends a digest as one datagram: the load that it has placed on targets, and how fresh its
// view of the platform is. In each zone the live VM with the highest rank is the reader: it polls the platform for the
// zone. A VM that receives no digest with a fresh proof from a reader reads the platform itself. Lost datagrams are not
// repeated; the next digest replaces them.
//
// In a fleet of up to maxMeshSize VMs the digest goes to all of them. In a larger one it goes to the sender's zone, and a
// VM that has placed load in another zone tells the VMs there (a guest digest): in each zone all know at once what runs
// on the zone's targets. The readers of the zones exchange the totals of their targets and pass them on to their zones.
//
// Digests that follow a placement carry the load alone, since they are sent many times a second. What dates proofs, and
// the totals of other zones, is sent at the status interval; a change of a target is sent at once and repeated a few times.
//
// The age of a peer's proof of freshness is measured with this VM's own clock: a digest echoes the sequence number of
// the last digest that its sender had received from this VM. When this VM sent the echoed digest, the sender's proof
// was no older than the age that the sender states.
package fleet

import (
	"context"
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
	"godwitcart/internal/poison"
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
	// readerInterval and readerIntervalPerPeer are the least time between two regular digests of a reader, and what each
	// peer in its zone adds. Others notice a reader's silence within a few of them.
	readerInterval        = 100 * time.Millisecond
	readerIntervalPerPeer = 3 * time.Millisecond
	// guestInterval is how often a VM repeats what it has placed in another zone. A report counts for three seconds.
	guestInterval = time.Second
	// peerTimeout is the time without a digest after which a peer no longer counts as live.
	peerTimeout = 2 * time.Second
	// zoneTimeout is that time for the totals of another zone, whose reader may have to be replaced first.
	zoneTimeout = 2 * peerTimeout
	// freshProofShare is the maximum age of a reader's proof at which other VMs rely on that reader.
	// readerTimeoutShare is how long they rely on it after a digest with such a proof. Both are shares of
	// Options.InForceWithin. A reader renews its proof within about 0.6 of that bound. The rest of the bound is left
	// for the read of a VM that no longer receives fresh proofs. deputyTimeoutShare is the shorter time of the VM that
	// follows the reader in rank: where it takes over in time, the others need not read.
	freshProofShare    = 0.55
	readerTimeoutShare = 0.2
	deputyTimeoutShare = 0.1
	// statusInterval is the least time between two digests that carry echoes and the totals of other zones.
	statusInterval = 250 * time.Millisecond
	// changeRepeatInterval and changeRepeatTime are how often and how long a change is repeated, since some datagrams
	// are lost.
	changeRepeatInterval = 400 * time.Millisecond
	changeRepeatTime     = 2 * time.Second
	// maxChanges limits the changes in a digest, which must fit into a datagram. The oldest are dropped first, since
	// the other VMs also read them from the platform.
	maxChanges = 256
	// maxMeshSize is the fleet size up to which all entry VMs exchange digests directly. Each VM then receives three
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
	// HasLostPlatform reports whether this VM's last read of the platform has failed.
	HasLostPlatform() bool
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
	// BecameReader is called when this VM takes over from a reader of its zone that has fallen silent; it must not block.
	// It may be nil.
	BecameReader func()
	// Now returns the time that the age of proofs is measured with; nil means boottime.Now.
	Now func() boottime.Instant
	// Limits keeps the request limits of targets; nil means that digests carry none.
	Limits Limits
	// Pauses receives the messages about targets that ask for a pause; nil means that they are ignored.
	Pauses Pauses
	// Origins receives the messages about where streams began; nil means that they are ignored.
	Origins Origins
	// IsCutOff reports whether this VM reaches no target itself; nil means that it is never cut off.
	IsCutOff func() bool
	// Evacuations keeps the zones in evacuation; nil means that digests carry none.
	Evacuations Evacuations
	// Poison receives the messages about requests that crash their targets; nil means that they are ignored.
	Poison Poison
}

// Origins handles messages about where streams began.
type Origins interface {
	HandleMessage(vm string, message origin.Message)
}

// Poison handles messages about requests that crash their targets.
type Poison interface {
	HandleMessage(vm string, message poison.Message)
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
	rank     rank
	heardAt  time.Time
	sequence uint32
	reader   bool
	// platformLost is set if the peer cannot read the platform.
	platformLost bool
	// cutOff is set if the peer reaches no target itself.
	cutOff bool
	// zoneTotal is set if loads are the totals of the peer's zone.
	zoneTotal bool
	// toldAt is when the zone itself last told its totals; zero if only other VMs have relayed them.
	toldAt  time.Time
	vmCount int
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
	zones   map[string]*peer
	changes []recentChange
	// guests holds what this VM has last told other zones that it has placed there, keyed by zone.
	guests map[string]guestReport
	// discoveredAt holds when each member was first seen in the directory.
	discoveredAt map[string]time.Time
	sequence     uint32
	sendTimes    [sendTimesKept]boottime.Instant
	// readerHeardAt is when a reader's digest with a fresh proof was last received.
	readerHeardAt time.Time
	size          Size
	wake          chan struct{}
	direct        chan directMessage
	// coordinatedAt is when the coordination of request limits was last brought up to date.
	coordinatedAt time.Time
	// isDeputyReader is set while this VM reads in place of a silent reader.
	isDeputyReader bool
	// statusSentAt is when a digest with echoes and the totals of other zones was last sent.
	statusSentAt time.Time
	// evacuationsChangedAt is when this VM learned of the last change of the zones in evacuation, and evacuationsSentAt
	// when it last told them.
	evacuationsChangedAt, evacuationsSentAt time.Time
}

// recentChange is a change of a target that this VM announces. sentAt is zero until it has been sent.
type recentChange struct {
	recordedAt, sentAt time.Time
	target             roster.Target
}

// New returns a Fleet without peers.
func New(options Options) *Fleet {
	if options.Now == nil {
		options.Now = boottime.Now
	}
	return &Fleet{
		options: options, peers: make(map[string]*peer), discoveredAt: make(map[string]time.Time), guests: make(map[string]guestReport),
		// A VM that starts reads the platform in any case, and then waits for a reader like one that has just heard it.
		readerHeardAt: time.Now(),
		zones:         make(map[string]*peer), wake: make(chan struct{}, 1), direct: make(chan directMessage, maxQueuedMessages),
	}
}

// SetMembers replaces the entry VMs that are registered in the directory.
func (f *Fleet) SetMembers(members map[string]Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
	now := time.Now()
	for name := range members {
		if _, known := f.discoveredAt[name]; !known {
			f.discoveredAt[name] = now
		}
	}
	maps.DeleteFunc(f.discoveredAt, func(name string, _ time.Time) bool { _, listed := members[name]; return !listed })
}

// AnnounceChange sends a change of a target to the other VMs at once, and repeats it for changeRepeatTime. It takes the place of
// an earlier one of the same target.
func (f *Fleet) AnnounceChange(target roster.Target) {
	f.mu.Lock()
	f.changes = slices.DeleteFunc(f.changes, func(c recentChange) bool { return c.target.ID == target.ID })
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
	context.AfterFunc(ctx, func() { f.options.Conn.Close() })
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
		f.options.Table.ExpirePeerReports(now)
		f.coordinateLimits(now)
		loads := f.options.Table.OwnLoads()
		if !urgent && maps.Equal(loads, lastLoads) && now.Sub(sentAt) < f.idleTime(now) {
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

// interval returns the time between two regular digests while the loads change.
func (f *Fleet) interval() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	regular := max(baseInterval, time.Duration(len(f.peers))*intervalPerPeer)
	if f.actsAsReader(time.Now()) {
		return min(regular, f.readerInterval())
	}
	return regular
}

// idleTime returns the time between two digests while the loads do not change. It is shorter for a reader, whose digests
// the others rely on.
func (f *Fleet) idleTime(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.actsAsReader(now) {
		return f.readerInterval()
	}
	return idleInterval
}

// readerInterval returns the time between two digests of a reader. The caller holds mu.
func (f *Fleet) readerInterval() time.Duration {
	return readerInterval + time.Duration(len(f.peers))*readerIntervalPerPeer
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
	maps.DeleteFunc(f.zones, func(_ string, zone *peer) bool { return now.Sub(zone.heardAt) > zoneTimeout })
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
