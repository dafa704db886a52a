package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/platformwire"
)

// zoneOrder is the sorted list of one zone's targets. Peers that have read the same list share it, so digests
// refer to targets by position.
type zoneOrder struct {
	targets []string
	// checksum detects peers with a different order.
	checksum uint32
}

// listIndex indexes the names in the current list by zone, service and role. It is immutable.
type listIndex struct {
	zones map[string]zoneOrder
	// targets maps the hash of a target's name to the name.
	targets map[uint32]string
	// services holds the names of each service's targets, sorted.
	services map[string][]string
	// roles holds the names of all VMs of a role, sorted.
	roles map[Role][]string
}

func newListIndex(vms map[string]platformwire.VM) *listIndex {
	index := &listIndex{
		zones:    make(map[string]zoneOrder),
		targets:  make(map[uint32]string),
		services: make(map[string][]string),
		roles:    make(map[Role][]string),
	}
	names := make(map[string][]string)
	for _, vm := range vms {
		index.roles[Role(vm.Role)] = append(index.roles[Role(vm.Role)], vm.Name)
		if Role(vm.Role) == RoleTarget {
			names[vm.Zone] = append(names[vm.Zone], vm.Name)
			index.targets[hashName(vm.Name)] = vm.Name
			index.services[vm.Service] = append(index.services[vm.Service], vm.Name)
		}
	}
	for _, targets := range index.services {
		slices.Sort(targets)
	}
	for _, names := range index.roles {
		slices.Sort(names)
	}
	for zone, targets := range names {
		slices.Sort(targets)
		index.zones[zone] = zoneOrder{targets: targets, checksum: hashName(strings.Join(targets, "\n"))}
	}
	return index
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Zones returns the availability zones that have targets, sorted.
func (d *Directory) Zones() []string {
	return slices.Sorted(maps.Keys(d.index.Load().zones))
}

// maxTrackedRemoteTargets is the largest number of targets in other zones at which all of them are kept confirmed.
const maxTrackedRemoteTargets = 32

// TracksAllTargets reports whether this VM keeps all targets of the zone confirmed. It does so for its own zone, and
// for the other zones if they have at most maxTrackedRemoteTargets targets together. Otherwise only some targets of
// other zones are known, and they get work only while they are confirmed.
func (d *Directory) TracksAllTargets(zone string) bool {
	index := d.index.Load()
	return zone == d.options.Zone || len(index.targets)-len(index.zones[d.options.Zone].targets) <= maxTrackedRemoteTargets
}
