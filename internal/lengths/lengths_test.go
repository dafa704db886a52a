package lengths

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "godwitcart/internal/rapidseed" // fixes the seed
)

func TestBucketsCoverTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(0, MaxTokens-1).Draw(t, "tokens")
		i := bucketOf(tokens)
		require.LessOrEqual(t, bounds[i], float64(tokens))
		require.Less(t, float64(tokens), bounds[i+1])
		require.Greater(t, NextChange(tokens), tokens)
	})
}

func TestCurveIsAConsistentDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := NewBook(0)
		key := Key{Service: "s", Class: "c", Account: "a"}
		for _, tokens := range rapid.SliceOfN(rapid.IntRange(0, 20000), 0, 50).Draw(t, "outputs") {
			book.Observe(key, tokens)
		}
		curve := book.Curve(key)
		produced := rapid.IntRange(0, 40000).Draw(t, "produced")
		more := rapid.IntRange(1, 4000).Draw(t, "more")
		goesOn := curve.Continues(produced, more)
		require.True(t, goesOn >= 0 && goesOn <= 1, "%g", goesOn)
		require.GreaterOrEqual(t, goesOn+1e-9, curve.Continues(produced, more+1))
		require.GreaterOrEqual(t, curve.Rest(produced)+1e-6, 0.0)
		require.LessOrEqual(t, curve.RestWithin(produced, more), float64(more)+1e-6)
	})
}

func TestCurveFollowsItsAccount(t *testing.T) {
	book := NewBook(0)
	random := rand.New(rand.NewPCG(1, 1))
	short := Key{Service: "s", Class: "c", Account: "short"}
	long := Key{Service: "s", Class: "c", Account: "long"}
	for range 500 {
		book.Observe(short, int(20*math.Exp(0.5*random.NormFloat64())))
		book.Observe(long, int(2000*math.Exp(0.5*random.NormFloat64())))
	}
	require.InDelta(t, 23, book.Curve(short).Mean(), 12)
	require.InDelta(t, 2270, book.Curve(long).Mean(), 300)
	unseen := book.Curve(Key{Service: "s", Class: "c", Account: "new"}).Mean()
	require.InDelta(t, 1150, unseen, 250, "a new account takes its class's lengths")
	require.Greater(t, book.Curve(long).Rest(4000), 0.0)
	for range 4 * maxWeight {
		book.Observe(long, 10)
	}
	require.Less(t, book.Curve(long).Mean(), 400.0, "old lengths lose weight")
}

func TestBookIsBounded(t *testing.T) {
	book := NewBook(10)
	for i := range 100 {
		book.Observe(Key{Service: "s", Class: "c", Account: fmt.Sprint(i)}, 5)
	}
	require.Equal(t, 10, book.Len())
}
