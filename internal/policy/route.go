package policy

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Route assigns the requests to a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Generations is set if the requests are generations, which hold memory of an engine.
	Generations bool
	// Streaming responses are sequences of numbered events.
	Streaming bool
	// Resumable streams can be continued by another target after the last event that the client received.
	Resumable bool
	// MaxAttempts bounds the number of targets that one request may run on.
	MaxAttempts int
	// Timeout bounds the time until the final response; zero means no limit.
	Timeout time.Duration
	// LatencyObjective is the target time until a response, or until the first event of a stream.
	LatencyObjective time.Duration
	// MaxGap is the target upper bound of the time between two events of a stream.
	MaxGap time.Duration
	// Priority orders requests; the lowest number is served first.
	Priority int
	// Anonymous routes need no API key.
	Anonymous bool
	// Destinations are the services and their weights; the sum of the weights is positive.
	Destinations []Destination
}

// Destination is a service with its weight among a route's destinations.
type Destination struct {
	Service string
	Weight  float64
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots           int
	KVCacheTokens   int
	KVBytesPerToken float64
	// LinkMbps is the network rate at which an engine sends and receives KV caches, in Mbit/s.
	LinkMbps float64
	// SupportsMoves states that a running generation can be copied to another engine.
	SupportsMoves bool
	// SupportsBackups states that an engine can maintain a backup of the KV cache of a generation that another one runs.
	SupportsBackups bool
}

// RoutedService is a service that routes refer to.
type RoutedService struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
	// ColdPerSecond is the number of requests a second that a cold target takes from all entry VMs together; zero means
	// that cold targets have no such limit.
	ColdPerSecond float64
	// ColdStart is how long a target is cold after a start.
	ColdStart time.Duration
	// MaxConnections is the number of connections that a target accepts from all callers; zero means that it is not known.
	MaxConnections int
}

// RoutedAccount is a client account of a RouteTable.
type RoutedAccount struct {
	Name string
	// Priority overrides the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
}

// CallerLimits are the limits on client requests.
type CallerLimits struct {
	// MaxBodyBytes is the maximum size of a request body; zero means the default.
	MaxBodyBytes int64
	// MaxHeaderBytes is the maximum size of the header of a request; zero means the default.
	MaxHeaderBytes int
	// HeaderTimeout is how long a client may take to send a header, and IdleTimeout how long its connection may be open without
	// a request; zero means the default.
	HeaderTimeout, IdleTimeout time.Duration
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// RouteTable is one version of the routes, services and accounts of a deployment. It is immutable once
// BuildRouteTable has returned it.
type RouteTable struct {
	Version  uint64
	Limits   CallerLimits
	Services map[string]RoutedService
	// routesByHost holds the routes of each lower-case host name, longest path prefix first.
	routesByHost map[string][]*Route
	// accountsByKey is nil if requests need no API key.
	accountsByKey map[KeyDigest]RoutedAccount
	routeCount    int
}

// RouteTableParts is the input of BuildRouteTable.
type RouteTableParts struct {
	Version  uint64
	Limits   CallerLimits
	Services []RoutedService
	Routes   []Route
	Accounts map[KeyDigest]RoutedAccount
}

// BuildRouteTable builds a RouteTable from the parts, which must not be changed afterwards.
func BuildRouteTable(parts RouteTableParts) *RouteTable {
	table := &RouteTable{
		Version: parts.Version, Limits: parts.Limits,
		Services:     make(map[string]RoutedService, len(parts.Services)),
		routesByHost: make(map[string][]*Route), accountsByKey: parts.Accounts, routeCount: len(parts.Routes),
	}
	for _, service := range parts.Services {
		table.Services[service.Name] = service
	}
	for i := range parts.Routes {
		route := &parts.Routes[i]
		host := strings.ToLower(route.Host)
		table.routesByHost[host] = append(table.routesByHost[host], route)
	}
	for _, routes := range table.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)) })
	}
	return table
}

// Find returns the route of a request, or nil. If several match, the one with the longest path prefix applies.
func (t *RouteTable) Find(host, path string) *Route {
	for _, route := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Account returns the account that the API key belongs to.
func (t *RouteTable) Account(key string) (RoutedAccount, bool) {
	account, found := t.accountsByKey[DigestKey(key)]
	return account, found
}

// NeedsKeys reports whether requests need an API key, anonymous routes aside.
func (t *RouteTable) NeedsKeys() bool { return t.accountsByKey != nil }

// RouteCount returns the number of routes.
func (t *RouteTable) RouteCount() int { return t.routeCount }

// PickService selects the service of a request in proportion to the weights; draw is uniform in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0.0
	for _, destination := range r.Destinations {
		total += destination.Weight
	}
	remaining := draw * total
	for _, destination := range r.Destinations {
		if remaining < destination.Weight {
			return destination.Service
		}
		remaining -= destination.Weight
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// LeadsTo reports whether requests of the route may go to the service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(d Destination) bool { return d.Service == service })
}
