package placement

import (
	"time"

	"godwitcart/internal/roster"
)

// Serving returns the targets of a zone that are listed and not known to be leaving, of the services that the filter accepts;
// none while the zone is in evacuation.
func (t *Table) Serving(zone string, wanted func(service string) bool, now time.Time) []roster.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var serving []roster.Target
	for name, s := range t.services {
		if !wanted(name) {
			continue
		}
		for _, member := range s.targets {
			if member.Zone == zone && !member.leaving && !member.evacuation.blocks(now) {
				serving = append(serving, member.Target)
			}
		}
	}
	return serving
}
