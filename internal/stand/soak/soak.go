// Package soak runs the entry VMs of a deployment under random faults and checks what callers receive and targets run.
//
// The platform's store and the targets are stand-ins in this process; each godwitcartd is a separate process. Faults
// are injected from outside: signals, links that are stalled, slowed down, reset and cut, a store that refuses
// requests or drops its change history, and engines that leave. Load and faults are drawn from the seed, but their
// timing isn't exact, so two runs with the same seed differ in detail.
package soak

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	// Binaries is the directory of the programs, Directory where logs and settings are written.
	Binaries, Directory string
	// ProductionBinaries is the directory of the build with which all VMs start before they are replaced, one after the other,
	// by the one in Binaries; empty if there is no upgrade.
	ProductionBinaries string
	Seed               uint64
	// Duration is the time in which requests are started.
	Duration time.Duration
	// VMs, Engines and PlainTargets are the numbers of entry VMs, engines and targets of the plain service. Callers is
	// the number of concurrent callers; each sends one request at a time.
	VMs, Engines, PlainTargets, Callers int
	// Faults are the kinds of fault that are drawn; all of them if there is none.
	Faults []string
	// Slack is added to the time bounds that are checked, to tolerate scheduling delays on a busy machine.
	Slack time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Resumed counts the streams that callers resumed at undisturbed VMs while two targets of their software version were
	// undisturbed, and Continued those that went on.
	Resumed   int `json:"resumed"`
	Continued int `json:"continued"`
	// LimitWindows counts the windows in which a target's request limit was checked.
	LimitWindows int `json:"limit_windows"`
	// Crashes counts the targets that crashed under a part of prompts or a request.
	Crashes int `json:"crashes"`
	// CutCalls counts the first attempts at VMs that were cut off from all targets, BrittleTimes the times in which targets
	// were brittle, and Falls the targets that fell over then.
	CutCalls     int `json:"cut_calls"`
	BrittleTimes int `json:"brittle_times"`
	Falls        int `json:"falls"`
	// ColdTimes counts the times in which engines were cold, and ColdArrivals the requests that reached them then.
	ColdTimes    int `json:"cold_times"`
	ColdArrivals int `json:"cold_arrivals"`
	// StreamEnds counts the streams by how their targets ended them, and SoundStreamsBroken those that callers saw as broken
	// though a target without faults had ended them, with neither length nor chunks, after their last event.
	StreamEnds         map[string]*StreamEnds `json:"stream_ends"`
	SoundStreamsBroken int                    `json:"sound_streams_broken"`
	// Strained counts the streams that met a fault which harms no run, a stop of their VM, or a caller that reads slowly.
	Strained map[string]*StrainedStreams `json:"strained"`
	// Violations counts violated guarantees by name; Examples describes the first of each.
	Violations map[string]int `json:"violations"`
	Examples   []Violation    `json:"examples,omitempty"`
}

// CleanBut reports whether no guarantee was violated but those that are known to be.
func (r *Report) CleanBut(known []string) bool {
	for guarantee := range r.Violations {
		if !slices.Contains(known, guarantee) {
			return false
		}
	}
	return true
}

const (
	// recoveryTimeout bounds the time in which a VM must serve again after the last fault.
	recoveryTimeout = 20 * time.Second
	// settleTime lets targets finish the requests of disconnected callers before runs are counted.
	settleTime = time.Second
)

// Run performs one run and stops all processes that it started.
func Run(ctx context.Context, options Options) (*Report, error) {
	h, err := newHarness(options)
	if err != nil {
		return nil, err
	}
	defer h.stop()
	if err := h.start(ctx); err != nil {
		return nil, err
	}
	loadCtx, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	var work sync.WaitGroup
	work.Go(func() { h.watchReadiness(loadCtx) })
	for i := range options.Callers {
		work.Go(func() { h.runCaller(loadCtx, i) })
	}
	work.Go(func() { h.runUpgrade(loadCtx, upgradePlan(options.Seed%uint64(upgradePlans))) })
	h.injectFaults(loadCtx)
	work.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	h.checkRecovery(ctx)
	time.Sleep(settleTime)
	h.checkCalls()
	h.checkLimits()
	h.checkStatements()
	h.checkCrashes()
	h.checkCuts()
	h.checkFalls()
	h.checkEvacuations()
	h.checkCold()
	if err := h.checkLogs(); err != nil {
		return nil, err
	}
	return h.report(), nil
}

// checkLogs searches the logs of the VMs for panics, fatal errors and data races.
func (h *harness) checkLogs() error {
	for _, v := range h.vms {
		text, err := os.ReadFile(filepath.Join(h.options.Directory, v.Name+".log"))
		if err != nil {
			return errors.Wrap(err, "read a log")
		}
		for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(text, []byte(sign)) {
				h.addViolation(Violation{Guarantee: "program_failed", VM: v.Name, Detail: sign})
			}
		}
	}
	return nil
}
