package claim

import "github.com/rcrowley/go-metrics"

// counts holds the metrics of a Book.
type counts struct {
	won, duplicates, refused metrics.Counter
	// overflows counts operations refused by a full queue, and dropped those lost from it.
	overflows, dropped metrics.Counter
	writes, conflicts  metrics.Counter
	// unknown counts the writes whose answer was lost.
	unknown metrics.Counter
	reloads metrics.Counter
	// handedOver counts the operations handed over to batchers, and unanswered those of them whose
	// outcome stayed unknown. batched counts the operations that other VMs handed over to this one.
	handedOver, unanswered, batched metrics.Counter
	// batch is the number of operations in one write.
	batch metrics.Histogram
}

// sampleSize is the reservoir of the histogram.
const sampleSize = 512

func newCounts(registry metrics.Registry) *counts {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("claim."+name, registry)
	}
	return &counts{
		won:        counter("won"),
		duplicates: counter("duplicates"),
		refused:    counter("refused"),
		overflows:  counter("overflows"),
		dropped:    counter("dropped"),
		writes:     counter("writes"),
		conflicts:  counter("conflicts"),
		unknown:    counter("unknown_outcomes"),
		reloads:    counter("reloads"),
		handedOver: counter("handed_over"),
		unanswered: counter("handed_over_unanswered"),
		batched:    counter("batched"),
		batch:      metrics.GetOrRegisterHistogram("claim.batch", registry, metrics.NewUniformSample(sampleSize)),
	}
}

// claimed counts a claim of this VM that was won or met an earlier one.
func (c *counts) claimed(won bool) {
	if won {
		c.won.Inc(1)
	} else {
		c.duplicates.Inc(1)
	}
}
