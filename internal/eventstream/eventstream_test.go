package eventstream_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/eventstream"
)

func readAll(stream io.Reader) (events []eventstream.Event, err error) {
	reader := eventstream.NewReader(stream, freeMemory{})
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		event.Raw = append([]byte(nil), event.Raw...)
		events = append(events, event)
	}
}

// TestCompleteEvents checks that the events together have exactly the bytes of the stream, however these are split into
// reads.
func TestCompleteEvents(t *testing.T) {
	longData := strings.Repeat("x", 9000)
	stream := "id: 1\ndata: a\n\nx-version: 3\nid:2\ndata: " + longData + "\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"
	for _, source := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
		events, err := readAll(source)
		require.Equal(t, io.EOF, err)
		require.Len(t, events, 3)
		joined := ""
		for i, event := range events {
			require.Equal(t, string(rune('1'+i)), event.ID)
			joined += string(event.Raw)
		}
		require.Equal(t, stream, joined)
	}
}

// TestComments checks which blocks are comments alone.
func TestComments(t *testing.T) {
	events, err := readAll(strings.NewReader(": ping\n\n:\r\n: more\r\n\r\n: note\nid: 1\ndata: a\n\ndata: b\n\n"))
	require.Equal(t, io.EOF, err)
	require.Len(t, events, 4)
	for i, isComment := range []bool{true, true, false, false} {
		require.Equal(t, isComment, events[i].IsComment, "block %d", i)
	}
}

// TestTruncatedEvent checks that an incomplete event is not returned.
func TestTruncatedEvent(t *testing.T) {
	for _, truncated := range []string{"id: 2", "id: 2\n", "id: 2\ndata: b\n"} {
		events, err := readAll(strings.NewReader("id: 1\ndata: a\n\n" + truncated))
		require.Equal(t, io.ErrUnexpectedEOF, err)
		require.Len(t, events, 1)
	}
}

// TestTooLongEvent checks that an event longer than the bound is an error.
func TestTooLongEvent(t *testing.T) {
	_, err := readAll(strings.NewReader("data: " + strings.Repeat("x", 2<<20)))
	require.Error(t, err)
	require.NotEqual(t, io.EOF, err)
}

func BenchmarkNext(b *testing.B) {
	event := "id: 17\ndata: " + strings.Repeat("x", 350) + "\n\n"
	reader := eventstream.NewReader(&repeatingReader{text: event}, freeMemory{})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := reader.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// repeatingReader returns the same text endlessly.
type repeatingReader struct {
	text   string
	offset int
}

// Read implements io.Reader.
func (e *repeatingReader) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.offset:])
	e.offset = (e.offset + n) % len(e.text)
	return n, nil
}

// freeMemory is a Holder without a bound.
type freeMemory struct{}

func (freeMemory) Grow(int) error { return nil }

func (freeMemory) Shrink(int) {}

// countingMemory is a Holder that refuses beyond a bound.
type countingMemory struct{ held, most, bound int }

func (m *countingMemory) Grow(bytes int) error {
	if m.held+bytes > m.bound {
		return errors.New("no memory")
	}
	m.held += bytes
	m.most = max(m.most, m.held)
	return nil
}

func (m *countingMemory) Shrink(bytes int) { m.held -= bytes }

// TestLargeEventsAreAccountedFor guards against events whose memory nobody counts, and against a buffer that is held for the rest
// of the stream after one large event.
func TestLargeEventsAreAccountedFor(t *testing.T) {
	large := "data: " + strings.Repeat("x", 300<<10) + "\n\n"
	memory := &countingMemory{bound: 2 << 20}
	reader := eventstream.NewReader(strings.NewReader(large+"data: a\n\n"), memory)
	event, err := reader.Next()
	require.NoError(t, err)
	require.Len(t, event.Raw, len(large))
	require.GreaterOrEqual(t, memory.held, len(large))
	event, err = reader.Next()
	require.NoError(t, err)
	require.Equal(t, "data: a\n\n", string(event.Raw))
	require.LessOrEqual(t, memory.held, 16<<10)
	reader.Close()
	require.Zero(t, memory.held)
	_, err = eventstream.NewReader(strings.NewReader(large), &countingMemory{bound: 100 << 10}).Next()
	require.ErrorContains(t, err, "no memory")
}
