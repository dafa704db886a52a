package eventstream_test

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/eventstream"
)

func read(stream io.Reader) (events []eventstream.Event, err error) {
	reader := eventstream.NewReader(stream)
	for {
		event, err := reader.Next()
		if err != nil {
			return events, err
		}
		event.Raw = append([]byte(nil), event.Raw...)
		events = append(events, event)
	}
}

// TestWholeEvents checks that events keep their bytes, however they arrive.
func TestWholeEvents(t *testing.T) {
	long := strings.Repeat("x", 9000)
	stream := "id: 1\ndata: a\n\nx-version: 3\nid:2\ndata: " + long + "\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"
	for _, source := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
		events, err := read(source)
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

// TestCutEvent checks that an event without its end is not returned.
func TestCutEvent(t *testing.T) {
	for _, cut := range []string{"id: 2", "id: 2\n", "id: 2\ndata: b\n"} {
		events, err := read(strings.NewReader("id: 1\ndata: a\n\n" + cut))
		require.Equal(t, io.ErrUnexpectedEOF, err)
		require.Len(t, events, 1)
	}
}

// TestTooLongEvent checks the bound on one event.
func TestTooLongEvent(t *testing.T) {
	_, err := read(strings.NewReader("data: " + strings.Repeat("x", 2<<20)))
	require.Error(t, err)
	require.NotEqual(t, io.EOF, err)
}

func BenchmarkNext(b *testing.B) {
	event := "id: 17\ndata: " + strings.Repeat("x", 350) + "\n\n"
	reader := eventstream.NewReader(&endless{text: event})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := reader.Next(); err != nil {
			b.Fatal(err)
		}
	}
}

// endless repeats a text.
type endless struct {
	text string
	at   int
}

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text[e.at:])
	e.at = (e.at + n) % len(e.text)
	return n, nil
}
