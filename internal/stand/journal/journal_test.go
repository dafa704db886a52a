package journal

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadIgnoresIncompleteLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "journal")
	out, err := Open(path)
	require.NoError(t, err)
	at := time.Unix(7, 5)
	NewWriter(out, "engine-1", "i1").Append(Entry{Event: EventAccepted, AttemptID: "a"}, at)
	require.NoError(t, os.WriteFile(path, append(readFile(t, path), `{"event":"sta`...), 0o600))

	entries, err := Read(path)
	require.NoError(t, err)
	require.Equal(t, []Entry{{
		Event: EventAccepted, Target: "engine-1", Incarnation: "i1", UnixNanos: at.UnixNano(), AttemptID: "a",
	}}, entries)
	require.True(t, entries[0].At().Equal(at))
	NewWriter(nil, "", "").Append(Entry{}, at)
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return data
}
