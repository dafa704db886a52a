package engine

import (
	"time"

	"godwitcart/internal/wire/enginewire"
)

// reportSpacing is the least time between two reports of the history.
const reportSpacing = 5 * time.Millisecond

// reportHistory keeps the load reports that a lagging reader may still be shown.
type reportHistory struct {
	past []timedReport
}

type timedReport struct {
	at     time.Time
	report enginewire.LoadReport
}

func (h *reportHistory) add(now time.Time, report enginewire.LoadReport) {
	last := len(h.past) - 1
	if last >= 1 && now.Sub(h.past[last-1].at) < reportSpacing {
		h.past[last] = timedReport{at: now, report: report}
		return
	}
	h.past = append(h.past, timedReport{at: now, report: report})
}

// asOf returns the report that was true at the time and forgets older ones.
func (h *reportHistory) asOf(at time.Time) enginewire.LoadReport {
	for len(h.past) > 1 && !h.past[1].at.After(at) {
		h.past = h.past[1:]
	}
	report := h.past[0].report
	report.AsOfUnixMillis = at.UnixMilli()
	return report
}

// report returns the load as it is. The caller holds the lock.
func (e *Engine) report() enginewire.LoadReport {
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

// Load returns the load report as of the report lag ago; leaving, orders and the fencing
// number are told at once.
func (e *Engine) Load() enginewire.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := e.reports.asOf(time.Now().Add(-e.options.ReportLag))
	report.Leaving = !e.leaving.IsZero()
	report.Loaded = e.orders.list()
	report.Role = e.orders.role
	if e.options.ChecksFencing {
		report.Fencing = e.orders.fencing
	}
	return report
}
