package lengths

import "math"

// Curve is an immutable survival curve of output lengths: the share of outputs longer than a
// number of tokens. It is safe for concurrent use.
type Curve struct {
	// survival[i] is the share of outputs with at least bounds[i] tokens; survival[0] is 1.
	survival [bucketCount + 1]float64
	// area[i] is the integral of survival from 0 to bounds[i], in tokens.
	area [bucketCount + 1]float64
}

// newCurve builds the curve of bucket weights that sum to more than zero.
func newCurve(weights *[bucketCount]float64) *Curve {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	curve := &Curve{}
	rest := total
	for i, weight := range weights {
		curve.survival[i] = rest / total
		rest -= weight
	}
	curve.survival[bucketCount] = 0
	for i := range bucketCount {
		width := bounds[i+1] - bounds[i]
		curve.area[i+1] = curve.area[i] + width*(curve.survival[i]+curve.survival[i+1])/2
	}
	return curve
}

// position returns the bucket that holds tokens and the fraction of the bucket below it.
func position(tokens float64) (int, float64) {
	if tokens >= bounds[bucketCount] {
		return bucketCount - 1, 1
	}
	i := bucketOf(int(tokens))
	return i, (tokens - bounds[i]) / (bounds[i+1] - bounds[i])
}

// longer returns the share of outputs longer than tokens.
func (c *Curve) longer(tokens float64) float64 {
	i, fraction := position(tokens)
	return c.survival[i] + (c.survival[i+1]-c.survival[i])*fraction
}

// areaTo returns the integral of the survival from 0 to tokens.
func (c *Curve) areaTo(tokens float64) float64 {
	i, fraction := position(tokens)
	width := (bounds[i+1] - bounds[i]) * fraction
	return c.area[i] + width*(c.survival[i]+c.longer(tokens))/2
}

// leastSurvival keeps conditional figures finite beyond the longest output that was seen.
const leastSurvival = 1e-6

// Mean returns the mean output length in tokens.
func (c *Curve) Mean() float64 { return c.area[bucketCount] }

// Continues returns the probability that an output that has produced tokens goes on for at
// least more tokens.
func (c *Curve) Continues(produced, more int) float64 {
	before := c.longer(float64(produced))
	if before < leastSurvival {
		return 1
	}
	return c.longer(float64(produced+more)) / before
}

// Rest returns the expected number of further tokens of an output that has produced tokens.
// Beyond the longest output that was seen it returns the number produced.
func (c *Curve) Rest(produced int) float64 {
	before := c.longer(float64(produced))
	if before < leastSurvival {
		return float64(produced)
	}
	return (c.area[bucketCount] - c.areaTo(float64(produced))) / before
}

// RestWithin returns the expected number of further tokens among the next horizon tokens.
func (c *Curve) RestWithin(produced, horizon int) float64 {
	before := c.longer(float64(produced))
	if before < leastSurvival {
		return float64(horizon)
	}
	return (c.areaTo(float64(produced+horizon)) - c.areaTo(float64(produced))) / before
}

// Quantile returns the length in tokens that the share of outputs does not exceed.
func (c *Curve) Quantile(share float64) int {
	for i := range bucketCount {
		if 1-c.survival[i+1] >= share {
			return int(math.Ceil(bounds[i+1]))
		}
	}
	return MaxTokens
}
