// Package evacuation keeps which zones operators have asked to be emptied: no request may reach a target there.
//
// The platform's store holds one object for each such zone. A Follower reads them, a Registry keeps the newest state, read
// or heard from a peer. Invariant: a state is replaced only by one of a later revision of the store, so that silence, a
// failed read or a peer that has missed a change takes no zone back.
package evacuation

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
)

// State is the set of zones in evacuation at a revision of the store.
type State struct {
	Revision uint64
	// Zones is sorted.
	Zones []string
	// Age is the time since an entry VM first read this state.
	Age time.Duration
}

// Options configures a Registry.
type Options struct {
	Logger *log.Logger
	// Changed is called with the zones in evacuation after they have changed, in the order of the changes. It must not
	// call the Registry.
	Changed func(zones []string)
}

// Registry holds the newest known state. It is safe for concurrent use.
type Registry struct {
	options Options
	metrics registryMetrics

	mu       sync.Mutex
	revision uint64
	zones    map[string]zone
	// everKnown is set once a zone has been in evacuation.
	everKnown bool
	// readAt is about when an entry VM first read the state.
	readAt time.Time
}

// zone is a zone in evacuation.
type zone struct {
	since  time.Time
	source string
}

type registryMetrics struct {
	zones         metrics.Gauge
	begun, ended  metrics.Counter
	heardFromPeer metrics.Counter
}

// NewRegistry returns a Registry that knows of no evacuation.
func NewRegistry(options Options) *Registry {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("evacuation."+name, nil) }
	return &Registry{options: options, zones: make(map[string]zone), metrics: registryMetrics{
		zones: metrics.GetOrRegisterGauge("evacuation.zones", nil), begun: counter("begun"), ended: counter("ended"), heardFromPeer: counter("heard_from_peer"),
	}}
}

// Known returns the newest state, and false if no zone has been in evacuation since the start.
func (r *Registry) Known(now time.Time) (State, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{Revision: r.revision, Zones: slices.Sorted(maps.Keys(r.zones)), Age: now.Sub(r.readAt)}, r.everKnown
}

// Hear records a state that a peer has told, and reports whether it changed anything.
func (r *Registry) Hear(peer string, told State, now time.Time) bool {
	changed := r.record(told, peer, now)
	if changed {
		r.metrics.heardFromPeer.Inc(1)
	}
	return changed
}

// record replaces the state by a newer one, and reports whether the zones have changed.
func (r *Registry) record(next State, source string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if next.Revision <= r.revision {
		return false
	}
	r.revision = next.Revision
	r.readAt = now.Add(-next.Age)
	changed := false
	for _, name := range next.Zones {
		if _, known := r.zones[name]; !known {
			changed = true
			r.zones[name] = zone{since: r.readAt, source: source}
			r.metrics.begun.Inc(1)
			r.options.Logger.Warn("zone in evacuation", "zone", name, "source", source, "revision", next.Revision, "age_ms", next.Age.Milliseconds())
		}
	}
	for name, last := range r.zones {
		if !slices.Contains(next.Zones, name) {
			changed = true
			delete(r.zones, name)
			r.metrics.ended.Inc(1)
			r.options.Logger.Info("zone taken back", "zone", name, "source", source, "revision", next.Revision, "age_ms", next.Age.Milliseconds(), "evacuated_ms", now.Sub(last.since).Milliseconds())
		}
	}
	if changed {
		r.everKnown = true
		r.metrics.zones.Update(int64(len(r.zones)))
		r.options.Changed(slices.Sorted(maps.Keys(r.zones)))
	}
	return changed
}

// ZoneStatus describes a zone in evacuation to operators.
type ZoneStatus struct {
	Zone string `json:"zone"`
	// Source is "store" or the VM that told of it.
	Source   string        `json:"source"`
	Revision uint64        `json:"revision"`
	Age      time.Duration `json:"age"`
}

// Status returns the zones in evacuation, sorted by name.
func (r *Registry) Status(now time.Time) []ZoneStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := make([]ZoneStatus, 0, len(r.zones))
	for _, name := range slices.Sorted(maps.Keys(r.zones)) {
		status = append(status, ZoneStatus{Zone: name, Source: r.zones[name].source, Revision: r.revision, Age: now.Sub(r.zones[name].since)})
	}
	return status
}
