// Package prefix keeps a view of what the prefix cache of each engine holds, from cache events
// that arrive late and with gaps.
//
// A View is a fixed-size set-associative table of fingerprints. A gap in the event sequence may
// hide evictions, so entries from before a gap count as doubtful and those from before two gaps
// are ignored until an event or a request confirms them.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

const (
	setCount = 256
	// ways is the number of entries of one set, the one used last first.
	ways = 8
	// epochBits is the number of low bits of an entry that hold the gap count at its insertion.
	epochBits = 8
	epochMask = 1<<epochBits - 1
	// maxEpochAge is the number of gaps after which an entry is ignored.
	maxEpochAge = 2
)

// View is what is believed of one engine's prefix cache. It is not safe for concurrent use;
// its owner guards it.
type View struct {
	sets [setCount][ways]uint32
	last uint64
	gaps uint64
	// epoch is the gap count modulo its field width.
	epoch uint32
}

// NewView returns an empty view.
func NewView() *View { return &View{} }

// Apply takes a page of events in sequence order. Events at or below the last one are ignored;
// a sequence that starts anew, as after an engine's restart, must be preceded by Reset.
func (v *View) Apply(events []enginewire.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= v.last {
			continue
		}
		if v.last > 0 && event.Sequence > v.last+1 {
			v.gap()
		}
		v.last = event.Sequence
		if event.Evicted {
			v.remove(event.PrefixHash)
			continue
		}
		v.Insert(event.PrefixHash)
	}
}

// Last returns the sequence number of the last event taken.
func (v *View) Last() uint64 { return v.last }

// Gaps returns the number of gaps seen.
func (v *View) Gaps() uint64 { return v.gaps }

// Reset forgets everything, as after an engine's restart.
func (v *View) Reset() { *v = View{} }

func (v *View) gap() {
	v.gaps++
	v.epoch = (v.epoch + 1) & epochMask
}

// Insert records that the engine holds, or is about to hold, the prefix.
func (v *View) Insert(hash uint64) {
	set, fingerprint := v.locate(hash)
	at := find(set, fingerprint)
	if at < 0 {
		at = ways - 1
	}
	copy(set[1:at+1], set[:at])
	set[0] = fingerprint | v.epoch
}

func (v *View) remove(hash uint64) {
	set, fingerprint := v.locate(hash)
	at := find(set, fingerprint)
	if at < 0 {
		return
	}
	copy(set[at:], set[at+1:])
	set[ways-1] = 0
}

// Match returns the number of leading blocks that the engine is believed to hold, where a
// doubtful block counts half.
func (v *View) Match(hashes []uint64) float64 {
	blocks := 0.0
	for _, hash := range hashes {
		set, fingerprint := v.locate(hash)
		at := find(set, fingerprint)
		if at < 0 {
			return blocks
		}
		age := (v.epoch - set[at]) & epochMask
		if age >= maxEpochAge {
			return blocks
		}
		blocks += 1 / float64(1+age)
	}
	return blocks
}

func (v *View) locate(hash uint64) (*[ways]uint32, uint32) {
	fingerprint := uint32(hash>>32) &^ epochMask
	if fingerprint == 0 {
		fingerprint = 1 << epochBits
	}
	return &v.sets[hash%setCount], fingerprint
}

func find(set *[ways]uint32, fingerprint uint32) int {
	for i, entry := range set {
		if entry&^epochMask == fingerprint {
			return i
		}
	}
	return -1
}

// Hashes appends to dst the hash of each whole block of the prompt, each covering the prompt up
// to the end of its block.
func Hashes(dst []uint64, prompt string) []uint64 {
	digest := xxhash.New()
	for len(prompt) >= enginewire.PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:enginewire.PrefixBlockBytes])
		prompt = prompt[enginewire.PrefixBlockBytes:]
		dst = append(dst, digest.Sum64())
	}
	return dst
}
