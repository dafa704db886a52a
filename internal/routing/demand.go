package routing

import (
	"math"

	"godwitcart/internal/lengths"
)

const (
	horizonCount = 3
	// middleHorizon is the index of the horizon that load is compared at.
	middleHorizon = 1
	// maxRanks is the number of priorities that are told apart.
	maxRanks = 8
)

// horizons are the numbers of decoding steps ahead at which memory is forecast.
var horizons = [horizonCount]int{32, 192, 768}

// demand is a forecast of token memory at each horizon.
// Invariant: the demand of a target is the sum of those of its attempts.
type demand struct {
	mean     [horizonCount]float64
	variance [horizonCount]float64
}

// add adds the other demand, weighted by count.
func (d *demand) add(other *demand, count float64) {
	for i := range d.mean {
		d.mean[i] += count * other.mean[i]
		d.variance[i] += count * other.variance[i]
	}
}

// forecast returns the demand of one generation with a prompt that has produced tokens and
// produces at most maxTokens (zero for no bound).
func forecast(curve *lengths.Curve, prompt, produced, maxTokens int) demand {
	var d demand
	for i, horizon := range horizons {
		if maxTokens > 0 && produced+horizon >= maxTokens {
			continue
		}
		running := curve.Continues(produced, horizon)
		size := float64(prompt + produced + horizon)
		d.mean[i] = running * size
		d.variance[i] = running * (1 - running) * size * size
	}
	return d
}

// fits reports whether the demand stays within the memory at every horizon with a margin of
// deviations standard deviations.
func (d *demand) fits(memory, deviations float64) bool {
	for i := range d.mean {
		if d.mean[i]+deviations*math.Sqrt(max(d.variance[i], 0)) > memory {
			return false
		}
	}
	return true
}

// peak returns the largest mean over the horizons.
func (d *demand) peak() float64 {
	largest := 0.0
	for _, mean := range d.mean {
		largest = max(largest, mean)
	}
	return largest
}
