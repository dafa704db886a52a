package membership

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/wire/enginewire"
)

// fullReport returns the message with all fields of the report.
func fullReport(report outgoingReport, now time.Time) *peerpb.Load {
	load := &peerpb.Load{
		Target: report.vm.Name, Incarnation: report.current().incarnation,
		AgeMillis: reportAge(report, now).Milliseconds(), LagMillis: loadLag(report).Milliseconds(),
		Running: int32(report.load.Running), Waiting: int32(report.load.Waiting),
		MemoryTokens: int64(report.load.MemoryTokens), UsedTokens: int64(report.load.UsedTokens),
		Preemptions: report.load.Preemptions, Role: report.load.Role, Fencing: report.load.Fencing,
	}
	for _, v := range report.load.Loaded {
		load.Loaded = append(load.Loaded, &peerpb.Variant{Model: v.Model, Adapter: v.Adapter, Version: v.Version})
	}
	return load
}

// The resolution of the columns of compact reports.
const (
	// identityBits is the number of hash bits in an identity; usedShareUnits is the used share that means full.
	identityBits   = 21
	usedShareUnits = 4096
)

// compactReports builds the columns of reports, which must be in their zone's order. With byIndex, targets are encoded
// as differences of positions, which requires that the requester has the same order; otherwise as hashes of their
// names.
func compactReports(reports []outgoingReport, byIndex bool, now time.Time) *peerpb.Reports {
	columns := &peerpb.Reports{ByIndex: byIndex}
	previous := 0
	for _, report := range reports {
		key := hashName(report.vm.Name)
		if byIndex {
			key = uint32(report.index - previous)
			previous = report.index
		}
		columns.Target = append(columns.Target, key)
		appendCompact(columns, report, now)
	}
	return columns
}

func appendCompact(columns *peerpb.Reports, report outgoingReport, now time.Time) {
	columns.Identity = append(columns.Identity, report.identity())
	columns.Age = append(columns.Age, ageUnits(reportAge(report, now)))
	columns.Lag = append(columns.Lag, ageUnits(loadLag(report)))
	columns.Running = append(columns.Running, uint32(report.load.Running))
	columns.Waiting = append(columns.Waiting, uint32(report.load.Waiting))
	columns.Used = append(columns.Used, usedShare(report.load))
	columns.Preemptions = append(columns.Preemptions, report.load.Preemptions)
}

// usedShare returns the used share of the token memory in units of 1/usedShareUnits, rounded up.
func usedShare(load enginewire.LoadReport) uint32 {
	if load.MemoryTokens <= 0 {
		return 0
	}
	return uint32((int64(load.UsedTokens)*usedShareUnits + int64(load.MemoryTokens) - 1) / int64(load.MemoryTokens))
}

// reportAge returns the time since the target sent the report. It is rounded up to the wire unit, so that a report
// never appears newer at the receiver.
func reportAge(report outgoingReport, now time.Time) time.Duration {
	return max(now.Sub(report.confirmed), 0).Truncate(reportAgeUnit) + reportAgeUnit
}

// loadLag returns how old the load figures already were when the target sent the report.
func loadLag(report outgoingReport) time.Duration {
	if report.load.AsOfUnixMillis == 0 {
		return 0
	}
	return max(report.loadAt.Sub(time.UnixMilli(report.load.AsOfUnixMillis)), 0)
}

func ageUnits(d time.Duration) uint32 { return uint32(d / reportAgeUnit) }

// identity returns a hash of the fields that a compact report omits.
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

// mergeFull merges a full report. It ignores one whose age is negative or above maxAcceptedAge.
func (d *Directory) mergeFull(load *peerpb.Load, requestedAt time.Time) {
	if load.AgeMillis < 0 || load.AgeMillis > maxAcceptedAge.Milliseconds() {
		return
	}
	at := requestedAt.Add(-time.Duration(load.AgeMillis) * time.Millisecond)
	report := enginewire.LoadReport{
		Target: load.Target, Incarnation: load.Incarnation,
		AsOfUnixMillis: at.UnixMilli() - load.LagMillis,
		Running:        int(load.Running), Waiting: int(load.Waiting),
		MemoryTokens: int(load.MemoryTokens), UsedTokens: int(load.UsedTokens),
		Preemptions: load.Preemptions, Role: load.Role, Fencing: load.Fencing,
	}
	for _, v := range load.Loaded {
		report.Loaded = append(report.Loaded, enginewire.ModelVariant{Model: v.Model, Adapter: v.Adapter, Version: v.Version})
	}
	d.setNeedsFullReport(load.Target, false)
	d.Observe(Observation{VM: load.Target, Incarnation: load.Incarnation, State: StateLive, Source: SourcePeer, At: at, Load: &report})
}

// mergeCompact merges compact reports of the zone's targets. It ignores a message whose columns differ in length.
func (d *Directory) mergeCompact(columns *peerpb.Reports, order zoneOrder, requestedAt time.Time) {
	for _, length := range []int{len(columns.Identity), len(columns.Age), len(columns.Lag), len(columns.Running), len(columns.Waiting), len(columns.Used), len(columns.Preemptions)} {
		if length != len(columns.Target) {
			return
		}
	}
	index := 0 // the position in the order, if the keys are differences of positions
	for i, key := range columns.Target {
		index += int(key)
		name, found := d.resolveTarget(columns.ByIndex, order, index, key)
		if !found {
			continue
		}
		if observation, complete := d.compactObservation(name, columns, i, requestedAt); complete {
			d.Observe(observation)
		}
	}
}

// resolveTarget returns the name of a report's target, by its index in the order or by the hash of its name.
func (d *Directory) resolveTarget(byIndex bool, order zoneOrder, index int, hash uint32) (string, bool) {
	if !byIndex {
		name, found := d.index.Load().targets[hash]
		return name, found
	}
	if index < 0 || index >= len(order.targets) {
		return "", false
	}
	return order.targets[index], true
}

// compactObservation completes a compact report with the known fields of the target. If the identity does not match
// them, it returns false, and the next request asks for the full report.
func (d *Directory) compactObservation(name string, columns *peerpb.Reports, i int, requestedAt time.Time) (Observation, bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[name]
	if e == nil {
		return Observation{}, false
	}
	if len(e.facts) == 0 || e.identity() != columns.Identity[i] {
		e.needsFullReport = true
		return Observation{}, false
	}
	at := requestedAt.Add(-time.Duration(columns.Age[i]) * reportAgeUnit)
	report := e.load
	report.AsOfUnixMillis = at.Add(-time.Duration(columns.Lag[i]) * reportAgeUnit).UnixMilli()
	report.Running = int(columns.Running[i])
	report.Waiting = int(columns.Waiting[i])
	report.UsedTokens = int(int64(report.MemoryTokens) * int64(columns.Used[i]) / usedShareUnits)
	report.Preemptions = columns.Preemptions[i]
	return Observation{VM: name, Incarnation: e.current().incarnation, State: StateLive, Source: SourcePeer, At: at, Load: &report}, true
}

func (d *Directory) setNeedsFullReport(name string, needed bool) {
	s := d.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.entries[name]; e != nil {
		e.needsFullReport = needed
	}
}
