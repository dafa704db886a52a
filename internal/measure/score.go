package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// firstTokenBound is the maximum time to the first token, and gapBound the maximum time between tokens, that
	// do not count as stall.
	firstTokenBound = 660 * time.Millisecond
	gapBound        = 41 * time.Millisecond
	// maxRecordedDuration is the highest value of the histograms; longer durations are recorded as this value.
	maxRecordedDuration = 20 * time.Minute
	// histogramDigits is the number of significant digits of recorded values.
	histogramDigits = 3
)

// histogram records durations in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecordedDuration.Microseconds(), histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedDuration.Microseconds()))
}

// milliseconds returns a percentile in milliseconds, rounded to 0.01 ms.
func (h histogram) milliseconds(percentile float64) float64 {
	return round(float64(h.ValueAtPercentile(percentile))/1000, 100)
}

// seconds returns a percentile in seconds, rounded to milliseconds.
func (h histogram) seconds(percentile float64) float64 {
	return round(float64(h.ValueAtPercentile(percentile))/1e6, 1000)
}

// classStatistics holds the statistics of one class.
type classStatistics struct {
	requests    int
	answered    int
	onTime      int
	refused     int
	lost        int
	preemptions int
	totalStall  time.Duration
	stalls      histogram
	firstTokens histogram
	gaps        histogram
}

// statistics collects the results of a run from the clients' point of view.
type statistics struct {
	deployment             *Deployment
	classes                []classStatistics
	firstTokens            histogram
	gaps                   histogram
	idleLookups            histogram
	floodLookups           histogram
	firstTokensWithinBound int
	firstTokenCount        int
	gapsWithinBound        int64
	gapCount               int64
	// inversions counts preemptions of a job while a job of lower priority kept running on the same engine.
	inversions   int
	onTimeTokens int
	cutOffJobs   int
	// flooderStall and otherStalls are the stalls of the lowest class during the flood: the total for the account
	// that floods, and a histogram for all other accounts.
	flooderStall time.Duration
	otherStalls  histogram
}

func newStatistics(d *Deployment) *statistics {
	s := &statistics{deployment: d, firstTokens: newHistogram(), gaps: newHistogram(), idleLookups: newHistogram(), floodLookups: newHistogram(), otherStalls: newHistogram()}
	for range d.classes {
		s.classes = append(s.classes, classStatistics{stalls: newHistogram(), firstTokens: newHistogram(), gaps: newHistogram()})
	}
	return s
}

// recordToken records the time of a token. Time beyond firstTokenBound or gapBound is added to the stall of the job.
func (s *statistics) recordToken(j *job, now time.Duration) {
	if j.producedTokens == 1 {
		j.firstTokenAt = now
		s.recordFirstToken(j, now-j.arrival)
	} else {
		s.recordGap(j, now-j.lastTokenAt)
	}
	j.lastTokenAt = now
}

func (s *statistics) recordFirstToken(j *job, wait time.Duration) {
	j.stall += max(wait-firstTokenBound, 0)
	s.firstTokens.add(wait)
	s.classes[j.class].firstTokens.add(wait)
	s.firstTokenCount++
	if wait <= firstTokenBound {
		s.firstTokensWithinBound++
	}
}

func (s *statistics) recordGap(j *job, gap time.Duration) {
	j.stall += max(gap-gapBound, 0)
	s.gaps.add(gap)
	s.classes[j.class].gaps.add(gap)
	s.gapCount++
	if gap <= gapBound {
		s.gapsWithinBound++
	}
}

func (s *statistics) recordPreemption(j *job, e *engine) {
	j.preemptions++
	s.classes[j.class].preemptions++
	for _, other := range e.running {
		if other.priority < j.priority {
			s.inversions++
			return
		}
	}
}

// recordCompletion records a job that completed.
func (s *statistics) recordCompletion(j *job, now time.Duration) {
	if s.deployment.services[j.service].isPlain() {
		s.recordLookup(j, now)
		return
	}
	c := &s.classes[j.class]
	c.requests++
	c.answered++
	s.recordStall(j)
	if j.stall <= s.deployment.classes[j.class].stallAllowance {
		c.onTime++
		s.onTimeTokens += j.outputTokens
	}
}

// recordLookup records the latency of a call of the plain service. Calls that arrived during the flood and calls
// that arrived before the first disturbance are recorded separately, to show whether the flood delays them.
func (s *statistics) recordLookup(j *job, now time.Duration) {
	latency := now - j.arrival
	switch {
	case s.deployment.isFlooding(j.arrival):
		s.floodLookups.add(latency)
	case j.arrival < s.deployment.Duration/6:
		s.idleLookups.add(latency)
	}
}

func (s *statistics) recordStall(j *job) {
	c := &s.classes[j.class]
	c.totalStall += j.stall
	c.stalls.add(j.stall)
	if j.class != len(s.classes)-1 || !s.deployment.isFlooding(j.arrival) {
		return
	}
	if j.account == floodingAccount {
		s.flooderStall += j.stall
		return
	}
	s.otherStalls.add(j.stall)
}

func (s *statistics) recordRefusal(j *job) {
	s.classes[j.class].requests++
	s.classes[j.class].refused++
}

func (s *statistics) recordLoss(j *job) {
	s.classes[j.class].requests++
	s.classes[j.class].lost++
	s.recordStall(j)
}

// recordCutOff records a job that was unfinished at the end of the run. The time since its last token, or since its
// arrival, counts as stall.
func (s *statistics) recordCutOff(j *job, now time.Duration) {
	if s.deployment.services[j.service].isPlain() {
		return
	}
	s.cutOffJobs++
	s.classes[j.class].requests++
	since, bound := j.arrival, firstTokenBound
	if j.producedTokens > 0 {
		since, bound = j.lastTokenAt, gapBound
	}
	j.stall += max(now-since-bound, 0)
	s.recordStall(j)
}
