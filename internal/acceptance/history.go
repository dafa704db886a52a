package acceptance

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/apierror"
	"godwitcart/internal/object"
	"godwitcart/internal/policy"
)

// Key prefixes of the history. Entries are small and listed together; full versions are read one at a time.
const (
	historyPrefix = "config/history/"
	versionPrefix = "config/versions/"
)

// maxHistory is the number of versions that can be shown and rolled back to.
const maxHistory = 256

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }
func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

// archive stores the version of the root in the history. It runs before the root is replaced, so every version except
// the newest is archived, and the newest is in the root.
func archive(ctx context.Context, store object.Store, current *root) error {
	entry, err := json.Marshal(current.Latest)
	if err != nil {
		return errors.Wrap(err, "encode a history entry")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return createIfAbsent(ctx, store, versionKey(current.version()), policy.Encode(current.Configuration))
	})
	group.Go(func() error { return createIfAbsent(ctx, store, historyKey(current.version()), entry) })
	return group.Wait()
}

// createIfAbsent creates an object whose value is determined by its key, so that an existing object is identical.
func createIfAbsent(ctx context.Context, store object.Store, key string, value []byte) error {
	_, err := store.Put(ctx, key, value, 0)
	if _, exists := object.AsConflict(err); exists {
		return nil
	}
	if object.IsUnknownOutcome(err) {
		_, _, err = object.ResolveOutcome(ctx, store, key, value, 0, func(stored object.Object) bool { return stored.Version > 0 })
	}
	return err
}

// pruneHistory deletes the version that has become too old for the history. Errors are ignored: they only leave an
// additional entry.
func pruneHistory(ctx context.Context, store object.Store, newest uint64) {
	if newest <= maxHistory {
		return
	}
	for _, key := range []string{historyKey(newest - maxHistory), versionKey(newest - maxHistory)} {
		if stored, err := store.Get(ctx, key); err == nil {
			_ = store.Delete(ctx, key, stored.Version)
		}
	}
}

// History returns the accepted versions, newest first.
func (m *Manager) History(ctx context.Context) ([]Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, platformReadTimeout)
	defer cancel()
	current, _, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return nil, err
	}
	if current == nil {
		return nil, nil
	}
	listing, err := m.options.Store.List(ctx, historyPrefix)
	if err != nil {
		return nil, err
	}
	entries := make([]Acceptance, 0, len(listing.Objects)+1)
	for _, stored := range listing.Objects {
		var entry Acceptance
		if err := json.Unmarshal(stored.Value, &entry); err != nil {
			return nil, errors.Wrapf(err, "decode %s", stored.Key)
		}
		// An unfinished or rejected proposal may have archived the version of the root; Latest describes it.
		if entry.Version < current.version() {
			entries = append(entries, entry)
		}
	}
	entries = append(entries, current.Latest)
	slices.Reverse(entries)
	return entries, nil
}

// ConfigurationAt returns the configuration of an accepted version, or an error of kind KindNotFound if it is no
// longer in the history.
func (m *Manager) ConfigurationAt(ctx context.Context, version uint64) (*policy.Configuration, error) {
	current, _, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return nil, err
	}
	if current != nil && current.version() == version {
		return current.Configuration, nil
	}
	stored, err := m.options.Store.Get(ctx, versionKey(version))
	if object.IsNotFound(err) {
		return nil, apierror.Newf(apierror.KindNotFound, "choose a version that \"show history\" lists",
			"the history holds no version %d", version)
	}
	if err != nil {
		return nil, err
	}
	return policy.Decode(stored.Value)
}

// RollBack returns a change that makes the content of an earlier version the newest version.
func RollBack(ctx context.Context, m *Manager, operator string, version uint64) Change {
	return Change{
		Operator: operator,
		Summary:  fmt.Sprintf("roll back to %d", version),
		Apply: func(configuration *policy.Configuration) error {
			earlier, err := m.ConfigurationAt(ctx, version)
			if err != nil {
				return err
			}
			*configuration = *earlier.Clone()
			return nil
		},
	}
}
