package fleet

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"godwitcart/internal/origin"
	"godwitcart/internal/poison"
	"godwitcart/internal/targetlimit"
)

// builds are the commits whose messages stand in testdata/builds, as scripts/wiredata has them written.
var builds = []string{"f4565d3", "c669ad0"}

func readMessage(t testing.TB, build, name string) []byte {
	t.Helper()
	bytes, err := os.ReadFile(filepath.Join("testdata", "builds", build, name+".bin"))
	require.NoError(t, err)
	return bytes
}

// TestMessagesOfEarlierBuildsAreRead guards against messages that a build of another age cannot read while VMs are replaced: with
// one such part the whole digest is lost.
func TestMessagesOfEarlierBuildsAreRead(t *testing.T) {
	target := targetlimit.Incarnation{ID: "t-1", StartedAt: 5}
	for _, build := range builds {
		t.Run(build, func(t *testing.T) {
			read := func(name string) *digest {
				parsed, err := parseDigest(readMessage(t, build, name))
				require.NoError(t, err, name)
				return parsed
			}
			full := read("digest")
			require.Equal(t, uint64(12), full.Version)
			require.Equal(t, []targetLoads{{Target: "t-1", Requests: 2, Prefill: 30, Memory: 400}}, full.Loads)
			require.Equal(t, []targetChange{{ID: "t-1", StartedAt: 5, Service: "s", Address: "10.0.0.9:80", Zone: "zone-a", Slots: 6, Leaving: true}}, full.Changes)
			require.Equal(t, []limitAnnouncement{{Target: "t-1", StartedAt: 5, Limited: true, PerSecond: 4.5, AgeMillis: 20}}, read("limits").Limits)
			ask := targetlimit.Message{Ask: &targetlimit.Ask{Target: target, Number: 3, Urgent: true, Patience: time.Second}}
			require.Equal(t, ask, read("permit").Permit.unpack())
			record := origin.Message{Kind: origin.Found, Record: origin.Record{Attempt: "a", Service: "s", Version: "v1", Account: "acme", TTL: time.Minute}}
			require.Equal(t, record, read("origin").Origin.unpack())
			if build == "f4565d3" {
				return // it knows no crashes
			}
			crash := read("crash")
			require.Equal(t, poison.Message{Kind: poison.Crashed, Target: target, Request: 6, Features: []poison.Feature{3, 4}, Age: 40 * time.Millisecond}, crash.Poison.unpack(crash.PoisonAddition))
			block := read("block")
			require.Equal(t, poison.Message{Kind: poison.Blocked, Features: []poison.Feature{3}, Remaining: time.Minute, Failures: 1}, block.Poison.unpack(block.PoisonAddition))
		})
	}
}

// TestMessagesOfLaterBuildsAreRead checks that fields which are not known yet are skipped, at the end of arrays and in maps.
func TestMessagesOfLaterBuildsAreRead(t *testing.T) {
	sent, err := msgpack.Marshal(map[string]any{
		"v": "vm-1", "s": 7, "later": map[string]int{"a": 1},
		"m": []any{[]any{"t-1", 5, true, 4.5, 20, 3, "later", []int{1}}},
		"q": []any{"t-1", 5, 3, false, true, 1000, false, "later"},
		"x": []any{1, "t-1", 5, 6, []uint64{3}, 0, 0, 0, map[string]int{"later": 1}},
	})
	require.NoError(t, err)
	parsed, err := parseDigest(sent)
	require.NoError(t, err)
	require.Equal(t, []limitAnnouncement{{Target: "t-1", StartedAt: 5, Limited: true, PerSecond: 4.5, AgeMillis: 20, Brittle: 3}}, parsed.Limits)
	require.Equal(t, uint32(3), parsed.Permit.Number)
	require.Equal(t, []uint64{3}, parsed.Poison.Features)
}

// TestDatagramThatClaimsMoreThanItHoldsTakesAllMemory guards against eight bytes that state an array of four billion elements.
func TestDatagramThatClaimsMoreThanItHoldsTakesAllMemory(t *testing.T) {
	for _, field := range []byte("mlton") {
		for _, length := range [][]byte{{0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff}, {0xc6, 0xff, 0xff, 0xff, 0xff}} {
			_, err := parseDigest(append([]byte{0x81, 0xa1, field}, length...))
			require.Error(t, err)
		}
	}
}

// FuzzParseDigest checks that no bytes harm the decoder, and that what it accepts can be handled.
func FuzzParseDigest(f *testing.F) {
	for _, build := range builds {
		for _, name := range []string{"digest", "limits", "permit", "origin"} {
			f.Add(readMessage(f, build, name))
		}
	}
	f.Add(readMessage(f, "c669ad0", "crash"))
	f.Fuzz(func(t *testing.T, bytes []byte) {
		parsed, err := parseDigest(bytes)
		if err != nil {
			return
		}
		fleet := New(Options{Self: Member{Name: "vm-9"}})
		fleet.handleDirect(parsed, time.Now())
		parsed.changedTargets()
		unpackLoads(parsed.Loads)
	})
}
