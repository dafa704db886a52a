package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// TestChoiceOfPeers checks that VMs that have helped come first, then those of the target's zone, and that those which are
// cut off, were tried or could not help are not asked.
func TestChoiceOfPeers(t *testing.T) {
	now := time.Now()
	peers := []Peer{{Name: "a", Zone: "x"}, {Name: "b", Zone: "y"}, {Name: "c", Zone: "x", IsNoHelp: true}, {Name: "d", Zone: "x"}}
	chosen := func(zone string, experiences map[string]experience, tried ...string) map[string]bool {
		d := NewDialer(Options{Peers: func() []Peer { return peers }})
		d.experiences = experiences
		skipped := make(map[string]bool)
		for _, name := range tried {
			skipped[name] = true
		}
		names := make(map[string]bool)
		for range 100 {
			if peer, _, found := d.choose(zone, skipped, now); found {
				names[peer.Name] = true
			}
		}
		return names
	}
	require.Equal(t, map[string]bool{"a": true, "d": true}, chosen("x", nil))
	require.Equal(t, map[string]bool{"b": true}, chosen("y", nil))
	require.Equal(t, map[string]bool{"a": true, "b": true, "d": true}, chosen("z", nil))
	require.Equal(t, map[string]bool{"b": true}, chosen("x", nil, "a", "d"))
	require.Empty(t, chosen("x", nil, "a", "b", "d"))
	avoided, doubted, helped := experience{avoidedUntil: now.Add(time.Second)}, experience{doubtedUntil: now.Add(time.Second)}, experience{helpedAt: now}
	require.Equal(t, map[string]bool{"d": true}, chosen("x", map[string]experience{"a": avoided}))
	require.Equal(t, map[string]bool{"b": true}, chosen("x", map[string]experience{"a": doubted, "d": avoided}))
	require.Equal(t, map[string]bool{"a": true}, chosen("x", map[string]experience{"a": doubted, "b": avoided, "d": avoided}))
	require.Equal(t, map[string]bool{"b": true}, chosen("x", map[string]experience{"b": helped}, "d"))
}

// network plays VMs that answer questions for tunnels; those that are cut off refuse.
type network struct {
	cutOff map[string]bool
	asked  map[string]int
	// carried counts the tunnels of each VM.
	carried map[string]int
	status  int
	// silent holds the VMs that answer nothing, or nothing for a target, as "VM" or "VM/target".
	mu     sync.Mutex
	silent map[string]bool
}

func (n *network) setSilent(name string, isSilent bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[name] = isSilent
}

func (n *network) isSilent(vm, target string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[vm] || n.silent[vm+"/"+target]
}

func (n *network) dial(_ context.Context, address string) (net.Conn, error) {
	user, peer := net.Pipe()
	n.asked[address]++
	status := http.StatusOK
	if n.cutOff[address] {
		status = n.status
	}
	if status == 0 {
		return nil, errors.New("connection refused")
	}
	if status == http.StatusOK {
		n.carried[address]++
	}
	go func() {
		request, err := http.ReadRequest(bufio.NewReader(peer))
		if err == nil && !n.isSilent(address, request.Host) {
			fmt.Fprintf(peer, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n", status)
		}
	}()
	return user, nil
}

// TestFewVMsThatReachTargetsAreFound plays a VM that is cut off with two thirds of 8, 69 and 294 others, of which it knows
// nothing. It must find the ones that help, and spread its load over them.
func TestFewVMsThatReachTargetsAreFound(t *testing.T) {
	for _, count := range []int{8, 69, 294} {
		for _, status := range []int{0, http.StatusServiceUnavailable, http.StatusBadGateway} {
			t.Run(fmt.Sprintf("%d VMs, status %d", count, status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					n := &network{cutOff: make(map[string]bool), asked: make(map[string]int), carried: make(map[string]int), status: status}
					var peers []Peer
					for i := range count {
						peer := Peer{Name: fmt.Sprint("vm-", i), Zone: fmt.Sprint(i % 3), Address: fmt.Sprint("vm-", i)}
						n.cutOff[peer.Address] = i%3 != 2
						peers = append(peers, peer)
					}
					d := NewDialer(Options{Peers: func() []Peer { return peers }, ZoneOf: func(string) string { return "0" }, Dial: n.dial})
					failed := 0
					const requests = 500
					for range requests {
						conn, err := d.Dial(context.Background(), "target")
						if err != nil {
							failed++
						} else {
							conn.Close()
						}
						time.Sleep(10 * time.Millisecond)
					}
					t.Logf("%d of %d failed", failed, requests)
					require.Less(t, failed, requests/10)
					most := 0
					for _, carried := range n.carried {
						most = max(most, carried)
					}
					require.Less(t, most, max(6*requests/count, requests/2), "tunnels through one VM")
				})
			})
		}
	}
}

// TestTargetThatIsDownCostsNoHelper checks that a VM which has helped is believed, and asked again later.
func TestTargetThatIsDownCostsNoHelper(t *testing.T) {
	n := &network{cutOff: map[string]bool{"a": true, "b": true, "c": true}, asked: make(map[string]int), carried: make(map[string]int), status: http.StatusBadGateway}
	d := NewDialer(Options{
		Peers: func() []Peer {
			return []Peer{{Name: "a", Address: "a"}, {Name: "b", Address: "b"}, {Name: "c", Address: "c"}}
		},
		ZoneOf: func(string) string { return "" }, Dial: n.dial,
	})
	d.record("b", "target", nil, time.Now())
	for asked := 0; asked < 20; asked++ {
		before := n.asked["a"] + n.asked["c"]
		_, err := d.Dial(context.Background(), "target")
		require.Error(t, err)
		require.LessOrEqual(t, n.asked["a"]+n.asked["c"]-before, 2)
	}
	require.Equal(t, 20, n.asked["b"])
}

// TestTargetThatHangsCostsNoHelper guards against a VM that is cut off and gives up the only one that helps because one target
// behind it hangs, and against one that goes on asking a VM which is frozen.
func TestTargetThatHangsCostsNoHelper(t *testing.T) {
	for name, c := range map[string]struct {
		silent string
		served bool
	}{"one target hangs": {"a/hangs", true}, "the helper is frozen": {"a", false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := &network{asked: make(map[string]int), carried: make(map[string]int), silent: make(map[string]bool)}
				d := NewDialer(Options{Peers: func() []Peer { return []Peer{{Name: "a", Address: "a"}} }, ZoneOf: func(string) string { return "" }, Dial: n.dial})
				dial := func(target string) bool {
					conn, err := d.Dial(context.Background(), target)
					if err == nil {
						conn.Close()
					}
					return err == nil
				}
				require.True(t, dial("sound"))
				n.setSilent(c.silent, true)
				began := time.Now()
				for range 5 {
					require.False(t, dial("hangs"))
					require.Equal(t, c.served, dial("sound"))
				}
				if c.served {
					return
				}
				require.LessOrEqual(t, n.asked["a"], 3+int(time.Since(began)/lastResortInterval), "a VM that is frozen is asked again and again")
				n.setSilent(c.silent, false)
				time.Sleep(lastResortInterval)
				require.True(t, dial("sound"), "the only helper is asked soon after it was frozen")
			})
		})
	}
}
