package object

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ErrRelist is returned by Followed.Watch if the watch cannot go on and the objects must be listed again.
var ErrRelist = errors.New("the objects must be listed again")

// Followed is the state that Follow keeps up to date.
type Followed struct {
	// List reads all objects and returns the revision from which to watch.
	List func(ctx context.Context) (uint64, error)
	// Watch waits for changes after the revision and returns the one from which to continue.
	Watch func(ctx context.Context, after uint64) (uint64, error)
	// Failed is called with each other error. It returns when the call may be repeated.
	Failed func(ctx context.Context, err error)
}

// Follow lists the objects and then watches them until ctx is done. After a failure it continues from the last revision.
func Follow(ctx context.Context, followed Followed) {
	isListed := false
	var revision uint64
	for ctx.Err() == nil {
		var next uint64
		var err error
		if isListed {
			next, err = followed.Watch(ctx, revision)
		} else {
			next, err = followed.List(ctx)
		}
		switch {
		case err == nil:
			revision, isListed = next, true
		case errors.Is(err, ErrRelist):
			isListed = false
		default:
			followed.Failed(ctx, err)
		}
	}
}
