// Package object is the client of the platform's object API: versioned objects,
// conditional updates and watches.
//
// Reads are retried within a budget. A write is sent once: when its answer is
// lost the caller gets an UnknownOutcomeError and settles the outcome with
// Update or Settle. Every write is conditional, so sending one again with the
// same expected version can take effect at most once.
package object

import "context"

// Object is one stored object.
type Object struct {
	Key string
	// Version is the store's revision at the object's last change; zero means that it does not exist.
	Version uint64
	Value   []byte
	// Deleted marks the event of a deletion in a Batch.
	Deleted bool
}

// Listing holds the objects under a prefix in the order of their keys.
type Listing struct {
	// Revision is the store's revision that the list was read at; a watch continues after it.
	Revision uint64
	Objects  []Object
}

// Batch holds the changes that one watch call returned, in the order in which they were made.
type Batch struct {
	// Revision is where the next watch continues.
	Revision uint64
	Events   []Object
	// Compacted means that events were dropped: list again.
	Compacted bool
}

// Store is the object API. Its methods return the typed errors of this package.
type Store interface {
	// Get reads one object; a missing one is a NotFoundError.
	Get(ctx context.Context, key string) (Object, error)
	// List reads the objects whose keys start with prefix.
	List(ctx context.Context, prefix string) (Listing, error)
	// Put writes an object if its version equals expected; zero means that it must not exist.
	Put(ctx context.Context, key string, value []byte, expected uint64) (Object, error)
	// Delete removes an object if its version equals expected.
	Delete(ctx context.Context, key string, expected uint64) error
	// Watch is one long poll: it returns as soon as there is a change after the revision, and
	// an empty Batch when the wait is over.
	Watch(ctx context.Context, prefix string, after uint64) (Batch, error)
}
