package measure

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// firstTokenWithin and gapWithin are the bounds beyond which a caller stalls.
	firstTokenWithin = 660 * time.Millisecond
	gapWithin        = 41 * time.Millisecond
	// longestRecorded bounds the histograms.
	longestRecorded = 20 * time.Minute
	// histogramDigits is the number of significant digits kept.
	histogramDigits = 3
)

// histogram records durations in microseconds.
type histogram struct{ *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, longestRecorded.Microseconds(), histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), longestRecorded.Microseconds()))
}

// milliseconds returns a percentile.
func (h histogram) milliseconds(percentile float64) float64 {
	return round(float64(h.ValueAtPercentile(percentile))/1000, 100)
}

func (h histogram) seconds(percentile float64) float64 {
	return round(float64(h.ValueAtPercentile(percentile))/1e6, 1000)
}

// classScore is the score of one class.
type classScore struct {
	requests    int
	answered    int
	onTime      int
	refused     int
	lost        int
	preemptions int
	stall       time.Duration
	stalls      histogram
	firstTokens histogram
	gaps        histogram
}

// score gathers what callers saw.
type score struct {
	d           *Deployment
	classes     []classScore
	firstTokens histogram
	gaps        histogram
	lookups     histogram
	flooded     histogram
	firstWithin int
	firstAll    int
	gapsWithin  int64
	gapsAll     int64
	// inversions counts preemptions of a job while one of a lower class ran on the target.
	inversions   int
	onTimeTokens int
	cut          int
	// flooder and others are the stalls of the lowest class during the flood, of the account that
	// floods and of all others.
	flooder time.Duration
	others  histogram
}

func newScore(d *Deployment) *score {
	s := &score{d: d, firstTokens: newHistogram(), gaps: newHistogram(), lookups: newHistogram(), flooded: newHistogram(), others: newHistogram()}
	for range d.classes {
		s.classes = append(s.classes, classScore{stalls: newHistogram(), firstTokens: newHistogram(), gaps: newHistogram()})
	}
	return s
}

// token records the time of a token.
func (s *score) token(j *job, now time.Duration) {
	if j.produced == 1 {
		j.firstToken = now
		s.first(j, now-j.arrival)
	} else {
		s.gap(j, now-j.lastToken)
	}
	j.lastToken = now
}

func (s *score) first(j *job, wait time.Duration) {
	j.stall += max(wait-firstTokenWithin, 0)
	s.firstTokens.add(wait)
	s.classes[j.class].firstTokens.add(wait)
	s.firstAll++
	if wait <= firstTokenWithin {
		s.firstWithin++
	}
}

func (s *score) gap(j *job, gap time.Duration) {
	j.stall += max(gap-gapWithin, 0)
	s.gaps.add(gap)
	s.classes[j.class].gaps.add(gap)
	s.gapsAll++
	if gap <= gapWithin {
		s.gapsWithin++
	}
}

func (s *score) preempted(j *job, e *engine) {
	j.preemptions++
	s.classes[j.class].preemptions++
	for _, other := range e.running {
		if other.priority < j.priority {
			s.inversions++
			return
		}
	}
}

// answered records a whole answer.
func (s *score) answered(j *job, now time.Duration) {
	if s.d.services[j.service].plain() {
		s.lookup(j, now)
		return
	}
	c := &s.classes[j.class]
	c.requests++
	c.answered++
	s.stalled(j)
	if j.stall <= s.d.classes[j.class].stallAllowance {
		c.onTime++
		s.onTimeTokens += j.output
	}
}

// lookup records a call of the plain service; those that arrived while engines were flooded are
// kept apart.
func (s *score) lookup(j *job, now time.Duration) {
	took := now - j.arrival
	switch {
	case s.d.flooding(j.arrival):
		s.flooded.add(took)
	case j.arrival < s.d.Duration/6:
		s.lookups.add(took)
	}
}

func (s *score) stalled(j *job) {
	c := &s.classes[j.class]
	c.stall += j.stall
	c.stalls.add(j.stall)
	if j.class != len(s.classes)-1 || !s.d.flooding(j.arrival) {
		return
	}
	if j.account == floodingAccount {
		s.flooder += j.stall
		return
	}
	s.others.add(j.stall)
}

func (s *score) refused(j *job) {
	s.classes[j.class].requests++
	s.classes[j.class].refused++
}

func (s *score) lost(j *job) {
	s.classes[j.class].requests++
	s.classes[j.class].lost++
	s.stalled(j)
}

// cutOff records a job that had not ended when the run did; its last wait counts as stall.
func (s *score) cutOff(j *job, now time.Duration) {
	if s.d.services[j.service].plain() {
		return
	}
	s.cut++
	s.classes[j.class].requests++
	since, bound := j.arrival, firstTokenWithin
	if j.produced > 0 {
		since, bound = j.lastToken, gapWithin
	}
	j.stall += max(now-since-bound, 0)
	s.stalled(j)
}
