package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range and the precision of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

// Summary is the result of a run in one JSON line.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts the callers told that their request did not run.
	Refused    int            `json:"refused"`
	Errors     map[string]int `json:"errors"`
	Unanswered int            `json:"unanswered"`
	// Left counts the callers that left in the middle of a stream.
	Left    int `json:"left"`
	Tokens  int `json:"tokens"`
	Resumed int `json:"resumed"`
	// FirstToken, Gap, Whole and Plain are times in milliseconds.
	FirstToken Quantiles `json:"first_token_ms"`
	Gap        Quantiles `json:"gap_ms"`
	Whole      Quantiles `json:"whole_ms"`
	Plain      Quantiles `json:"plain_ms"`
}

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type histograms struct {
	first, gap, whole, plain *hdrhistogram.Histogram
}

// Summarize counts the answers of a run, one for each caller.
func Summarize(records []Record) Summary {
	summary := Summary{Errors: map[string]int{}}
	times := histograms{first: newHistogram(), gap: newHistogram(), whole: newHistogram(), plain: newHistogram()}
	for _, record := range records {
		for _, answer := range record.Answers {
			summary.count(answer)
			times.add(record.Request.Kind, answer)
		}
	}
	summary.FirstToken = quantiles(times.first)
	summary.Gap = quantiles(times.gap)
	summary.Whole = quantiles(times.whole)
	summary.Plain = quantiles(times.plain)
	return summary
}

func (s *Summary) count(answer Answer) {
	s.Requests++
	s.Tokens += answer.Events
	if len(answer.Tries) > 0 && answer.Tries[len(answer.Tries)-1].Resumed {
		s.Resumed++
	}
	switch {
	case answer.Outcome == OutcomeAnswered:
		s.Answered++
	case answer.Outcome == OutcomeLeft:
		s.Left++
	case answer.NotRun():
		s.Refused++
	case answer.Outcome == OutcomeError:
		s.Errors[answer.ErrorKind]++
	default:
		s.Unanswered++
	}
}

func (h histograms) add(kind Kind, answer Answer) {
	if !answer.First.IsZero() {
		record(h.first, answer.First.Sub(answer.Started))
	}
	for _, gap := range answer.Gaps {
		record(h.gap, gap)
	}
	if answer.Outcome != OutcomeAnswered {
		return
	}
	switch kind {
	case KindWhole:
		record(h.whole, answer.Ended.Sub(answer.Started))
	case KindPlain:
		record(h.plain, answer.Ended.Sub(answer.Started))
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// record clips the time to the histogram's range.
func record(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), lowestMicros), highestMicros))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(histogram.Max()) / 1000}
}
