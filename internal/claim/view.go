package claim

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// shardView is this VM's cached view of one shard. It may be stale; before a result depends on it, a
// conditional update or a new read of the slot verifies it.
type shardView struct {
	slots []slot
	// head is the highest generation, or zero before the first segment.
	head uint64
	// byKey maps a key digest to the index of its slot.
	byKey map[keyDigest]uint16
}

var errStaleView = errors.New("the view of the shard is too old and must be read again")

// newShardView builds a view from a listing of the shard's objects. It returns errStaleView if the
// listing is inconsistent, that is, if a segment below the highest generation is not sealed. Only the
// head's segment stays cached.
func newShardView(slots int, listed []object.Object) (*shardView, error) {
	v := &shardView{slots: make([]slot, slots), byKey: make(map[keyDigest]uint16)}
	for _, stored := range listed {
		index, err := strconv.Atoi(stored.Key[strings.LastIndexByte(stored.Key, '/')+1:])
		if err != nil || index >= slots {
			return nil, errors.Newf("object %q is not a segment of claims", stored.Key)
		}
		decoded, err := decodeSlot(stored)
		if err != nil {
			return nil, err
		}
		v.head = max(v.head, decoded.generation)
		v.replace(index, decoded)
	}
	for i := range v.slots {
		s := &v.slots[i]
		if s.generation == v.head {
			continue
		}
		if s.generation > 0 && !s.sealed {
			return nil, errStaleView
		}
		s.segment = nil
	}
	return v, nil
}

func (v *shardView) index(generation uint64) int { return int(generation % uint64(len(v.slots))) }

func (v *shardView) headSlot() *slot { return &v.slots[v.index(v.head)] }

// headSealed reports whether a new key needs a new segment.
func (v *shardView) headSealed() bool { return v.head == 0 || v.headSlot().sealed }

// replace replaces the cached state of a slot.
func (v *shardView) replace(index int, latest slot) {
	for _, key := range v.slots[index].keys {
		if v.byKey[key] == uint16(index) {
			delete(v.byKey, key)
		}
	}
	v.slots[index] = latest
	for _, key := range latest.keys {
		v.byKey[key] = uint16(index)
	}
}

// locate returns the slot in which an operation on a key takes effect. needsSegment means that the key
// is new and a new segment must be created in that slot.
func (v *shardView) locate(digest keyDigest) (index int, needsSegment bool) {
	if found, ok := v.byKey[digest]; ok {
		return int(found), false
	}
	if v.headSealed() {
		return v.index(v.head + 1), true
	}
	return v.index(v.head), false
}

// evictSegment drops a slot's cached segment unless the slot is the head. The slot's key digests are
// kept.
func (v *shardView) evictSegment(index int) {
	if index != v.index(v.head) {
		v.slots[index].segment = nil
	}
}

// apply updates the view with a slot that was read or written. It returns errStaleView if there must
// be segments that this VM has not read.
func (v *shardView) apply(index int, latest slot) error {
	previous := v.slots[index].generation
	switch {
	case latest.generation == previous:
		v.replace(index, latest)
	case latest.generation == v.head+1 && v.headSealed():
		if v.head > 0 {
			v.headSlot().segment = nil
		}
		v.replace(index, latest)
		v.head = latest.generation
	default:
		return errStaleView
	}
	return nil
}
