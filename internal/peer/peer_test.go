package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/membership"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/tlsconfig/tlstest"
	"godwitcart/internal/wire/platformwire"
)

// echoQuerier answers queries with their text; it blocks on the query "wait" until the caller cancels.
type echoQuerier struct{}

// Query implements Querier.
func (echoQuerier) Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	if request.Text == "wait" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &peerpb.QueryReply{Vm: "echo", Rows: []byte(request.Text)}, nil
}

// startServer runs a server until the test ends and returns its address.
func startServer(t *testing.T, address string, options ServerOptions) string {
	listener, err := net.Listen("tcp", address)
	require.NoError(t, err)
	server, err := NewServer(options)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = server.Serve(ctx, listener) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return listener.Addr().String()
}

func newTestClient(t *testing.T, options ClientOptions, addresses map[string]string) *Client {
	options.Resolve = func(vm string) (string, bool) { address, known := addresses[vm]; return address, known }
	client := NewClient(options)
	t.Cleanup(client.Close)
	return client
}

// newUnresponsiveListener returns the address of a listener that accepts connections and never answers.
func newUnresponsiveListener(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

func query(client *Client, vm, text string) (string, error) {
	reply, err := client.Query(context.Background(), vm, &peerpb.QueryRequest{Text: text})
	return string(reply.GetRows()), err
}

func TestUnresponsivePeersDoNotDelayOthers(t *testing.T) {
	live := startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Query: echoQuerier{}}})
	addresses := map[string]string{"live": live, "frozen": newUnresponsiveListener(t), "dead": "127.0.0.1:1"}
	client := newTestClient(t, ClientOptions{CallTimeout: 300 * time.Millisecond}, addresses)
	errs := make(chan error)
	for range 4 {
		go func() { _, err := query(client, "frozen", "x"); errs <- err }()
	}
	for range 20 {
		rows, err := query(client, "live", "hello")
		require.NoError(t, err)
		require.Equal(t, "hello", rows)
	}
	for range 4 {
		require.True(t, apierror.Is(<-errs, apierror.KindUnavailable))
	}
	for _, vm := range []string{"dead", "unknown"} {
		_, err := query(client, vm, "x")
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
	}
	require.EqualValues(t, 6, client.options.Traffic.Counts().Failures)
}

func TestCallClassesDoNotBlockEachOther(t *testing.T) {
	address := startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Query: echoQuerier{}, Exchange: NewGossip(GossipOptions{Directory: membership.New(membership.Options{})})}})
	client := newTestClient(t, ClientOptions{CallTimeout: 5 * time.Second}, map[string]string{"live": address})
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error)
	go func() {
		_, err := client.Query(ctx, "live", &peerpb.QueryRequest{Text: "wait"})
		errs <- err
	}()
	_, err := client.Exchange(context.Background(), "live", &peerpb.Digest{Sender: "me"})
	require.NoError(t, err)
	cancel()
	require.Error(t, <-errs)
	rows, err := query(client, "live", "after")
	require.NoError(t, err)
	require.Equal(t, "after", rows)
}

func TestHandlerErrorKeepsConnection(t *testing.T) {
	live := startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Query: echoQuerier{}}})
	client := newTestClient(t, ClientOptions{}, map[string]string{"live": live})
	_, err := client.Stage(context.Background(), "live", &peerpb.StageRequest{})
	require.True(t, apierror.Is(err, apierror.KindInternal))
	require.ErrorContains(t, err, "this VM does not serve the call")
	require.NotNil(t, client.conns[connKey{vm: "live", class: classConfiguration}].conn)
}

func TestRestartedPeerIsRedialed(t *testing.T) {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := reserved.Addr().String()
	reserved.Close()
	client := newTestClient(t, ClientOptions{}, map[string]string{"vm": address})
	_, err = query(client, "vm", "x")
	require.Error(t, err)
	startServer(t, address, ServerOptions{Handlers: Handlers{Query: echoQuerier{}}})
	require.Eventually(t, func() bool { _, err := query(client, "vm", "x"); return err == nil }, 20*time.Second, 20*time.Millisecond)
}

