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

// drainPrefix is where the platform holds the targets that operators took out of use.
const drainPrefix = "targets/drained/"

// drainRetryInterval is the pause after a failed read of the drained targets.
const drainRetryInterval = 500 * time.Millisecond

// drainRecord is the value of a drained target's object.
type drainRecord struct {
	Operator string    `json:"operator"`
	At       time.Time `json:"at"`
	Drained  bool      `json:"drained"`
}

// drains follows the targets that operators took out of use, on every entry VM. While the platform
// is away the last known set stays in force.
type drains struct {
	store object.Store
	// onChange is called after the set has changed.
	onChange func()

	mu sync.Mutex
	// owners holds who took each drained target out of use.
	owners map[string]string
}

func newDrains(store object.Store, onChange func()) *drains {
	return &drains{store: store, onChange: onChange, owners: make(map[string]string)}
}

// Drained reports whether operators took the target out of use.
func (d *drains) Drained(target string) bool {
	_, drained := d.Owner(target)
	return drained
}

// Owner returns who took the target out of use, and false when nobody did.
func (d *drains) Owner(target string) (owner string, drained bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	owner, drained = d.owners[target]
	return owner, drained
}

// SetDrained takes a target out of use or puts it back. A write whose answer is lost is settled by
// reading back.
func (d *drains) SetDrained(ctx context.Context, operator, target string, drained bool) error {
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

func (d *drains) apply(target string, record drainRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if record.Drained {
		d.owners[target] = record.Operator
		return
	}
	delete(d.owners, target)
}

// Run follows the platform until ctx ends.
func (d *drains) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		listing, err := d.store.List(ctx, drainPrefix)
		if err == nil {
			d.replace(listing.Objects)
			err = d.watch(ctx, listing.Revision)
		}
		if err != nil {
			pause.For(ctx, drainRetryInterval)
		}
	}
	return nil
}

func (d *drains) replace(objects []object.Object) {
	owners := make(map[string]string)
	for _, o := range objects {
		if record := readDrain(o); record.Drained {
			owners[strings.TrimPrefix(o.Key, drainPrefix)] = record.Operator
		}
	}
	d.mu.Lock()
	d.owners = owners
	d.mu.Unlock()
	d.onChange()
}

// readDrain returns a record that is not drained for an object that is deleted or malformed.
func readDrain(o object.Object) drainRecord {
	var record drainRecord
	if o.Deleted || json.Unmarshal(o.Value, &record) != nil {
		return drainRecord{}
	}
	return record
}

// watch applies changes until the watch fails or has to start anew.
func (d *drains) watch(ctx context.Context, revision uint64) error {
	for {
		batch, err := d.store.Watch(ctx, drainPrefix, revision)
		if err != nil {
			return errors.Wrap(err, "watch the drained targets")
		}
		if batch.Compacted {
			return nil
		}
		for _, o := range batch.Events {
			d.apply(strings.TrimPrefix(o.Key, drainPrefix), readDrain(o))
		}
		if len(batch.Events) > 0 {
			d.onChange()
		}
		revision = batch.Revision
	}
}
