package membership

import "github.com/cespare/xxhash/v2"

// WatchersPerTarget is how many entry VMs probe one target.
const WatchersPerTarget = 2

// hashed is an entry VM with the hash of its name.
type hashed struct {
	name string
	hash uint64
}

// roster holds the entry VMs that serve.
type roster struct {
	zones map[string][]hashed
	all   []hashed
}

// newRoster leaves out entry VMs that are leaving, but never self.
func newRoster(self string, entries []VM) roster {
	r := roster{zones: make(map[string][]hashed)}
	for _, entry := range entries {
		if entry.State >= StateLeaving && entry.Name != self {
			continue
		}
		h := hashed{name: entry.Name, hash: xxhash.Sum64String(entry.Name)}
		r.zones[entry.Zone] = append(r.zones[entry.Zone], h)
		r.all = append(r.all, h)
	}
	return r
}

// candidates returns the entry VMs that may watch targets of the zone: those of the zone, or all
// where the zone has too few.
func (r roster) candidates(zone string) []hashed {
	if len(r.zones[zone]) >= WatchersPerTarget {
		return r.zones[zone]
	}
	return r.all
}

// watchers returns the names of the entry VMs that probe the target, the first choice first, by
// rendezvous hashing.
func (r roster) watchers(target VM) [WatchersPerTarget]string {
	var best [WatchersPerTarget]hashed
	seed := xxhash.Sum64String(target.Name)
	for _, candidate := range r.candidates(target.Zone) {
		weighed := hashed{name: candidate.name, hash: mix(seed ^ candidate.hash)}
		for i := range best {
			if best[i].name == "" || weighed.hash > best[i].hash {
				best[i], weighed = weighed, best[i]
			}
			if weighed.name == "" {
				break
			}
		}
	}
	return [WatchersPerTarget]string{best[0].name, best[1].name}
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// duties returns the targets that self probes, by the rank that self has for each of them.
func duties(self, zone string, targets, entries []VM) map[string]int {
	roster := newRoster(self, entries)
	watched := make(map[string]int)
	for _, target := range targets {
		local := target.Zone == zone || len(roster.zones[target.Zone]) < WatchersPerTarget
		if target.State == StateGone || !local {
			continue
		}
		for rank, name := range roster.watchers(target) {
			if name == self {
				watched[target.Name] = rank
			}
		}
	}
	return watched
}
