package claim

import (
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
)

// view is what this VM knows of one shard. It may lag; every use of it is proved by a
// conditional update or by reading the slot again.
type view struct {
	slots []slot
	// head is the highest generation; zero before the first segment.
	head uint64
	// byKey finds the slot of a key digest.
	byKey map[keyDigest]uint16
}

var errStale = errors.New("the view of the shard is too old and must be read again")

// newView builds a view from a listing of the shard's objects.
func newView(slots int, listed []object.Object) (*view, error) {
	v := &view{slots: make([]slot, slots), byKey: make(map[keyDigest]uint16)}
	for _, stored := range listed {
		index, err := strconv.Atoi(stored.Key[strings.LastIndexByte(stored.Key, '/')+1:])
		if err != nil || index >= slots {
			return nil, errors.Newf("object %q is not a segment of claims", stored.Key)
		}
		known, err := readSlot(stored)
		if err != nil {
			return nil, err
		}
		v.head = max(v.head, known.generation)
		v.replace(index, known)
	}
	for i := range v.slots {
		known := &v.slots[i]
		if known.generation == v.head {
			continue
		}
		if known.generation > 0 && !known.sealed {
			return nil, errStale
		}
		known.segment = nil
	}
	return v, nil
}

func (v *view) index(generation uint64) int { return int(generation % uint64(len(v.slots))) }

func (v *view) headSlot() *slot { return &v.slots[v.index(v.head)] }

// headSealed reports whether the next new key needs a new segment.
func (v *view) headSealed() bool { return v.head == 0 || v.headSlot().sealed }

// replace puts a slot in place of what was known of it.
func (v *view) replace(index int, known slot) {
	for _, key := range v.slots[index].keys {
		if v.byKey[key] == uint16(index) {
			delete(v.byKey, key)
		}
	}
	v.slots[index] = known
	for _, key := range known.keys {
		v.byKey[key] = uint16(index)
	}
}

// place returns the slot in which an operation on a key takes effect. fresh means that the
// key is new and needs a new segment in that slot.
func (v *view) place(digest keyDigest) (index int, fresh bool) {
	if found, ok := v.byKey[digest]; ok {
		return int(found), false
	}
	if v.headSealed() {
		return v.index(v.head + 1), true
	}
	return v.index(v.head), false
}

// trim drops the contents of a slot other than the head; its keys stay known.
func (v *view) trim(index int) {
	if index != v.index(v.head) {
		v.slots[index].segment = nil
	}
}

// install takes in a slot that was read or written. It returns errStale when segments
// that this VM has not seen must exist.
func (v *view) install(index int, known slot) error {
	before := v.slots[index].generation
	switch {
	case known.generation == before:
		v.replace(index, known)
	case known.generation == v.head+1 && v.headSealed():
		if v.head > 0 {
			v.headSlot().segment = nil
		}
		v.replace(index, known)
		v.head = known.generation
	default:
		return errStale
	}
	return nil
}
