package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

// Violation is one violated guarantee.
type Violation struct {
	Guarantee string    `json:"promise"`
	Request   string    `json:"request,omitempty"`
	Kind      string    `json:"kind,omitempty"`
	VM        string    `json:"vm,omitempty"`
	At        time.Time `json:"at"`
	Detail    string    `json:"detail,omitempty"`
}

const (
	// maxExamplesPerGuarantee bounds the violations of each guarantee that a report shows in full.
	maxExamplesPerGuarantee = 3
	// graceMargin is how long before the end of its grace time a VM may cut off requests. It exceeds the reserve that
	// the VM keeps there.
	graceMargin = 800 * time.Millisecond
	// faultEffectWindow is the time after a fault in which a failed request is still attributed to it: connections may
	// stay unresponsive, and backups and KV cache moves may fail.
	faultEffectWindow = 6 * time.Second
)

func (h *harness) addViolation(v Violation) {
	if v.At.IsZero() {
		v.At = time.Now()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, v)
}

// hasFault reports whether a fault of one of the kinds, or of any kind if none is given, affected the subject between
// from and to or within faultEffectWindow before from.
func (h *harness) hasFault(subject string, from, to time.Time, kinds ...string) bool {
	return h.hasFaultWithin(faultEffectWindow, subject, from, to, kinds...)
}

// hasFaultWithin is hasFault with another window before from.
func (h *harness) hasFaultWithin(window time.Duration, subject string, from, to time.Time, kinds ...string) bool {
	for _, f := range h.faults {
		if f.subject != subject || f.from.After(to) || !f.to.IsZero() && f.to.Add(window).Before(from) {
			continue
		}
		if len(kinds) == 0 {
			return true
		}
		for _, kind := range kinds {
			if f.kind == kind {
				return true
			}
		}
	}
	return false
}

// callsByID returns the recorded calls by their ids. The caller holds mu, or the run has ended.
func (h *harness) callsByID() map[string]*call {
	calls := make(map[string]*call, len(h.calls))
	for _, c := range h.calls {
		calls[c.id] = c
	}
	return calls
}

// checkCalls checks every call by the response that its caller received and the runs that the targets recorded.
func (h *harness) checkCalls() {
	for _, c := range h.calls {
		runs := h.Cluster.Runs(c.id)
		for _, guarantee := range h.violatedGuarantees(c, runs) {
			detail := fmt.Sprintf("status %d, %d of %d events, error %v, key %s, %d ms:", c.status, c.events, c.expectedEvents, c.err, c.apiKey.text, c.endedAt.Sub(c.sentAt).Milliseconds())
			for _, run := range runs {
				detail += fmt.Sprintf(" %s after %d continued %t;", run.Target, run.After, run.Continued)
			}
			h.addViolation(Violation{Guarantee: guarantee, Request: c.id, Kind: c.kind, VM: c.vm, At: c.sentAt, Detail: detail})
		}
	}
}