func TestMutualTLS(t *testing.T) {
	reloader := func(a tlstest.Authority) *tlsconfig.Reloader {
		r, err := tlsconfig.New(a.NewFiles(t, 7), log.New(io.Discard))
		require.NoError(t, err)
		return r
	}
	authority := tlstest.NewAuthority(t)
	live := startServer(t, "127.0.0.1:0", ServerOptions{TLS: reloader(authority).ServerConfig(), Handlers: Handlers{Query: echoQuerier{}}})
	addresses := map[string]string{"live": live}
	rows, err := query(newTestClient(t, ClientOptions{TLS: reloader(authority).ClientConfig}, addresses), "live", "secret")
	require.NoError(t, err)
	require.Equal(t, "secret", rows)
	for _, options := range []ClientOptions{{}, {TLS: reloader(tlstest.NewAuthority(t)).ClientConfig}} {
		_, err = query(newTestClient(t, options, addresses), "live", "x")
		require.True(t, apierror.Is(err, apierror.KindUnavailable))
	}
}

func TestConnectionsToUnlistedPeersAreClosed(t *testing.T) {
	live := startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Query: echoQuerier{}}})
	addresses := map[string]string{"old": live, "new": live}
	client := newTestClient(t, ClientOptions{}, addresses)
	_, err := query(client, "old", "x")
	require.NoError(t, err)
	conn := client.conns[connKey{vm: "old", class: classQuery}]
	delete(addresses, "old")
	_, err = query(client, "new", "x")
	require.NoError(t, err)
	require.Len(t, client.conns, 1)
	require.Eventually(t, func() bool { <-conn.sem; defer func() { conn.sem <- struct{}{} }(); return conn.closed }, 20*time.Second, time.Millisecond)
}

func TestMalformedInputClosesConnection(t *testing.T) {
	live := startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Query: echoQuerier{}}})
	conn, err := net.Dial("tcp", live)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("\x01\x01\x01\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"))
	require.NoError(t, err)
	buffer := make([]byte, 1)
	_, err = conn.Read(buffer)
	require.Error(t, err, "the connection must be closed")
	client := newTestClient(t, ClientOptions{}, map[string]string{"live": live})
	_, err = query(client, "live", "x")
	require.NoError(t, err)
}

func TestPartnerSetIsBoundedAndRotates(t *testing.T) {
	available := []string{"a", "b", "c", "d", "e"}
	now := time.Now()
	set := &partnerSet{size: 2, replaceInterval: time.Minute}
	seen := map[string]int{}
	for range 10 {
		name, found := set.next(available, now)
		require.True(t, found)
		seen[name]++
	}
	require.Len(t, seen, 2)
	for name := range seen {
		set.remove(name)
		require.NotContains(t, set.names, name)
	}
	before := set.names
	set.next(available, now)
	require.Len(t, set.names, 2)
	require.NotEqual(t, before, set.names)
	for i := range 200 {
		name, _ := set.next(available, now.Add(time.Duration(i)*time.Minute))
		seen[name]++
	}
	require.Len(t, seen, len(available))
	_, found := set.next(nil, now)
	require.False(t, found)
}

// TestUsagesAreTruncatedRateLimitedAndCleared checks that the largest usages are sent, at most maxUsages at once, that
// an empty set replaces the one received before, and that the rate limit counts it as one usage.
func TestUsagesAreTruncatedRateLimitedAndCleared(t *testing.T) {
	synctest.Test(t, checkUsagePropagation)
}

