package fleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// digest is one datagram: what its sender has sent to targets, and what it knows of the platform.
type digest struct {
	VM       string `msgpack:"v"`
	Zone     string `msgpack:"z"`
	Sequence uint32 `msgpack:"s"`
	// Reader says that the sender reads the platform for its zone.
	Reader bool `msgpack:"r,omitempty"`
	// Sum says that Loads are those of the sender's zone.
	Sum bool `msgpack:"u,omitempty"`
	// Echoes are the last sequences that the sender has received, by the sum of the VM's name.
	Echoes map[uint32]uint32 `msgpack:"e,omitempty"`
	// Version is the configuration in force at the sender, zero for none, and ProofMillis the age of the
	// proof that it is the newest.
	Version     uint64 `msgpack:"c,omitempty"`
	ProofMillis int64  `msgpack:"p,omitempty"`
	// VMs is the number of live entry VMs that Loads stand for.
	VMs   int           `msgpack:"n,omitempty"`
	Loads []targetLoads `msgpack:"l,omitempty"`
	// Zones are the loads of other zones, from the readers there.
	Zones []zoneLoads `msgpack:"o,omitempty"`
	// Changes are what the sender has lately learnt of targets from the platform.
	Changes []targetChange `msgpack:"t,omitempty"`
}

type targetLoads struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Target   string
	Requests int
	Prefill  int
	Memory   int
}

type zoneLoads struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack struct{} `msgpack:",as_array"`
	Zone     string
	VMs      int
	Loads    []targetLoads
}

type targetChange struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack   struct{} `msgpack:",as_array"`
	ID         string
	StartedAt  int64
	Service    string
	Address    string
	Zone       string
	Slots      int
	Leaving    bool
	SlowMillis int64
}

func newChange(target roster.Target) targetChange {
	return targetChange{
		ID: target.ID, StartedAt: target.StartedAt, Service: target.Service, Address: target.Address, Zone: target.Zone,
		Slots: target.Slots, Leaving: target.Leaving, SlowMillis: target.SlowFor.Milliseconds(),
	}
}

func (c targetChange) target() roster.Target {
	return roster.Target{
		ID: c.ID, StartedAt: c.StartedAt, Service: c.Service, Address: c.Address, Zone: c.Zone, Slots: c.Slots,
		Leaving: c.Leaving, SlowFor: time.Duration(c.SlowMillis) * time.Millisecond,
	}
}

func packLoads(loads map[string]placement.Load) []targetLoads {
	packed := make([]targetLoads, 0, len(loads))
	for id, load := range loads {
		packed = append(packed, targetLoads{Target: id, Requests: load.Requests, Prefill: load.PrefillTokens, Memory: load.MemoryTokens})
	}
	return packed
}

func unpackLoads(packed []targetLoads) map[string]placement.Load {
	loads := make(map[string]placement.Load, len(packed))
	for _, entry := range packed {
		loads[entry.Target] = placement.Load{Requests: entry.Requests, PrefillTokens: entry.Prefill, MemoryTokens: entry.Memory}
	}
	return loads
}

func (d *digest) marshal() ([]byte, error) { return msgpack.Marshal(d) }

func parseDigest(datagram []byte) (*digest, error) {
	var parsed digest
	err := msgpack.Unmarshal(datagram, &parsed)
	return &parsed, err
}
