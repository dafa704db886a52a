package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestEvidenceThatSuffices lists which evidence blocks a feature. Evidence of an outage, of one other VM or of too few
// crashes does not.
func TestEvidenceThatSuffices(t *testing.T) {
	now := time.Now()
	ago := func(millis int) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	cases := map[string]struct {
		evidence evidence
		suffices bool
	}{
		"three crashes, others answered": {evidence{crashes: 3, first: ago(500), last: ago(100), reporters: 2, control: 2}, true},
		"seen here alone":                {evidence{crashes: 3, first: ago(500), last: ago(100), reporters: 1, ownReport: true, control: 2}, true},
		"told by one other VM":           {evidence{crashes: 9, first: ago(5000), last: ago(100), reporters: 1, control: 50}, false},
		"two crashes":                    {evidence{crashes: 2, first: ago(500), last: ago(100), reporters: 2, control: 50}, false},
		"nothing is answered":            {evidence{crashes: 9, first: ago(5000), last: ago(100), reporters: 3}, false},
		"last crash just reported":       {evidence{crashes: 3, first: ago(500), last: ago(10), reporters: 2, control: 2}, false},
		"answered before, a burst":       {evidence{crashes: 6, first: ago(500), last: ago(100), reporters: 3, control: 9, answered: true}, false},
		"answered before, over a second": {evidence{crashes: 4, first: ago(1500), last: ago(100), reporters: 3, control: 5, answered: true}, true},
		"blocked, still supported":       {evidence{crashes: 3, first: ago(500), last: ago(10), reporters: 2, blocked: true}, true},
		"blocked, crashes refuted":       {evidence{crashes: 2, first: ago(500), last: ago(100), reporters: 2, control: 9, blocked: true}, false},
		"most targets crash without it":  {evidence{crashes: 3, otherCrashes: 7, first: ago(500), last: ago(100), reporters: 3, control: 9}, false},
		"answered, half crash without":   {evidence{crashes: 9, otherCrashes: 10, first: ago(5000), last: ago(100), reporters: 3, control: 9, answered: true}, false},
	}
	for name, c := range cases {
		c.evidence.requests = c.evidence.crashes
		require.Equal(t, c.suffices, c.evidence.suffices(now), name)
	}
}

// TestRequestLostWithEachTargetIsSuspected lists when a request is blocked for a short time although nothing else was
// answered: not on the word of one VM, not where most targets crash without it, and not soon if it was answered before.
func TestRequestLostWithEachTargetIsSuspected(t *testing.T) {
	now := time.Now()
	ago := func(millis int) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	cases := map[string]struct {
		evidence evidence
		expected confidence
	}{
		"three crashes":                 {evidence{crashes: 3, first: ago(500), last: ago(100), reporters: 2}, suspected},
		"one other answered":            {evidence{crashes: 3, first: ago(500), last: ago(100), reporters: 2, control: 1}, suspected},
		"others answered":               {evidence{crashes: 3, first: ago(500), last: ago(100), reporters: 2, control: 2}, proven},
		"two crashes":                   {evidence{crashes: 2, first: ago(500), last: ago(100), reporters: 2}, unproven},
		"told by one other VM":          {evidence{crashes: 9, first: ago(500), last: ago(100), reporters: 1}, unproven},
		"most targets crash without it": {evidence{crashes: 3, otherCrashes: 7, first: ago(500), last: ago(100), reporters: 2}, unproven},
		"answered before, a burst":      {evidence{crashes: 9, first: ago(500), last: ago(100), reporters: 3, answered: true}, unproven},
		"answered before, over time":    {evidence{crashes: 4, first: ago(1500), last: ago(100), reporters: 3, answered: true}, suspected},
	}
	for name, c := range cases {
		c.evidence.requests, c.evidence.isRequest = c.evidence.crashes, true
		require.Equal(t, c.expected, c.evidence.judge(now), name)
	}
}

// TestOneRequestLostManyTimesProvesNothing guards against blocking what one request has in common with others because it is
// sent again during an outage.
func TestOneRequestLostManyTimesProvesNothing(t *testing.T) {
	now := time.Now()
	e := evidence{crashes: 4, requests: 2, first: now.Add(-time.Second), last: now.Add(-settleTime), reporters: 2, control: 9}
	require.False(t, e.suffices(now))
}

// TestStrongestEvidence checks which of several features is to blame: crashes count first, then whether it was answered
// before, then which is shared by fewer requests.
func TestStrongestEvidence(t *testing.T) {
	more, fewer := evidence{crashes: 4}, evidence{crashes: 3, depth: 5}
	require.True(t, more.isStronger(&fewer))
	unknown, answered := evidence{crashes: 3}, evidence{crashes: 3, depth: 5, answered: true}
	require.True(t, unknown.isStronger(&answered))
	deeper, first := evidence{crashes: 3, depth: 1}, evidence{crashes: 3}
	require.True(t, deeper.isStronger(&first))
}

// TestCrashesExplainedByACulpritAccuseNobodyElse plays requests that die beside those which are to blame, and two culprits
// at once.
func TestCrashesExplainedByACulpritAccuseNobodyElse(t *testing.T) {
	const bad, worse, common, beside = Feature(1), Feature(2), Feature(3), Feature(4)
	now := time.Now()
	at := func(i int, features ...Feature) *crash {
		c := newCrash(now.Add(-time.Duration(1000-i)*time.Millisecond), now)
		c.accuse(uint64(i), SharedFeatures(features...))
		return c
	}
	crashes := []*crash{
		at(1, common, bad, beside), at(2, common, bad, beside), at(3, common, bad, beside), at(4, common, bad),
		at(5, common, worse), at(6, common, worse), at(7, common, worse),
	}
	gather := func(feature Feature, crashes []*crash) evidence {
		e := evidence{reporters: 2, control: 2, answered: feature == common, first: now.Add(-time.Second), last: now.Add(-settleTime)}
		for _, c := range crashes {
			if against := c.accused[feature]; against != nil {
				e.crashes++
				e.requests++
				e.depth = against.depth
			}
		}
		return e
	}
	var found []Feature
	for _, c := range culprits(crashes, now, gather) {
		found = append(found, c.feature)
	}
	require.Equal(t, []Feature{bad, worse}, found)
}
