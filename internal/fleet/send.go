package fleet

import (
	"net"
	"time"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// send sends a digest to the local recipients, and in a large fleet a guest digest to each zone in which this VM has
// placed load. A reader also sends its zone's totals to the readers of other zones.
func (f *Fleet) send(loads map[string]placement.Load, now time.Time) {
	f.mu.Lock()
	f.sequence++
	f.sendTimes[f.sequence%sendTimesKept] = f.options.Now()
	reader := f.actsAsReader(now)
	local, crossZone := f.recipients(now, reader)
	out := digest{VM: f.options.Self.Name, Zone: f.options.Self.Zone, Capacity: f.options.Self.Capacity, Sequence: f.sequence, Reader: reader, PlatformLost: f.options.Configuration.HasLostPlatform(), VMCount: 1}
	out.CutOff = f.options.IsCutOff != nil && f.options.IsCutOff()
	if f.options.Table.HasWaiting() {
		out.WaitingVMs = 1
	}
	var guests []guestDigest
	if f.isMesh() {
		out.Loads = packLoads(loads)
	} else {
		own, others := f.options.Table.SplitByZone(loads)
		out.Loads = packLoads(own)
		guests = f.dueGuestDigests(others, now)
	}
	f.addDueChanges(&out, now)
	f.addLimits(&out, reader, now)
	f.addUnreachable(&out, now)
	hasStatus := reader && now.Sub(f.statusSentAt) >= statusInterval
	f.addEvacuations(&out, hasStatus, now)
	zoneTotal := out // copied before the demands and the status are added, which are only for local recipients
	out.Demands = packDemands(f.options.Table.OwnDemand(now))
	if hasStatus {
		f.statusSentAt = now
		f.addStatus(&out, now)
	}
	sendsTotal := len(crossZone) > 0 && hasStatus
	// Each reader announces to its zone what it reads from the list itself. A change that it had heard from another zone
	// before would be no news to it, and its zone would not learn of it.
	zoneTotal.Changes, zoneTotal.Versions, zoneTotal.ColdRevisions, zoneTotal.Unreachable = nil, nil, nil, nil
	if sendsTotal {
		zoneTotal.ZoneTotal = true
		zoneTotal.VMCount = f.zoneSize(now)
		zoneTotal.WaitingVMs += f.waitingPeers(now)
		zoneTotal.Loads = packLoads(f.options.Table.ZoneLoads(f.options.Self.Zone, now))
	}
	f.mu.Unlock()
	version, proof := f.options.Configuration.Proof()
	if proof != 0 {
		age := f.options.Now().Sub(proof).Milliseconds() + 1 // rounded up, so that the proof never appears newer than it is
		out.Version, out.ProofAgeMillis = version, age
		zoneTotal.Version, zoneTotal.ProofAgeMillis = version, age
	}
	f.sendTo(&out, local)
	if sendsTotal {
		f.sendTo(&zoneTotal, crossZone)
	}
	for _, guest := range guests {
		f.sendTo(&guest.digest, guest.recipients)
	}
}

// addDueChanges adds the changes that have not been sent within changeRepeatInterval. The caller holds mu.
func (f *Fleet) addDueChanges(out *digest, now time.Time) {
	for i := range f.changes {
		change := &f.changes[i]
		if now.Sub(change.sentAt) >= changeRepeatInterval {
			change.sentAt = now
			out.addChange(change.current(now))
		}
	}
}

// current returns the changed target with what remains of its time to warm up.
func (c *recentChange) current(now time.Time) roster.Target {
	target := c.target
	target.WarmupRemaining = max(target.WarmupRemaining-now.Sub(c.recordedAt), 0)
	return target
}

// addStatus adds what a reader tells its zone besides the loads. Totals are relayed only while their zone tells them itself:
// several readers would keep those of a lost zone alive among themselves. The caller holds mu.
func (f *Fleet) addStatus(out *digest, now time.Time) {
	out.Echoes = make(map[uint32]uint32, len(f.peers))
	for _, remote := range f.peers {
		out.Echoes[remote.rank.hash] = remote.sequence
	}
	for name, zone := range f.zones {
		if now.Sub(zone.toldAt) > zoneTimeout {
			continue
		}
		out.OtherZones = append(out.OtherZones, zoneLoads{Zone: name, VMCount: zone.vmCount, Loads: packLoads(zone.loads)})
	}
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
