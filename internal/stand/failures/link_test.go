package failures

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/load"
)

// echoServer echoes lines until the test ends.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func say(t *testing.T, conn net.Conn) error {
	t.Helper()
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func TestLinkForwardsStallsAndCuts(t *testing.T) {
	ports, err := newPortPool()
	require.NoError(t, err)
	t.Cleanup(ports.close)
	address, err := ports.address()
	require.NoError(t, err)
	l, err := newLink(address, echoServer(t))
	require.NoError(t, err)
	t.Cleanup(l.close)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, say(t, conn))

	l.stall()
	l.stall()
	l.unstall()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	require.Error(t, say(t, conn), "one of two stalls is left")
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	l.unstall()
	_, err = bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err, "what was held back arrives")

	l.cut()
	l.cut()
	require.Error(t, say(t, conn))
	require.NoError(t, l.restore())
	_, err = net.Dial("tcp", address)
	require.Error(t, err, "one of two cuts is left")
	require.NoError(t, l.restore())
	conn, err = net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, say(t, conn))
}

func TestFaultsFollowTheSeed(t *testing.T) {
	draw := func(seed uint64) []action {
		f, err := newFleet(Options{Binaries: "bin", Directory: t.TempDir(), Seed: seed})
		require.NoError(t, err)
		t.Cleanup(f.stop)
		return newDrawer(seed, f).faults(time.Minute)
	}
	first := draw(7)
	require.Equal(t, first, draw(7))
	require.NotEqual(t, first, draw(8))
	pairs := 0
	for i, a := range first {
		require.NotEmpty(t, a.subject)
		require.GreaterOrEqual(t, a.after, warmUp)
		if i > 0 && a.after == first[i-1].after {
			pairs++
		}
	}
	require.Positive(t, pairs)
}

func TestZoneCutSparesLinksInside(t *testing.T) {
	f, err := newFleet(Options{Binaries: "bin", Directory: t.TempDir(), Seed: 1})
	require.NoError(t, err)
	t.Cleanup(f.stop)
	across := f.linksAcross("zone-a")
	require.Contains(t, across, f.links[linkKey{"zone-a", platformName}])
	require.Contains(t, across, f.links[linkKey{"zone-a", "engine-2"}])
	require.Contains(t, across, f.links[linkKey{"zone-b", "engine-1"}])
	require.NotContains(t, across, f.links[linkKey{"zone-a", "engine-1"}])
	require.NotContains(t, across, f.links[linkKey{"zone-b", "engine-3"}])
}

func TestAvailability(t *testing.T) {
	answered := func(seconds float64) load.Record {
		return load.Record{Started: at(seconds), Answers: []load.Answer{{Outcome: load.OutcomeAnswered, Ended: at(seconds + 1)}}}
	}
	failed := load.Record{Started: at(10), Answers: []load.Answer{{Outcome: load.OutcomeNone}}}
	got := measure([]load.Record{answered(0), answered(1), answered(6), failed})
	require.Equal(t, Availability{AnsweredShare: 0.75, WorstGapSeconds: 5}, got)
}
