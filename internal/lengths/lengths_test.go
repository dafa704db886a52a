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
		require.Greater(t, NextBucketBound(tokens), tokens)
	})
}

func TestCurveIsAConsistentDistribution(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		estimator := NewEstimator(0)
		key := Key{Service: "s", Class: "c", Account: "a"}
		for _, tokens := range rapid.SliceOfN(rapid.IntRange(0, 20000), 0, 50).Draw(t, "outputs") {
			estimator.Observe(key, tokens)
		}
		curve := estimator.Curve(key)
		produced := rapid.IntRange(0, 40000).Draw(t, "produced")
		additional := rapid.IntRange(1, 4000).Draw(t, "more")
		continues := curve.ContinuationProbability(produced, additional)
		require.True(t, continues >= 0 && continues <= 1, "%g", continues)
		require.GreaterOrEqual(t, continues+1e-9, curve.ContinuationProbability(produced, additional+1))
		require.GreaterOrEqual(t, curve.Remaining(produced)+1e-6, 0.0)
		require.LessOrEqual(t, curve.RemainingWithin(produced, additional), float64(additional)+1e-6)
	})
}

func TestCurveAdaptsToAccount(t *testing.T) {
	estimator := NewEstimator(0)
	random := rand.New(rand.NewPCG(1, 1))
	short := Key{Service: "s", Class: "c", Account: "short"}
	long := Key{Service: "s", Class: "c", Account: "long"}
	for range 500 {
		estimator.Observe(short, int(20*math.Exp(0.5*random.NormFloat64())))
		estimator.Observe(long, int(2000*math.Exp(0.5*random.NormFloat64())))
	}
	require.InDelta(t, 23, estimator.Curve(short).Mean(), 12)
	require.InDelta(t, 2270, estimator.Curve(long).Mean(), 300)
	unseen := estimator.Curve(Key{Service: "s", Class: "c", Account: "new"}).Mean()
	require.InDelta(t, 1150, unseen, 250, "a new account uses its class's distribution")
	require.Greater(t, estimator.Curve(long).Remaining(4000), 0.0)
	for range 4 * maxWeight {
		estimator.Observe(long, 10)
	}
	require.Less(t, estimator.Curve(long).Mean(), 400.0, "old lengths lose weight")
}

func TestEstimatorCapacityIsBounded(t *testing.T) {
	estimator := NewEstimator(10)
	for i := range 100 {
		estimator.Observe(Key{Service: "s", Class: "c", Account: fmt.Sprint(i)}, 5)
	}
	require.Equal(t, 10, estimator.Len())
}
