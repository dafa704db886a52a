// Package policy holds the accepted configuration: services, client accounts,
// priority classes and models, as operators declare them.
//
// A Configuration is immutable once built. Every change makes a new one with a
// higher Version; versions never fall.
package policy

import "time"

// Kind says what the targets of a service are.
type Kind string

// The kinds of service.
const (
	// KindEngine is a service whose targets are model engines.
	KindEngine Kind = "engine"
	// KindPlain is a service whose targets answer ordinary HTTP calls.
	KindPlain Kind = "plain"
)

// Configuration is one accepted version of everything operators declare.
// Invariant: every name that one object mentions exists in the same Configuration.
type Configuration struct {
	Version  uint64             `json:"version" yaml:"version"`
	Services map[string]Service `json:"services" yaml:"services"`
	Accounts map[string]Account `json:"accounts" yaml:"accounts"`
	Classes  map[string]Class   `json:"classes" yaml:"classes"`
	Models   map[string]Model   `json:"models" yaml:"models"`
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string `json:"name" yaml:"name"`
	Kind Kind   `json:"kind" yaml:"kind"`
	// NonIdempotent marks every call of the service as one that may run at most once,
	// unless the caller states otherwise.
	NonIdempotent bool `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// Zones lists the availability zones whose targets may be used; empty means all.
	Zones []string `json:"zones,omitempty" yaml:"zones,omitempty"`
	// Runs lists the models, adapters and versions that the service may run.
	Runs []Variant `json:"runs,omitempty" yaml:"runs,omitempty"`
	// Loads lists what each target of the service is to have loaded, as a part of Runs with versions.
	// Empty leaves the targets as they are, to be ordered one by one.
	Loads []Variant `json:"loads,omitempty" yaml:"loads,omitempty"`
	// ChecksFencing tells whether targets refuse an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
}

// Variant names one thing that an engine can have loaded.
type Variant struct {
	Model   string `json:"model" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name" yaml:"name"`
	// KeyHashes are the lower-case hexadecimal SHA-256 digests of the account's API keys.
	KeyHashes []string `json:"key_hashes" yaml:"key_hashes"`
	// Share is the account's weight among accounts of the same class; at least 1.
	Share int `json:"share" yaml:"share"`
	// RequestsPerSecond limits the account over all entry VMs; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	// Concurrency limits the requests in progress over all entry VMs; zero means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Classes lists the priority classes that the account may use; the first is its default.
	Classes []string `json:"classes" yaml:"classes"`
}

// Class is a priority class.
type Class struct {
	Name string `json:"name" yaml:"name"`
	// Priority orders the classes; the higher number is served first and preempted last.
	Priority int `json:"priority" yaml:"priority"`
	// Deadline bounds a request of the class that states none; zero means no bound.
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
}

// Model is a model with its versions and adapters.
type Model struct {
	Name     string   `json:"name" yaml:"name"`
	Versions []string `json:"versions" yaml:"versions"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}
