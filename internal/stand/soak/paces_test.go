package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestSlowStreamsFitTheirDeadline guards against streams that a slow caller cannot read before its deadline, and that would
// count as lost.
func TestSlowStreamsFitTheirDeadline(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	slow, large := 0, 0
	for range 2000 {
		c := &call{expectedEvents: 154, pace: choosePace(random)}
		var generation platformtest.Generation
		c.chooseEventSize(&generation, random)
		require.Equal(t, c.expectedEvents, generation.Events)
		require.Equal(t, c.eventBytes, generation.EventBytes)
		require.Positive(t, c.expectedEvents)
		large += count(c.eventBytes > 0)
		if c.pace.isSlow() {
			slow++
			size := c.expectedEvents * len(platformtest.EventText(c.expectedEvents, "c39-999-r-r", "v99", c.eventBytes))
			require.LessOrEqual(t, size, c.pace.bytesPerSecond*int(maxReadTime/time.Second))
		}
	}
	require.InDelta(t, 400, slow, 100)
	require.InDelta(t, 400, large, 100)
}

// TestSlowCallerKeepsItsRate checks the portions of a slow caller, and that its kernel holds little of what it has not read.
func TestSlowCallerKeepsItsRate(t *testing.T) {
	pace := readingPace{bytesPerSecond: 1 << 30, readBytes: 1 << 10}
	n, err := pace.reader(strings.NewReader(strings.Repeat("x", 4<<10))).Read(make([]byte, 4<<10))
	require.NoError(t, err)
	require.Equal(t, 1<<10, n)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := pace.dialContext()(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.NoError(t, accepted.(*net.TCPConn).SetWriteBuffer(slowBufferBytes))
	require.NoError(t, accepted.SetWriteDeadline(time.Now().Add(300*time.Millisecond)))
	written, err := accepted.Write(make([]byte, 1<<20))
	require.ErrorContains(t, err, "timeout")
	require.Less(t, written, 100<<10)
}

// TestChunkedBodies checks that bodies of unknown length are whole, and are sent in chunks.
func TestChunkedBodies(t *testing.T) {
	for _, c := range []*call{{}, {chunked: true}, {chunked: true, bodyTime: 5 * time.Millisecond}} {
		request, err := http.NewRequest(http.MethodPost, "http://host/", c.requestBody())
		require.NoError(t, err)
		require.Equal(t, !c.chunked, request.ContentLength == int64(len(requestText)))
		body, err := io.ReadAll(request.Body)
		require.NoError(t, err)
		require.Equal(t, requestText, string(body))
	}
}

// TestLargeEventsAreChecked checks that large events count as events of their request, and other data of that size does not.
func TestLargeEventsAreChecked(t *testing.T) {
	for name, dataBytes := range map[string]int{"same": 3000, "another size": 2999} {
		t.Run(name, func(t *testing.T) {
			c := &call{id: "c", expectedEvents: 2, eventBytes: 3000}
			first, second := platformtest.EventText(1, "c", "v1", 3000), platformtest.EventText(2, "c", "v1", dataBytes)
			c.readEvents(strings.NewReader(first+second), -1)
			require.Equal(t, 2, c.events)
			require.Equal(t, dataBytes != 3000, c.foreign != "")
			require.Equal(t, len(second), len(platformtest.EventText(2, "c", "v1", 0))+len("data: \n")+dataBytes)
		})
	}
}
