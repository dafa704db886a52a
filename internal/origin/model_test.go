package origin_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/origin"
)

// network connects the registries of many VMs; it loses, delays and cuts.
type network struct {
	mu         sync.Mutex
	random     *rand.Rand
	vms        []origin.VM
	registries map[string]*origin.Registry
	lossy      float64
	late       float64
	zoneCut    bool
	// unknownTo holds the VMs that do not know the last ones of vms.
	unknownTo map[string]int
	restarted map[string]time.Time
}

func newNetwork(count int, seed uint64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 0)), registries: make(map[string]*origin.Registry), unknownTo: make(map[string]int),
		restarted: make(map[string]time.Time),
	}
	for i := range count {
		n.vms = append(n.vms, origin.VM{Name: fmt.Sprintf("vm-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
	}
	for _, vm := range n.vms {
		n.start(vm)
	}
	return n
}

// start replaces the VM's registry by an empty one.
func (n *network) start(vm origin.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.restarted[vm.Name] = time.Now()
	n.registries[vm.Name] = origin.NewRegistry(origin.Options{
		VM:       vm.Name,
		VMs:      func() []origin.VM { return n.vms[:len(n.vms)-n.unknownTo[vm.Name]] },
		Transmit: func(to string, message origin.Message) { n.send(vm, to, message) },
	})
}

func (n *network) registry(name string) *origin.Registry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.registries[name]
}

func (n *network) send(from origin.VM, to string, message origin.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.vms, func(vm origin.VM) bool { return vm.Name == to })
	if n.zoneCut && n.vms[i].Zone != from.Zone || n.random.Float64() < n.lossy {
		return
	}
	delay := time.Millisecond + rand.N(3*time.Millisecond)
	if n.random.Float64() < n.late {
		delay = time.Duration(n.random.Int64N(int64(time.Second)))
	}
	time.AfterFunc(delay, func() { n.registry(to).HandleMessage(from.Name, message) })
}

// draw returns a random number below limit.
func (n *network) draw(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

// TestResumedStreamGetsAnotherVersion guards against a record that names another version than the one at which a stream
// began, and against records that are lost with single VMs, whatever dies, returns empty, is cut off or is not known.
func TestResumedStreamGetsAnotherVersion(t *testing.T) {
	const (
		streams = 400
		// contact is the time after a disturbance after which a VM is expected to know what it needs.
		contact = 3 * time.Second
	)
	disturbances := map[string]struct {
		change func(n *network)
		// kill is the pause between two VMs that are killed; zero for none.
		kill time.Duration
		// found is the least share of streams that are resumed.
		found float64
	}{
		"calm":               {func(*network) {}, 0, 1},
		"lost messages":      {func(n *network) { n.lossy = 0.2 }, 0, 0.97},
		"late messages":      {func(n *network) { n.late = 0.2 }, 0, 0.97},
		"VMs killed in turn": {func(*network) {}, 500 * time.Millisecond, 0.5},
		"zones cut off":      {func(n *network) { n.zoneCut = true }, 0, 1},
		"members unknown to a third": {func(n *network) {
			for i, vm := range n.vms {
				if i%3 == 0 {
					n.unknownTo[vm.Name] = len(n.vms) / 9
				}
			}
		}, 0, 0.9},
	}
	for _, count := range []int{9, 30, 89, 300} {
		for name, disturbance := range disturbances {
			t.Run(fmt.Sprintf("%d VMs/%s", count, name), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					n := newNetwork(count, uint64(count))
					time.Sleep(contact)
					n.mu.Lock()
					disturbance.change(n)
					n.mu.Unlock()
					var mu sync.Mutex
					asked, found := 0, 0
					var running sync.WaitGroup
					stopped := make(chan struct{})
					if disturbance.kill > 0 {
						go func() {
							for {
								select {
								case <-stopped:
									return
								case <-time.After(disturbance.kill):
									n.start(n.vms[n.draw(count)])
								}
							}
						}()
					}
					for i := range streams {
						running.Go(func() {
							attempt := fmt.Sprintf("attempt-%d", i)
							version := fmt.Sprintf("v%d", n.draw(3))
							time.Sleep(time.Duration(i) * 20 * time.Millisecond)
							server := n.vms[n.draw(count)]
							n.registry(server.Name).Publish(t.Context(), origin.Record{Attempt: attempt, Service: "s", Version: version, TTL: time.Minute})
							time.Sleep(time.Duration(n.draw(10)) * time.Second)
							taker := n.vms[n.draw(count)]
							n.mu.Lock()
							inTouch := time.Since(n.restarted[taker.Name]) > contact && (!n.zoneCut || taker.Zone == server.Zone)
							n.mu.Unlock()
							record, err := n.registry(taker.Name).Lookup(t.Context(), attempt)
							if err == nil {
								require.Equal(t, version, record.Version)
							}
							mu.Lock()
							defer mu.Unlock()
							if inTouch {
								asked++
								if err == nil {
									found++
								}
							}
						})
					}
					running.Wait()
					close(stopped)
					synctest.Wait()
					time.Sleep(2 * time.Second) // for the messages under way
					t.Logf("%d of %d found", found, asked)
					require.GreaterOrEqual(t, float64(found), disturbance.found*float64(asked))
				})
			})
		}
	}
}
