package versions

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"math/rand/v2"
	"regexp"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

// Prefix is the common prefix of the keys of the records.
const Prefix = "service-versions/"

const (
	// soleTimeout bounds the read of a record for a caller that resumes a stream.
	soleTimeout = 300 * time.Millisecond
	// updateTimeout bounds one update of a record, and retryInterval is the time between two tries.
	updateTimeout = time.Second
	retryInterval = 250 * time.Millisecond
	// readerHeadStart is how long the other VMs leave a new version to the readers, which record it.
	readerHeadStart = 100 * time.Millisecond
	// departedAfter is how long a version must be absent from the list before the record says so; entries may lapse for seconds.
	departedAfter = 30 * time.Second
	// Memory is how long a version that is no longer listed is held. No stream lasts longer.
	Memory = 10 * time.Minute
	// upkeepInterval is the time between two looks for versions that have departed.
	upkeepInterval = 5 * time.Second
)

// ErrUnknown marks the error of Sole if the store does not tell which versions there have been.
var ErrUnknown = errors.New("the software versions of the service are not known")

// Options configures a Registry.
type Options struct {
	Store  object.Store
	Logger *log.Logger
	// IsReader reports whether this VM records new versions at once, and those that have departed.
	IsReader func() bool
	// IsFirstStart is set if no VM of the fleet has run before, so that no stream began before the records.
	IsFirstStart bool
	// Recorded is called with the versions of a service at which streams may begin, after they have changed.
	Recorded func(service string, versions []string)
}

// Registry is one VM's part in the records. It is safe for concurrent use.
type Registry struct {
	options   Options
	startedAt time.Time
	metrics   registryMetrics

	mu sync.Mutex
	// services holds what this VM knows of each service.
	services map[string]*service
	// wake has a value when versions are to be recorded.
	wake chan struct{}
}

// service is what a VM knows of one service.
type service struct {
	// listed are the versions of the targets on the list, and absentSince when others were last there.
	listed      map[string]bool
	absentSince map[string]time.Time
	// recorded are the listed versions that the record holds as serving.
	recorded map[string]bool
	// departed are the absent versions of which the record says so.
	departed map[string]bool
	// isIncomplete is record.Incomplete when it was last read.
	isIncomplete bool
	// read is the read of the record that callers wait for, next the one that begins after it; nil for none.
	read, next *recordRead
}

type registryMetrics struct{ sole, several, unknown, writes metrics.Counter }

// NewRegistry returns a Registry that knows of no version.
func NewRegistry(options Options) *Registry {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("versions."+name, nil) }
	return &Registry{
		options: options, startedAt: time.Now(), services: make(map[string]*service), wake: make(chan struct{}, 1),
		metrics: registryMetrics{sole: counter("sole"), several: counter("several"), unknown: counter("unknown"), writes: counter("writes")},
	}
}

// Observe replaces the versions on the list, by service. It does not block; those that are new are recorded by Run.
func (r *Registry) Observe(listed map[string]map[string]bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range listed {
		if r.services[name] == nil {
			r.services[name] = &service{recorded: make(map[string]bool), departed: make(map[string]bool), absentSince: make(map[string]time.Time)}
		}
	}
	isNew := false
	for name, s := range r.services {
		isNew = s.observe(listed[name], now) || isNew
	}
	if isNew {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// observe replaces the listed versions, and reports whether one is not known to be recorded. A version that disappears from the
// list is recorded again when it returns: it may have left the record.
func (s *service) observe(listed map[string]bool, now time.Time) (isNew bool) {
	for version := range s.listed {
		if !listed[version] {
			s.absentSince[version] = now
			delete(s.recorded, version)
		}
	}
	for version := range listed {
		delete(s.absentSince, version)
		delete(s.departed, version)
		isNew = isNew || !s.recorded[version]
	}
	s.listed = listed
	return isNew
}

// HasRecorded reports whether streams may begin at all listed versions.
func (r *Registry) HasRecorded() bool { return len(r.missing()) == 0 }

// Run records new versions, and those that have departed, until ctx is done.
func (r *Registry) Run(ctx context.Context) error {
	upkeep := time.NewTicker(upkeepInterval)
	defer upkeep.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			if !r.options.IsReader() {
				pause.For(ctx, readerHeadStart+rand.N(readerHeadStart))
			}
			for !r.recordNew(ctx) && pause.For(ctx, retryInterval+rand.N(retryInterval)) {
			}
		case <-upkeep.C:
			if r.options.IsReader() {
				r.recordDeparted(ctx, time.Now())
			}
		}
	}
}

