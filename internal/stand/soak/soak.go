// Package soak runs real entry VMs of a deployment under random faults and judges what callers and targets see.
//
// The platform's store and the targets are stand-ins in this process; each godwitcartd is a process of its own.
// Faults come from outside them: signals, links that stall, slow down, reset and break, a store that refuses or
// forgets, engines that leave. Load and faults are drawn from the seed; their times are not exact, so two runs of
// one seed differ in detail.
package soak

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a run.
type Options struct {
	// Binaries is the directory of the programs, Directory where logs and settings are written.
	Binaries, Directory string
	Seed                uint64
	// Duration is how long requests start.
	Duration time.Duration
	// VMs, Engines and Plain count entry VMs, engines and targets of the plain service; Callers those who send,
	// each one request at a time.
	VMs, Engines, Plain, Callers int
	// Slack is added to the bounds in time that are checked, for the scheduling of a busy machine.
	Slack time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed     uint64         `json:"seed"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	Faults   map[string]int `json:"faults"`
	// Violations are broken promises; the first of each kind come with their particulars.
	Violations map[string]int `json:"violations"`
	Examples   []Violation    `json:"examples,omitempty"`
}

// Clean reports whether no promise was violated.
func (r *Report) Clean() bool { return len(r.Violations) == 0 }

const (
	// recoveryLimit bounds the time until every VM serves again after the last fault.
	recoveryLimit = 20 * time.Second
	// settleTime lets targets finish what callers have left before runs are counted.
	settleTime = time.Second
)

// Run plays one run and ends everything that it started.
func Run(ctx context.Context, options Options) (*Report, error) {
	w, err := newWorld(options)
	if err != nil {
		return nil, err
	}
	defer w.stop()
	if err := w.start(ctx); err != nil {
		return nil, err
	}
	load, stopLoad := context.WithTimeout(ctx, options.Duration)
	defer stopLoad()
	var work sync.WaitGroup
	work.Go(func() { w.watchReadiness(load) })
	for i := range options.Callers {
		work.Go(func() { w.runCaller(load, i) })
	}
	w.inject(load)
	work.Wait()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w.checkRecovery(ctx)
	time.Sleep(settleTime)
	w.checkCalls()
	if err := w.checkLogs(); err != nil {
		return nil, err
	}
	return w.report(), nil
}

// checkLogs looks for programs that ended by a fault of their own.
func (w *world) checkLogs() error {
	for _, v := range w.vms {
		text, err := os.ReadFile(filepath.Join(w.options.Directory, v.Name+".log"))
		if err != nil {
			return errors.Wrap(err, "read a log")
		}
		for _, sign := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(text, []byte(sign)) {
				w.violated(Violation{Promise: "program_failed", VM: v.Name, Detail: sign})
			}
		}
	}
	return nil
}
