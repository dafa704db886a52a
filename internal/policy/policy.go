// Package policy defines the configuration that operators declare: services, client accounts, priority classes and
// models (Configuration), and the routes of the users' platform (RouteTable).
//
// A Configuration is immutable once built. Every change makes a new one with a
// higher Version; versions never decrease.
package policy

import "time"

// Kind is the kind of a service's targets.
type Kind string

const (
	// KindEngine is a service whose targets are model engines.
	KindEngine Kind = "engine"
	// KindPlain is a service whose targets serve ordinary HTTP requests.
	KindPlain Kind = "plain"
)

// Configuration is one accepted version of everything that operators declare.
// Invariant: every object that another one refers to exists in the same Configuration.
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
	// NonIdempotent makes every call to the service run at most once, unless the client marks the call as idempotent.
	NonIdempotent bool `json:"non_idempotent,omitempty" yaml:"non_idempotent,omitempty"`
	// Zones lists the availability zones whose targets may be used; empty means all.
	Zones []string `json:"zones,omitempty" yaml:"zones,omitempty"`
	// Runs lists the models, adapters and versions that the service may run.
	Runs []Variant `json:"runs,omitempty" yaml:"runs,omitempty"`
	// Loads lists the variants that each target of the service must have loaded: a subset of Runs, with versions.
	// If it is empty, targets load and unload only by single orders.
	Loads []Variant `json:"loads,omitempty" yaml:"loads,omitempty"`
	// ChecksFencing states that targets reject an order with an outdated fencing number.
	ChecksFencing bool `json:"checks_fencing,omitempty" yaml:"checks_fencing,omitempty"`
}

// Variant identifies a model that an engine can load, with an optional adapter and version.
type Variant struct {
	Model   string `json:"model" yaml:"model"`
	Adapter string `json:"adapter,omitempty" yaml:"adapter,omitempty"`
	Version string `json:"version,omitempty" yaml:"version,omitempty"`
}

// Account is a client account with its limits.
type Account struct {
	Name string `json:"name" yaml:"name"`
	// KeyHashes are the lower-case hexadecimal SHA-256 digests of the account's API keys.
	KeyHashes []string `json:"key_hashes" yaml:"key_hashes"`
	// Share is the account's weight among the accounts of a class; at least 1.
	Share int `json:"share" yaml:"share"`
	// RequestsPerSecond limits the account's request rate across all entry VMs; zero means no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second,omitempty"`
	// Concurrency limits the account's requests in progress across all entry VMs; zero means no limit.
	Concurrency int `json:"concurrency,omitempty" yaml:"concurrency,omitempty"`
	// Classes lists the priority classes that the account may use; the first is its default.
	Classes []string `json:"classes" yaml:"classes"`
}

// Class is a priority class.
type Class struct {
	Name string `json:"name" yaml:"name"`
	// Priority orders the classes; a higher number is served first and preempted last.
	Priority int `json:"priority" yaml:"priority"`
	// Deadline is the time limit of requests that state none; zero means no limit.
	Deadline time.Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
}

// Model is a model with its versions and adapters.
type Model struct {
	Name     string   `json:"name" yaml:"name"`
	Versions []string `json:"versions" yaml:"versions"`
	Adapters []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
}
