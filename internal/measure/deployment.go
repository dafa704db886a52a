// Package measure runs the policies of routing and admission against a model of engines in
// virtual time.
//
// One run draws seeded work and plays it under one policy: events in one goroutine, no network,
// VM or platform. The policy godwitcart is the code of internal/routing and internal/admission
// itself, once for each entry VM. The engine model steps like the stand-in of internal/stand/engine.
package measure

import (
	"time"

	"github.com/cockroachdb/errors"
)

// engineModel gives the size and speed of an engine.
type engineModel struct {
	memoryTokens int
	maxBatch     int
	// A step takes stepBase, stepPerSequence for each running generation and stepPerPrefill for
	// each prompt token that it computes.
	stepBase        time.Duration
	stepPerSequence time.Duration
	stepPerPrefill  time.Duration
	// cacheBlocks is the size of the prefix cache.
	cacheBlocks int
}

// serviceModel is one service with its targets.
type serviceModel struct {
	name     string
	model    string
	replicas int
	// workers is the number of calls that a plain target runs at once; zero for engines.
	workers int
	// meanCall is the mean time of one call of a plain service.
	meanCall time.Duration
}

func (s *serviceModel) plain() bool { return s.workers > 0 }

// classModel is one priority class and the shape of its work.
type classModel struct {
	name     string
	priority int
	// share is the class's part of the generations.
	share float64
	// medianTokens and sigma shape the log-normal output lengths; medianPrompt the prompts.
	medianTokens float64
	sigma        float64
	medianPrompt float64
	// stallAllowance is the stall up to which an answer counts as on time.
	stallAllowance time.Duration
}

// Deployment describes a fleet and its work.
type Deployment struct {
	Name string
	// Duration is the time during which requests arrive.
	Duration time.Duration

	zones    []string
	zoneHop  time.Duration
	entries  int
	accounts int
	engine   engineModel
	services []serviceModel
	classes  []classModel
	// load is the offered share of the fleet's token capacity outside of bursts.
	load float64
	// burst, flood and loss switch on the disturbances.
	burst, flood, loss bool
	// lookupsPerSecond is the rate of calls to the plain service.
	lookupsPerSecond float64
}

const (
	// maxOutput bounds the output of a generation, in tokens.
	maxOutput = 16384
	maxPrompt = 4096
)

func defaultClasses() []classModel {
	return []classModel{
		{name: "till", priority: 10, share: 0.35, medianTokens: 30, sigma: 0.8, medianPrompt: 150, stallAllowance: 500 * time.Millisecond},
		{name: "clerk", priority: 5, share: 0.45, medianTokens: 120, sigma: 1.1, medianPrompt: 200, stallAllowance: 2 * time.Second},
		{name: "batch", priority: 1, share: 0.20, medianTokens: 300, sigma: 1.3, medianPrompt: 250, stallAllowance: 20 * time.Second},
	}
}

func defaultEngine() engineModel {
	return engineModel{
		memoryTokens:    32768,
		maxBatch:        64,
		stepBase:        8 * time.Millisecond,
		stepPerSequence: 150 * time.Microsecond,
		stepPerPrefill:  20 * time.Microsecond,
		cacheBlocks:     1024,
	}
}

// Deployments lists the names of the deployments.
func Deployments() []string { return []string{"prairie", "derwent", "large"} }

// NewDeployment returns the deployment of the name with disturbances, or in a steady state at
// load, a share of the fleet's token capacity, when load is above zero.
func NewDeployment(name string, load float64) (Deployment, error) {
	d := Deployment{
		Name:     name,
		Duration: 240 * time.Second,
		entries:  8,
		accounts: 10,
		engine:   defaultEngine(),
		classes:  defaultClasses(),
		load:     0.6,
		burst:    true,
		flood:    true,
		loss:     true,
	}
	switch name {
	case "prairie":
		d.zones = []string{"regina-a", "regina-b", "moosejaw"}
		d.zoneHop = 500 * time.Microsecond
		d.services = []serviceModel{{name: "godwit-lm", model: "godwit-lm", replicas: 12}, plainService("counter-api")}
		d.lookupsPerSecond = 300
	case "derwent":
		d.zones = []string{"hobart", "launceston", "burnie"}
		d.zoneHop = 1400 * time.Microsecond
		d.services = []serviceModel{{name: "drafter", model: "drafter", replicas: 18}, plainService("cardstat")}
		d.lookupsPerSecond = 300
		d.entries = 9
	case "large":
		d.makeLarge()
	default:
		return Deployment{}, errors.Newf("unknown deployment %q: use prairie, derwent or large", name)
	}
	if load > 0 {
		d.load = load
		d.burst, d.flood, d.loss = false, false, false
	}
	return d, nil
}

func plainService(name string) serviceModel {
	return serviceModel{name: name, replicas: 3, workers: 8, meanCall: 5 * time.Millisecond}
}

// makeLarge sets the size to design for: 920 replicas of 17 models and 380 accounts, seen by a
// sample of the entry VMs.
func (d *Deployment) makeLarge() {
	d.Duration = 20 * time.Second
	d.zones = []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	d.zoneHop = time.Millisecond
	d.entries = 24
	d.accounts = 380
	d.engine.memoryTokens = 65536
	d.engine.maxBatch = 128
	left := 920
	for i := range 17 {
		replicas := left / (17 - i)
		left -= replicas
		name := "lm-" + string(rune('a'+i))
		d.services = append(d.services, serviceModel{name: name, model: name, replicas: replicas})
	}
	d.services = append(d.services, plainService("lookup"))
	d.lookupsPerSecond = 500
}
