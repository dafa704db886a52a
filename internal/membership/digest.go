package membership

import (
	"cmp"
	"slices"
	"time"

	"godwitcart/internal/peer/peerpb"
)

const (
	// ageUnit is the resolution of ages and lags in reports.
	ageUnit = 50 * time.Millisecond
	// askUnit is the resolution of the ages in an ask, which have four bits each. ageMax stands for any
	// higher one too, and ageUnknown asks for the whole report of a target.
	askUnit    = 250 * time.Millisecond
	ageMax     = 14
	ageUnknown = 15
	// worthTelling is how much younger a report must be than what the asker has.
	worthTelling = 500 * time.Millisecond
	// newsOnly bounds the age of what is told to an asker whose list of targets differs.
	newsOnly = time.Second
	// recentFacts is how long a fact is repeated in answers after it became known.
	recentFacts = 10 * time.Second
	// maxAge bounds the ages that are believed.
	maxAge = 24 * time.Hour
	// maxFacts, maxWholeReports and maxForeignReports bound one answer.
	maxFacts          = 64
	maxWholeReports   = 64
	maxForeignReports = 32
)

// Ask returns a digest that asks a peer for news of the targets of a zone.
func (d *Directory) Ask(zone string, now time.Time) *peerpb.Digest {
	order := d.layout.Load().zones[zone]
	ages := make([]byte, packedLength(len(order.targets)))
	for i, name := range order.targets {
		ages[i/2] |= d.knownAge(name, now) << (i % 2 * 4)
	}
	return &peerpb.Digest{WantedZone: zone, OrderChecksum: order.checksum, Ages: ages}
}

// packedLength returns the bytes that count ages of four bits take.
func packedLength(count int) int { return (count + 1) / 2 }

// unpackAge returns the i-th of packed ages.
func unpackAge(ages []byte, i int) byte { return ages[i/2] >> (i % 2 * 4) & 0xf }

func (d *Directory) knownAge(name string, now time.Time) byte {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || e.resync || len(e.facts) == 0 {
		return ageUnknown
	}
	confirmed := e.confirmedAt()
	if confirmed.IsZero() {
		return ageMax
	}
	return byte(min(max(now.Sub(confirmed)/askUnit, 0), ageMax))
}

// Answer returns what this VM knows better than the asker: recent facts, and reports of the targets
// of the wanted zone. Of a zone other than the asker's own, large ones are told in part: the least
// loaded targets of each service.
func (d *Directory) Answer(ask *peerpb.Digest, now time.Time) *peerpb.Digest {
	answer := &peerpb.Digest{Facts: d.RecentFacts(now)}
	order := d.layout.Load().zones[ask.WantedZone]
	known := ask.Ages
	if order.checksum != ask.OrderChecksum || len(known) != packedLength(len(order.targets)) {
		known = nil
	}
	newer := d.newerReports(order, known, now)
	if ask.Zone != ask.WantedZone && len(newer) > maxForeignReports {
		newer = leastLoaded(newer, maxForeignReports)
	}
	short := newer[:0]
	for _, c := range newer {
		if c.whole && len(answer.Loads) < maxWholeReports {
			answer.Loads = append(answer.Loads, wholeReport(c, now))
			continue
		}
		short = append(short, c)
	}
	if len(short) > 0 {
		answer.Reports = shortReports(short, known != nil, now)
	}
	return answer
}

// report is a copy of what is known of one target, to be sent to a peer.
type report struct {
	entry
	// index is the target's position in the order of its zone.
	index     int
	confirmed time.Time
	whole     bool
}

// newerReports returns copies of the entries that the asker knows less well. Without the asker's
// ages it returns what was confirmed a moment ago.
func (d *Directory) newerReports(order zoneOrder, known []byte, now time.Time) []report {
	var newer []report
	for i, name := range order.targets {
		theirs := time.Duration(0)
		if known != nil {
			theirs = time.Duration(unpackAge(known, i)) * askUnit
		}
		if c, found := d.confirmedCopy(name); found && isWorthTelling(now.Sub(c.confirmed), theirs, known != nil) {
			c.index = i
			c.whole = known != nil && unpackAge(known, i) == ageUnknown
			newer = append(newer, c)
		}
	}
	return newer
}

