package targetlimit

import "hash/fnv"

// Rank orders the VMs of a fleet: the live VM with the highest rank is the coordinator. A VM names its coordinator in
// its digests by the rank.
func Rank(vm string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("targetlimit/" + vm)) // never fails
	return hash.Sum32()
}

// Peer is a live entry VM that may be the coordinator.
type Peer struct {
	Name string
	// Coordinator is the rank of the VM that the peer takes as coordinator; zero for none.
	Coordinator uint32
}

// Coordination is which VM gives out the permits at limited targets.
type Coordination struct {
	// Coordinator is the name of that VM, and empty before the directory has been read.
	Coordinator string
	// Share is the part of each limit that this VM gives out, from 0 to 1; zero if it is not the coordinator.
	Share float64
	// Known is the number of entry VMs in the directory, this one included.
	Known int
}

// Elect returns the coordination as this VM sees it. Each of the known VMs stands for an equal part of a limit, and a
// coordinator gives out the parts of those that take it as such. Known is zero before the directory has been read.
func Elect(self string, peers []Peer, known int) Coordination {
	if known == 0 {
		return Coordination{}
	}
	coordinator, votes := self, 1
	for _, peer := range peers {
		if Rank(peer.Name) > Rank(coordinator) {
			coordinator = peer.Name
		}
		if peer.Coordinator == Rank(self) {
			votes++
		}
	}
	if coordinator != self {
		return Coordination{Coordinator: coordinator, Known: known}
	}
	return Coordination{Coordinator: self, Share: min(float64(votes)/float64(known), 1), Known: known}
}
