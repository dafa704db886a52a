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

// The keys of the history: entries are small and listed together, full versions are read one by one.
const (
	historyPrefix = "config/history/"
	versionPrefix = "config/versions/"
)

// maxHistory bounds the versions that can be shown and rolled back to.
const maxHistory = 256

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }
func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

// archive stores the root's own version in the history. It runs before the root is replaced,
// so that every version but the newest is archived, and the newest is the root itself.
func archive(ctx context.Context, store object.Store, current *root) error {
	entry, err := json.Marshal(current.Latest)
	if err != nil {
		return errors.Wrap(err, "encode a history entry")
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return putOnce(ctx, store, versionKey(current.version()), policy.Encode(current.Configuration))
	})
	group.Go(func() error { return putOnce(ctx, store, historyKey(current.version()), entry) })
	return group.Wait()
}

// putOnce creates an object whose value depends on its key alone: one that exists is the same.
func putOnce(ctx context.Context, store object.Store, key string, value []byte) error {
	_, err := store.Put(ctx, key, value, 0)
	if _, exists := object.AsConflict(err); exists {
		return nil
	}
	if object.IsUnknownOutcome(err) {
		_, _, err = object.Settle(ctx, store, key, value, 0, func(held object.Object) bool { return held.Version > 0 })
	}
	return err
}

// prune removes the version that fell out of the history; a failure leaves one entry more.
func prune(ctx context.Context, store object.Store, newest uint64) {
	if newest <= maxHistory {
		return
	}
	for _, key := range []string{historyKey(newest - maxHistory), versionKey(newest - maxHistory)} {
		if held, err := store.Get(ctx, key); err == nil {
			_ = store.Delete(ctx, key, held.Version)
		}
	}
}

// History returns the accepted versions, newest first.
func (m *Manager) History(ctx context.Context) ([]Acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
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
	for _, held := range listing.Objects {
		var entry Acceptance
		if err := json.Unmarshal(held.Value, &entry); err != nil {
			return nil, errors.Wrapf(err, "decode %s", held.Key)
		}
		if entry.Version < current.version() {
			entries = append(entries, entry)
		}
	}
	entries = append(entries, current.Latest)
	slices.Reverse(entries)
	return entries, nil
}

// At returns the configuration of an accepted version that the history still holds.
func (m *Manager) At(ctx context.Context, version uint64) (*policy.Configuration, error) {
	current, _, err := readRoot(ctx, m.options.Store)
	if err != nil {
		return nil, err
	}
	if current != nil && current.version() == version {
		return current.Configuration, nil
	}
	held, err := m.options.Store.Get(ctx, versionKey(version))
	if object.IsNotFound(err) {
		return nil, apierror.Newf(apierror.KindNotFound, "choose a version that \"show history\" lists",
			"the history holds no version %d", version)
	}
	if err != nil {
		return nil, err
	}
	return policy.Decode(held.Value)
}

// RollBack is the change that makes an earlier version's content the newest version.
func RollBack(ctx context.Context, m *Manager, operator string, version uint64) Change {
	return Change{
		Operator: operator,
		Summary:  fmt.Sprintf("roll back to %d", version),
		Apply: func(configuration *policy.Configuration) error {
			earlier, err := m.At(ctx, version)
			if err != nil {
				return err
			}
			*configuration = *earlier.Clone()
			return nil
		},
	}
}
