package entry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/fleet"
	"godwitcart/internal/origin"
	"godwitcart/internal/poison"
	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
	"godwitcart/platform"
)

// startFleet starts the exchange of load digests with the other entry VMs. It does nothing if the settings name no port
// for them.
func (e *Entry) startFleet(ctx context.Context, group *errgroup.Group) error {
	s := e.settings.Load()
	if s.Peers.Port == 0 {
		e.limits.SetCoordination(targetlimit.Elect(s.VM.Name, nil, 1), time.Now())
		e.cold.SetVMs(s.VM.Name, []string{s.VM.Name})
		return nil
	}
	ownAddress, err := netip.ParseAddr(s.VM.Address)
	if err != nil {
		return errors.Wrap(err, "parse the setting vm.address")
	}
	address := netip.AddrPortFrom(ownAddress, uint16(s.Peers.Port))
	conn, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp4", address.String())
	if err != nil {
		return errors.Wrap(err, "listen for load digests")
	}
	self := fleet.Member{Name: s.VM.Name, Zone: s.VM.Zone, Address: address, Capacity: s.Limits.MemoryMB}
	e.fleet = fleet.New(fleet.Options{
		Self: self, Table: e.table, Configuration: e.poller, Conn: conn, Logger: e.logger, SizeChanged: e.updateRetrySlack, TargetChanged: e.follower.QueuePeerChange,
		InForceWithin: s.Bounds.ConfigurationDelay(), BecameReader: e.poller.Wake, Limits: e.limits, Origins: e.origins, Poison: e.poison, Pauses: e, IsCutOff: e.client.IsCutOff, Evacuations: e.sharedEvacuations(),
	})
	if err := e.startTunnels(ctx, group, address.String()); err != nil {
		return err
	}
	directory := &fleet.Directory{Store: e.store.WithStaleReads(platform.LongWatchWait), Self: self, Logger: e.logger, Changed: e.setMembers}
	group.Go(func() error { return directory.Run(ctx) })
	group.Go(func() error { return e.fleet.Run(ctx) })
	return nil
}

// readsPlatform reports whether this VM reads updates from the platform itself instead of learning them from its peers.
func (e *Entry) readsPlatform() bool { return e.fleet == nil || e.fleet.IsReader() }

// isZoneLeader reports whether this VM is the one from which the other VMs of its zone learn that the platform is
// available again.
func (e *Entry) isZoneLeader() bool { return e.fleet == nil || e.fleet.IsZoneLeader() }

// tellRegained informs the other VMs without delay that the configuration can be read again, if they learn it from this one.
func (e *Entry) tellRegained() {
	if e.fleet != nil && e.fleet.IsZoneLeader() {
		e.fleet.SendSoon()
	}
}

// asksTargets reports whether this VM asks the targets of its zone on behalf of the zone.
func (e *Entry) asksTargets() bool { return e.fleet == nil || e.fleet.AsksTargets() }

// sendDigestNow informs the other VMs without delay of what this VM has placed.
func (e *Entry) sendDigestNow() {
	if e.fleet != nil {
		e.fleet.SendSoon()
	}
}

// shareTarget informs the other VMs of an update of a target that this VM has read from the platform.
func (e *Entry) shareTarget(target roster.Target) {
	if e.fleet != nil {
		e.fleet.AnnounceChange(target)
	}
}

// transmitPermit sends a message about a permit at a limited target to another entry VM.
func (e *Entry) transmitPermit(vm string, message targetlimit.Message) {
	if e.fleet != nil {
		e.fleet.SendPermit(vm, message)
	}
}

// transmitOrigin sends a message about where a stream began to another entry VM.
func (e *Entry) transmitOrigin(vm string, message origin.Message) {
	if e.fleet != nil {
		e.fleet.SendOrigin(vm, message)
	}
}

// transmitPoison sends a message about requests that crash their targets to another entry VM or, without a name, to all.
func (e *Entry) transmitPoison(vm string, message poison.Message) {
	if e.fleet != nil {
		e.fleet.SendPoison(vm, message)
	}
}

// broadcastPoison is transmitPoison to all other entry VMs.
func (e *Entry) broadcastPoison(message poison.Message) { e.transmitPoison("", message) }

func (e *Entry) entryVMNames() []string {
	var names []string
	for _, vm := range e.entryVMs() {
		names = append(names, vm.Name)
	}
	return names
}

// entryVMs returns the entry VMs of the directory, or nil before it has been read. Without digests this VM is alone.
func (e *Entry) entryVMs() []origin.VM {
	if e.fleet == nil {
		s := e.settings.Load()
		return []origin.VM{{Name: s.VM.Name, Zone: s.VM.Zone}}
	}
	var vms []origin.VM
	for _, member := range e.fleet.VMs() {
		vms = append(vms, origin.VM{Name: member.Name, Zone: member.Zone})
	}
	return vms
}

// retryWaiting makes the requests that wait for a permit at a limited target try again after the given time.
func (e *Entry) retryWaiting(after time.Duration) { time.AfterFunc(after, e.table.PermitAvailable) }

// capacityOf estimates how many requests a second a target takes.
func (e *Entry) capacityOf(target targetlimit.Incarnation) float64 {
	return e.table.Capacity(target.ID)
}

// updateRetrySlack divides the retry slack among all known entry VMs.
func (e *Entry) updateRetrySlack(size fleet.Size) {
	slack := e.settings.Load().Bounds.RetrySlack * usableBudgetShare / float64(size.Known)
	e.budget.SetSlack(slack)
	e.logger.Info("number of entry VMs changed", "live", size.Live, "known", size.Known, "retry_slack", slack)
}
