package claim

import "github.com/rcrowley/go-metrics"

// claimMetrics holds the metrics of a Manager.
type claimMetrics struct {
	won, duplicates, refused metrics.Counter
	// overflows counts operations that a full queue refused, and dropped the deferred operations that
	// it discarded.
	overflows, dropped metrics.Counter
	writes, conflicts  metrics.Counter
	// unknownOutcomes counts writes whose outcome was unknown because the response was lost.
	unknownOutcomes metrics.Counter
	reloads         metrics.Counter
	// forwarded counts operations sent to batchers, and forwardedUnanswered those whose outcome stayed
	// unknown. receivedForwarded counts operations received from other VMs.
	forwarded, forwardedUnanswered, receivedForwarded metrics.Counter
	// batchSize is the number of operations in one write.
	batchSize metrics.Histogram
}

// batchSizeSamples is the size of the histogram's sample reservoir.
const batchSizeSamples = 512

func newClaimMetrics(registry metrics.Registry) *claimMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claim."+name, registry)
	}
	return &claimMetrics{
		won:                 counter("won"),
		duplicates:          counter("duplicates"),
		refused:             counter("refused"),
		overflows:           counter("overflows"),
		dropped:             counter("dropped"),
		writes:              counter("writes"),
		conflicts:           counter("conflicts"),
		unknownOutcomes:     counter("unknown_outcomes"),
		reloads:             counter("reloads"),
		forwarded:           counter("handed_over"),
		forwardedUnanswered: counter("handed_over_unanswered"),
		receivedForwarded:   counter("batched"),
		batchSize:           metrics.GetOrRegisterHistogram("claim.batch", registry, metrics.NewUniformSample(batchSizeSamples)),
	}
}

// recordClaim counts a claim of this VM as won or as a duplicate of an earlier one.
func (c *claimMetrics) recordClaim(won bool) {
	if won {
		c.won.Inc(1)
	} else {
		c.duplicates.Inc(1)
	}
}
