package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/object"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/stand/platform"
)

// machine drives books that race for a few keys, and an oracle of who may run.
type machine struct {
	t     *testing.T
	store *objecttest.Store
	// network carries what VMs hand over; nil when each writes for itself.
	network *network
	vms     []*vm
	next    int
	// holder is the attempt that won each key and did not release it.
	holder map[string]string
}

type vm struct {
	name   string
	book   *claim.Handover
	store  *objecttest.Path
	cancel func()
}

func (m *machine) boot(name string) *vm {
	way := objecttest.NewPath(m.store)
	book, cancel := start(m.t.Context(), way, func(o *claim.Options) { o.Shards, o.Slots = 1, 64 })
	return &vm{name: name, book: m.network.join(name, book), store: way, cancel: cancel}
}

func (m *machine) attempt() string {
	m.next++
	return fmt.Sprintf("a%d", m.next)
}

// race lets several VMs claim one key at once and checks that at most one holds it.
func (m *machine) race(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "z", "u", "v"}).Draw(r, "key")
	contenders := rapid.SliceOfN(rapid.SampledFrom(m.vms), 1, 4).Draw(r, "vms")
	timeout := time.Duration(rapid.IntRange(1, 200).Draw(r, "timeout")) * time.Millisecond
	type answer struct {
		attempt  string
		existing claim.Record
		won      bool
		err      error
	}
	answers := make(chan answer, len(contenders))
	for _, contender := range contenders {
		attempt := m.attempt()
		go func() {
			ctx, cancel := context.WithTimeout(m.t.Context(), timeout)
			defer cancel()
			existing, won, err := contender.book.Claim(ctx, record(key, attempt))
			answers <- answer{attempt, existing, won, err}
		}()
	}
	for range contenders {
		got := <-answers
		if got.err != nil {
			require.Equal(r, apierror.KindNotRun, apierror.KindOf(got.err))
			continue
		}
		if got.won {
			require.Empty(r, m.holder[key], "%s won %s, held by another", got.attempt, key)
			m.holder[key] = got.attempt
		}
	}
}

// release gives one held claim up, by a VM that knows that the attempt did not run.
func (m *machine) release(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "key")
	if m.holder[key] != "" {
		rapid.SampledFrom(m.vms).Draw(r, "vm").book.Release(key, m.holder[key])
		delete(m.holder, key)
	}
}

// rebind moves a held claim to another attempt; after an error both are given up.
func (m *machine) rebind(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "u"}).Draw(r, "key")
	old := m.holder[key]
	if old == "" {
		return
	}
	book := rapid.SampledFrom(m.vms).Draw(r, "vm").book
	attempt := m.attempt()
	if err := book.Rebind(m.t.Context(), key, old, attempt, "t"); err == nil {
		m.holder[key] = attempt
		return
	}
	book.Release(key, old)
	book.Release(key, attempt)
	delete(m.holder, key)
}

// crash kills a VM in the middle of a claim; nobody learns whether the claim took effect.
func (m *machine) crash(r *rapid.T) {
	victim := rapid.IntRange(0, len(m.vms)-1).Draw(r, "vm")
	key := rapid.SampledFrom([]string{"x", "y", "z", "u", "v"}).Draw(r, "key")
	attempt := m.attempt()
	book := m.vms[victim].book
	go func() { _, _, _ = book.Claim(m.t.Context(), record(key, attempt)) }()
	time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(r, "after")) * time.Millisecond)
	m.vms[victim].store.Cut()
	m.vms[victim].cancel()
	m.vms[victim] = m.boot(m.vms[victim].name)
}

// check heals the store and compares what is stored with the oracle.
func (m *machine) check(r *rapid.T) {
	m.store.SetOutage(false)
	m.store.SetFaults(nil)
	m.store.Flush()
	time.Sleep(10 * time.Second)
	for key, attempt := range m.holder {
		found, err := m.vms[0].book.Lookup(m.t.Context(), key)
		require.NoError(r, err)
		require.Equal(r, attempt, found.AttemptID, "holder of %s", key)
		require.Equal(r, claim.StateClaimed, found.State)
	}
}

func TestBooksAgreeWithAnOracleUnderFaults(t *testing.T) {
	checkMachine(t, func() *network { return nil })
}

