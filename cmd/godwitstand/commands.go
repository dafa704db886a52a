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
	// View is for the failure runs, where availability zones reach each other by faulted links.
	View map[string]string `help:"Further traffic listeners: host:port=FILE, where the YAML file maps VM names to the addresses seen there."`
}

// Run serves until ctx ends.
func (c *platformCommand) Run(ctx context.Context) error {
	vms, err := loadVMs(c.VMs)
	if err != nil {
		return err
	}
	stand := platform.New(platform.Options{
		VMs: vms.VMs, VMLag: c.VMLag, Seed: c.Seed,
		WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond,
		WeightsPerSecond: c.WeightsPerSecond,
	})
	views, err := loadViews(c.View, stand)
	if err != nil {
		return err
	}
	return standhttp.Program{
		Name: "platform", ExtraListeners: views, Listen: c.Listen, Control: c.Control,
		TrafficHandler: stand.Handler(), ControlHandler: stand.ControlHandler(),
	}.Run(ctx)
}

// loadViews returns the handler of each further listener.
func loadViews(files map[string]string, stand *platform.Platform) (map[string]http.Handler, error) {
	handlers := make(map[string]http.Handler, len(files))
	for address, path := range files {
		var view platform.View
		if err := loadYAML(path, &view); err != nil {
			return nil, err
		}
		handlers[address] = stand.HandlerWithOverrides(view)
	}
	return handlers, nil
}

func loadYAML(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read the file")
	}
	err = yaml.UnmarshalWithOptions(data, value, yaml.Strict())
	return errors.Wrapf(err, "parse %s", path)
}

// loadVMs reads a platformwire.VMList; an empty path means an empty list.
func loadVMs(path string) (platformwire.VMList, error) {
	var list platformwire.VMList
	if path == "" {
		return list, nil
	}
	err := loadYAML(path, &list)
	return list, errors.Wrap(err, "load the list of VMs, a list \"vms\"")
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

// Run serves until ctx ends and the running work has ended.
func (c *engineCommand) Run(ctx context.Context) error {
	out, err := journal.Open(c.Journal)
	if err != nil {
		return err
	}
	stand := engine.New(engine.Options{
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
	generating, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	go stand.Run(generating)
	return standhttp.Program{
		Name: c.Name, Listen: c.Listen, Control: c.Control,
		TrafficHandler: stand.Handler(), ControlHandler: stand.ControlHandler(), Drain: stand.Drain,
	}.Run(ctx)
}

// parseLoaded reads entries of the form model[@version][+adapter].
func parseLoaded(entries []string) []enginewire.Loaded {
	var loaded []enginewire.Loaded
	for _, entry := range entries {
		rest, adapter, _ := strings.Cut(entry, "+")
		model, version, _ := strings.Cut(rest, "@")
		loaded = append(loaded, enginewire.Loaded{Model: model, Adapter: adapter, Version: version})
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

// Run serves until ctx ends and the running calls have ended.
func (c *serviceCommand) Run(ctx context.Context) error {
	out, err := journal.Open(c.Journal)
	if err != nil {
		return err
	}
	stand := service.New(service.Options{
		Name: c.Name, Latency: c.Latency, Concurrency: c.Concurrency, Journal: out,
	})
	return standhttp.Program{
		Name: c.Name, Listen: c.Listen, Control: c.Control,
		TrafficHandler: stand.Handler(), ControlHandler: stand.ControlHandler(), Drain: stand.Drain,
	}.Run(ctx)
}
