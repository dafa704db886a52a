package logsink_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/logsink"
)

// TestBurst checks that lines beyond the rate limit are dropped, not delayed.
func TestBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		sink := logsink.New(&out)
		const lines = 5000
		for i := range lines {
			fmt.Fprintf(sink, "{\"line\":%d}\n", i)
		}
		sink.Close()
		written := strings.Count(out.String(), "\n")
		require.Less(t, written, lines/2)
		require.Positive(t, written)
	})
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

// Write implements io.Writer.
func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

// TestSlowReader checks that Write does not block while the log is not read.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out)
		for range 700 {
			_, err := sink.Write([]byte(strings.Repeat("x", 2000) + "\n"))
			require.NoError(t, err)
		}
		close(out.release)
		sink.Close()
	})
}
