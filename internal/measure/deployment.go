// Package measure simulates scheduling policies on a model of the engines in virtual time.
//
// A run generates a workload from a seed and simulates it under one policy, as discrete events in a single goroutine
// without network, VMs or platform. The policy godwitcart runs the code of internal/routing and internal/admission
// itself, one instance per entry VM. The engine model behaves like the stand-in engine of internal/stand/engine.
package measure

import (
	"time"

	"github.com/cockroachdb/errors"
)

// engineModel holds the parameters of an engine.
type engineModel struct {
	memoryTokens int
	maxBatch     int
	// The duration of a step is stepBase, plus stepPerSequence for each running generation, plus stepPerPrefill
	// for each token to prefill, which excludes tokens in the prefix cache.
	stepBase        time.Duration
	stepPerSequence time.Duration
	stepPerPrefill  time.Duration
	// cacheBlocks is the capacity of the prefix cache in blocks.
	cacheBlocks int
}

// serviceModel describes one service and its targets.
type serviceModel struct {
	name     string
	model    string
	replicas int
	// workers is the number of calls that a plain target runs concurrently; it is zero for engines.
	workers int
	// meanCallDuration is the mean duration of a call of a plain service.
	meanCallDuration time.Duration
}

func (s *serviceModel) isPlain() bool { return s.workers > 0 }

// classModel describes one priority class and the distribution of its requests.
type classModel struct {
	name     string
	priority int
	// share is the fraction of generations that belong to the class.
	share float64
	// Output lengths are log-normal with medianOutputTokens and sigma. Prompt lengths are log-normal with
	// medianPromptTokens.
	medianOutputTokens float64
	sigma              float64
	medianPromptTokens float64
	// stallAllowance is the maximum stall of a response that counts as on time.
	stallAllowance time.Duration
}

// Deployment describes a fleet and its workload.
type Deployment struct {
	Name string
	// Duration is the virtual time during which requests arrive.
	Duration time.Duration

	zones            []string
	interZoneLatency time.Duration
	entryVMCount     int
	accountCount     int
	engine           engineModel
	services         []serviceModel
	classes          []classModel
	// load is the offered load outside of bursts, as a fraction of the fleet's token capacity.
	load float64
	// burst, flood and engineFailure enable the disturbances: a burst of requests, a flood of batch work by one
	// account, and an engine that fails and restarts.
	burst, flood, engineFailure bool
	// lookupsPerSecond is the arrival rate of calls to the plain service outside of bursts.
	lookupsPerSecond float64
}

const (
	// maxOutputTokens and maxPromptTokens limit the lengths that are drawn for a generation.
	maxOutputTokens = 16384
	maxPromptTokens = 4096
)

func defaultClasses() []classModel {
	return []classModel{
		{name: "till", priority: 10, share: 0.35, medianOutputTokens: 30, sigma: 0.8, medianPromptTokens: 150, stallAllowance: 500 * time.Millisecond},
		{name: "clerk", priority: 5, share: 0.45, medianOutputTokens: 120, sigma: 1.1, medianPromptTokens: 200, stallAllowance: 2 * time.Second},
		{name: "batch", priority: 1, share: 0.20, medianOutputTokens: 300, sigma: 1.3, medianPromptTokens: 250, stallAllowance: 20 * time.Second},
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

// Deployments returns the names of the deployments.
func Deployments() []string { return []string{"prairie", "derwent", "large"} }

// NewDeployment returns the named deployment. If load is zero, the deployment has its default load and all
// disturbances. If load is above zero, it has no disturbances and a steady load of that fraction of the fleet's
// token capacity.
func NewDeployment(name string, load float64) (Deployment, error) {
	d := Deployment{
		Name:          name,
		Duration:      240 * time.Second,
		entryVMCount:  8,
		accountCount:  10,
		engine:        defaultEngine(),
		classes:       defaultClasses(),
		load:          0.6,
		burst:         true,
		flood:         true,
		engineFailure: true,
	}
	switch name {
	case "prairie":
		d.zones = []string{"regina-a", "regina-b", "moosejaw"}
		d.interZoneLatency = 500 * time.Microsecond
		d.services = []serviceModel{{name: "godwit-lm", model: "godwit-lm", replicas: 12}, plainService("counter-api")}
		d.lookupsPerSecond = 300
	case "derwent":
		d.zones = []string{"hobart", "launceston", "burnie"}
		d.interZoneLatency = 1400 * time.Microsecond
		d.services = []serviceModel{{name: "drafter", model: "drafter", replicas: 18}, plainService("cardstat")}
		d.lookupsPerSecond = 300
		d.entryVMCount = 9
	case "large":
		d.configureLarge()
	default:
		return Deployment{}, errors.Newf("unknown deployment %q: use prairie, derwent or large", name)
	}
	if load > 0 {
		d.load = load
		d.burst, d.flood, d.engineFailure = false, false, false
	}
	return d, nil
}

func plainService(name string) serviceModel {
	return serviceModel{name: name, replicas: 3, workers: 8, meanCallDuration: 5 * time.Millisecond}
}

// configureLarge sets the size that the system is designed for: 920 replicas of 17 models and 380 accounts. Only a
// sample of the entry VMs is simulated.
func (d *Deployment) configureLarge() {
	d.Duration = 20 * time.Second
	d.zones = []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	d.interZoneLatency = time.Millisecond
	d.entryVMCount = 24
	d.accountCount = 380
	d.engine.memoryTokens = 65536
	d.engine.maxBatch = 128
	remaining := 920
	for i := range 17 {
		replicas := remaining / (17 - i)
		remaining -= replicas
		name := "lm-" + string(rune('a'+i))
		d.services = append(d.services, serviceModel{name: name, model: name, replicas: replicas})
	}
	d.services = append(d.services, plainService("lookup"))
	d.lookupsPerSecond = 500
}
