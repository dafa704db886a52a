// Package prefix tracks the contents of each engine's prefix cache from cache events, which arrive
// late and may be missing.
//
// An Index is a fixed-size set-associative table of fingerprints. A gap in the event sequence may hide
// evictions. Entries from before the latest gap therefore count half, and entries from before the
// latest two gaps are ignored, until an event or a request confirms them.
package prefix

import (
	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

const (
	setCount = 256
	// ways is the number of entries per set, kept in order of last use with the latest first.
	ways = 8
	// epochBits is the number of low bits of an entry that hold the epoch of its insertion.
	epochBits = 8
	epochMask = 1<<epochBits - 1
	// maxEpochAge is the age, in gaps, from which an entry is ignored.
	maxEpochAge = 2
)

// Index is an approximate index of one engine's prefix cache. It is not safe for concurrent use;
// its owner must synchronize access.
type Index struct {
	sets         [setCount][ways]uint32
	lastSequence uint64
	gaps         uint64
	// epoch is the gap count modulo 1 << epochBits.
	epoch uint32
}

// NewIndex returns an empty index.
func NewIndex() *Index { return &Index{} }

// Apply applies events in sequence order. It ignores events at or below the last sequence number. If
// the sequence starts again, as after an engine restart, Reset must be called first.
func (ix *Index) Apply(events []enginewire.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= ix.lastSequence {
			continue
		}
		if ix.lastSequence > 0 && event.Sequence > ix.lastSequence+1 {
			ix.recordGap()
		}
		ix.lastSequence = event.Sequence
		if event.Evicted {
			ix.remove(event.PrefixHash)
			continue
		}
		ix.Insert(event.PrefixHash)
	}
}

// LastSequence returns the sequence number of the last applied event.
func (ix *Index) LastSequence() uint64 { return ix.lastSequence }

// Gaps returns the number of gaps in the event sequence.
func (ix *Index) Gaps() uint64 { return ix.gaps }

// Reset clears the index, as is required after an engine restart.
func (ix *Index) Reset() { *ix = Index{} }

func (ix *Index) recordGap() {
	ix.gaps++
	ix.epoch = (ix.epoch + 1) & epochMask
}

// Insert records that the engine's cache contains the prefix or is about to.
func (ix *Index) Insert(hash uint64) {
	set, fingerprint := ix.locate(hash)
	at := find(set, fingerprint)
	if at < 0 {
		at = ways - 1
	}
	copy(set[1:at+1], set[:at])
	set[0] = fingerprint | ix.epoch
}

func (ix *Index) remove(hash uint64) {
	set, fingerprint := ix.locate(hash)
	at := find(set, fingerprint)
	if at < 0 {
		return
	}
	copy(set[at:], set[at+1:])
	set[ways-1] = 0
}

// Match returns the estimated number of leading blocks in the engine's cache. A block from before the
// latest gap counts half.
func (ix *Index) Match(hashes []uint64) float64 {
	blocks := 0.0
	for _, hash := range hashes {
		set, fingerprint := ix.locate(hash)
		at := find(set, fingerprint)
		if at < 0 {
			return blocks
		}
		age := (ix.epoch - set[at]) & epochMask
		if age >= maxEpochAge {
			return blocks
		}
		blocks += 1 / float64(1+age)
	}
	return blocks
}

func (ix *Index) locate(hash uint64) (*[ways]uint32, uint32) {
	fingerprint := uint32(hash>>32) &^ epochMask
	if fingerprint == 0 {
		fingerprint = 1 << epochBits
	}
	return &ix.sets[hash%setCount], fingerprint
}

func find(set *[ways]uint32, fingerprint uint32) int {
	for i, entry := range set {
		if entry&^epochMask == fingerprint {
			return i
		}
	}
	return -1
}

// Hashes appends to dst one hash for each whole block of the prompt. Each hash covers the prompt from
// its start to the end of that block.
func Hashes(dst []uint64, prompt string) []uint64 {
	digest := xxhash.New()
	for len(prompt) >= enginewire.PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[:enginewire.PrefixBlockBytes])
		prompt = prompt[enginewire.PrefixBlockBytes:]
		dst = append(dst, digest.Sum64())
	}
	return dst
}
