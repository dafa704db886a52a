// Package object is the client of the platform's object API: versioned objects,
// conditional updates and watches.
//
// Reads are retried within a budget. A write is sent once: if its response is
// lost, the caller gets an UnknownOutcomeError and determines the outcome with
// Update or ResolveOutcome. Every write is conditional, so a write that is sent
// again with the same expected version takes effect at most once.
package object

import "context"

// Object is one stored object.
type Object struct {
	Key string
	// Version is the store's revision at the object's last change; zero means that the object does not exist.
	Version uint64
	Value   []byte
	// Deleted marks the event of a deletion in a Batch.
	Deleted bool
}

// Listing holds the objects under a prefix, ordered by key.
type Listing struct {
	// Revision is the store's revision at which the list was read; a watch continues after it.
	Revision uint64
	Objects  []Object
}

// Batch holds the changes that one watch call returned, in commit order.
type Batch struct {
	// Revision is the revision after which the next watch continues.
	Revision uint64
	Events   []Object
	// Compacted means that the store has dropped events after the requested revision; the caller must list again.
	Compacted bool
}

// Store is the object API. Its methods return the typed errors of this package.
type Store interface {
	// Get reads one object; a missing object is a NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List reads the objects whose keys start with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes an object if its version equals expected; zero means that the object must not exist.
	Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error)
	// Delete removes an object if its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch is one long poll: it returns as soon as there is a change after the revision, or
	// an empty Batch at the end of the wait.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
}
