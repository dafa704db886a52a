package fleet

import (
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"godwitcart/internal/placement"
	"godwitcart/internal/roster"
)

// digest is the payload of one datagram: the load that the sender has placed on targets, and its view of the platform.
type digest struct {
	VM       string `msgpack:"v"`
	Zone     string `msgpack:"z"`
	Sequence uint32 `msgpack:"s"`
	// Capacity is Member.Capacity of the sender.
	Capacity int `msgpack:"a,omitempty"`
	// Guest is set if the recipient is in another zone and Loads are what the sender has placed on the targets there. Such
	// a digest carries nothing else.
	Guest bool `msgpack:"i,omitempty"`
	// Reader is set if the sender reads the platform on behalf of its zone.
	Reader bool `msgpack:"r,omitempty"`
	// PlatformLost is set if the sender's last read of the platform has failed.
	PlatformLost bool `msgpack:"f,omitempty"`
	// CutOff is set if the sender reaches no target itself, though other VMs do.
	CutOff bool `msgpack:"y,omitempty"`
	// ZoneTotal is set if Loads are all loads on the targets of the sender's zone, whoever has placed them.
	ZoneTotal bool `msgpack:"u,omitempty"`
	// Echoes holds the last sequence number received from each VM, keyed by nameHash of the VM's name.
	Echoes map[uint32]uint32 `msgpack:"e,omitempty"`
	// Version is the configuration in force at the sender, or zero for none. ProofAgeMillis is the age of the
	// proof that this version is the newest.
	Version        uint64 `msgpack:"c,omitempty"`
	ProofAgeMillis int64  `msgpack:"p,omitempty"`
	// VMCount is the number of live entry VMs whose load is included in Loads.
	VMCount int           `msgpack:"n,omitempty"`
	Loads   []targetLoads `msgpack:"l,omitempty"`
	// WaitingVMs is the number of those VMs where requests wait for capacity.
	WaitingVMs int `msgpack:"w,omitempty"`
	// Demands are the sender's own demands for the memory of services.
	Demands []serviceDemand `msgpack:"wq,omitempty"`
	// OtherZones holds the loads on the targets of other zones, as reported by the readers there.
	OtherZones []zoneLoads `msgpack:"o,omitempty"`
	// Changes are the recent changes of targets that the sender has read from the platform.
	Changes []targetChange `msgpack:"t,omitempty"`
	// Versions holds the software versions of the targets in Changes, by target.
	Versions map[string]string `msgpack:"b,omitempty"`
	// ColdRevisions holds the revisions of the entries of the targets in Changes that are cold, by target.
	ColdRevisions map[string]uint64 `msgpack:"co,omitempty"`
	// Revisions holds the revisions of the entries of the targets in Changes, by target, and Gone names those that the platform
	// did not list at that revision. A change without a revision comes from an earlier build.
	Revisions map[string]uint64 `msgpack:"rv,omitempty"`
	Gone      []string          `msgpack:"gn,omitempty"`
	// Limits are the request limits of targets that the sender knows of, and LimitCoordinator is the rank of the VM that
	// it takes as their coordinator.
	Limits           []limitAnnouncement `msgpack:"m,omitempty"`
	LimitCoordinator uint32              `msgpack:"k,omitempty"`
	// Permit, Origin and Pause are messages for one VM, and Poison is one for all or one. A digest with such a message carries
	// nothing else.
	Permit *permitMessage `msgpack:"q,omitempty"`
	Origin *originMessage `msgpack:"g,omitempty"`
	Poison *poisonMessage `msgpack:"x,omitempty"`
	// PoisonAddition belongs to Poison.
	PoisonAddition poisonAddition `msgpack:"j,omitempty"`
	Pause          *pauseMessage  `msgpack:"h,omitempty"`
	// Evacuations are the zones in evacuation as the sender knows them; nil if it knows of none since its start.
	Evacuations *evacuationState `msgpack:"ev,omitempty"`
	// Unreachable names the targets to which the sender itself could not connect a moment ago.
	Unreachable []unreachableWord `msgpack:"sp,omitempty"`
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
	VMCount  int
	Loads    []targetLoads
}

type targetChange struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack     struct{} `msgpack:",as_array"`
	ID           string
	StartedAt    int64
	Service      string
	Address      string
	Zone         string
	Slots        int
	Leaving      bool
	WarmupMillis int64
}

func newTargetChange(target roster.Target) targetChange {
	return targetChange{
		ID: target.ID, StartedAt: target.StartedAt, Service: target.Service, Address: target.Address, Zone: target.Zone,
		Slots: target.Slots, Leaving: target.Leaving, WarmupMillis: target.WarmupRemaining.Milliseconds(),
	}
}

// addChange adds a change of a target.
func (d *digest) addChange(target roster.Target) {
	d.Changes = append(d.Changes, newTargetChange(target))
	if target.Version != "" {
		if d.Versions == nil {
			d.Versions = make(map[string]string)
		}
		d.Versions[target.ID] = target.Version
	}
	if target.Revision > 0 {
		if d.Revisions == nil {
			d.Revisions = make(map[string]uint64)
		}
		d.Revisions[target.ID] = target.Revision
	}
	if target.Gone {
		d.Gone = append(d.Gone, target.ID)
	}
	if target.WarmupRemaining > 0 && target.Revision > 0 {
		if d.ColdRevisions == nil {
			d.ColdRevisions = make(map[string]uint64)
		}
		d.ColdRevisions[target.ID] = target.Revision
	}
}

// changedTargets returns the targets in Changes.
func (d *digest) changedTargets() []roster.Target {
	targets := make([]roster.Target, len(d.Changes))
	for i, change := range d.Changes {
		targets[i] = change.target()
		targets[i].Version = d.Versions[change.ID]
		targets[i].Revision = d.Revisions[change.ID]
		targets[i].Gone = slices.Contains(d.Gone, change.ID) && targets[i].Revision > 0
		if d.Revisions == nil && !change.Leaving {
			targets[i].Revision = d.ColdRevisions[change.ID]
		}
	}
	return targets
}

func (c targetChange) target() roster.Target {
	return roster.Target{
		ID: c.ID, StartedAt: c.StartedAt, Service: c.Service, Address: c.Address, Zone: c.Zone, Slots: c.Slots,
		Leaving: c.Leaving, WarmupRemaining: time.Duration(c.WarmupMillis) * time.Millisecond,
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
	if err := checkWhole(datagram); err != nil {
		return nil, err
	}
	var parsed digest
	err := msgpack.Unmarshal(datagram, &parsed)
	return &parsed, err
}
