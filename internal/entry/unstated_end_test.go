package entry_test

import (
	"net/http"
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
)

// TestSoundStreamsWithoutALengthCountAsCrashes guards against a request that is blocked as one under which targets crash, since the targets that
// were asked for more after its end had nothing to send.
func TestSoundStreamsWithoutALengthCountAsCrashes(t *testing.T) {
	d := newDeployment(t)
	for _, id := range []string{"e1", "e2", "e3"} {
		d.target(id, "drafter").SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			s := startRawStream(w, r, unframed, 0)
			s.write(eventTexts(after+1, endedEvents))
			s.end()
			return true
		})
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	crashes := metrics.GetOrRegisterCounter("poison.crashes", metrics.DefaultRegistry)
	before := crashes.Count()
	got := v.receive(v.generation("/checks/1", endedEvents, 1))
	require.Equal(t, eventTexts(1, endedEvents), got.body)
	require.Equal(t, before, crashes.Count(), "sound targets count as crashed")
}
