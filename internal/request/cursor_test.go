package request_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/request"
	"godwitcart/internal/request/cursorpb"
)

func newSealer(t testing.TB, fillBytes ...byte) *request.Sealer {
	t.Helper()
	var keys [][]byte
	for _, b := range fillBytes {
		keys = append(keys, bytes.Repeat([]byte{b}, request.MinCursorKeyBytes))
	}
	sealer, err := request.NewSealer(keys)
	require.NoError(t, err)
	return sealer
}

func sealAt(t testing.TB, sealer *request.Sealer, next int) string {
	t.Helper()
	stream, err := sealer.NewStream(&cursorpb.Cursor{Account: "acme", AttemptId: "a-1", Address: "127.0.0.1:9"})
	require.NoError(t, err)
	return string(stream.CursorAt(next))
}

func TestCursorOpensOnAnyVMWithTheKey(t *testing.T) {
	text := sealAt(t, newSealer(t, 1), 7)
	cursor, next, err := newSealer(t, 2, 1).Open(text)
	require.NoError(t, err)
	require.Equal(t, 7, next)
	require.Equal(t, "acme", cursor.Account)
	require.NotContains(t, text, "acme")
}

func TestInvalidCursorsAreRejected(t *testing.T) {
	sealer := newSealer(t, 1)
	text := sealAt(t, sealer, 7)
	other := sealAt(t, sealer, 8)
	invalid := map[string]string{
		"empty":         "",
		"not a cursor":  "12",
		"another key":   sealAt(t, newSealer(t, 3), 7),
		"another index": text[:len(text)-34] + other[len(other)-34:],
		"cut short":     text[:len(text)-1],
		"huge":          string(bytes.Repeat([]byte("a"), 1<<16)),
	}
	for name, cursor := range invalid {
		t.Run(name, func(t *testing.T) {
			_, _, err := sealer.Open(cursor)
			require.Equal(t, apierror.KindBadRequest, apierror.KindOf(err))
		})
	}
}

// FuzzCursorOpen checks that Open accepts no text that was not sealed with the key, and does not panic.
func FuzzCursorOpen(f *testing.F) {
	sealer := newSealer(f, 1)
	f.Add(sealAt(f, newSealer(f, 2), 3))
	f.Add("..")
	f.Fuzz(func(t *testing.T, text string) {
		_, _, err := sealer.Open(text)
		require.Error(t, err)
	})
}

func BenchmarkCursorAt(b *testing.B) {
	stream, err := newSealer(b, 1).NewStream(&cursorpb.Cursor{Account: "acme", AttemptId: "a-1"})
	require.NoError(b, err)
	b.ReportAllocs()
	for i := range b.N {
		stream.CursorAt(i)
	}
}
