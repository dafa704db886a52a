package membership

import (
	"cmp"
	"slices"
	"time"

	"godwitcart/internal/peer/peerpb"
)

const (
	// reportAgeUnit is the resolution of ages and lags in reports.
	reportAgeUnit = 50 * time.Millisecond
	// digestAgeUnit is the resolution of the ages in a request, which are packed into four bits each.
	// packedAgeMax also stands for any higher age, and packedAgeUnknown requests the full report of a target.
	digestAgeUnit    = 250 * time.Millisecond
	packedAgeMax     = 14
	packedAgeUnknown = 15
	// minAgeAdvantage is how much newer a report must be than the requester's to be sent.
	minAgeAdvantage = 500 * time.Millisecond
	// maxAgeOnOrderMismatch bounds the age of reports sent to a requester whose target order differs, so that
	// its packed ages cannot be used.
	maxAgeOnOrderMismatch = time.Second
	// factRepeatDuration is how long a fact is repeated in replies after this VM learned it.
	factRepeatDuration = 10 * time.Second
	// maxAcceptedAge bounds the ages accepted from peers.
	maxAcceptedAge = 24 * time.Hour
	// maxFacts, maxFullReports and maxRemoteZoneReports bound the size of one reply.
	maxFacts             = 64
	maxFullReports       = 64
	maxRemoteZoneReports = 32
)

// DigestRequest returns a request for newer reports of the targets of a zone. It carries the age of this VM's last
// confirmation of each target, in the zone's order, as four-bit numbers packed two to a byte.
func (d *Directory) DigestRequest(zone string, now time.Time) *peerpb.Digest {
	order := d.index.Load().zones[zone]
	ages := make([]byte, packedLength(len(order.targets)))
	for i, name := range order.targets {
		ages[i/2] |= d.knownAge(name, now) << (i % 2 * 4)
	}
	return &peerpb.Digest{WantedZone: zone, OrderChecksum: order.checksum, Ages: ages}
}

// packedLength returns the number of bytes that hold count four-bit ages.
func packedLength(count int) int { return (count + 1) / 2 }

// unpackAge returns the i-th packed age.
func unpackAge(ages []byte, i int) byte { return ages[i/2] >> (i % 2 * 4) & 0xf }

// knownAge returns the age of the target's last confirmation in units of digestAgeUnit, at most packedAgeMax, which
// also stands for no valid confirmation. It returns packedAgeUnknown if this VM needs the target's full report.
func (d *Directory) knownAge(name string, now time.Time) byte {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || e.needsFullReport || len(e.facts) == 0 {
		return packedAgeUnknown
	}
	confirmed := e.confirmedAt()
	if confirmed.IsZero() {
		return packedAgeMax
	}
	return byte(min(max(now.Sub(confirmed)/digestAgeUnit, 0), packedAgeMax))
}

// DigestReply returns recent facts and the reports of the wanted zone's targets that are newer than the
// requester's. For a zone other than the requester's own, a large result is cut down to the least loaded
// targets of each service. Up to maxFullReports reports that the requester needs in full are sent so, the others in
// the compact form.
func (d *Directory) DigestReply(request *peerpb.Digest, now time.Time) *peerpb.Digest {
	reply := &peerpb.Digest{Facts: d.RecentFacts(now)}
	order := d.index.Load().zones[request.WantedZone]
	requesterAges := request.Ages
	if order.checksum != request.OrderChecksum || len(requesterAges) != packedLength(len(order.targets)) {
		requesterAges = nil
	}
	newer := d.newerReports(order, requesterAges, now)
	if request.Zone != request.WantedZone && len(newer) > maxRemoteZoneReports {
		newer = leastLoaded(newer, maxRemoteZoneReports)
	}
	compact := newer[:0]
	for _, report := range newer {
		if report.needsFull && len(reply.Loads) < maxFullReports {
			reply.Loads = append(reply.Loads, fullReport(report, now))
			continue
		}
		compact = append(compact, report)
	}
	if len(compact) > 0 {
		reply.Reports = compactReports(compact, requesterAges != nil, now)
	}
	return reply
}

// outgoingReport is a copy of a target's entry, to be sent to a peer.
type outgoingReport struct {
	entry
	// index is the target's position in its zone's order.
	index     int
	confirmed time.Time
	// needsFull means that the requester asks for the full report.
	needsFull bool
}

// newerReports returns copies of the entries of the targets in the order whose confirmations are newer than the
// requester's by at least minAgeAdvantage. Without the requester's ages it returns those confirmed within
// maxAgeOnOrderMismatch.
func (d *Directory) newerReports(order zoneOrder, requesterAges []byte, now time.Time) []outgoingReport {
	var newer []outgoingReport
	for i, name := range order.targets {
		requesterAge := time.Duration(0)
		if requesterAges != nil {
			requesterAge = time.Duration(unpackAge(requesterAges, i)) * digestAgeUnit
		}
		if report, found := d.confirmedCopy(name); found && isWorthSending(now.Sub(report.confirmed), requesterAge, requesterAges != nil) {
			report.index = i
			report.needsFull = requesterAges != nil && unpackAge(requesterAges, i) == packedAgeUnknown
			newer = append(newer, report)
		}
	}
	return newer
}

func isWorthSending(ownAge, requesterAge time.Duration, hasRequesterAges bool) bool {
	if !hasRequesterAges {
		return ownAge < maxAgeOnOrderMismatch
	}
	return ownAge+minAgeAdvantage <= requesterAge
}

