package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// minReportInterval is the shortest time between two reports in the history.
const minReportInterval = 5 * time.Millisecond

// reportHistory keeps the load reports that are still needed to return reports with a lag.
type reportHistory struct {
	entries []timedReport
}

type timedReport struct {
	at     time.Time
	report enginewire.LoadReport
}

func (h *reportHistory) add(now time.Time, report enginewire.LoadReport) {
	last := len(h.entries) - 1
	if last >= 1 && now.Sub(h.entries[last-1].at) < minReportInterval {
		h.entries[last] = timedReport{at: now, report: report}
		return
	}
	h.entries = append(h.entries, timedReport{at: now, report: report})
}

// asOf returns the report that was current at the given time and drops the older ones.
func (h *reportHistory) asOf(at time.Time) enginewire.LoadReport {
	for len(h.entries) > 1 && !h.entries[1].at.After(at) {
		h.entries = h.entries[1:]
	}
	report := h.entries[0].report
	report.AsOfUnixMillis = at.UnixMilli()
	return report
}

// currentLoad returns the present load without lag. The caller holds e.mu.
func (e *Engine) currentLoad() enginewire.LoadReport {
	return enginewire.LoadReport{
		Target:       e.options.Name,
		Incarnation:  e.incarnation,
		Running:      len(e.running),
		Waiting:      len(e.waiting),
		MemoryTokens: e.options.MemoryTokens,
		UsedTokens:   e.usedTokens(),
		Preemptions:  e.preemptions,
	}
}

// Load returns the load report delayed by Options.ReportLag. Leaving, the loaded models, the role and the fencing
// number are reported without lag.
func (e *Engine) Load() enginewire.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.loadHistory.asOf(time.Now().Add(-e.options.ReportLag))
	report.Leaving = !e.leavingSince.IsZero()
	report.Loaded = e.orders.listLoaded()
	report.Role = e.orders.role
	if e.options.ChecksFencing {
		report.Fencing = e.orders.highestFencing
	}
	return report
}
