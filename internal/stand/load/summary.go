package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the histograms in microseconds and their precision.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Summary is the result of a run; it is printed as one JSON line.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	// Refused counts the callers that were told that their request did not run.
	Refused    int            `json:"refused"`
	Errors     map[string]int `json:"errors"`
	Unanswered int            `json:"unanswered"`
	// Disconnected counts the callers that disconnected in the middle of a stream.
	Disconnected int `json:"left"`
	Tokens       int `json:"tokens"`
	Resumed      int `json:"resumed"`
	// FirstToken is the time to the first token, Gap the interval between tokens, Whole the duration of non-streamed
	// generations and Plain that of calls to plain services, in milliseconds.
	FirstToken Quantiles `json:"first_token_ms"`
	Gap        Quantiles `json:"gap_ms"`
	Whole      Quantiles `json:"whole_ms"`
	Plain      Quantiles `json:"plain_ms"`
}

// Quantiles are quantiles and the maximum of a distribution, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

type histograms struct {
	firstToken, gap, whole, plain *hdrhistogram.Histogram
}

// Summarize summarizes the answers of a run, one for each caller.
func Summarize(records []Record) Summary {
	summary := Summary{Errors: map[string]int{}}
	times := histograms{firstToken: newHistogram(), gap: newHistogram(), whole: newHistogram(), plain: newHistogram()}
	for _, record := range records {
		for _, answer := range record.Answers {
			summary.count(answer)
			times.add(record.Request.Kind, answer)
		}
	}
	summary.FirstToken = quantiles(times.firstToken)
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
	case answer.Outcome == OutcomeDisconnected:
		s.Disconnected++
	case answer.IsNotRun():
		s.Refused++
	case answer.Outcome == OutcomeError:
		s.Errors[answer.ErrorKind]++
	default:
		s.Unanswered++
	}
}

func (h histograms) add(kind Kind, answer Answer) {
	if !answer.First.IsZero() {
		recordDuration(h.firstToken, answer.First.Sub(answer.Started))
	}
	for _, gap := range answer.Gaps {
		recordDuration(h.gap, gap)
	}
	if answer.Outcome != OutcomeAnswered {
		return
	}
	switch kind {
	case KindWhole:
		recordDuration(h.whole, answer.Ended.Sub(answer.Started))
	case KindPlain:
		recordDuration(h.plain, answer.Ended.Sub(answer.Started))
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// recordDuration records the duration, clamped to the histogram's range.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	_ = histogram.RecordValue(min(max(duration.Microseconds(), lowestMicros), highestMicros))
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / 1000
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(histogram.Max()) / 1000}
}
