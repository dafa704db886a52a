package prefix

import (
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "godwitcart/internal/rapidseed" // fixes the seed
	"godwitcart/internal/wire/enginewire"
)

func stored(sequence, hash uint64) enginewire.CacheEvent {
	return enginewire.CacheEvent{Sequence: sequence, PrefixHash: hash}
}

func evicted(sequence, hash uint64) enginewire.CacheEvent {
	return enginewire.CacheEvent{Sequence: sequence, PrefixHash: hash, Evicted: true}
}

// hash returns a hash. Hashes of different small n differ in both set and fingerprint.
func hash(n uint64) uint64 { return n<<40 | n }

func TestMatchCountsLeadingBlocks(t *testing.T) {
	ix := NewIndex()
	ix.Apply([]enginewire.CacheEvent{stored(1, hash(1)), stored(2, hash(2)), stored(3, hash(4))})
	require.Equal(t, 2.0, ix.Match([]uint64{hash(1), hash(2), hash(3), hash(4)}))
	ix.Apply([]enginewire.CacheEvent{evicted(4, hash(1)), stored(2, hash(9))})
	require.Zero(t, ix.Match([]uint64{hash(1), hash(2)}))
	require.Zero(t, ix.Match([]uint64{hash(9)}), "an event with an old sequence number is ignored")
}

func TestGapsReduceConfidence(t *testing.T) {
	ix := NewIndex()
	ix.Apply([]enginewire.CacheEvent{stored(1, hash(1)), stored(5, hash(2))})
	require.Equal(t, 0.5, ix.Match([]uint64{hash(1)}))
	require.Equal(t, 1.0, ix.Match([]uint64{hash(2)}))
	ix.Apply([]enginewire.CacheEvent{stored(9, hash(3))})
	require.Zero(t, ix.Match([]uint64{hash(1)}))
	ix.Insert(hash(1))
	require.Equal(t, 1.0, ix.Match([]uint64{hash(1)}), "a request confirms the entry")
	require.EqualValues(t, 2, ix.Gaps())
}

func TestIndexMatchesExactSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ix := NewIndex()
		cached := map[uint64]bool{}
		sequence := uint64(0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			h := hash(rapid.Uint64Range(1, 200).Draw(t, "hash"))
			isEvicted := rapid.Bool().Draw(t, "evicted")
			sequence++
			ix.Apply([]enginewire.CacheEvent{{Sequence: sequence, PrefixHash: h, Evicted: isEvicted}})
			cached[h] = !isEvicted
		}
		for h, want := range cached {
			require.Equal(t, want, ix.Match([]uint64{h}) > 0)
		}
	})
}

func TestHashesMatchWireFormat(t *testing.T) {
	prompt := strings.Repeat("flour ", 100)
	require.Equal(t, []uint64{xxhash.Sum64String(prompt[:256]), xxhash.Sum64String(prompt[:512])}, Hashes(nil, prompt))
}