// violatedGuarantees returns the names of the guarantees that the call violated.
func (h *harness) violatedGuarantees(c *call, runs []platformtest.Run) []string {
	var violated []string
	add := func(guarantee string, isViolated bool) {
		if isViolated {
			violated = append(violated, guarantee)
		}
	}
	starts := 0
	for _, run := range runs {
		if !run.Continued {
			starts++
		}
	}
	vmFaulted := h.hasFault(c.vm, c.sentAt, c.endedAt, "vm_kill", "vm_freeze")
	served := c.fromTarget && c.status < http.StatusMultipleChoices
	add("ran_twice", c.nonIdempotent && starts > 1)
	add("not_run_but_ran", (!c.fromTarget || c.nonIdempotent) && notRunStatuses[c.status] && len(runs) > 0)
	add("crossed_answer", c.mismatched)
	endsBind := !h.precedesEndRules(c, runs)
	add("events_out_of_order", c.orderError != "" && endsBind)
	add("stream_ends_early", endsBind && c.streaming && served && c.complete && !c.disconnected && c.lastEvent() < c.expectedEvents)
	add("foreign_bytes", c.foreign != "" && endsBind)
	add("looks_complete", !c.streaming && served && c.complete && !isBodyOfRun(c.body, runs))
	add("too_many_events", c.lastEvent() > c.expectedEvents)
	add("mixed_versions", len(c.versions) > 1)
	add("unanswered", !vmFaulted && c.endedAt.Sub(c.sentAt) > c.deadline+h.options.Slack)
	add("bad_answer", c.status != 0 && !c.fromTarget && !gatewayStatuses[c.status])
	add("revoked_key_served", served && c.apiKey.revoked && c.sentAt.Sub(c.apiKey.revokedAt) > revocationBound+h.options.Slack)
	add("valid_key_denied", (c.status == http.StatusUnauthorized || c.status == http.StatusNotFound) && h.wasKeyValid(c))
	now := time.Now()
	add("runs_overlap", c.streaming && h.overlaps(c, runs, now))
	add("caller_gone_but_runs", c.streaming && h.worksForNobody(c, runs, now))
	add("answer_lost", !vmFaulted && h.isAnswerLost(c, runs))
	return violated
}

// notRunStatuses promise that the request has not run and will not.
var notRunStatuses = map[int]bool{
	http.StatusServiceUnavailable: true, http.StatusTooManyRequests: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// isBodyOfRun reports whether the body is the whole one of an answer to a plain request that one of the runs gave.
func isBodyOfRun(body string, runs []platformtest.Run) bool {
	return slices.ContainsFunc(runs, func(run platformtest.Run) bool { return body == platformtest.PlainText(http.MethodPost, run.Target) })
}

// gatewayStatuses are the statuses of responses that godwitcart itself produces.
var gatewayStatuses = map[int]bool{
	http.StatusUnauthorized: true, http.StatusNotFound: true, http.StatusServiceUnavailable: true, http.StatusBadGateway: true, http.StatusGatewayTimeout: true,
}

// wasKeyValid reports whether the call's API key was valid throughout the call and for long enough before it that
// every VM that may check keys must know it.
func (h *harness) wasKeyValid(c *call) bool {
	current := h.keys.current(c.apiKey.text)
	return c.sentAt.Sub(current.addedAt) > configurationBound+h.options.Slack && (!current.revoked || current.revokedAt.After(c.endedAt))
}

// isAnswerLost reports whether the connection failed before or during the response although none of the targets that
// ran the call was affected by a fault. A SIGTERM stop of the VM excuses this only at the end of the grace time.
func (h *harness) isAnswerLost(c *call, runs []platformtest.Run) bool {
	if c.err == nil || c.disconnected || c.timedOut || len(runs) == 0 || h.isGraceExpired(c.vm, c.endedAt) || c.isSoundButBroken(runs) {
		return false
	}
	// Streams that run while their VM is cut off from all targets are lost with their connections, unless these live on.
	if h.hasFault(c.vm+pathSubject, c.sentAt, c.endedAt, "vm_cut_from_targets_"+rig.Reset, "vm_cut_from_targets_"+rig.Hanging) {
		return false
	}
	for _, run := range runs {
		if h.hasFault(run.Target, c.sentAt, c.endedAt) {
			return false
		}
	}
	return !h.hasCarrierEnded(c) && !h.wasContinuedWrongly(c)
}

// hasCarrierEnded reports whether the call reached a target through another VM that was killed or frozen meanwhile.
func (h *harness) hasCarrierEnded(c *call) bool {
	return slices.ContainsFunc(h.vms, func(v *vm) bool {
		return v.Name != c.vm && h.hasFault(v.Name, c.sentAt, c.endedAt, "vm_kill", "vm_freeze") && h.isCarriedBy(c, v)
	})
}

// isCarriedBy reports whether the call reached a target from the address of the VM.
func (h *harness) isCarriedBy(c *call, v *vm) bool {
	return slices.ContainsFunc(h.Targets(), func(target *platformtest.Target) bool {
		return slices.ContainsFunc(target.Arrivals(), func(a platformtest.Arrival) bool { return a.ID == c.id && a.From == v.address })
	})
}

// isGraceExpired reports whether the VM was at the end of its grace time at that moment. It then cuts off requests
// that still run.
func (h *harness) isGraceExpired(vm string, at time.Time) bool {
	for _, f := range h.faults {
		if elapsed := at.Sub(f.from); f.subject == vm && f.kind == "vm_stop" && elapsed > graceBound-graceMargin && elapsed < graceBound+h.options.Slack {
			return true
		}
	}
	return false
}

// checkRecovery requires every VM to serve requests again after all faults have ended.
func (h *harness) checkRecovery(ctx context.Context) {
	random := rand.New(rand.NewPCG(h.options.Seed, 2))
	h.keys.issue(h, 1)
	for _, v := range h.vms {
		if !v.IsRunning() {
			h.addViolation(Violation{Guarantee: "ended_by_itself", VM: v.Name})
			continue
		}
		if failed := h.waitRecovered(ctx, v, random); failed != nil {
			h.addViolation(Violation{Guarantee: "no_recovery", VM: v.Name, Detail: fmt.Sprintf("status %d, error %v", failed.status, failed.err)})
		}
	}
}

// waitRecovered sends requests to the VM until three successive ones succeed and returns nil. If that takes longer
// than recoveryTimeout it returns the last failed call.
func (h *harness) waitRecovered(ctx context.Context, v *vm, random *rand.Rand) *call {
	client := &http.Client{}
	defer client.CloseIdleConnections()
	var lastFailed *call
	successes := 0
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end) && ctx.Err() == nil; {
		c := &call{id: fmt.Sprintf("after-%s-%d", v.Name, random.Int64()), vm: v.Name, apiKey: *h.keys.keys[len(h.keys.keys)-1]}
		h.send(client, v, c, random)
		if c.disconnected || c.complete && c.status == http.StatusOK {
			if successes++; successes == 3 {
				return nil
			}
			continue
		}
		lastFailed = c
		if !c.isSoundButBroken(h.Cluster.Runs(c.id)) {
			successes = 0
		}
		time.Sleep(readinessInterval)
	}
	return lastFailed
}

