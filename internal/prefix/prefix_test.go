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

// hash returns a hash whose set and fingerprint differ for small n.
func hash(n uint64) uint64 { return n<<40 | n }

func TestMatchCountsLeadingBlocks(t *testing.T) {
	v := NewView()
	v.Apply([]enginewire.CacheEvent{stored(1, hash(1)), stored(2, hash(2)), stored(3, hash(4))})
	require.Equal(t, 2.0, v.Match([]uint64{hash(1), hash(2), hash(3), hash(4)}))
	v.Apply([]enginewire.CacheEvent{evicted(4, hash(1)), stored(2, hash(9))})
	require.Zero(t, v.Match([]uint64{hash(1), hash(2)}))
	require.Zero(t, v.Match([]uint64{hash(9)}), "an event of the past is ignored")
}

func TestGapsCastDoubt(t *testing.T) {
	v := NewView()
	v.Apply([]enginewire.CacheEvent{stored(1, hash(1)), stored(5, hash(2))})
	require.Equal(t, 0.5, v.Match([]uint64{hash(1)}))
	require.Equal(t, 1.0, v.Match([]uint64{hash(2)}))
	v.Apply([]enginewire.CacheEvent{stored(9, hash(3))})
	require.Zero(t, v.Match([]uint64{hash(1)}))
	v.Insert(hash(1))
	require.Equal(t, 1.0, v.Match([]uint64{hash(1)}), "a request confirms it")
	require.EqualValues(t, 2, v.Gaps())
}

func TestViewAgainstAnExactSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView()
		held := map[uint64]bool{}
		sequence := uint64(0)
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			h := hash(rapid.Uint64Range(1, 200).Draw(t, "hash"))
			gone := rapid.Bool().Draw(t, "evicted")
			sequence++
			v.Apply([]enginewire.CacheEvent{{Sequence: sequence, PrefixHash: h, Evicted: gone}})
			held[h] = !gone
		}
		for h, is := range held {
			require.Equal(t, is, v.Match([]uint64{h}) > 0)
		}
	})
}

func TestHashesAreThoseOfTheWire(t *testing.T) {
	prompt := strings.Repeat("flour ", 100)
	require.Equal(t, []uint64{xxhash.Sum64String(prompt[:256]), xxhash.Sum64String(prompt[:512])}, Hashes(nil, prompt))
}
