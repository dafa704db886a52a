package membership

import "github.com/cespare/xxhash/v2"

// WatchersPerTarget is how many entry VMs probe one target.
const WatchersPerTarget = 2

// hashedName is the name of an entry VM with a hash.
type hashedName struct {
	name string
	hash uint64
}

// watcherCandidates holds the entry VMs that may watch targets, by zone and in total.
type watcherCandidates struct {
	zones    map[string][]hashedName
	allZones []hashedName
}

// newWatcherCandidates omits entry VMs that are leaving or gone, except self.
func newWatcherCandidates(self string, entryVMs []VM) watcherCandidates {
	c := watcherCandidates{zones: make(map[string][]hashedName)}
	for _, vm := range entryVMs {
		if vm.State >= StateLeaving && vm.Name != self {
			continue
		}
		h := hashedName{name: vm.Name, hash: xxhash.Sum64String(vm.Name)}
		c.zones[vm.Zone] = append(c.zones[vm.Zone], h)
		c.allZones = append(c.allZones, h)
	}
	return c
}

// forZone returns the entry VMs that may watch targets of the zone: those of the zone, or all if the zone has fewer
// than WatchersPerTarget.
func (c watcherCandidates) forZone(zone string) []hashedName {
	if len(c.zones[zone]) >= WatchersPerTarget {
		return c.zones[zone]
	}
	return c.allZones
}

// watchers returns the names of the entry VMs that probe the target, chosen by rendezvous hashing, in order of rank.
// Names are empty if there are fewer than WatchersPerTarget candidates.
func (c watcherCandidates) watchers(target VM) [WatchersPerTarget]string {
	var best [WatchersPerTarget]hashedName
	seed := xxhash.Sum64String(target.Name)
	for _, candidate := range c.forZone(target.Zone) {
		contender := hashedName{name: candidate.name, hash: mix(seed ^ candidate.hash)}
		// Insert the contender into best, which is sorted by descending hash; the last one drops out.
		for i := range best {
			if best[i].name == "" || contender.hash > best[i].hash {
				best[i], contender = contender, best[i]
			}
			if contender.name == "" {
				break
			}
		}
	}
	return [WatchersPerTarget]string{best[0].name, best[1].name}
}

// mix is the finalizer of SplitMix64; it spreads the bits of a hash.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// rankWatchedTargets maps the names of the targets that self probes to the rank of self among their watchers. It omits
// targets that are gone, and those of other zones that have enough entry VMs to watch their own.
func rankWatchedTargets(self, zone string, targets, entryVMs []VM) map[string]int {
	candidates := newWatcherCandidates(self, entryVMs)
	ranks := make(map[string]int)
	for _, target := range targets {
		local := target.Zone == zone || len(candidates.zones[target.Zone]) < WatchersPerTarget
		if target.State == StateGone || !local {
			continue
		}
		for rank, name := range candidates.watchers(target) {
			if name == self {
				ranks[target.Name] = rank
			}
		}
	}
	return ranks
}
