package lengths

import "math"

// Curve is an immutable survival function of output lengths: it gives the share of outputs longer than
// a number of tokens. It is safe for concurrent use.
type Curve struct {
	// survival[i] is the share of outputs with at least bounds[i] tokens. survival[0] is 1.
	survival [bucketCount + 1]float64
	// area[i] is the integral of survival from 0 to bounds[i], in tokens.
	area [bucketCount + 1]float64
}

// newCurve returns the curve for bucket weights. Their sum must be positive.
func newCurve(weights *[bucketCount]float64) *Curve {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	curve := &Curve{}
	remaining := total
	for i, weight := range weights {
		curve.survival[i] = remaining / total
		remaining -= weight
	}
	curve.survival[bucketCount] = 0
	for i := range bucketCount {
		width := bounds[i+1] - bounds[i]
		curve.area[i+1] = curve.area[i] + width*(curve.survival[i]+curve.survival[i+1])/2
	}
	return curve
}

// position returns the bucket that contains tokens, and the fraction of the bucket's width that lies
// below tokens.
func position(tokens float64) (int, float64) {
	if tokens >= bounds[bucketCount] {
		return bucketCount - 1, 1
	}
	i := bucketOf(int(tokens))
	return i, (tokens - bounds[i]) / (bounds[i+1] - bounds[i])
}

// survivalAt returns the share of outputs longer than tokens.
func (c *Curve) survivalAt(tokens float64) float64 {
	i, fraction := position(tokens)
	return c.survival[i] + (c.survival[i+1]-c.survival[i])*fraction
}

// areaBelow returns the integral of the survival function from 0 to tokens.
func (c *Curve) areaBelow(tokens float64) float64 {
	i, fraction := position(tokens)
	width := (bounds[i+1] - bounds[i]) * fraction
	return c.area[i] + width*(c.survival[i]+c.survivalAt(tokens))/2
}

// minSurvival is the survival below which conditional values are replaced by fixed estimates: beyond
// the longest observed output the quotients would not be finite.
const minSurvival = 1e-6

// Mean returns the mean output length in tokens.
func (c *Curve) Mean() float64 { return c.area[bucketCount] }

// ContinuationProbability returns the probability that an output of produced tokens so far grows by at least
// additional tokens.
func (c *Curve) ContinuationProbability(produced, additional int) float64 {
	survival := c.survivalAt(float64(produced))
	if survival < minSurvival {
		return 1
	}
	return c.survivalAt(float64(produced+additional)) / survival
}

// Remaining returns the expected number of further tokens of an output of produced tokens so far.
// Beyond the longest observed output it returns produced.
func (c *Curve) Remaining(produced int) float64 {
	survival := c.survivalAt(float64(produced))
	if survival < minSurvival {
		return float64(produced)
	}
	return (c.area[bucketCount] - c.areaBelow(float64(produced))) / survival
}

// RemainingWithin returns the expected number of further tokens, counting at most the next horizon
// tokens.
func (c *Curve) RemainingWithin(produced, horizon int) float64 {
	survival := c.survivalAt(float64(produced))
	if survival < minSurvival {
		return float64(horizon)
	}
	return (c.areaBelow(float64(produced+horizon)) - c.areaBelow(float64(produced))) / survival
}

// Quantile returns a length in tokens that at least the given share of outputs does not exceed,
// rounded up to a bucket bound.
func (c *Curve) Quantile(share float64) int {
	for i := range bucketCount {
		if 1-c.survival[i+1] >= share {
			return int(math.Ceil(bounds[i+1]))
		}
	}
	return MaxTokens
}
