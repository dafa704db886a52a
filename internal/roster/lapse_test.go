package roster_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/roster"
)

// lapseFleet is a fleet of followers of one list, which tell each other of changes. The first one is the reader.
type lapseFleet struct {
	*fixture
	followers []*roster.Follower
	listeners []*listener
	// isEarlier makes the VMs tell as those of earlier builds do: without a revision, and of a removal as of a leaving.
	isEarlier bool
}

const (
	lapseVMs = 4
	// repeatInterval and repeatTime are how often and how long VMs repeat a change.
	repeatInterval, repeatTime = 400 * time.Millisecond, 2 * time.Second
)

// runLapse runs the test with a fleet whose targets are e1 and e2.
func runLapse(t *testing.T, isEarlier bool, test func(*lapseFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &lapseFleet{fixture: &fixture{t: t, store: objecttest.NewStore(), versions: make(map[string]uint64)}, isEarlier: isEarlier}
		f.register("e1", "e2")
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{}, lapseVMs)
		for i := range lapseVMs {
			f.listeners = append(f.listeners, &listener{})
			f.followers = append(f.followers, roster.NewFollower(roster.Options{
				Store: f.store, Relaxed: f.store, Prefix: prefix, Decode: decode, Listener: f.listeners[i], Logger: log.New(io.Discard),
				IsReader:      func() bool { return i == 0 },
				TargetChanged: func(change roster.Target) { f.tell(ctx, i, change) },
			}))
		}
		for _, follower := range f.followers {
			go func() {
				_ = follower.Run(ctx)
				ended <- struct{}{}
			}()
		}
		defer func() {
			cancel()
			for range lapseVMs {
				<-ended
			}
			time.Sleep(repeatTime + time.Second)
		}()
		f.settle(time.Second)
		test(f)
	})
}

// tell repeats a change of the VM to the others.
func (f *lapseFleet) tell(ctx context.Context, from int, change roster.Target) {
	if f.isEarlier {
		change.Gone, change.Revision = false, 0
	}
	for passed := time.Duration(0); passed <= repeatTime; passed += repeatInterval {
		time.AfterFunc(passed+time.Millisecond, func() {
			for i, follower := range f.followers {
				if i != from && ctx.Err() == nil {
					follower.QueuePeerChange(change)
				}
			}
		})
	}
}

func (f *lapseFleet) register(ids ...string) {
	for _, id := range ids {
		f.put(id, roster.Target{StartedAt: 1, Address: id})
	}
}

func (f *lapseFleet) lapse(ids ...string) {
	for _, id := range ids {
		f.remove(id)
	}
}

// outage makes the store fail for the time, in which the entries lapse.
func (f *lapseFleet) outage(length time.Duration, lapsed ...string) {
	f.store.SetOutage(true)
	f.settle(length)
	f.store.SetOutage(false)
	f.lapse(lapsed...) // before any VM has read
}

func (f *lapseFleet) requireUsable(message string, ids ...string) {
	f.t.Helper()
	for i, l := range f.listeners {
		require.Equal(f.t, ids, l.usable(), "VM %d: %s", i, message)
	}
}

