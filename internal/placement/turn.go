package placement

import (
	"cmp"
	"hash/fnv"
)

// TokensAhead returns the memory at the target of the generations of other VMs whose turn to move comes before
// that of this VM. Copies that are made at the same time share the link of the engine that leaves, and all of
// them may be late; so VMs take turns, in an order that each works out alone and that differs by target.
func (t *Table) TokensAhead(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	ahead := 0
	for sender, sent := range t.peers {
		if load, found := sent.loads[id]; found && before(sender, t.self, id) {
			ahead += load.MemoryTokens
		}
	}
	return ahead
}

// before orders senders by zone and then by VM, so that VMs that know another zone only by its sum agree.
func before(a, b Sender, target string) bool {
	if a.Zone != b.Zone {
		return cmp.Compare(rank(a.Zone, target), rank(b.Zone, target)) < 0
	}
	return cmp.Compare(rank(a.VM, target), rank(b.VM, target)) < 0
}

func rank(name, target string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target)) // never fails
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