func checkUsagePropagation(t *testing.T) {
	var usages []*peerpb.Usage
	for i := range 2 * maxUsages {
		usages = append(usages, &peerpb.Usage{Account: fmt.Sprint(i), InProgress: int32(i)})
	}
	receivedCounts := make(map[string]int)
	directory := membership.New(membership.Options{})
	sender := NewGossip(GossipOptions{Self: "a", Directory: directory, Usages: func() []*peerpb.Usage { return usages }})
	receiver := NewGossip(GossipOptions{Directory: directory, OnUsages: func(vm string, usages []*peerpb.Usage) { receivedCounts[vm] = len(usages) }})
	send := func() *peerpb.Digest {
		digest := &peerpb.Digest{}
		sender.fillSender(digest)
		receiver.recordSender(digest, "a", time.Now())
		return digest
	}
	require.EqualValues(t, 2*maxUsages-1, send().Usages[0].InProgress)
	require.Equal(t, maxUsages, receivedCounts["a"])
	usages = nil
	send()
	require.Zero(t, receivedCounts["a"], "an empty set of usages must be received")
	usages = []*peerpb.Usage{{Account: "x"}}
	sent := 0
	for range 1000 {
		if send().TellsUsages {
			sent++
		}
	}
	require.Equal(t, 3*maxUsages-1, sent, "only what is left of the burst, because all sends are at the same time")
}

// gossipNode is one entry VM in a gossip test.
type gossipNode struct {
	directory *membership.Directory
	gossip    *Gossip
	versions  chan uint64
}

// startNodes runs nodes in two zones that gossip over drpc, with one target in zone a.
func startNodes(t *testing.T, count int) ([]*gossipNode, platformwire.VMList) {
	list := platformwire.VMList{VMs: []platformwire.VM{{Name: "lm-1", Role: "target", Zone: "a", Service: "lm"}}}
	addresses := make(map[string]string)
	nodes := make([]*gossipNode, count)
	for i := range nodes {
		name, zone := fmt.Sprintf("vm-%d", i), []string{"a", "b"}[i%2]
		n := &gossipNode{directory: membership.New(membership.Options{Self: name, Zone: zone}), versions: make(chan uint64, 64)}
		client := newTestClient(t, ClientOptions{}, addresses)
		n.gossip = NewGossip(GossipOptions{
			Self: name, Incarnation: "1", Zone: zone, Directory: n.directory, Exchange: client.Exchange, Interval: 20 * time.Millisecond,
			ConfigurationVersion:   func() uint64 { return uint64(i + 1) },
			OnConfigurationVersion: func(_ string, version uint64) { trySend(n.versions, version) },
		})
		addresses[name] = startServer(t, "127.0.0.1:0", ServerOptions{Handlers: Handlers{Exchange: n.gossip}})
		list.VMs = append(list.VMs, platformwire.VM{Name: name, Role: "entry", Zone: zone, PeerAddress: addresses[name]})
		nodes[i] = n
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, n := range nodes {
		require.NoError(t, n.directory.ApplyList(list, time.Now()))
		running.Go(func() { n.gossip.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	return nodes, list
}

func trySend(versions chan uint64, version uint64) {
	select {
	case versions <- version:
	default:
	}
}

func requireEventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, 20*time.Second, 5*time.Millisecond)
}

func TestGossipPropagatesConfirmationsAndFacts(t *testing.T) {
	nodes, list := startNodes(t, 4)
	onAllNodes := func(condition func(*gossipNode) bool) func() bool {
		return func() bool {
			for _, n := range nodes {
				if !condition(n) {
					return false
				}
			}
			return true
		}
	}
	requireEventually(t, func() bool {
		nodes[0].directory.Observe(membership.Live("lm-1", "x", time.Now()))
		return onAllNodes(func(n *gossipNode) bool { return n.directory.IsEligible("lm-1", time.Now()) })()
	})
	nodes[3].directory.Observe(membership.Leaving("lm-1", "x", time.Now()))
	requireEventually(t, onAllNodes(func(n *gossipNode) bool { vm, _ := n.directory.Get("lm-1"); return vm.State == membership.StateLeaving }))
	list.VMs = append(list.VMs, platformwire.VM{Name: "lm-2", Role: "target", Zone: "b", Service: "lm"})
	require.NoError(t, nodes[2].directory.ApplyList(list, time.Now()))
	requireEventually(t, onAllNodes(func(n *gossipNode) bool { _, known := n.directory.Get("lm-2"); return known }))
	nodes[1].gossip.Leave(context.Background())
	requireEventually(t, func() bool { vm, _ := nodes[0].directory.Get("vm-1"); return vm.State == membership.StateLeaving })
	requireEventually(t, func() bool { return <-nodes[0].versions == 3 })
}
