package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// evacuationBound is the time after which the targets of a zone in evacuation get nothing more; it stands in the VMs'
	// settings.
	evacuationBound = 2 * time.Second
	// evacuationTime is how long a zone stays in evacuation at least, so that most of it is checked.
	evacuationTime = evacuationBound + 3*time.Second
)

// evacuation is the time in which a zone was in evacuation. The end is zero while it is.
type evacuation struct {
	zone     string
	from, to time.Time
}

// evacuateZone asks for the evacuation of a zone and takes it back. One zone at a time is in evacuation, so that the others
// can serve.
func (h *harness) evacuateZone(index int, duration time.Duration) {
	h.evacuationMu.Lock()
	defer h.evacuationMu.Unlock()
	zone := zones[index%len(zones)]
	defer h.recordFault("zone_evacuated", zone)()
	h.Store.Put("evacuations", zone, struct{}{})
	evacuated := evacuation{zone: zone, from: time.Now()}
	time.Sleep(evacuationTime + duration)
	evacuated.to = time.Now()
	h.Store.Delete("evacuations", zone)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = append(h.evacuations, evacuated)
}

// checkEvacuations checks what reached the targets of zones in evacuation. Requests of VMs that were disturbed or ran the
// build in production, and those that went through such a VM, do not count; nor does an outage of the store.
func (h *harness) checkEvacuations() {
	calls := h.callsByID()
	for _, target := range h.Targets() {
		for _, arrival := range target.Arrivals() {
			index := slices.IndexFunc(h.evacuations, func(e evacuation) bool {
				return e.zone == h.Zone(target.ID) && arrival.At.After(e.from.Add(evacuationBound+h.options.Slack)) && arrival.At.Before(e.to)
			})
			c := calls[arrival.ID]
			if index < 0 || c == nil {
				continue
			}
			since := h.evacuations[index].from
			if !h.knowsEvacuation(c.vm, since, arrival.At) || !h.knowsEvacuation(h.vmAt(arrival.From), since, arrival.At) {
				continue
			}
			h.addViolation(Violation{Guarantee: "evacuated_zone_used", Request: c.id, Kind: c.kind, VM: c.vm, At: arrival.At,
				Detail: fmt.Sprintf("%s in %s, %d ms after the evacuation began", target.ID, h.Zone(target.ID), arrival.At.Sub(since).Milliseconds())})
		}
	}
}

// knowsEvacuation reports whether the VM has to know of an evacuation that began at the given time.
func (h *harness) knowsEvacuation(vm string, since, at time.Time) bool {
	return !h.runsProduction(vm, at) && !h.disturbed(vm, since, at) && !h.disturbed(vm+"/"+storeSubject, since, at) && !h.disturbed(storeSubject, since, at)
}
