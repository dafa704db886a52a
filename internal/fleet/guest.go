package fleet

import (
	"maps"
	"time"

	"godwitcart/internal/placement"
)

// guestReport is what this VM has last told another zone about the load that it has placed there.
type guestReport struct {
	sentAt time.Time
	loads  map[string]placement.Load
}

// guestDigest is a digest for the VMs of another zone.
type guestDigest struct {
	digest     digest
	recipients []Member
}

// dueGuestDigests returns a digest for each other zone where the load of this VM has changed or where its last report grows
// old. loads are keyed by zone. Load that has ended is reported once; if that datagram is lost, the report before it
// expires. The caller holds mu.
func (f *Fleet) dueGuestDigests(loads map[string]map[string]placement.Load, now time.Time) []guestDigest {
	for zone := range f.guests {
		if loads[zone] == nil {
			loads[zone] = map[string]placement.Load{}
		}
	}
	var due []guestDigest
	for zone, current := range loads {
		last, reported := f.guests[zone]
		if reported && now.Sub(last.sentAt) < guestInterval && maps.EqualFunc(current, last.loads, placement.Load.SamePlacement) {
			continue
		}
		due = append(due, guestDigest{
			digest:     digest{VM: f.options.Self.Name, Zone: f.options.Self.Zone, Guest: true, Loads: packLoads(current)},
			recipients: f.membersOf(zone),
		})
		if len(current) == 0 {
			delete(f.guests, zone)
		} else {
			f.guests[zone] = guestReport{sentAt: now, loads: current}
		}
	}
	return due
}

// membersOf returns the VMs of a zone. The caller holds mu.
func (f *Fleet) membersOf(zone string) []Member {
	var members []Member
	for _, member := range f.members {
		if member.Zone == zone {
			members = append(members, member)
		}
	}
	return members
}