func isWorthTelling(ours, theirs time.Duration, known bool) bool {
	if !known {
		return ours < newsOnly
	}
	return ours+worthTelling <= theirs
}

func (d *Directory) confirmedCopy(name string) (report, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil || e.confirmedAt().IsZero() {
		return report{}, false
	}
	copied := report{entry: *e, confirmed: e.confirmedAt()}
	copied.facts = slices.Clone(e.facts[:1])
	return copied, true
}

// leastLoaded returns at most limit reports, taking the services in turn.
func leastLoaded(reports []report, limit int) []report {
	slices.SortFunc(reports, func(a, b report) int {
		return cmp.Or(cmp.Compare(a.load.Waiting, b.load.Waiting), cmp.Compare(a.load.UsedTokens, b.load.UsedTokens))
	})
	rank := make(map[string]int)
	ranks := make(map[string]int, len(reports))
	for _, r := range reports {
		ranks[r.vm.Name] = rank[r.vm.Service]
		rank[r.vm.Service]++
	}
	slices.SortStableFunc(reports, func(a, b report) int { return cmp.Compare(ranks[a.vm.Name], ranks[b.vm.Name]) })
	reports = reports[:limit]
	slices.SortFunc(reports, func(a, b report) int { return cmp.Compare(a.index, b.index) })
	return reports
}

// RecentFacts returns the facts that this VM learnt a short time ago, the newest first.
func (d *Directory) RecentFacts(now time.Time) []*peerpb.Fact {
	return d.factsWhere(now, func(e *entry) bool { return now.Sub(e.changedAt) <= recentFacts })
}

// FirstHandFacts returns the facts that VMs themselves have told this VM after the given time.
func (d *Directory) FirstHandFacts(after, now time.Time) []*peerpb.Fact {
	return d.factsWhere(now, func(e *entry) bool { return e.firstHand && e.changedAt.After(after) })
}

func (d *Directory) factsWhere(now time.Time, wanted func(*entry) bool) []*peerpb.Fact {
	var recent []report
	d.each(func(e *entry) {
		if e.current().state >= StateLeaving && wanted(e) {
			recent = append(recent, report{entry: entry{vm: e.vm, changedAt: e.changedAt, facts: slices.Clone(e.facts[:1])}})
		}
	})
	slices.SortFunc(recent, func(a, b report) int {
		return cmp.Or(b.changedAt.Compare(a.changedAt), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	facts := make([]*peerpb.Fact, 0, min(len(recent), maxFacts))
	for _, r := range recent[:min(len(recent), maxFacts)] {
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

// MergeAnswer takes a peer's answer to the question ask, which was asked at the given time. Ages count
// from then, so what is learnt is never taken as younger than it is, however long the answer was
// under way.
func (d *Directory) MergeAnswer(ask, answer *peerpb.Digest, asked time.Time) {
	d.MergeFacts(answer.Facts, asked)
	for _, load := range answer.Loads {
		d.mergeWhole(load, asked)
	}
	order := d.layout.Load().zones[ask.WantedZone]
	if answer.Reports != nil && (!answer.Reports.ByIndex || order.checksum == ask.OrderChecksum) {
		d.mergeShort(answer.Reports, order, asked)
	}
}

// MergeFacts takes facts that a peer told in an answer to a question asked at the given time, or by
// itself, when asked is zero. Only leaving and gone count: a late message must not confirm anything.
func (d *Directory) MergeFacts(facts []*peerpb.Fact, asked time.Time) {
	now := time.Now()
	changed := false
	for _, f := range facts {
		state := State(f.State)
		if state != StateLeaving && state != StateGone {
			continue
		}
		received := fact{incarnation: f.Incarnation, state: state, firstSeen: now, aliveAt: spokeAt(f, asked)}
		changed = d.mergeFact(f.Name, received, now) || changed
	}
	if changed {
		d.notify()
	}
}

// spokeAt returns when the incarnation spoke. A message that nobody asked for may have been under way
// for long, so its age tells nothing.
func spokeAt(f *peerpb.Fact, asked time.Time) time.Time {
	if asked.IsZero() || f.AgeMillis < 0 || f.AgeMillis > maxAge.Milliseconds() {
		return time.Time{}
	}
	return asked.Add(-time.Duration(f.AgeMillis) * time.Millisecond)
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
	return e.noteChange(before, now)
}
