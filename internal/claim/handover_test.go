package claim_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/peer/peerpb"
)

var (
	names   = []string{"vm-a", "vm-b", "vm-c"}
	errLink = errors.New("the link failed")
)

// callsEnd is after the end of every call that is still on its way.
const callsEnd = 10 * time.Second

// linkFault is what happens to one call between VMs.
type linkFault struct {
	loseRequest, loseAnswer bool
	// late is how long the request is on its way.
	late time.Duration
}

// network carries calls between books. A nil network makes every VM write for itself.
type network struct {
	mu     sync.Mutex
	books  map[string]*claim.Book
	decide func(to string) linkFault
}

func newNetwork() *network {
	return &network{books: make(map[string]*claim.Book), decide: func(string) linkFault { return linkFault{} }}
}

// join puts a book, perhaps of a VM that was replaced, on the network.
func (n *network) join(name string, book *claim.Book) *claim.Handover {
	handover := claim.NewHandover(book, claim.HandoverOptions{Self: name, Sender: n, DirectFleet: 1})
	if n != nil {
		n.mu.Lock()
		n.books[name] = book
		n.mu.Unlock()
		handover.SetFleet(names)
	}
	return handover
}

func (n *network) setFleet(handover *claim.Handover, entries []string) {
	if n != nil {
		handover.SetFleet(entries)
	}
}

func (n *network) setDecide(decide func(to string) linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.decide = decide
}

// setFaults lets a share of the calls fail, in an order that the seed fixes.
func (n *network) setFaults(seed uint64, percent int) {
	if n == nil {
		return
	}
	random := rand.New(rand.NewPCG(seed, 1))
	n.setDecide(func(string) linkFault {
		if random.IntN(100) >= percent {
			return linkFault{late: time.Duration(random.IntN(5)) * time.Millisecond}
		}
		return []linkFault{{loseRequest: true}, {loseAnswer: true}, {late: time.Duration(random.IntN(1500)) * time.Millisecond}}[random.IntN(3)]
	})
}

func (n *network) target(vm string) (*claim.Book, linkFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.books[vm], n.decide(vm)
}

// Claims implements claim.Sender. What was sent is carried out even when the sender gives up.
func (n *network) Claims(ctx context.Context, vm string, request *peerpb.ClaimsRequest) (*peerpb.ClaimsReply, error) {
	book, fault := n.target(vm)
	if fault.loseRequest || book == nil {
		return nil, errLink
	}
	replies := make(chan *peerpb.ClaimsReply, 1)
	go func() {
		time.Sleep(fault.late)
		reply, _ := book.Claims(context.WithoutCancel(ctx), request)
		n.mu.Lock()
		defer n.mu.Unlock()
		if fault.loseAnswer || n.books[vm] != book {
			reply = nil
		}
		replies <- reply
	}()
	select {
	case reply := <-replies:
		if reply != nil {
			return reply, nil
		}
	case <-ctx.Done():
	}
	return nil, errLink
}

func TestHandedOverClaimsAgreeWithAnOracleUnderFaults(t *testing.T) { checkMachine(t, newNetwork) }

func TestHandedOverClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, links := objecttest.NewStore(), newNetwork()
				store.SetFaults(objecttest.RandomFaults(seed, 20))
				links.setFaults(seed, 40)
				history := recordHistory(t, links, store, store.Flush, 8, seed)
				time.Sleep(callsEnd)
				require.True(t, porcupine.CheckOperations(claimModel.ToModel(), history))
			})
		})
	}
}

// handed runs a fleet of three VMs with one shard, and gives its batcher and another VM.
func handed(t *testing.T, run func(t *testing.T, m *machine, batcher, other *vm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &machine{t: t, store: objecttest.NewStore(), network: newNetwork()}
		asked := ""
		m.network.setDecide(func(to string) linkFault { asked = to; return linkFault{} })
		for _, name := range names {
			m.vms = append(m.vms, m.boot(name))
			defer m.vms[len(m.vms)-1].cancel()
		}
		for _, each := range m.vms {
			_, won, err := each.book.Claim(t.Context(), record("warm-"+each.name, each.name))
			require.NoError(t, err)
			require.True(t, won)
		}
		var batcher, other *vm
		for _, each := range m.vms {
			if each.name == asked {
				batcher = each
			} else {
				other = each
			}
		}
		run(t, m, batcher, other)
		time.Sleep(callsEnd)
	})
}

