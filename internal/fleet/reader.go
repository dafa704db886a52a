package fleet

import (
	"cmp"
	"hash/fnv"
	"time"
)

// rank orders the VMs of a zone: the live one with the highest rank reads the platform for the others. A reader sends to
// all VMs of its zone, so those with more resources come first.
type rank struct {
	capacity int
	hash     uint32
}

func (m Member) rank() rank { return rank{capacity: m.Capacity, hash: nameHash(m.Name)} }

func (r rank) compare(other rank) int {
	return cmp.Or(cmp.Compare(r.capacity, other.capacity), cmp.Compare(r.hash, other.hash))
}

func nameHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	return hash.Sum32()
}

// IsReader reports whether this VM must read the platform at the full rate: because it is the reader of its zone, or
// because no reader's digest with a fresh proof has been received recently.
func (f *Fleet) IsReader() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	return now.Sub(f.readerHeardAt) > f.shareOfBound(readerTimeoutShare) || f.actsAsReader(now)
}

// IsZoneLeader reports whether this VM has the highest rank among the live VMs of its zone that can read the platform. It is
// false before the directory has been read, and while this VM cannot read the platform but another one reads for the zone.
func (f *Fleet) IsZoneLeader() bool {
	lost := f.options.Configuration.HasLostPlatform()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	hearsReader := now.Sub(f.readerHeardAt) <= f.shareOfBound(readerTimeoutShare)
	return f.members != nil && f.isZoneLeader(now) && !(lost && hearsReader)
}

// actsAsReader reports whether this VM reads the platform for its zone: it is the zone's leader, or the deputy of one from
// which no fresh proof comes. The caller holds mu.
func (f *Fleet) actsAsReader(now time.Time) bool {
	switch f.countSeniors(now) {
	case 0:
		return true
	case 1:
		return now.Sub(f.readerHeardAt) > f.shareOfBound(deputyTimeoutShare)
	default:
		return false
	}
}

// takesOver reports whether this VM begins to read in place of a silent reader. The caller holds mu.
func (f *Fleet) takesOver(now time.Time) bool {
	wasReader := f.isDeputyReader
	f.isDeputyReader = now.Sub(f.readerHeardAt) > f.shareOfBound(deputyTimeoutShare) && f.actsAsReader(now)
	return f.isDeputyReader && !wasReader
}

// isZoneLeader is IsZoneLeader with mu held by the caller.
func (f *Fleet) isZoneLeader(now time.Time) bool { return f.countSeniors(now) == 0 }

// countSeniors returns the number of VMs of this zone with a higher rank that are live, or that were discovered too
// recently to have been heard: VMs that start together must not all take themselves for the leader. For a VM that can read
// the platform, those that cannot do not count. The caller holds mu.
func (f *Fleet) countSeniors(now time.Time) int {
	own := f.options.Self.rank()
	countsLost := f.options.Configuration.HasLostPlatform()
	seniors := 0
	for _, remote := range f.peers {
		if remote.zone == f.options.Self.Zone && now.Sub(remote.heardAt) <= peerTimeout && (countsLost || !remote.platformLost) && remote.rank.compare(own) > 0 {
			seniors++
		}
	}
	for name, discoveredAt := range f.discoveredAt {
		member := f.members[name]
		if f.peers[name] == nil && member.Zone == f.options.Self.Zone && now.Sub(discoveredAt) <= peerTimeout && member.rank().compare(own) > 0 {
			seniors++
		}
	}
	return seniors
}

// shareOfBound returns a share of Options.InForceWithin.
func (f *Fleet) shareOfBound(share float64) time.Duration {
	return time.Duration(share * float64(f.options.InForceWithin))
}

// AsksTargets reports whether this VM asks the targets of its zone on behalf of the zone while it cannot read the platform:
// it has the highest rank of the zone's live VMs, and no reader of the zone can read the platform.
func (f *Fleet) AsksTargets() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	own := f.options.Self.rank()
	for _, remote := range f.peers {
		if remote.zone != f.options.Self.Zone || remote.zoneTotal || now.Sub(remote.heardAt) > peerTimeout {
			continue
		}
		if remote.rank.compare(own) > 0 || remote.reader && !remote.platformLost {
			return false
		}
	}
	return f.members != nil
}
