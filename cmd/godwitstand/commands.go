package main

import (
	"context"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"godwitcart/internal/stand/engine"
	"godwitcart/internal/stand/journal"
	"godwitcart/internal/stand/platform"
	"godwitcart/internal/stand/service"
	"godwitcart/internal/stand/standhttp"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

type platformCommand struct {
	listeners
	VMs              string        `name:"vms" type:"existingfile" help:"YAML file with the list of VMs."`
	VMLag            time.Duration `name:"vm-lag" default:"0s" help:"How far the list of VMs is behind."`
	WritesPerSecond  float64       `default:"500" help:"Writes that the object API takes a second."`
	ReadsPerSecond   float64       `default:"2000" help:"Reads that the object API takes a second."`
	WeightsPerSecond float64       `default:"2" help:"Reads that the weight store takes a second."`
	Seed             uint64        `default:"1" help:"Seed of the answers that are lost."`
	// View is for failure tests, where availability zones reach each other through links with injected faults.
	View map[string]string `help:"Further traffic listeners: host:port=FILE, where the YAML file maps VM names to the addresses seen there."`
}

// Run serves until ctx ends.
func (c *platformCommand) Run(ctx context.Context) error {
	vms, err := loadVMs(c.VMs)
	if err != nil {
		return err
	}
	standIn := platform.New(platform.Options{
		VMs: vms.VMs, VMLag: c.VMLag, Seed: c.Seed,
		WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond,
		WeightsPerSecond: c.WeightsPerSecond,
	})
	extraListeners, err := loadExtraListeners(c.View, standIn)
	if err != nil {
		return err
	}
	return standhttp.Program{
		Name: "platform", ExtraListeners: extraListeners, Listen: c.Listen, Control: c.Control,
		TrafficHandler: standIn.Handler(), ControlHandler: standIn.ControlHandler(),
	}.Run(ctx)
}

// loadExtraListeners returns the handler of each additional traffic listener by its address.
func loadExtraListeners(files map[string]string, standIn *platform.Platform) (map[string]http.Handler, error) {
	handlers := make(map[string]http.Handler, len(files))
	for address, path := range files {
		var overrides platform.AddressOverrides
		if err := loadYAML(path, &overrides); err != nil {
			return nil, err
		}
		handlers[address] = standIn.HandlerWithOverrides(overrides)
	}
	return handlers, nil
}

func loadYAML(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the YAML file")
	}
	err = yaml.UnmarshalWithOptions(data, value, yaml.Strict())
	return errors.Wrapf(err, "parse %s", path)
}

// loadVMs reads a platformwire.VMList. An empty path gives an empty list.
func loadVMs(path string) (platformwire.VMList, error) {
	var list platformwire.VMList
	if path == "" {
		return list, nil
	}
	err := loadYAML(path, &list)
	return list, errors.Wrap(err, "load the VM list; the file must hold a list \"vms\"")
}

type engineCommand struct {
	listeners
	Name            string        `default:"engine" help:"Name of the target."`
	Zone            string        `help:"Availability zone."`
	Load            []string      `help:"What is loaded at the start: model[@version][+adapter]."`
	Role            string        `help:"Role at the start."`
	MemoryTokens    int           `default:"16384" help:"Size of the token memory."`
	MaxWaiting      int           `default:"256" help:"Length of the queue."`
	MaxBatch        int           `default:"64" help:"Generations that run at once."`
	StepBase        time.Duration `default:"8ms" help:"Time of a step."`
	StepPerSequence time.Duration `default:"150us" help:"Added to a step for each running generation."`
	StepPerPrefill  time.Duration `default:"20us" help:"Added to a step for each prompt token."`
	MedianTokens    float64       `default:"64" help:"Median of the output length."`
	Sigma           float64       `default:"1.2" help:"Spread of the logarithm of the output length."`
	Seed            uint64        `default:"1" help:"Seed of output lengths."`
	Text            string        `enum:"words,attempt" default:"words" help:"Text of tokens: words, or attempt id and index."`
	ReportLag       time.Duration `default:"250ms" help:"Age of load reports."`
	CacheBlocks     int           `default:"1024" help:"Blocks of the prefix cache."`
	CacheEventLag   time.Duration `default:"500ms" help:"Delay of cache events."`
	CacheEventLoss  float64       `default:"0.01" help:"Share of cache events that never appear."`
	OrphanTimeout   time.Duration `default:"30s" help:"How long a generation goes on without a reader."`
	Retention       time.Duration `default:"1m" help:"How long the tokens of an ended generation can be read."`
	ChecksFencing   bool          `help:"Refuse orders with an old fencing number."`
	Weights         string        `help:"URL of the platform whose weight store loads read from."`
	LoadTime        time.Duration `default:"1s" help:"Time of a load."`
	Journal         string        `help:"File to which what runs is appended."`
}