// recordNew records the listed versions that are not known to be recorded, and reports whether that succeeded for all.
func (r *Registry) recordNew(ctx context.Context) bool {
	succeeded := true
	for name, missing := range r.missing() {
		stored, err := r.update(ctx, name, func(stored *record) bool {
			changed := false
			for _, version := range missing {
				changed = stored.add(version) || changed
			}
			return changed
		})
		if err != nil {
			succeeded = false
			r.options.Logger.Warn("software versions not recorded", "service", name, "versions", missing, "error", err)
			continue
		}
		r.confirm(name, stored)
	}
	return succeeded
}

// missing returns the listed versions that are not known to be recorded, by service.
func (r *Registry) missing() map[string][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	missing := make(map[string][]string)
	for name, s := range r.services {
		for version := range s.listed {
			if !s.recorded[version] {
				missing[name] = append(missing[name], version)
			}
		}
	}
	return missing
}

// confirm takes over which listed versions the record holds.
func (r *Registry) confirm(name string, stored record) {
	r.mu.Lock()
	s := r.services[name]
	for version := range s.listed {
		if stored.holds(version) {
			s.recorded[version] = true
		}
	}
	s.learn(stored, r.startedAt)
	recorded := slices.Sorted(maps.Keys(s.recorded))
	r.mu.Unlock()
	r.options.Logger.Info("software versions recorded", "service", name, "serving", stored.Serving, "departed", stored.Departed, "incomplete", stored.Incomplete)
	r.options.Recorded(name, recorded)
}

// learn takes note of what the record of the service says of the time before this VM started.
func (s *service) learn(stored record, startedAt time.Time) {
	s.isIncomplete = stored.Incomplete
	for _, version := range slices.Concat(stored.Serving, stored.Departed) {
		if _, known := s.absentSince[version]; !known && !s.listed[version] {
			s.absentSince[version] = startedAt
		}
	}
}

// update changes the record of a service and returns it.
func (r *Registry) update(ctx context.Context, name string, change func(*record) bool) (record, error) {
	ctx, cancel := context.WithTimeout(ctx, updateTimeout)
	defer cancel()
	var result record
	_, err := object.Update(ctx, r.options.Store, recordKey(name), func(current object.Object) ([]byte, error) {
		stored, err := decodeRecord(current.Value)
		if current.Version == 0 {
			stored, err = record{Service: name, Incomplete: !r.options.IsFirstStart}, nil
		}
		if err != nil { // nothing is known of the time before
			stored = record{Service: name, Incomplete: true}
		}
		changed := change(&stored)
		result = stored
		if !changed && err == nil && current.Version != 0 {
			return nil, object.ErrUnchanged
		}
		r.metrics.writes.Inc(1)
		return result.encode()
	})
	return result, err
}

// recordDeparted records which versions are no longer listed, and forgets those that no stream can come from any more.
func (r *Registry) recordDeparted(ctx context.Context, now time.Time) {
	for name, due := range r.departed(now) {
		stored, err := r.update(ctx, name, due.apply)
		if err != nil {
			r.options.Logger.Warn("departed software versions not recorded", "service", name, "error", err)
			continue
		}
		due.settle(r, name, stored)
	}
}

// departure is what the record of a service has to say of versions that are not listed.
type departure struct {
	departed, forgotten []string
	// isComplete is set once this VM has followed the list for as long as streams last.
	isComplete bool
}

// departed returns what is due, by service. A version of which this VM does not know since when it is absent counts from the start
// of the VM.
func (r *Registry) departed(now time.Time) map[string]*departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make(map[string]*departure)
	for name, s := range r.services {
		d := &departure{isComplete: s.isIncomplete && now.Sub(r.startedAt) > Memory}
		for version, since := range s.absentSince {
			switch absent := now.Sub(since); {
			case absent > Memory:
				d.forgotten = append(d.forgotten, version)
			case absent > departedAfter && !s.departed[version]:
				d.departed = append(d.departed, version)
			}
		}
		if len(d.departed)+len(d.forgotten) > 0 || d.isComplete {
			due[name] = d
		}
	}
	return due
}

func (d *departure) apply(stored *record) bool {
	changed := false
	for _, version := range d.departed {
		changed = stored.depart(version) || changed
	}
	for _, version := range d.forgotten {
		changed = stored.forget(version) || changed
	}
	if d.isComplete && stored.Incomplete {
		stored.Incomplete, changed = false, true
	}
	return changed
}

// settle takes over what is recorded.
func (d *departure) settle(r *Registry, name string, stored record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	for _, version := range d.departed {
		s.departed[version] = true
	}
	for _, version := range d.forgotten {
		delete(s.absentSince, version)
		delete(s.departed, version)
	}
	s.learn(stored, r.startedAt)
}

// safeName matches the names of services that are names of objects as they are.
var safeName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)

func recordKey(service string) string {
	if safeName.MatchString(service) {
		return Prefix + service
	}
	digest := sha256.Sum256([]byte(service))
	return Prefix + "_" + hex.EncodeToString(digest[:16])
}
