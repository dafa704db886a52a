package fleet

import (
	"slices"
	"time"
)

// recipients returns the VMs to send digests to: local ones receive this VM's own loads, crossZone ones the totals of
// its zone. In a fleet of up to maxMeshSize VMs all of them are local. The caller holds mu.
func (f *Fleet) recipients(now time.Time, reader bool) (local, crossZone []Member) {
	otherZones := make(map[string][]Member)
	for _, member := range f.members {
		if member.Zone == f.options.Self.Zone || f.isMesh() {
			local = append(local, member)
		} else if reader {
			otherZones[member.Zone] = append(otherZones[member.Zone], member)
		}
	}
	for _, members := range otherZones {
		crossZone = append(crossZone, f.readersAmong(members, now)...)
	}
	return local, crossZone
}

// isMesh reports whether all entry VMs exchange digests directly. The caller holds mu.
func (f *Fleet) isMesh() bool { return len(f.members) < maxMeshSize }

// readersAmong returns the live readers among the VMs of a zone or, while none is known, the readerCandidates VMs with
// the highest ranks. The caller holds mu.
func (f *Fleet) readersAmong(members []Member, now time.Time) []Member {
	var readers []Member
	for _, member := range members {
		if remote := f.peers[member.Name]; remote != nil && remote.reader && now.Sub(remote.heardAt) <= peerTimeout {
			readers = append(readers, member)
		}
	}
	if len(readers) > 0 {
		return readers
	}
	slices.SortFunc(members, func(a, b Member) int { return b.rank().compare(a.rank()) })
	return members[:min(readerCandidates, len(members))]
}
