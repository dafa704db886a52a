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
		batch:      metrics.GetOrRegisterHistogram("claim.batch", registry, metrics.NewUniformSample(sampleSize)),
	}
}
