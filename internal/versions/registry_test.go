package versions_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/versions"
)

const service = "drafter"

// fleet is a fleet of VMs that see one list of targets and use one store.
type fleet struct {
	t     *testing.T
	store *objecttest.Store
	vms   []*vm
}

type vm struct {
	*versions.Registry
	isReader atomic.Bool
	stop     context.CancelFunc
	ended    chan struct{}

	mu       sync.Mutex
	recorded []string
}

// distantStore takes a while to answer reads, as the platform does.
type distantStore struct{ *objecttest.Store }

func (s distantStore) Get(ctx context.Context, key string) (object.Object, error) {
	time.Sleep(4 * time.Millisecond)
	return s.Store.Get(ctx, key)
}

func run(t *testing.T, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: objecttest.NewStore()}
		defer func() {
			for _, v := range f.vms {
				v.kill()
			}
			time.Sleep(time.Second) // reads under way
		}()
		test(f)
	})
}

// start starts a VM. The first one is the reader.
func (f *fleet) start(isFirstStart bool) *vm {
	v := &vm{ended: make(chan struct{})}
	v.isReader.Store(len(f.vms) == 0)
	v.Registry = versions.NewRegistry(versions.Options{
		Store: distantStore{f.store}, Logger: log.New(io.Discard), IsReader: v.isReader.Load, IsFirstStart: isFirstStart,
		Recorded: func(_ string, recorded []string) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.recorded = recorded
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	v.stop = cancel
	go func() {
		defer close(v.ended)
		_ = v.Run(ctx)
	}()
	f.vms = append(f.vms, v)
	return v
}

func (v *vm) kill() {
	v.stop()
	<-v.ended
}

// list makes the VM list targets of the versions, and waits until they are recorded.
func (v *vm) list(listed ...string) {
	set := make(map[string]bool)
	for _, version := range listed {
		set[version] = true
	}
	v.Observe(map[string]map[string]bool{service: set}, time.Now())
	time.Sleep(time.Second)
	synctest.Wait()
}

func (v *vm) recordedVersions() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.recorded
}

// requireSole requires what the VM takes for the only version; empty if there may be several.
func (v *vm) requireSole(t *testing.T, want string) {
	t.Helper()
	sole, found, err := v.Sole(context.Background(), service)
	require.NoError(t, err)
	require.Equal(t, want != "", found)
	require.Equal(t, want, sole)
}

// TestRestartedFleetForgetsVersion guards against VMs that all restart and take the version that they see for the only one there has
// been, though streams that began at another can still be resumed.
func TestRestartedFleetForgetsVersion(t *testing.T) {
	run(t, func(f *fleet) {
		v := f.start(true)
		v.list("v1")
		v.requireSole(t, "v1")
		v.list("v1", "v2")
		v.list("v2")
		v.requireSole(t, "")
		v.kill()
		restarted := f.start(false)
		restarted.isReader.Store(true)
		restarted.list("v2")
		require.Equal(t, []string{"v2"}, restarted.recordedVersions())
		restarted.requireSole(t, "")
		time.Sleep(versions.Memory - 10*time.Second)
		restarted.requireSole(t, "")
		time.Sleep(time.Minute)
		restarted.requireSole(t, "v2")
	})
}

// TestRestartedFleetKeepsSoleVersion guards against refusing to resume streams after a restart where there has been one version.
func TestRestartedFleetKeepsSoleVersion(t *testing.T) {
	run(t, func(f *fleet) {
		v := f.start(true)
		v.list("v1")
		v.kill()
		restarted := f.start(false)
		restarted.list("v1")
		restarted.requireSole(t, "v1")
	})
}

// TestVMOutOfStepKnowsOneVersion guards against a VM that has missed the targets of a new version and takes the one that it knows for
// the only one.
func TestVMOutOfStepKnowsOneVersion(t *testing.T) {
	run(t, func(f *fleet) {
		reader, other := f.start(true), f.start(true)
		reader.list("v1")
		other.list("v1")
		other.requireSole(t, "v1")
		reader.list("v1", "v2")
		other.requireSole(t, "")
		f.store.SetOutage(true)
		_, _, err := other.Sole(context.Background(), service)
		require.True(t, errors.Is(err, versions.ErrUnknown))
	})
}

// TestStreamsBeginAtRecordedVersions guards against streams that begin at a version before the record holds it.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	run(t, func(f *fleet) {
		reader, other := f.start(true), f.start(true)
		reader.list("v1")
		other.list("v1")
		f.store.SetOutage(true)
		other.list("v1", "v2")
		require.Equal(t, []string{"v1"}, other.recordedVersions())
		require.False(t, other.HasRecorded())
		f.store.SetOutage(false)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Equal(t, []string{"v1", "v2"}, other.recordedVersions())
		reader.requireSole(t, "") // though the reader has not listed the new version yet
	})
}

// TestVersionThatReturnsIsRecordedAgain guards against a record that forgets a version which is in use again.
func TestVersionThatReturnsIsRecordedAgain(t *testing.T) {
	run(t, func(f *fleet) {
		reader, other := f.start(true), f.start(true)
		other.list("v1", "v2")
		reader.list("v1", "v2")
		reader.list("v1")
		other.list("v1")
		time.Sleep(versions.Memory - time.Minute)
		other.list("v1", "v2") // the reader has not heard of it
		time.Sleep(2 * time.Minute)
		reader.requireSole(t, "")
		other.requireSole(t, "")
	})
}

// TestRecordOfRunningFleetIsIncomplete guards against a record that is created by a fleet that has run before, and takes the listed
// version for the only one there has been.
func TestRecordOfRunningFleetIsIncomplete(t *testing.T) {
	for name, unreadable := range map[string]string{"none": "", "unreadable": `{"serving": 7}`, "no JSON": "\x00"} {
		t.Run(name, func(t *testing.T) {
			run(t, func(f *fleet) {
				if unreadable != "" {
					_, err := f.store.Put(context.Background(), versions.Prefix+service, []byte(unreadable), 0)
					require.NoError(t, err)
				}
				v := f.start(false)
				v.list("v1")
				v.requireSole(t, "")
				time.Sleep(versions.Memory + time.Minute)
				v.requireSole(t, "v1")
			})
		})
	}
}

// TestCallersShareReads guards against a read of the store for each of many callers that come together, and against a caller that is
// answered from a read that began before it came.
func TestCallersShareReads(t *testing.T) {
	run(t, func(f *fleet) {
		v := f.start(true)
		v.list("v1")
		before := f.store.Count(objecttest.OpGet)
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() { v.requireSole(t, "v1") })
		}
		callers.Wait()
		require.LessOrEqual(t, f.store.Count(objecttest.OpGet)-before, 2+1)
	})
}
