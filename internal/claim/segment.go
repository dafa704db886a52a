package claim

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// entry is a claim as stored in a segment.
type entry struct {
	KeyDigest keyDigest `json:"key"`
	Record
}

// segment is the value of one object in a shard's ring.
type segment struct {
	// Generation numbers the shard's segments from one. Its slot in the ring is Generation modulo
	// Slots.
	Generation uint64 `json:"generation"`
	// Sealed means that the segment accepts no more keys. The state of its entries may still change.
	Sealed bool `json:"sealed,omitempty"`
	// MaxClaimTick is an upper bound of the tick at which the segment was last written, and so of its
	// last claim's tick.
	MaxClaimTick uint64  `json:"stamp"`
	Entries      []entry `json:"entries"`
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

// find returns the key's entry, or nil.
func (s *segment) find(digest keyDigest) *entry {
	for i := range s.Entries {
		if s.Entries[i].KeyDigest == digest {
			return &s.Entries[i]
		}
	}
	return nil
}

// slot is this VM's cached state of one object in the ring.
type slot struct {
	version      uint64
	generation   uint64
	sealed       bool
	maxClaimTick uint64
	// keys holds the segment's key digests. It does not change once the segment is sealed.
	keys []keyDigest
	// segment stays cached only for the head. For other slots it is nil until the object is read
	// again.
	segment *segment
}

// newSlot returns the slot for a segment and the version of its object.
func newSlot(version uint64, contents segment) slot {
	s := slot{
		version:      version,
		generation:   contents.Generation,
		sealed:       contents.Sealed,
		maxClaimTick: contents.MaxClaimTick,
		keys:         make([]keyDigest, 0, len(contents.Entries)),
		segment:      &contents,
	}
	for i := range contents.Entries {
		s.keys = append(s.keys, contents.Entries[i].KeyDigest)
	}
	return s
}

// decodeSlot returns the slot for a stored object.
func decodeSlot(stored object.Object) (slot, error) {
	contents, err := decodeSegment(stored.Value)
	return newSlot(stored.Version, contents), err
}

const keyPrefix = "claims/"

// shardPrefix returns the key prefix of a shard's objects.
func shardPrefix(shard int) string { return fmt.Sprintf("%s%03d/", keyPrefix, shard) }

// slotKey returns the object key of one slot in a shard's ring.
func slotKey(shard, index int) string { return fmt.Sprintf("%s%03d", shardPrefix(shard), index) }
