package claim

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// entry is one claim as stored in a segment.
type entry struct {
	KeyDigest keyDigest `json:"key"`
	Record
}

// segment is the value of one object of a shard's ring.
type segment struct {
	// Generation counts the shard's segments from one; the ring slot is Generation modulo Slots.
	Generation uint64 `json:"generation"`
	// Sealed means that no key may be added any more. Entries may still change their state.
	Sealed bool `json:"sealed,omitempty"`
	// Stamp is an upper bound of the tick at which the last entry was claimed.
	Stamp   uint64  `json:"stamp"`
	Entries []entry `json:"entries"`
}

func decodeSegment(value []byte) (segment, error) {
	var decoded segment
	if len(value) == 0 {
		return decoded, nil
	}
	err := json.Unmarshal(value, &decoded)
	return decoded, errors.Wrap(err, "decode claims")
}

func (s segment) encode() ([]byte, error) {
	value, err := json.Marshal(s)
	return value, errors.Wrap(err, "encode claims")
}

// find returns the entry of a key, or nil.
func (s *segment) find(digest keyDigest) *entry {
	for i := range s.Entries {
		if s.Entries[i].KeyDigest == digest {
			return &s.Entries[i]
		}
	}
	return nil
}

// slot is what this VM knows of one object of the ring.
type slot struct {
	version    uint64
	generation uint64
	sealed     bool
	stamp      uint64
	// keys holds the segment's key digests; it is final once the segment is sealed.
	keys []keyDigest
	// segment is kept for the head only and is nil elsewhere until it is read again.
	segment *segment
}

// newSlot returns the slot that holds a segment at an object's version.
func newSlot(version uint64, held segment) slot {
	known := slot{
		version:    version,
		generation: held.Generation,
		sealed:     held.Sealed,
		stamp:      held.Stamp,
		keys:       make([]keyDigest, 0, len(held.Entries)),
		segment:    &held,
	}
	for i := range held.Entries {
		known.keys = append(known.keys, held.Entries[i].KeyDigest)
	}
	return known
}

// readSlot returns the slot that a stored object describes.
func readSlot(stored object.Object) (slot, error) {
	held, err := decodeSegment(stored.Value)
	return newSlot(stored.Version, held), err
}

const prefix = "claims/"

// shardPrefix returns the prefix of a shard's objects.
func shardPrefix(shard int) string { return fmt.Sprintf("%s%03d/", prefix, shard) }

// slotKey returns the key of one slot of a shard's ring.
func slotKey(shard, index int) string { return fmt.Sprintf("%s%03d", shardPrefix(shard), index) }
