package placement

import (
	"cmp"
	"hash/fnv"
	"time"
)

// TokensAhead returns the memory at the target of the generations of other VMs that move before those of this VM.
// Concurrent copies share the link of the leaving engine and could all arrive too late, so the VMs copy in order.
// Each VM computes the order on its own; it differs by target.
func (t *Table) TokensAhead(id string, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	tokens := 0
	for sender, report := range t.peerLoads {
		if load, found := report.loads[id]; found && precedes(sender, t.self, id) {
			tokens += load.MemoryTokens
		}
	}
	return tokens
}

// precedes orders senders by zone and then by VM, so that VMs that know another zone only as a total agree on the
// order.
func precedes(a, b Sender, target string) bool {
	if a.Zone != b.Zone {
		return cmp.Compare(orderingHash(a.Zone, target), orderingHash(b.Zone, target)) < 0
	}
	return cmp.Compare(orderingHash(a.VM, target), orderingHash(b.VM, target)) < 0
}

func orderingHash(name, target string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(target)) // never fails
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}
