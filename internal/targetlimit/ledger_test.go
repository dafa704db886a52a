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

// TestLimitSurvivesOutageOfList guards against a VM that forgets the limit of a target that is listed again after an outage
// of the platform.
func TestLimitSurvivesOutageOfList(t *testing.T) {
	l := newLedger("vm-1")
	l.Observe(counter, limited(4), at(0), at(10))
	l.Retain(nil, at(20))
	l.Retain(map[string]roster.Target{"c1": counter}, at(25_000))
	l.Retain(nil, at(26_000))
	l.Retain(nil, at(50_000))
	require.True(t, l.IsLimited(counter))
	l.Retain(nil, at(57_000))
	require.False(t, l.Active())
}

// TestOverdrawnPermitsAreTakenBack checks that a request that is sent without a permit uses up a later one.
func TestOverdrawnPermitsAreTakenBack(t *testing.T) {
	var asked []targetlimit.Message
	l := targetlimit.NewLedger(targetlimit.Options{VM: "vm-1", Logger: log.New(io.Discard), Transmit: func(_ string, message targetlimit.Message) {
		asked = append(asked, message)
	}})
	l.SetCoordination(targetlimit.Coordination{Coordinator: "vm-2", Known: 2}, at(0))
	l.Observe(counter, limited(4), at(0), at(10))
	l.Take(counter, at(20))
	for i, wantUsable := range []bool{false, true} {
		now := at(100 * (i + 1))
		l.Ask(counter, true, time.Second, now)
		require.Len(t, asked, i+1)
		l.HandleMessage("vm-2", targetlimit.Message{Answer: &targetlimit.Answer{Target: targetlimit.IncarnationOf(counter), Number: asked[i].Ask.Number, Granted: true}}, now)
		require.Equal(t, wantUsable, l.MayTake(counter, now))
	}
}

// TestAnswersThatDoNotCount checks that a permit is not taken from a VM that is not the coordinator, twice or too late, and
// expires.
func TestAnswersThatDoNotCount(t *testing.T) {
	var asked targetlimit.Message
	l := targetlimit.NewLedger(targetlimit.Options{VM: "vm-1", Logger: log.New(io.Discard), Transmit: func(_ string, message targetlimit.Message) { asked = message }})
	l.SetCoordination(targetlimit.Coordination{Coordinator: "vm-2", Known: 2}, at(0))
	l.Observe(counter, limited(4), at(0), at(10))
	answer := func(from string, now time.Time) {
		l.HandleMessage(from, targetlimit.Message{Answer: &targetlimit.Answer{Target: targetlimit.IncarnationOf(counter), Number: asked.Ask.Number, Granted: true}}, now)
	}
	l.Ask(counter, true, time.Second, at(100))
	answer("vm-3", at(110))
	require.False(t, l.MayTake(counter, at(110)), "not the coordinator")
	answer("vm-2", at(450))
	require.False(t, l.MayTake(counter, at(450)), "too late")
	l.Ask(counter, true, time.Second, at(500))
	answer("vm-2", at(510))
	answer("vm-2", at(511))
	require.True(t, l.MayTake(counter, at(520)))
	l.Take(counter, at(520))
	require.False(t, l.MayTake(counter, at(520)), "the same answer twice")
	l.Ask(counter, true, time.Second, at(600))
	answer("vm-2", at(610))
	require.False(t, l.MayTake(counter, at(1700)), "the permit has expired")
}
