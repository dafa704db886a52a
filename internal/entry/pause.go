package entry

import (
	"net/netip"
	"time"

	"godwitcart/internal/fleet"
	"godwitcart/internal/roster"
)

// A target that asks for a pause means the address that a request came from. A VM that carries connections of others has
// the same address for the target as these, so that each of them must hear of what any of them is told.

// maxSharedPause bounds the pause that another VM may tell of.
const maxSharedPause = time.Minute

// sharePause tells the VMs that have the same address for a target, which has asked this VM for a pause. carrier is the VM
// through which it was asked; if it is not valid, this VM was asked itself.
func (e *Entry) sharePause(target roster.Target, retryAfter time.Duration, carrier netip.Addr) {
	if e.fleet == nil {
		return
	}
	pause := fleet.Pause{Target: target.ID, StartedAt: target.StartedAt, Address: target.Address, Remaining: retryAfter}
	if carrier.IsValid() {
		pause.ForCarrier = true
		e.fleet.SendPause(carrier, pause)
		return
	}
	e.tellTunnelUsers(pause, netip.Addr{})
}

// HandlePause implements fleet.Pauses.
func (e *Entry) HandlePause(from netip.Addr, pause fleet.Pause) {
	pause.Remaining = min(pause.Remaining, maxSharedPause)
	if pause.Remaining <= 0 {
		return
	}
	if !e.table.IsPaused(pause.Address, time.Now()) {
		e.logger.Info("target asks for a pause", "target", pause.Target, "retry_after_ms", pause.Remaining.Milliseconds(), "told_by", from)
	}
	e.table.Pause(pause.Of(), pause.Remaining, time.Now())
	if pause.ForCarrier {
		pause.ForCarrier = false
		e.tellTunnelUsers(pause, from)
	}
}

// tellTunnelUsers tells the VMs of which this one carries a connection to the target, but the one that knows.
func (e *Entry) tellTunnelUsers(pause fleet.Pause, knows netip.Addr) {
	if e.tunnels == nil {
		return
	}
	for _, user := range e.tunnels.Users(pause.Address) {
		if user != knows {
			e.fleet.SendPause(user, pause)
		}
	}
}