// expectClaim claims a key and checks who holds it.
func expectClaim(t *testing.T, by *vm, key, attempt, holder string) {
	t.Helper()
	existing, won, err := by.book.Claim(t.Context(), record(key, attempt))
	require.NoError(t, err)
	require.Equal(t, attempt == holder, won)
	require.Equal(t, holder, existing.AttemptID)
}

func TestClaimIsWonWhateverHappensToItsHandover(t *testing.T) {
	for name, fault := range map[string]linkFault{
		"none": {}, "request lost": {loseRequest: true}, "answer lost": {loseAnswer: true}, "late": {late: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			handed(t, func(t *testing.T, m *machine, batcher, other *vm) {
				m.network.setDecide(func(string) linkFault { return fault })
				expectClaim(t, other, "k", "a", "a")
				time.Sleep(5 * time.Second)
				expectClaim(t, batcher, "k", "b", "a")
				require.NoError(t, other.book.Rebind(t.Context(), "k", "a", "a2", "t"))
				time.Sleep(5 * time.Second)
				expectClaim(t, batcher, "k", "c", "a2")
				other.book.End("k", "a2", claim.Ending{Outcome: claim.OutcomeAnswered})
				time.Sleep(5 * time.Second)
				found, err := other.book.Lookup(t.Context(), "k")
				require.NoError(t, err)
				require.Equal(t, claim.StateEnded, found.State)
			})
		})
	}
}

func TestClaimIsWrittenDirectlyWhenTheBatcherIsCutOff(t *testing.T) {
	handed(t, func(t *testing.T, _ *machine, batcher, other *vm) {
		batcher.store.Cut()
		expectClaim(t, other, "k", "a", "a")
	})
}

func TestBatcherThatDiesAfterTheWriteLeavesTheClaimToItsAttempt(t *testing.T) {
	handed(t, func(t *testing.T, m *machine, batcher, other *vm) {
		m.network.setDecide(func(string) linkFault { return linkFault{late: 2 * time.Millisecond, loseAnswer: true} })
		won := make(chan bool, 1)
		go func() {
			_, ok, err := other.book.Claim(t.Context(), record("k", "a"))
			won <- ok && err == nil
		}()
		time.Sleep(15 * time.Millisecond)
		batcher.store.Cut()
		batcher.cancel()
		require.True(t, <-won)
		expectClaim(t, other, "k", "b", "a")
	})
}

// A claim that was refused, because neither its batcher answered nor its own VM reached the platform,
// must neither hold the key nor take hold of it later.
func TestLateHandedOverClaimOfARefusedRequestIsWithdrawn(t *testing.T) {
	handed(t, func(t *testing.T, m *machine, batcher, other *vm) {
		next := linkFault{late: 5 * time.Second}
		m.network.setDecide(func(string) linkFault {
			fault := next
			next = linkFault{loseRequest: true}
			return fault
		})
		m.store.SetOutage(true)
		_, won, err := other.book.Claim(t.Context(), record("k", "a"))
		require.False(t, won)
		require.Equal(t, apierror.KindNotRun, apierror.KindOf(err))
		m.store.SetOutage(false)
		time.Sleep(20 * time.Second)
		expectClaim(t, batcher, "k", "b", "b")
	})
}

func TestStoppingVMKeepsEndingsThatAreOnTheirWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, links := objecttest.NewStore(), newNetwork()
		book := claim.NewBook(claim.Options{Store: store, Shards: 1, Slots: 4, Tick: time.Hour})
		handover := links.join("vm-a", book)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- handover.Run(ctx) }()
		links.setDecide(func(string) linkFault { return linkFault{loseRequest: true} })
		handover.SetFleet([]string{"gone-1", "gone-2"})
		_, won, err := handover.Claim(t.Context(), record("k", "a"))
		require.NoError(t, err)
		require.True(t, won)
		handover.End("k", "a", claim.Ending{Outcome: claim.OutcomeAnswered})
		cancel()
		require.NoError(t, <-done)
		next, stop := start(t.Context(), store, func(o *claim.Options) { o.Shards = 1 })
		defer stop()
		require.Equal(t, claim.StateEnded, mustClaim(t, next, "k", "b", false).State)
	})
}