// TestTargetsThatLapseAndReturnCountAsLeaving guards against VMs that disagree for good on which targets are leaving, after entries
// of sound targets lapsed and were written again, and that do not tell each other when one of them really leaves later.
func TestTargetsThatLapseAndReturnCountAsLeaving(t *testing.T) {
	ways := map[string]func(f *lapseFleet){
		"one outage": func(f *lapseFleet) {
			f.outage(4500*time.Millisecond, "e1", "e2")
			f.settle(1500 * time.Millisecond)
			f.register("e1", "e2")
		},
		"several outages": func(f *lapseFleet) {
			for range 3 {
				f.outage(2*time.Second, "e1", "e2")
				f.settle(500 * time.Millisecond)
				f.outage(time.Second)
				f.settle(1500 * time.Millisecond)
				f.register("e1", "e2")
				f.settle(700 * time.Millisecond)
			}
		},
		"an outage when the removal is due": func(f *lapseFleet) {
			f.outage(2*time.Second, "e1", "e2")
			f.settle(2 * time.Second)
			f.outage(3 * time.Second)
			f.settle(time.Second)
			f.register("e1", "e2")
		},
		"no outage": func(f *lapseFleet) {
			f.lapse("e1", "e2")
			f.settle(700 * time.Millisecond)
			f.register("e1", "e2")
		},
		"no outage, within one watch": func(f *lapseFleet) {
			f.put("e1", roster.Target{StartedAt: 1, Address: "e1"}) // the readers pause after a change
			f.settle(time.Millisecond)
			f.lapse("e1", "e2")
			f.register("e1", "e2")
		},
		"late": func(f *lapseFleet) {
			f.outage(2*time.Second, "e1", "e2")
			f.settle(6 * time.Second)
			f.requireUsable("targets that are not listed again are gone")
			f.register("e1", "e2")
		},
	}
	for name, lapseAndReturn := range ways {
		for build, isEarlier := range map[string]bool{"this build": false, "earlier build": true} {
			t.Run(name+"/"+build, func(t *testing.T) {
				runLapse(t, isEarlier, func(f *lapseFleet) {
					lapseAndReturn(f)
					f.settle(300 * time.Millisecond)
					f.put("other", roster.Target{StartedAt: 1, Address: "other"})
					f.settle(12 * time.Second)
					f.requireUsable("all targets are sound and listed", "e1", "e2", "other")
					f.put("e1", roster.Target{StartedAt: 1, Address: "e1", Leaving: true})
					f.settle(300 * time.Millisecond)
					f.requireUsable("the leaving of a target is told at once", "e2", "other")
					f.settle(12 * time.Second)
					f.requireUsable("a leaving target stays leaving", "e2", "other")
				})
			})
		}
	}
}

// TestReaderTellsWhatItHadHeard guards against a reader that does not tell its peers that a target is leaving, since it had heard of
// it before in another way that they may have missed.
func TestReaderTellsWhatItHadHeard(t *testing.T) {
	runLapse(t, false, func(f *lapseFleet) {
		f.followers[0].RecordLeaving(roster.Target{ID: "e1", StartedAt: 1, Address: "e1"})
		f.settle(100 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listeners[0].usable())
		f.put("e1", roster.Target{StartedAt: 1, Address: "e1", Leaving: true})
		f.settle(300 * time.Millisecond)
		f.requireUsable("the reader has read that it is leaving", "e2")
	})
}

// TestOtherVMsDoNotRepeatWhatTheReaderTells guards against a fleet in which each VM tells all others of a leaving that it has heard of
// and later reads itself.
func TestOtherVMsDoNotRepeatWhatTheReaderTells(t *testing.T) {
	run(t, func() bool { return false }, func(f *fixture) {
		f.put("e3", roster.Target{StartedAt: 1}) // the next watch begins seconds later
		f.settle(100 * time.Millisecond)
		told := len(f.announced)
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1, Leaving: true, Revision: f.versions["e3"] + 1})
		f.settle(10 * time.Millisecond)
		f.put("e1", roster.Target{StartedAt: 1, Leaving: true})
		f.settle(12 * time.Second)
		require.Equal(t, []string{"e2", "e3"}, f.listener.usable())
		require.Len(t, f.announced, told)
	})
}

// TestLateWordOfRemoval guards against a target that counts as gone since a peer's word of its removal arrives after its return, and
// against one that stays in use since the word of its return is older than that of its removal.
func TestLateWordOfRemoval(t *testing.T) {
	run(t, func() bool { return false }, func(f *fixture) {
		revision := f.versions["e1"]
		gone := roster.Target{ID: "e1", StartedAt: 1, Gone: true, Leaving: true, Revision: revision - 1}
		f.follower.QueuePeerChange(gone)
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
		gone.Revision = revision + 10
		f.follower.QueuePeerChange(gone)
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1, Revision: revision + 9})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e2"}, f.listener.usable())
		f.follower.QueuePeerChange(roster.Target{ID: "e1", StartedAt: 1, Revision: revision + 11})
		f.settle(10 * time.Millisecond)
		require.Equal(t, []string{"e1", "e2"}, f.listener.usable())
	})
}
