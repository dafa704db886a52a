package routing

import (
	"math"

	"godwitcart/internal/lengths"
)

const (
	horizonCount = 3
	// middleHorizon is the index of the horizon at which loads are compared.
	middleHorizon = 1
	// maxPriorityRanks is the number of priorities that are distinguished.
	maxPriorityRanks = 8
)

// horizons are the forecast horizons, in decoding steps.
var horizons = [horizonCount]int{32, 192, 768}

// memoryForecast is a forecast of the memory use in tokens at each horizon.
// Invariant: the forecast of a target is the sum of the forecasts of its attempts.
type memoryForecast struct {
	mean     [horizonCount]float64
	variance [horizonCount]float64
}

// addScaled adds the other forecast, multiplied by count.
func (f *memoryForecast) addScaled(other *memoryForecast, count float64) {
	for i := range f.mean {
		f.mean[i] += count * other.mean[i]
		f.variance[i] += count * other.variance[i]
	}
}

// forecastGeneration returns the forecast of one generation that has produced the given number of tokens and
// produces at most maxTokens in all (zero for no limit). It is zero at a horizon that the generation cannot reach.
func forecastGeneration(curve *lengths.Curve, prompt, produced, maxTokens int) memoryForecast {
	var f memoryForecast
	for i, horizon := range horizons {
		if maxTokens > 0 && produced+horizon >= maxTokens {
			continue
		}
		running := curve.ContinuationProbability(produced, horizon)
		size := float64(prompt + produced + horizon)
		f.mean[i] = running * size
		f.variance[i] = running * (1 - running) * size * size
	}
	return f
}

// fitsWithin reports whether the mean plus the given number of standard deviations stays within the memory at every
// horizon.
func (f *memoryForecast) fitsWithin(memory, deviations float64) bool {
	for i := range f.mean {
		if f.mean[i]+deviations*math.Sqrt(max(f.variance[i], 0)) > memory {
			return false
		}
	}
	return true
}

// peakMean returns the largest mean over the horizons.
func (f *memoryForecast) peakMean() float64 {
	largest := 0.0
	for _, mean := range f.mean {
		largest = max(largest, mean)
	}
	return largest
}