func checkMachine(t *testing.T, newNetwork func() *network) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(r *rapid.T) {
			m := &machine{t: t, store: objecttest.NewStore(), network: newNetwork(), holder: make(map[string]string)}
			for _, name := range names {
				m.vms = append(m.vms, m.boot(name))
			}
			defer func() {
				for _, each := range m.vms {
					each.cancel()
				}
			}()
			r.Repeat(map[string]func(*rapid.T){
				"race":    m.race,
				"race2":   m.race,
				"release": m.release,
				"rebind":  m.rebind,
				"crash":   m.crash,
				"faults": func(r *rapid.T) {
					seed := rapid.Uint64().Draw(r, "seed")
					m.store.SetFaults(objecttest.RandomFaults(seed, rapid.SampledFrom([]int{0, 20, 60}).Draw(r, "percent")))
				},
				"outage": func(r *rapid.T) { m.store.SetOutage(rapid.Bool().Draw(r, "on")) },
				"flush":  func(*rapid.T) { m.store.Flush() },
				"wait":   func(*rapid.T) { time.Sleep(time.Second) },
				"links": func(r *rapid.T) {
					m.network.setFaults(rapid.Uint64().Draw(r, "seed"), rapid.SampledFrom([]int{0, 30, 80}).Draw(r, "percent"))
				},
				"fleet": func(r *rapid.T) {
					each := rapid.SampledFrom(m.vms).Draw(r, "vm")
					m.network.setFleet(each.book, rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 3, rapid.ID).Draw(r, "entries"))
				},
			})
			m.check(r)
		})
	})
}

type claimInput struct{ key, attempt string }

type claimOutput struct {
	won, refused bool
	holder       string
}

// holding is a claim as the model sees it. A soft one belongs to a refused request, whose VM
// gives it up at any time.
type holding struct {
	attempt string
	soft    bool
}

// claimModel allows one winner a key. A refused claim may take hold at any time after its
// call, and vanish again.
var claimModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(claimInput).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{holding{}} },
	Step: func(state, input, output any) []any {
		now, attempt, got := state.(holding), input.(claimInput).attempt, output.(claimOutput)
		free := now.attempt == "" || now.soft
		switch {
		case got.refused && free:
			return []any{now, holding{attempt: attempt, soft: true}}
		case got.refused:
			return []any{now}
		case got.won && free:
			return []any{holding{attempt: attempt}}
		case !got.won && now.attempt == got.holder:
			return []any{now}
		default:
			return nil
		}
	},
}

func TestConcurrentClaimsAreLinearizable(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := objecttest.NewStore()
				store.SetFaults(objecttest.RandomFaults(seed, 30))
				history := recordHistory(t, nil, store, store.Flush, 8, seed)
				require.True(t, porcupine.CheckOperations(claimModel.ToModel(), history))
			})
		})
	}
}

// The same over HTTP, where the platform drops half of the answers to writes.
func TestConcurrentClaimsOverHTTPAreLinearizable(t *testing.T) {
	stand := platform.New(platform.Options{Seed: 1})
	stand.SetFaults(platform.Faults{DelayMillis: 1, LoseProbability: 0.5})
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	store := object.NewClient(object.Options{BaseURL: server.URL, WritesPerSecond: 1000, ReadsPerSecond: 1000})
	history := recordHistory(t, nil, store, func() {}, 50, 1)
	require.NotZero(t, stand.Calls().Lost)
	require.True(t, porcupine.CheckOperations(claimModel.ToModel(), history))
}

// recordHistory lets clients of three books claim the same keys at once.
func recordHistory(t *testing.T, links *network, store object.Store, flush func(), keys int, seed uint64) []porcupine.Operation {
	const clients, claims = 9, 12
	var books []*claim.Handover
	for _, name := range names {
		book, cancel := start(t.Context(), store, func(o *claim.Options) { o.Slots = 64; o.Timeout = 100 * time.Millisecond })
		defer cancel()
		books = append(books, links.join(name, book))
	}
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wait sync.WaitGroup
	for client := range clients {
		wait.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			for i := range claims {
				input := claimInput{fmt.Sprint("k", random.IntN(keys)), fmt.Sprintf("c%d-%d", client, i)}
				call := time.Since(begin)
				existing, won, err := books[client%len(books)].Claim(t.Context(), record(input.key, input.attempt))
				end := time.Since(begin)
				if err != nil {
					end = time.Hour
				}
				mu.Lock()
				history = append(history, porcupine.Operation{
					ClientId: client, Input: input, Call: int64(call), Return: int64(end),
					Output: claimOutput{won: won, refused: err != nil, holder: existing.AttemptID},
				})
				mu.Unlock()
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
				if random.IntN(4) == 0 {
					flush()
				}
			}
		})
	}
	wait.Wait()
	return history
}
