package fleet

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/placement"
)

// unreachableWord is a placement.UnreachableWord.
type unreachableWord struct {
	//lint:ignore U1000 the codec reads its tag
	_msgpack  struct{} `msgpack:",as_array"`
	Target    string
	StartedAt int64
	AgeMillis int64
}

// addUnreachable adds the targets that this VM could not reach. One that is cut off says nothing of them.
func (f *Fleet) addUnreachable(out *digest, now time.Time) {
	if out.CutOff {
		return
	}
	for _, word := range f.options.Table.OwnUnreachable(now) {
		out.Unreachable = append(out.Unreachable, unreachableWord{Target: word.ID, StartedAt: word.StartedAt, AgeMillis: word.Age.Milliseconds()})
	}
}

// hearUnreachable passes on what a peer says of targets that it could not reach.
func (f *Fleet) hearUnreachable(received *digest, now time.Time) {
	if received.CutOff || len(received.Unreachable) == 0 {
		return
	}
	words := make([]placement.UnreachableWord, len(received.Unreachable))
	for i, word := range received.Unreachable {
		words[i] = placement.UnreachableWord{ID: word.Target, StartedAt: word.StartedAt, Age: time.Duration(word.AgeMillis) * time.Millisecond}
	}
	metrics.GetOrRegisterCounter("fleet.unreachable.heard", metrics.DefaultRegistry).Inc(int64(len(words)))
	f.options.Table.HearUnreachable(placement.Sender{VM: received.VM, Zone: received.Zone}, words, now)
}
