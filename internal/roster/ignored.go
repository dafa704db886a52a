package roster

import (
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/object"
)

// ignoredLogInterval is the least time between two log lines on entries that name no target; a faulty writer may write
// many.
const ignoredLogInterval = time.Second

// ignoredEntries counts the entries that name no target, and logs some of them.
type ignoredEntries struct {
	logger   *log.Logger
	count    metrics.Counter
	loggedAt time.Time
	unlogged int
}

func newIgnoredEntries(logger *log.Logger) ignoredEntries {
	return ignoredEntries{logger: logger, count: metrics.GetOrRegisterCounter("roster.entries_ignored", nil)}
}

func (i *ignoredEntries) record(entry object.Object, err error, now time.Time) {
	i.count.Inc(1)
	if !i.loggedAt.IsZero() && now.Sub(i.loggedAt) < ignoredLogInterval {
		i.unlogged++
		return
	}
	i.logger.Warn("entry of the list of targets ignored", "key", entry.Key, "revision", entry.Version, "error", err, "unlogged", i.unlogged)
	i.loggedAt, i.unlogged = now, 0
}

// decode returns the target that an entry names, and false if it names none. Where the entry does not say when the target
// started, it is about the known incarnation at its address: another would get new work though it may be the same.
func (f *Follower) decode(entry object.Object) (Target, bool) {
	target, err := f.options.Decode(entry)
	target.Revision = entry.Version
	known, isKnown := f.targets[f.targetID(entry)]
	isSame := isKnown && known.Address == target.Address
	switch {
	case err == nil && (target.StartedAt != 0 || !isSame):
		return target, true
	case err == nil || errors.Is(err, ErrUnknownStart) && isSame:
		target.StartedAt = known.StartedAt
		return target, true
	}
	f.ignored.record(entry, err, time.Now())
	return Target{}, false
}
