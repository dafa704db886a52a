package fleet

import (
	"context"
	"time"

	"godwitcart/internal/boottime"
	"godwitcart/internal/pause"
	"godwitcart/internal/placement"
)

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
	if received.Guest {
		f.options.Table.SetPeerLoads(placement.Sender{VM: received.VM, Zone: received.Zone}, loads, now)
		return
	}
	f.mu.Lock()
	f.peers[received.VM] = &peer{zone: received.Zone, rank: rank{capacity: received.Capacity, hash: nameHash(received.VM)}, heardAt: now, sequence: received.Sequence, reader: received.Reader, platformLost: received.PlatformLost, cutOff: received.CutOff, zoneTotal: received.ZoneTotal, waitingVMs: received.WaitingVMs, loads: loads, limitCoordinator: received.LimitCoordinator}
	if received.ZoneTotal {
		f.zones[received.Zone] = &peer{heardAt: now, toldAt: now, vmCount: received.VMCount, loads: loads}
	}
	for _, zone := range received.OtherZones {
		f.storeZone(zone, now)
	}
	// The sender's proof is dated by the send time of the digest that it echoes; see the package comment.
	echoedSequence, canDateProof := received.Echoes[nameHash(f.options.Self.Name)]
	canDateProof = canDateProof && received.Version > 0 && f.sequence-echoedSequence < sendTimesKept && f.sendTimes[echoedSequence%sendTimesKept] != 0
	proof := f.sendTimes[echoedSequence%sendTimesKept] - boottime.Instant(time.Duration(received.ProofAgeMillis)*time.Millisecond)
	// Totals of another zone do not count: their sender does not tell this zone of changes, nor can its proof be dated.
	if received.Reader && !received.ZoneTotal && received.Version > 0 && time.Duration(received.ProofAgeMillis)*time.Millisecond < f.shareOfBound(freshProofShare) {
		f.readerHeardAt = now
	}
	becameReader := f.takesOver(now)
	f.mu.Unlock()
	if becameReader {
		f.SendSoon() // from then on digests follow at the interval of a reader
		if f.options.BecameReader != nil {
			f.options.BecameReader()
		}
	}
	sender := placement.Sender{VM: received.VM, Zone: received.Zone}
	if received.ZoneTotal {
		sender.VM = ""
	}
	f.options.Table.SetPeerLoads(sender, loads, now)
	f.options.Table.SetPeerWaiting(sender, received.WaitingVMs)
	if !received.ZoneTotal {
		f.options.Table.SetPeerDemand(sender, unpackDemands(received.Demands), now)
	}
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
	f.hearEvacuations(received, now)
	f.hearUnreachable(received, now)
	f.hearLimits(received, now)
	f.coordinateLimits(now)
}

// storeZone records the loads of another zone, as relayed by a reader. The caller holds mu.
func (f *Fleet) storeZone(zone zoneLoads, now time.Time) {
	stored := &peer{heardAt: now, vmCount: zone.VMCount, loads: unpackLoads(zone.Loads)}
	if previous := f.zones[zone.Zone]; previous != nil {
		stored.toldAt = previous.toldAt
	}
	f.zones[zone.Zone] = stored
}