// report summarizes the run.
func (h *harness) report() *Report {
	resumed, continued := h.checkResumes()
	r := &Report{Seed: h.options.Seed, Requests: len(h.calls), Outcomes: map[string]int{}, Faults: map[string]int{}, Violations: map[string]int{}}
	for _, c := range h.calls {
		r.Outcomes[c.outcome()]++
	}
	r.LimitWindows, r.Crashes, r.CutCalls, r.BrittleTimes = h.checkedWindows, h.crashCount(), h.checkedCutCalls, len(h.brittleTimes)
	for _, played := range h.brittleTimes {
		r.Falls += len(played.falls)
	}
	r.Resumed, r.Continued = resumed, continued
	h.countStreamEnds(r)
	h.countStrained(r)
	r.ColdTimes, r.ColdArrivals = len(h.colds), h.coldArrivals
	for _, f := range h.faults {
		r.Faults[f.kind]++
	}
	for _, v := range h.violations {
		r.Violations[v.Guarantee]++
		if r.Violations[v.Guarantee] <= maxExamplesPerGuarantee {
			r.Examples = append(r.Examples, v)
		}
	}
	return r
}

func (c *call) outcome() string {
	switch {
	case c.disconnected:
		return "left"
	case c.err != nil && c.status == 0:
		return "no answer"
	case c.err != nil:
		return "broken off"
	default:
		return fmt.Sprint(c.status)
	}
}
