package daemon

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

// drainPrefix is the key prefix under which the platform stores drained targets.
const drainPrefix = "targets/drained/"

// drainRetryInterval is the pause after a failed read of the drained targets.
const drainRetryInterval = 500 * time.Millisecond

// drainRecord is the stored value of the object of a drained target.
type drainRecord struct {
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Drained  bool      `json:"drained"`
}

// drainFollower keeps the set of drained targets in step with the platform's store. Each entry VM runs one.
// While the store is unavailable, the last known set stays in force.
type drainFollower struct {
	store object.Store
	// onChange is called after the set has changed.
	onChange func()

	mu sync.Mutex
	// ownerByTarget maps each drained target to who drained it: an operator or, as order.DrainOwner, a reconciler.
	ownerByTarget map[string]string
}

func newDrainFollower(store object.Store, onChange func()) *drainFollower {
	return &drainFollower{store: store, onChange: onChange, ownerByTarget: make(map[string]string)}
}

// Drained reports whether the target is drained.
func (d *drainFollower) Drained(target string) bool {
	_, drained := d.Owner(target)
	return drained
}

// Owner returns who drained the target, and false when it is not drained.
func (d *drainFollower) Owner(target string) (owner string, drained bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owner, drained = d.ownerByTarget[target]
	return owner, drained
}

// SetDrained drains a target or returns it to service. If the response to the write is lost, the outcome is
// determined by reading the object.
func (d *drainFollower) SetDrained(ctx context.Context, operator, target string, drained bool) error {
	record := drainRecord{Operator: operator, At: time.Now().UTC(), Drained: drained}
	value, err := json.Marshal(record)
	if err != nil {
		return apierror.Wrap(err, apierror.KindInternal, "encode the drain", "report this")
	}
	_, err = object.Update(ctx, d.store, drainPrefix+target, func(object.Object) ([]byte, error) { return value, nil })
	if err != nil {
		return apierror.Wrap(err, apierror.KindUnavailable, "the platform did not take the change; it may or may not be in force",
			"repeat the command; it is idempotent").WithRetryAfter(drainRetryInterval)
	}
	d.apply(target, record)
	d.onChange()
	return nil
}

func (d *drainFollower) apply(target string, record drainRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if record.Drained {
		d.ownerByTarget[target] = record.Operator
		return
	}
	delete(d.ownerByTarget, target)
}

// Run lists and watches the drained targets until ctx ends. It lists them again after a failure and when the
// watched revision was compacted.
func (d *drainFollower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		listing, err := d.store.List(ctx, drainPrefix)
		if err == nil {
			d.replaceAll(listing.Objects)
			err = d.watch(ctx, listing.Revision)
		}
		if err != nil {
			pause.For(ctx, drainRetryInterval)
		}
	}
	return nil
}

func (d *drainFollower) replaceAll(objects []object.Object) {
	owners := make(map[string]string)
	for _, o := range objects {
		if record := decodeDrain(o); record.Drained {
			owners[strings.TrimPrefix(o.Key, drainPrefix)] = record.Operator
		}
	}
	d.mu.Lock()
	d.ownerByTarget = owners
	d.mu.Unlock()
	d.onChange()
}

// decodeDrain returns the record of an object. A deleted or malformed object counts as not drained.
func decodeDrain(o object.Object) drainRecord {
	var record drainRecord
	if o.Deleted || json.Unmarshal(o.Value, &record) != nil {
		return drainRecord{}
	}
	return record
}

// watch applies changes until the watch fails, or returns nil when the revision was compacted.
func (d *drainFollower) watch(ctx context.Context, revision uint64) error {
	for {
		batch, err := d.store.Watch(ctx, drainPrefix, revision)
		if err != nil {
			return errors.Wrap(err, "watch the drained targets")
		}
		if batch.Compacted {
			return nil
		}
		for _, o := range batch.Events {
			d.apply(strings.TrimPrefix(o.Key, drainPrefix), decodeDrain(o))
		}
		if len(batch.Events) > 0 {
			d.onChange()
		}
		revision = batch.Revision
	}
}
