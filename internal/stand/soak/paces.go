package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"time"

	"godwitcart/platform/platformtest"
)

const (
	// One of slowReaderEvery callers reads streams slowly, one of chunkedEvery requests has a body in chunks, and one of
	// slowBodyEvery of these is sent slowly, within maxBodyTime.
	slowReaderEvery, chunkedEvery, slowBodyEvery = 5, 5, 3
	maxBodyTime                                  = time.Second
	// largeEventsEvery is the number of streams per stream with large events, which hold that many bytes of data.
	largeEventsEvery              = 5
	minEventBytes, maxEventBytes  = 1 << 10, 4 << 10
	minReadRate, maxReadRate      = 4 << 10, 60 << 10 // bytes/s
	minReadBytes, maxReadBytes    = 1 << 10, 4 << 10
	slowBufferBytes, segmentBytes = 4 << 10, 1460
	// maxReadTime bounds how long a slow caller needs for a stream; the deadline leaves as much again.
	maxReadTime = 4 * time.Second
	// usualEventBytes bounds the size of an event without more data.
	usualEventBytes = 100
)

// readingPace is how a caller reads streams: readBytes at a time, then a pause, at bytesPerSecond. The zero value reads at once.
type readingPace struct{ bytesPerSecond, readBytes int }

// choosePace draws the pace of a caller.
func choosePace(random *rand.Rand) readingPace {
	if random.IntN(slowReaderEvery) != 0 {
		return readingPace{}
	}
	return readingPace{bytesPerSecond: between(random, minReadRate, maxReadRate), readBytes: between(random, minReadBytes, maxReadBytes)}
}

// between returns a number from low up to high.
func between(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }

func (p readingPace) isSlow() bool { return p.bytesPerSecond > 0 }

// dialContext returns how the caller dials; nil for the usual way. A slow caller's kernel holds little of what it has not read.
func (p readingPace) dialContext() func(ctx context.Context, network, address string) (net.Conn, error) {
	if !p.isSlow() {
		return nil
	}
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		controlErr := raw.Control(func(fd uintptr) {
			if err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, slowBufferBytes); err == nil {
				err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			}
		})
		if controlErr != nil {
			return controlErr
		}
		return err
	}}
	return dialer.DialContext
}

// reader returns the body as the caller reads it.
func (p readingPace) reader(body io.Reader) io.Reader {
	if !p.isSlow() {
		return body
	}
	return slowReader{source: body, portion: p.readBytes, bytesPerSecond: p.bytesPerSecond}
}

// slowReader reads up to portion bytes at a time and pauses, so that the rate is bytesPerSecond.
type slowReader struct {
	source                  io.Reader
	portion, bytesPerSecond int
}

// Read implements io.Reader.
func (r slowReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b[:min(len(b), r.portion)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(r.bytesPerSecond))
	return n, err
}

// chooseEventSize draws the size of the stream's events, and cuts its number of events to what its caller reads in maxReadTime.
func (c *call) chooseEventSize(generation *platformtest.Generation, random *rand.Rand) {
	if random.IntN(largeEventsEvery) == 0 {
		c.eventBytes = between(random, minEventBytes, maxEventBytes)
	}
	if c.pace.isSlow() {
		readable := int(maxReadTime.Seconds()) * c.pace.bytesPerSecond
		c.expectedEvents = min(c.expectedEvents, readable/(c.eventBytes+usualEventBytes))
	}
	generation.Events, generation.EventBytes = c.expectedEvents, c.eventBytes
}

// chooseBody draws how the body is sent.
func (c *call) chooseBody(random *rand.Rand) {
	c.chunked = random.IntN(chunkedEvery) == 0
	if c.chunked && random.IntN(slowBodyEvery) == 0 {
		c.bodyTime = time.Duration(random.Int64N(int64(maxBodyTime)))
	}
}

const requestText = "flour"

// requestBody returns the body of the request. net/http sends one whose length it cannot tell in chunks.
func (c *call) requestBody() io.Reader {
	text := strings.NewReader(requestText)
	if !c.chunked {
		return text
	}
	if c.bodyTime == 0 {
		return io.MultiReader(text)
	}
	return slowReader{source: text, portion: 1, bytesPerSecond: max(1, int(time.Duration(len(requestText))*time.Second/c.bodyTime))}
}
