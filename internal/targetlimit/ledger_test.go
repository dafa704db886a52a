package targetlimit_test

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/roster"
	"godwitcart/internal/targetlimit"
)

var (
	start   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	counter = roster.Target{ID: "c1", StartedAt: 1}
)

func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

func limited(perSecond float64) targetlimit.Statement {
	return targetlimit.Statement{Limited: true, PerSecond: perSecond}
}

func newLedger(vm string) *targetlimit.Ledger {
	return targetlimit.NewLedger(targetlimit.Options{VM: vm, Logger: log.New(io.Discard)})
}

// TestAnswerSentBeforeLimitDoesNotEndIt guards against answers that overtake each other.
func TestAnswerSentBeforeLimitDoesNotEndIt(t *testing.T) {
	l := newLedger("vm-1")
	l.Observe(counter, limited(4), at(0), at(10))
	l.Observe(counter, targetlimit.Statement{}, at(5), at(30))
	require.True(t, l.Active())
	l.Observe(counter, targetlimit.Statement{}, at(11), at(40))
	require.False(t, l.Active())
}

// TestNewestStatementCounts checks the order of statements of different VMs, whatever the order of their arrival.
func TestNewestStatementCounts(t *testing.T) {
	word := func(perSecond float64, named bool, ageMillis int) []targetlimit.Announcement {
		return []targetlimit.Announcement{{
			Target: targetlimit.IncarnationOf(counter), Statement: targetlimit.Statement{Limited: named, PerSecond: perSecond},
			Age: time.Duration(ageMillis) * time.Millisecond,
		}}
	}
	l := newLedger("vm-1")
	l.Hear("vm-2", word(4, true, 100), at(1000))
	l.Hear("vm-3", word(9, true, 500), at(1000))
	require.Equal(t, 4.0, l.Announcements(true, at(1000))[0].PerSecond)
	l.Hear("vm-3", word(3, true, 50), at(1000))
	require.Equal(t, 3.0, l.Announcements(true, at(1000))[0].PerSecond)
	l.Hear("vm-2", word(0, false, 10), at(1000))
	require.False(t, l.Active())
	l.Hear("vm-3", word(3, true, 200), at(1100))
	require.False(t, l.Active(), "outdated word restores a limit that has ended")
}

// TestRestartedTargetHasNoLimit checks that the limit of an incarnation ends with it.
func TestRestartedTargetHasNoLimit(t *testing.T) {
	l := newLedger("vm-1")
	l.Observe(counter, limited(4), at(0), at(10))
	restarted := counter
	restarted.StartedAt = 2
	l.Retain(map[string]roster.Target{"c1": restarted}, at(20))
	require.False(t, l.Active())
	l.Observe(restarted, targetlimit.Statement{}, at(21), at(22))
	require.Empty(t, l.Announcements(true, at(22)))
}