func (d *Directory) confirmedCopy(name string) (outgoingReport, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || e.confirmedAt().IsZero() {
		return outgoingReport{}, false
	}
	report := outgoingReport{entry: *e, confirmed: e.confirmedAt()}
	report.facts = slices.Clone(e.facts[:1])
	return report, true
}

// leastLoaded returns limit of the reports, sorted by index: the least loaded target of each service, then the second
// of each, and so on. There must be at least limit reports.
func leastLoaded(reports []outgoingReport, limit int) []outgoingReport {
	slices.SortFunc(reports, func(a, b outgoingReport) int {
		return cmp.Or(cmp.Compare(a.load.Waiting, b.load.Waiting), cmp.Compare(a.load.UsedTokens, b.load.UsedTokens))
	})
	nextRank := make(map[string]int)
	ranks := make(map[string]int, len(reports))
	for _, r := range reports {
		ranks[r.vm.Name] = nextRank[r.vm.Service]
		nextRank[r.vm.Service]++
	}
	slices.SortStableFunc(reports, func(a, b outgoingReport) int { return cmp.Compare(ranks[a.vm.Name], ranks[b.vm.Name]) })
	reports = reports[:limit]
	slices.SortFunc(reports, func(a, b outgoingReport) int { return cmp.Compare(a.index, b.index) })
	return reports
}

// RecentFacts returns the facts about leaving and gone VMs that this VM learned within factRepeatDuration, newest first
// and at most maxFacts.
func (d *Directory) RecentFacts(now time.Time) []*peerpb.Fact {
	return d.factsWhere(now, func(e *entry) bool { return now.Sub(e.changedAt) <= factRepeatDuration })
}

// DirectFacts returns the facts about leaving and gone VMs that this VM received after the given time from these VMs
// themselves, not through peers, newest first and at most maxFacts.
func (d *Directory) DirectFacts(after, now time.Time) []*peerpb.Fact {
	return d.factsWhere(now, func(e *entry) bool { return e.reportedDirectly && e.changedAt.After(after) })
}

// factsWhere returns the current facts with state leaving or gone of the VMs that include selects, newest first and at
// most maxFacts.
func (d *Directory) factsWhere(now time.Time, include func(*entry) bool) []*peerpb.Fact {
	var reports []outgoingReport
	d.forEachEntry(func(e *entry) {
		if e.current().state >= StateLeaving && include(e) {
			reports = append(reports, outgoingReport{entry: entry{vm: e.vm, changedAt: e.changedAt, facts: slices.Clone(e.facts[:1])}})
		}
	})
	slices.SortFunc(reports, func(a, b outgoingReport) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	facts := make([]*peerpb.Fact, 0, min(len(reports), maxFacts))
	for _, r := range reports[:min(len(reports), maxFacts)] {
		facts = append(facts, factMessage(r.vm.Name, r.current(), now))
	}
	return facts
}

func factMessage(name string, f fact, now time.Time) *peerpb.Fact {
	return &peerpb.Fact{
		Name: name, Incarnation: f.incarnation, State: int32(f.state),
		AgeMillis: max(now.Sub(f.aliveAt).Milliseconds(), 0),
	}
}

// MergeReply merges a peer's reply to a request sent at requestedAt. Ages are counted from requestedAt, so a
// report is never recorded as newer than it is, however long the reply took. Compact reports by index are ignored if
// the order of the zone's targets has changed since the request.
func (d *Directory) MergeReply(request, reply *peerpb.Digest, requestedAt time.Time) {
	d.MergeFacts(reply.Facts, requestedAt)
	for _, load := range reply.Loads {
		d.mergeFull(load, requestedAt)
	}
	order := d.index.Load().zones[request.WantedZone]
	if reply.Reports != nil && (!reply.Reports.ByIndex || order.checksum == request.OrderChecksum) {
		d.mergeCompact(reply.Reports, order, requestedAt)
	}
}

// MergeFacts merges facts from a peer's reply to a request sent at requestedAt, or from an unsolicited message
// if requestedAt is zero. It ignores all states but leaving and gone: a delayed message must not confirm a VM.
func (d *Directory) MergeFacts(facts []*peerpb.Fact, requestedAt time.Time) {
	now := time.Now()
	changed := false
	for _, f := range facts {
		state := State(f.State)
		if state != StateLeaving && state != StateGone {
			continue
		}
		received := fact{incarnation: f.Incarnation, state: state, firstSeen: now, aliveAt: factAliveAt(f, requestedAt)}
		changed = d.mergeFact(f.Name, received, now) || changed
	}
	if changed {
		d.notify()
	}
}

// factAliveAt returns when the incarnation was last known to be alive, or zero if that is unknown: an
// unsolicited message may have been delayed for an unknown time, so its age cannot be used.
func factAliveAt(f *peerpb.Fact, requestedAt time.Time) time.Time {
	if requestedAt.IsZero() || f.AgeMillis < 0 || f.AgeMillis > maxAcceptedAge.Milliseconds() {
		return time.Time{}
	}
	return requestedAt.Add(-time.Duration(f.AgeMillis) * time.Millisecond)
}

func (d *Directory) mergeFact(name string, received fact, now time.Time) bool {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil {
		return false
	}
	before := e.state()
	e.merge(received)
	return e.recordStateChange(before, now)
}
