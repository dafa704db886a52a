package policy

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Route leads the requests of a host below a path to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Streaming answers are series of numbered events.
	Streaming bool
	// Resumable streams may go on at another target after an event that the caller has received.
	Resumable bool
	// MaxAttempts bounds the targets on which one request may run.
	MaxAttempts int
	// Timeout bounds the time until the final answer; zero means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer, or the first event of a stream, is on time.
	Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that is on time.
	MaxGap time.Duration
	// Priority orders requests; the lowest is served first.
	Priority int
	// Anonymous routes need no API key.
	Anonymous bool
	// Destinations are the services and their weights; the weights sum to more than zero.
	Destinations []Destination
}

// Destination is a service with its share of a route's requests.
type Destination struct {
	Service string
	Weight  float64
}

// Engine describes the engines of a service.
type Engine struct {
	Slots         int
	MemoryTokens  int
	BytesPerToken float64
	// LinkMegabits is the rate at which an engine sends and receives the memory of generations, in Mbit/s.
	LinkMegabits float64
	// Moves says that a running generation can be copied to another engine.
	Moves bool
	// Backups says that an engine can keep a growing copy of a generation that another one runs.
	Backups bool
}

// RoutedService is a service that routes lead to.
type RoutedService struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// RoutedAccount is a client account of a RouteTable.
type RoutedAccount struct {
	Name string
	// Priority replaces that of the route where HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits bound what callers may send.
type CallerLimits struct {
	// MaxBodyBytes bounds a request's body; zero means the default.
	MaxBodyBytes int64
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// RouteTable is one version of the routes, services and accounts of a deployment. It is immutable once
// Build has returned it.
type RouteTable struct {
	Version  uint64
	Limits   CallerLimits
	Services map[string]RoutedService
	// routes are those of a host in order of falling prefix length.
	routes   map[string][]*Route
	accounts map[KeyDigest]RoutedAccount
	count    int
}

// RouteTableParts are what a RouteTable is built from.
type RouteTableParts struct {
	Version  uint64
	Limits   CallerLimits
	Services []RoutedService
	Routes   []Route
	Accounts map[KeyDigest]RoutedAccount
}

// BuildRouteTable indexes the parts.
func BuildRouteTable(parts RouteTableParts) *RouteTable {
	table := &RouteTable{
		Version: parts.Version, Limits: parts.Limits,
		Services: make(map[string]RoutedService, len(parts.Services)),
		routes:   make(map[string][]*Route), accounts: parts.Accounts, count: len(parts.Routes),
	}
	for _, service := range parts.Services {
		table.Services[service.Name] = service
	}
	for i := range parts.Routes {
		route := &parts.Routes[i]
		host := strings.ToLower(route.Host)
		table.routes[host] = append(table.routes[host], route)
	}
	for _, routes := range table.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return table
}

// Find returns the route of a request, the one with the longest prefix of its path, or nil.
func (t *RouteTable) Find(host, path string) *Route {
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that holds the API key.
func (t *RouteTable) Account(key string) (RoutedAccount, bool) {
	account, found := t.accounts[DigestKey(key)]
	return account, found
}

// NeedsKeys reports whether requests carry API keys.
func (t *RouteTable) NeedsKeys() bool { return t.accounts != nil }

// RouteCount returns the number of routes.
func (t *RouteTable) RouteCount() int { return t.count }

// Destination chooses the service of a request; draw is uniform from 0 up to 1.
func (r *Route) Destination(draw float64) string {
	total := 0.0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	point := draw * total
	for _, destination := range r.Destinations {
		if point < destination.Weight {
			return destination.Service
		}
		point -= destination.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
