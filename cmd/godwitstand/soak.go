package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/stand/soak"
)

type soakCommand struct {
	Seed       uint64        `default:"1" help:"Seed of load and faults."`
	Seconds    float64       `default:"30" help:"How long requests start."`
	VMs        int           `name:"vms" default:"6" help:"Entry VMs."`
	Engines    int           `default:"9" help:"Model engines."`
	Plain      int           `default:"3" help:"Targets of the plain service."`
	Callers    int           `default:"40" help:"Callers, each with one request at a time."`
	Slack      time.Duration `default:"800ms" help:"Added to the bounds in time that are checked; above 3s requests without an answer are not judged."`
	Binaries   string        `default:"bin" type:"existingdir" help:"Directory of the programs."`
	Production string        `name:"production-binaries" type:"existingdir" help:"Directory of the build with which the VMs start before they are replaced one after the other; scripts/soak --production makes it."`
	Faults     []string      `help:"Kinds of fault, by name, of which alone faults are drawn; all by default."`
	Known      []string      `help:"Violations, by name, that are printed and do not make the run fail."`
	Out        string        `help:"Directory for logs and settings; without it they are kept only when a promise was violated."`
}

// Run prints a soak.Report as one JSON line. It returns an error when the report lists a violation that is not known.
func (c *soakCommand) Run(ctx context.Context) error {
	if c.Seconds <= 0 || c.VMs <= 0 || c.Engines <= 0 || c.Plain <= 0 || c.Callers <= 0 {
		return errors.New("--seconds, --vms, --engines, --plain and --callers must be above zero")
	}
	directory, err := prepareRunDirectory(c.Out)
	if err != nil {
		return err
	}
	report, err := soak.Run(ctx, soak.Options{
		Binaries: c.Binaries, ProductionBinaries: c.Production, Directory: directory, Seed: c.Seed, Duration: time.Duration(c.Seconds * float64(time.Second)),
		VMs: c.VMs, Engines: c.Engines, PlainTargets: c.Plain, Callers: c.Callers, Faults: c.Faults, Slack: c.Slack,
	})
	if err != nil {
		return errors.Wrap(err, "the run failed; logs are in "+directory)
	}
	return reportResult(report, report.CleanBut(c.Known), c.Out, directory)
}