// Run serves until ctx ends, and returns when the running generations have ended.
func (c *engineCommand) Run(ctx context.Context) error {
	out, err := journal.Open(c.Journal)
	if err != nil {
		return err
	}
	standIn := engine.New(engine.Options{
		Name: c.Name, Zone: c.Zone, Loaded: parseLoaded(c.Load), Role: c.Role,
		MemoryTokens: c.MemoryTokens, MaxWaiting: c.MaxWaiting, MaxBatch: c.MaxBatch,
		StepBase: c.StepBase, StepPerSequence: c.StepPerSequence, StepPerPrefill: c.StepPerPrefill,
		MedianTokens: c.MedianTokens, Sigma: c.Sigma, Seed: c.Seed, Text: engine.TextMode(c.Text),
		ReportLag: c.ReportLag, CacheBlocks: c.CacheBlocks,
		CacheEventLag: c.CacheEventLag, CacheEventLoss: c.CacheEventLoss,
		OrphanTimeout: c.OrphanTimeout, Retention: c.Retention,
		ChecksFencing: c.ChecksFencing, WeightsURL: c.Weights, LoadTime: c.LoadTime,
		Journal: out,
	})
	engineCtx, stopEngine := context.WithCancel(context.WithoutCancel(ctx))
	defer stopEngine()
	go standIn.Run(engineCtx)
	return standhttp.Program{
		Name: c.Name, Listen: c.Listen, Control: c.Control,
		TrafficHandler: standIn.Handler(), ControlHandler: standIn.ControlHandler(), Drain: standIn.Drain,
	}.Run(ctx)
}

// parseLoaded parses entries of the form model[@version][+adapter].
func parseLoaded(entries []string) []enginewire.ModelVariant {
	var loaded []enginewire.ModelVariant
	for _, entry := range entries {
		rest, adapter, _ := strings.Cut(entry, "+")
		model, version, _ := strings.Cut(rest, "@")
		loaded = append(loaded, enginewire.ModelVariant{Model: model, Adapter: adapter, Version: version})
	}
	return loaded
}

type serviceCommand struct {
	listeners
	Name        string        `default:"service" help:"Name of the target."`
	Zone        string        `help:"Availability zone."`
	Latency     time.Duration `default:"5ms" help:"Time of a call."`
	Concurrency int           `default:"64" help:"Calls that run at once."`
	Journal     string        `help:"File to which what runs is appended."`
}

// Run serves until ctx ends, and returns when the running calls have ended.
func (c *serviceCommand) Run(ctx context.Context) error {
	out, err := journal.Open(c.Journal)
	if err != nil {
		return err
	}
	standIn := service.New(service.Options{
		Name: c.Name, Latency: c.Latency, Concurrency: c.Concurrency, Journal: out,
	})
	return standhttp.Program{
		Name: c.Name, Listen: c.Listen, Control: c.Control,
		TrafficHandler: standIn.Handler(), ControlHandler: standIn.ControlHandler(), Drain: standIn.Drain,
	}.Run(ctx)
}
