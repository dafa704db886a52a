package main

import (
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/stand/failures"
)

type failuresCommand struct {
	Seed     uint64  `default:"1" help:"Seed of load and faults."`
	Seconds  float64 `default:"60" help:"How long requests start."`
	Binaries string  `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Out      string  `help:"Directory for logs, settings and the journal; without it they are kept only when a promise was violated."`
	NoFaults bool    `help:"Run the load without faults."`
	Planned  bool    `help:"Leave out all faults but the planned stops: restarts of entry VMs and drains of targets."`
	Rate     float64 `help:"Requests a second; 0 means the default."`
	Tokens   float64 `help:"Median of the output length; 0 means the default."`
	Memory   int     `help:"Token memory of each engine; 0 means the default, which is short on purpose."`
	Rollouts bool    `default:"true" negatable:"" help:"Let operators roll versions out and back, and check what the engines have loaded at the end."`
	Baseline bool    `help:"Run the same load without faults first, and report its availability too."`
	Verbose  bool    `help:"Log each fault."`
}

// Run prints a failures.Report as one JSON line. It returns an error when the report lists a violation.
func (c *failuresCommand) Run(ctx context.Context) error {
	if c.Seconds <= 0 {
		return errors.New("--seconds must be above zero")
	}
	if c.Verbose {
		log.SetLevel(log.DebugLevel)
	}
	directory, err := prepareRunDirectory(c.Out)
	if err != nil {
		return err
	}
	report, err := c.run(ctx, directory)
	if err != nil {
		return errors.Wrap(err, "the run failed; logs are in "+directory)
	}
	return reportResult(report, report.Clean(), c.Out, directory)
}

func (c *failuresCommand) run(ctx context.Context, directory string) (failures.Report, error) {
	options := failures.Options{
		Binaries: c.Binaries, Directory: directory, Seed: c.Seed,
		Duration: time.Duration(c.Seconds * float64(time.Second)), Faults: !c.NoFaults, PlannedOnly: c.Planned,
		Rate: c.Rate, MedianTokens: c.Tokens, MemoryTokens: c.Memory, Rollouts: c.Rollouts,
	}
	if !c.Baseline {
		return failures.Run(ctx, options)
	}
	baselineOptions := options
	baselineOptions.Faults = false
	baselineOptions.Directory = filepath.Join(directory, "baseline")
	if err := os.MkdirAll(baselineOptions.Directory, 0o755); err != nil {
		return failures.Report{}, errors.Wrap(err, "create the directory for the baseline run")
	}
	baseline, err := failures.Run(ctx, baselineOptions)
	if err != nil {
		return failures.Report{}, err
	}
	report, err := failures.Run(ctx, options)
	report.Baseline = &baseline.Availability
	return report, err
}
