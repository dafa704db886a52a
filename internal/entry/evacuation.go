package entry

import (
	"time"

	"godwitcart/internal/evacuation"
	"godwitcart/internal/fleet"
	"godwitcart/platform"
)

// followEvacuations prepares the reading of the zones in evacuation.
func (e *Entry) followEvacuations() {
	e.evacuations = evacuation.NewRegistry(evacuation.Options{Logger: e.logger, Changed: e.evacuationsChanged})
	e.evacuationFollower = evacuation.NewFollower(evacuation.FollowerOptions{
		Registry: e.evacuations, Store: e.store, Relaxed: e.store.WithStaleReads(platform.LongWatchWait), Prefix: platform.EvacuationsPrefix,
		ZoneOf: platform.EvacuatedZone, Logger: e.logger, IsReader: e.readsPlatform, IsZoneLeader: e.isZoneLeader,
		Announce: e.announceEvacuations,
	})
}

// sharedEvacuations returns what the digests carry; nil if the settings set no bound for evacuations.
func (e *Entry) sharedEvacuations() fleet.Evacuations {
	if e.evacuations == nil {
		return nil
	}
	return e.evacuations
}

// announceEvacuations tells the other VMs of zones in evacuation that this VM has read.
func (e *Entry) announceEvacuations() {
	if e.fleet != nil {
		e.fleet.AnnounceEvacuations()
	}
}

// evacuationsChanged puts the zones in evacuation in force, and moves running streams off the targets there as if these
// were leaving. Targets of a zone that is taken back may be cold.
func (e *Entry) evacuationsChanged(zones []string) {
	now := time.Now()
	change := e.table.SetEvacuations(zones, now)
	for _, zone := range change.TakenBack {
		e.cold.BeginZone(zone, now)
	}
	for _, target := range change.Emptied {
		e.client.CloseIdle(target.Address)
		e.forwarder.Evacuate(target)
	}
	if change.ReturnsIn > 0 {
		e.retryWaiting(change.ReturnsIn)
	}
}
