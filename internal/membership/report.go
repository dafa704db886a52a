package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/wire/enginewire"
)

// wholeReport returns the report with everything in it.
func wholeReport(c report, now time.Time) *peerpb.Load {
	load := &peerpb.Load{
		Target: c.vm.Name, Incarnation: c.current().incarnation,
		AgeMillis: age(c, now).Milliseconds(), LagMillis: lag(c).Milliseconds(),
		Running: int32(c.load.Running), Waiting: int32(c.load.Waiting),
		MemoryTokens: int64(c.load.MemoryTokens), UsedTokens: int64(c.load.UsedTokens),
		Preemptions: c.load.Preemptions, Role: c.load.Role, Fencing: c.load.Fencing,
	}
	for _, v := range c.load.Loaded {
		load.Loaded = append(load.Loaded, &peerpb.Variant{Model: v.Model, Adapter: v.Adapter, Version: v.Version})
	}
	return load
}

// The resolution of a short report's columns.
const (
	identityBits = 21
	usedParts    = 4096
)

// shortReports builds the columns of reports, which are in the order of their zone's names. The asker
// must share that order for byIndex.
func shortReports(reports []report, byIndex bool, now time.Time) *peerpb.Reports {
	columns := &peerpb.Reports{ByIndex: byIndex}
	previous := 0
	for _, c := range reports {
		key := hashName(c.vm.Name)
		if byIndex {
			key = uint32(c.index - previous)
			previous = c.index
		}
		columns.Target = append(columns.Target, key)
		appendShort(columns, c, now)
	}
	return columns
}

func appendShort(reports *peerpb.Reports, c report, now time.Time) {
	reports.Identity = append(reports.Identity, c.identity())
	reports.Age = append(reports.Age, units(age(c, now)))
	reports.Lag = append(reports.Lag, units(lag(c)))
	reports.Running = append(reports.Running, uint32(c.load.Running))
	reports.Waiting = append(reports.Waiting, uint32(c.load.Waiting))
	reports.Used = append(reports.Used, usedShare(c.load))
	reports.Preemptions = append(reports.Preemptions, c.load.Preemptions)
}

// usedShare returns the used share of the token memory, rounded up.
func usedShare(load enginewire.LoadReport) uint32 {
	if load.MemoryTokens <= 0 {
		return 0
	}
	return uint32((int64(load.UsedTokens)*usedParts + int64(load.MemoryTokens) - 1) / int64(load.MemoryTokens))
}

// age is the time since the target told the report, rounded up to the unit of the wire, so that a
// report never grows younger on its way.
func age(c report, now time.Time) time.Duration {
	return max(now.Sub(c.confirmed), 0).Truncate(ageUnit) + ageUnit
}

// lag is the time by which the load lagged behind when the target told it.
func lag(c report) time.Duration {
	if c.load.AsOfUnixMillis == 0 {
		return 0
	}
	return max(c.loadAt.Sub(time.UnixMilli(c.load.AsOfUnixMillis)), 0)
}

func units(d time.Duration) uint32 { return uint32(d / ageUnit) }

// identity hashes what a short report leaves out.
func (e *entry) identity() uint32 {
	h := xxhash.New()
	for _, text := range []string{e.vm.Name, e.current().incarnation, e.load.Role} {
		writeField(h, text)
	}
	var numbers [16]byte
	binary.LittleEndian.PutUint64(numbers[:8], uint64(e.load.MemoryTokens))
	binary.LittleEndian.PutUint64(numbers[8:], e.load.Fencing)
	h.Write(numbers[:])
	for _, v := range e.load.Loaded {
		writeField(h, v.Model)
		writeField(h, v.Adapter)
		writeField(h, v.Version)
	}
	return uint32(h.Sum64() >> (64 - identityBits))
}

func writeField(h *xxhash.Digest, text string) {
	h.WriteString(text)
	h.Write([]byte{0})
}

func (d *Directory) mergeWhole(load *peerpb.Load, asked time.Time) {
	if load.AgeMillis < 0 || load.AgeMillis > maxAge.Milliseconds() {
		return
	}
	at := asked.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	report := enginewire.LoadReport{
		Target: load.Target, Incarnation: load.Incarnation,
		AsOfUnixMillis: at.UnixMilli() - load.LagMillis,
		Running:        int(load.Running), Waiting: int(load.Waiting),
		MemoryTokens: int(load.MemoryTokens), UsedTokens: int(load.UsedTokens),
		Preemptions: load.Preemptions, Role: load.Role, Fencing: load.Fencing,
	}
	for _, v := range load.Loaded {
		report.Loaded = append(report.Loaded, enginewire.Loaded{Model: v.Model, Adapter: v.Adapter, Version: v.Version})
	}
	d.setResync(load.Target, false)
	d.Observe(Sign{VM: load.Target, Incarnation: load.Incarnation, State: StateLive, Source: SourcePeer, At: at, Load: &report})
}

// mergeShort takes short reports of the zone's targets. Columns of unequal length are ignored.
func (d *Directory) mergeShort(r *peerpb.Reports, order zoneOrder, asked time.Time) {
	for _, length := range []int{len(r.Identity), len(r.Age), len(r.Lag), len(r.Running), len(r.Waiting), len(r.Used), len(r.Preemptions)} {
		if length != len(r.Target) {
			return
		}
	}
	index := 0
	for i, key := range r.Target {
		index += int(key)
		name, found := d.resolveTarget(r.ByIndex, order, index, key)
		if !found {
			continue
		}
		if sign, fits := d.shortSign(name, r, i, asked); fits {
			d.Observe(sign)
		}
	}
}

// resolveTarget returns the target that a report speaks of, by its index in the order or by its hash.
func (d *Directory) resolveTarget(byIndex bool, order zoneOrder, index int, hash uint32) (string, bool) {
	if !byIndex {
		name, found := d.layout.Load().targets[hash]
		return name, found
	}
	if index < 0 || index >= len(order.targets) {
		return "", false
	}
	return order.targets[index], true
}

// shortSign completes a short report by what is known of the target. When that does not fit, the
// whole report is asked for next time.
func (d *Directory) shortSign(name string, r *peerpb.Reports, i int, asked time.Time) (Sign, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil {
		return Sign{}, false
	}
	if len(e.facts) == 0 || e.identity() != r.Identity[i] {
		e.resync = true
		return Sign{}, false
	}
	at := asked.Add(-time.Duration(r.Age[i]) * ageUnit)
	report := e.load
	report.AsOfUnixMillis = at.Add(-time.Duration(r.Lag[i]) * ageUnit).UnixMilli()
	report.Running = int(r.Running[i])
	report.Waiting = int(r.Waiting[i])
	report.UsedTokens = int(int64(report.MemoryTokens) * int64(r.Used[i]) / usedParts)
	report.Preemptions = r.Preemptions[i]
	return Sign{VM: name, Incarnation: e.current().incarnation, State: StateLive, Source: SourcePeer, At: at, Load: &report}, true
}

func (d *Directory) setResync(name string, resync bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[name]; e != nil {
		e.resync = resync
	}
}
