package placement

import (
	"time"
)

// SetPeerLoads replaces the loads that the peer reported.
func (t *Table) SetPeerLoads(peer Sender, loads map[string]Load, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	previous := t.peerLoads[peer]
	t.recordReleases(previous.loads, loads, now)
	t.removePeer(peer)
	t.peerLoads[peer] = peerReport{receivedAt: now, loads: loads, waitingVMs: previous.waitingVMs, demands: previous.demands}
	t.reportsExpireAt = earlier(t.reportsExpireAt, now.Add(peerLoadTTL))
	if peer.VM == "" {
		t.zoneAggregates++
	}
	t.addPeerLoads(loads)
	t.wakeWaiters()
}

// ExpirePeerReports drops the reports that have expired and wakes the requests that wait for capacity. A VM that hears no
// peer any more has no other event to wake them.
func (t *Table) ExpirePeerReports(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
}

// expirePeerReports is ExpirePeerReports with the lock held by the caller. Each decision that counts what peers reported calls
// it, so that reports lapse by time alone. It looks at them only if one may have expired.
func (t *Table) expirePeerReports(now time.Time) {
	if now.Before(t.reportsExpireAt) {
		return
	}
	t.reportsExpireAt = now.Add(peerLoadTTL)
	hasExpired := false
	for sender, report := range t.peerLoads {
		expiresAt := report.receivedAt.Add(peerLoadTTL)
		if !now.After(expiresAt) {
			t.reportsExpireAt = earlier(t.reportsExpireAt, expiresAt)
			continue
		}
		hasExpired = true
		t.removePeer(sender)
		t.addPeerDemand(report.demands, -1, now)
	}
	if hasExpired {
		t.wakeWaiters()
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// SetPeerWaiting records how many of the VMs that the peer's last report covers have requests that wait for capacity.
func (t *Table) SetPeerWaiting(peer Sender, waitingVMs int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if report, found := t.peerLoads[peer]; found {
		report.waitingVMs = waitingVMs
		t.peerLoads[peer] = report
	}
}

// removePeer subtracts the loads that a peer reported. The caller holds the lock, also for addPeerLoads. Reports
// arrive many times a second, so each one updates the sums instead of adding up all peers again.
func (t *Table) removePeer(sender Sender) {
	report, found := t.peerLoads[sender]
	if !found {
		return
	}
	delete(t.peerLoads, sender)
	if sender.VM == "" {
		t.zoneAggregates--
	}
	for id, load := range report.loads {
		if current := t.targets[id]; current != nil {
			current.peerLoad.subtract(load)
		}
	}
}

// addPeerLoads adds the loads that a peer reported.
func (t *Table) addPeerLoads(loads map[string]Load) {
	for id, load := range loads {
		if current := t.targets[id]; current != nil {
			current.peerLoad.add(load)
		}
	}
}

// recomputePeerLoads adds up the loads of all peers again after the targets have changed.
func (t *Table) recomputePeerLoads() {
	for _, current := range t.targets {
		current.peerLoad = Load{}
	}
	for _, report := range t.peerLoads {
		t.addPeerLoads(report.loads)
	}
}

// OwnLoads returns the loads that this VM has placed, for its peers.
func (t *Table) OwnLoads() map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[string]Load)
	for id, current := range t.targets {
		if current.ownLoad != (Load{}) {
			loads[id] = current.ownLoad
		}
	}
	return loads
}

// SplitByZone divides loads of this VM into those on targets of its own zone and, keyed by zone, those on others.
func (t *Table) SplitByZone(loads map[string]Load) (own map[string]Load, others map[string]map[string]Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own, others = make(map[string]Load), make(map[string]map[string]Load)
	for id, load := range loads {
		current := t.targets[id]
		switch {
		case current == nil:
		case current.Zone == t.self.Zone:
			own[id] = load
		case others[current.Zone] == nil:
			others[current.Zone] = map[string]Load{id: load}
		default:
			others[current.Zone][id] = load
		}
	}
	return own, others
}

// ZoneLoads returns the loads that this VM and its peers have placed on the targets of the zone.
func (t *Table) ZoneLoads(zone string, now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeerReports(now)
	loads := make(map[string]Load)
	for id, current := range t.targets {
		if load := current.ownLoad.Plus(current.peerLoad); current.Zone == zone && load != (Load{}) {
			loads[id] = load
		}
	}
	return loads
}
