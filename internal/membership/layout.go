package membership

import (
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/platformwire"
)

// zoneOrder is the order of one zone's targets, which peers that read the same list share.
type zoneOrder struct {
	targets []string
	// checksum tells two orders apart.
	checksum uint32
}

// layout is what the last list says of zones. It is immutable.
type layout struct {
	zones map[string]zoneOrder
	// targets finds a target by the hash of its name.
	targets map[uint32]string
	// services holds the names of each service's targets, in order.
	services map[string][]string
	// roles holds the names of all VMs of a role, in order.
	roles map[Role][]string
}

func newLayout(vms map[string]platformwire.VM) *layout {
	l := &layout{
		zones:    make(map[string]zoneOrder),
		targets:  make(map[uint32]string),
		services: make(map[string][]string),
		roles:    make(map[Role][]string),
	}
	names := make(map[string][]string)
	for _, vm := range vms {
		l.roles[Role(vm.Role)] = append(l.roles[Role(vm.Role)], vm.Name)
		if Role(vm.Role) == RoleTarget {
			names[vm.Zone] = append(names[vm.Zone], vm.Name)
			l.targets[hashName(vm.Name)] = vm.Name
			l.services[vm.Service] = append(l.services[vm.Service], vm.Name)
		}
	}
	for _, targets := range l.services {
		slices.Sort(targets)
	}
	for _, names := range l.roles {
		slices.Sort(names)
	}
	for zone, targets := range names {
		slices.Sort(targets)
		l.zones[zone] = zoneOrder{targets: targets, checksum: hashName(strings.Join(targets, "\n"))}
	}
	return l
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Zones returns the availability zones that have targets, in order.
func (d *Directory) Zones() []string {
	return slices.Sorted(maps.Keys(d.layout.Load().zones))
}

// maxForeignTargets is the largest number of targets in other zones that are kept confirmed.
const maxForeignTargets = 32

// KeepsFresh reports whether this VM keeps all targets of the zone confirmed: those of its own zone,
// and those of the others where they are few. Otherwise the targets of other zones are known in part
// and confirmed when they are needed.
func (d *Directory) KeepsFresh(zone string) bool {
	l := d.layout.Load()
	return zone == d.options.Zone || len(l.targets)-len(l.zones[d.options.Zone].targets) <= maxForeignTargets
}
