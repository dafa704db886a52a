package ingress_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"godwitcart/internal/ingress"
)

// TestPaceFollowsTheRate checks how far clients are behind after ten seconds: by the rate and not by the time of the last byte.
func TestPaceFollowsTheRate(t *testing.T) {
	const (
		duration = 10 * time.Second
		rate     = ingress.DefaultLeastRate
	)
	for name, test := range map[string]struct {
		every       time.Duration
		bytes, rate int
		behind      time.Duration
		isTrickling bool
	}{
		"a byte every 300 ms":           {300 * time.Millisecond, 1, rate, 9 * time.Second, true},
		"a byte every ms":               {time.Millisecond, 1, rate, 7 * time.Second, true},
		"half the rate":                 {100 * time.Millisecond, rate / 20, rate, 5 * time.Second, true},
		"the rate":                      {100 * time.Millisecond, rate/10 + 1, rate, 0, false},
		"4 MiB held, 50 kB/s":           {100 * time.Millisecond, 5_000, 4 << 20 / 100, 0, false},
		"4 MiB held, the rate for less": {100 * time.Millisecond, rate / 10, 4 << 20 / 100, 9 * time.Second, true},
		"bursts":                        {2 * time.Second, 64 << 10, rate, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var p ingress.Pace
			p.Restart(0)
			for now := test.every; now <= duration; now += test.every {
				p.Read(now, test.bytes, test.rate)
			}
			require.InDelta(t, test.behind.Seconds(), p.Behind(duration).Seconds(), 1)
			require.Equal(t, test.isTrickling, p.IsTrickling(duration))
		})
	}
}

// TestNothingIsPaidInAdvance guards against clients that send much at once and then hold it.
func TestNothingIsPaidInAdvance(t *testing.T) {
	var p ingress.Pace
	p.Restart(0)
	p.Read(time.Second, 1<<20, 1<<10)
	require.Zero(t, p.Behind(time.Second))
	require.Equal(t, time.Second, p.Behind(2*time.Second))
	require.False(t, p.IsTrickling(2*time.Second), "it has stopped")
}

// TestUnreadBytesPayOnce guards against bytes that pay each time they are seen, and against clients that are behind because the
// process does not read.
func TestUnreadBytesPayOnce(t *testing.T) {
	const rate = 1 << 10
	var p ingress.Pace
	p.Restart(0)
	p.Read(time.Second, 1, rate)
	before := p.Behind(time.Second)
	require.True(t, p.Unread(time.Second, rate/2, rate))
	require.Equal(t, before-time.Second/2, p.Behind(time.Second))
	require.False(t, p.Unread(time.Second, rate/2, rate))
	p.Read(time.Second, rate/2, rate)
	require.Equal(t, before-time.Second/2, p.Behind(time.Second))
	require.True(t, p.Unread(3*time.Second, 1, rate))
	require.Zero(t, p.Behind(3*time.Second), "nobody has read for two seconds")
}

// TestRequestsGivenUpDoNotStartThePaceAnew guards against HTTP/2 clients that open a request, give it up and open the next one.
func TestRequestsGivenUpDoNotStartThePaceAnew(t *testing.T) {
	var p ingress.Pace
	p.Restart(0)
	for second := range 5 {
		begin := time.Duration(second) * 10 * time.Second
		p.Resume(begin)
		require.Equal(t, time.Duration(second)*time.Second, p.Behind(begin), "the time without a request does not count")
		p.Pause(begin + time.Second)
	}
}

// requireNewcomerServed requires that a request on a new connection is answered, if need be after the connection was refused.
func (g *guarded) requireNewcomerServed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", g.address)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, _ = io.WriteString(conn, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n") // an error means that it was refused
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}, waitTimeout, 100*time.Millisecond)
}

// TestTricklingClientMakesRoom guards against a client that keeps the only place for as long as it sends a byte now and then, in a
// head or in a body.
func TestTricklingClientMakesRoom(t *testing.T) {
	for name, open := range map[string]func(*testing.T, net.Conn) (next func() error){
		"head": func(t *testing.T, conn net.Conn) func() error {
			send(t, conn, "GET /1 HTTP/1.1\r\na: ")
			return func() error { return writeByte(conn) }
		},
		"body": func(t *testing.T, conn net.Conn) func() error {
			send(t, conn, "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n")
			return func() error { return writeByte(conn) }
		},
		"HTTP/2 body": openHTTP2Body,
	} {
		t.Run(name, func(t *testing.T) {
			g := serve(t, 16<<20, func(o *ingress.Options) { o.MaxConnections = 1 }, nil)
			before := counter("closed_slow")
			conn := g.dial(t)
			require.NoError(t, conn.SetDeadline(time.Time{}))
			go io.Copy(io.Discard, conn)
			next := open(t, conn)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				for next() == nil {
					time.Sleep(5 * time.Millisecond)
				}
			}()
			time.Sleep(200 * time.Millisecond) // it is behind
			g.requireNewcomerServed(t)
			<-ended
			require.Equal(t, before+1, counter("closed_slow"))
		})
	}
}

func writeByte(conn net.Conn) error {
	_, err := conn.Write([]byte{'x'})
	return err
}

// openHTTP2Body opens a request and returns what sends a byte of its body and a ping.
func openHTTP2Body(t *testing.T, conn net.Conn) func() error {
	send(t, conn, http2.ClientPreface)
	framer := http2.NewFramer(conn, conn)
	require.NoError(t, framer.WriteSettings())
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for _, field := range []hpack.HeaderField{{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: "/1"}, {Name: ":authority", Value: "a"}} {
		require.NoError(t, encoder.WriteField(field))
	}
	require.NoError(t, framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true}))
	return func() error {
		if err := framer.WriteData(1, false, []byte{'x'}); err != nil {
			return err
		}
		return framer.WritePing(false, [8]byte{})
	}
}
