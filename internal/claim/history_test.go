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

// model runs managers that compete for a few keys, and tracks the expected holder of each key.
type model struct {
	t     *testing.T
	store *objecttest.Store
	// network connects the VMs. It is nil if every VM writes directly.
	network  *network
	vms      []*vmProcess
	attempts int
	// holder maps each key to the attempt that won it and has not been released.
	holder map[string]string
}

type vmProcess struct {
	name      string
	forwarder *claim.Forwarder
	store     *objecttest.VMStore
	cancel    func()
}

func (m *model) startVM(name string) *vmProcess {
	store := objecttest.NewVMStore(m.store)
	manager, cancel := start(m.t.Context(), store, func(o *claim.Options) { o.Shards, o.Slots = 1, 64 })
	return &vmProcess{name: name, forwarder: m.network.join(name, manager), store: store, cancel: cancel}
}

func (m *model) attempt() string {
	m.attempts++
	return fmt.Sprintf("a%d", m.attempts)
}

// claimConcurrently claims one key through several VMs at once and checks that at most one attempt
// wins.
func (m *model) claimConcurrently(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "z", "u", "v"}).Draw(r, "key")
	contenders := rapid.SliceOfN(rapid.SampledFrom(m.vms), 1, 4).Draw(r, "vms")
	timeout := time.Duration(rapid.IntRange(1, 200).Draw(r, "timeout")) * time.Millisecond
	type claimResult struct {
		attempt  string
		existing claim.Record
		won      bool
		err      error
	}
	results := make(chan claimResult, len(contenders))
	for _, contender := range contenders {
		attempt := m.attempt()
		go func() {
			ctx, cancel := context.WithTimeout(m.t.Context(), timeout)
			defer cancel()
			existing, won, err := contender.forwarder.Claim(ctx, record(key, attempt))
			results <- claimResult{attempt, existing, won, err}
		}()
	}
	for range contenders {
		got := <-results
		if got.err != nil {
			require.Equal(r, apierror.KindNotRun, apierror.KindOf(got.err))
			continue
		}
		if got.won {
			require.Empty(r, m.holder[key], "%s won %s, which another attempt holds", got.attempt, key)
			m.holder[key] = got.attempt
		}
	}
}

// release releases one held claim through any VM, as if its attempt had not run.
func (m *model) release(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(r, "key")
	if m.holder[key] != "" {
		rapid.SampledFrom(m.vms).Draw(r, "vm").forwarder.Release(key, m.holder[key])
		delete(m.holder, key)
	}
}

// rebind moves a held claim to another attempt. After an error it releases both.
func (m *model) rebind(r *rapid.T) {
	key := rapid.SampledFrom([]string{"x", "y", "u"}).Draw(r, "key")
	oldAttempt := m.holder[key]
	if oldAttempt == "" {
		return
	}
	forwarder := rapid.SampledFrom(m.vms).Draw(r, "vm").forwarder
	attempt := m.attempt()
	if err := forwarder.Rebind(m.t.Context(), key, oldAttempt, attempt, "t"); err == nil {
		m.holder[key] = attempt
		return
	}
	forwarder.Release(key, oldAttempt)
	forwarder.Release(key, attempt)
	delete(m.holder, key)
}

// crash stops a VM during a claim and restarts it. The model does not record whether the claim took
// effect, because its result is lost with the VM.
func (m *model) crash(r *rapid.T) {
	victim := rapid.IntRange(0, len(m.vms)-1).Draw(r, "vm")
	key := rapid.SampledFrom([]string{"x", "y", "z", "u", "v"}).Draw(r, "key")
	attempt := m.attempt()
	forwarder := m.vms[victim].forwarder
	go func() { _, _, _ = forwarder.Claim(m.t.Context(), record(key, attempt)) }()
	time.Sleep(time.Duration(rapid.IntRange(0, 20).Draw(r, "after")) * time.Millisecond)
	m.vms[victim].store.BlockWrites()
	m.vms[victim].cancel()
	m.vms[victim] = m.startVM(m.vms[victim].name)
}

// check clears all faults and compares the stored claims with the expected holders.
func (m *model) check(r *rapid.T) {
	m.store.SetOutage(false)
	m.store.SetFaults(nil)
	m.store.Flush()
	time.Sleep(10 * time.Second)
	for key, attempt := range m.holder {
		found, err := m.vms[0].forwarder.Lookup(m.t.Context(), key)
		require.NoError(r, err)
		require.Equal(r, attempt, found.AttemptID, "holder of %s", key)
		require.Equal(r, claim.StateClaimed, found.State)
	}
}

func TestClaimsMatchOracleUnderFaults(t *testing.T) {
	checkModel(t, func() *network { return nil })
}

// checkModel runs random operations and faults on three VMs, and then checks that the stored claims have
// the expected holders.
func checkModel(t *testing.T, newNetwork func() *network) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ testing.TB }{t}, func(r *rapid.T) {
			m := &model{t: t, store: objecttest.NewStore(), network: newNetwork(), holder: make(map[string]string)}
			for _, name := range vmNames {
				m.vms = append(m.vms, m.startVM(name))
			}
			defer func() {
				for _, vm := range m.vms {
					vm.cancel()
				}
			}()
			r.Repeat(map[string]func(*rapid.T){
				"race":    m.claimConcurrently,
				"race2":   m.claimConcurrently,
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
					vm := rapid.SampledFrom(m.vms).Draw(r, "vm")
					m.network.setFleet(vm.forwarder, rapid.SliceOfNDistinct(rapid.SampledFrom(vmNames), 1, 3, rapid.ID).Draw(r, "entries"))
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

// keyState is a key's claim in the linearizability model. A revocable claim belongs to a refused
// request; its VM may release it at any time.
type keyState struct {
	attempt   string
	revocable bool
}

// claimModel allows one winner per key. A refused claim may take effect at any time after its call and
// be released at any time after that.
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
	Init: func() []any { return []any{keyState{}} },
	Step: func(before, input, output any) []any {
		current, attempt, got := before.(keyState), input.(claimInput).attempt, output.(claimOutput)
		free := current.attempt == "" || current.revocable
		switch {
		case got.refused && free:
			return []any{current, keyState{attempt: attempt, revocable: true}}
		case got.refused:
			return []any{current}
		case got.won && free:
			return []any{keyState{attempt: attempt}}
		case !got.won && current.attempt == got.holder:
			return []any{current}
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

// TestConcurrentClaimsOverHTTPAreLinearizable sends the claims over HTTP to a fake platform that drops
// half of its responses to writes.
func TestConcurrentClaimsOverHTTPAreLinearizable(t *testing.T) {
	fakePlatform := platform.New(platform.Options{Seed: 1})
	fakePlatform.SetFaults(platform.Faults{DelayMillis: 1, LoseProbability: 0.5})
	server := httptest.NewServer(fakePlatform.Handler())
	defer server.Close()
	store := object.NewClient(object.Options{BaseURL: server.URL, WritesPerSecond: 1000, ReadsPerSecond: 1000})
	history := recordHistory(t, nil, store, func() {}, 50, 1)
	require.NotZero(t, fakePlatform.CallCounts().Lost)
	require.True(t, porcupine.CheckOperations(claimModel.ToModel(), history))
}

// recordHistory claims the same keys concurrently from the clients of three managers. The history gives a
// refused claim a return time after all others, because its write may take effect later.
func recordHistory(t *testing.T, links *network, store object.Store, flush func(), keys int, seed uint64) []porcupine.Operation {
	const clients, claims = 9, 12
	var forwarders []*claim.Forwarder
	for _, name := range vmNames {
		manager, cancel := start(t.Context(), store, func(o *claim.Options) { o.Slots = 64; o.Timeout = 100 * time.Millisecond })
		defer cancel()
		forwarders = append(forwarders, links.join(name, manager))
	}
	begin := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var clientsDone sync.WaitGroup
	for client := range clients {
		clientsDone.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			for i := range claims {
				input := claimInput{fmt.Sprint("k", random.IntN(keys)), fmt.Sprintf("c%d-%d", client, i)}
				call := time.Since(begin)
				existing, won, err := forwarders[client%len(forwarders)].Claim(t.Context(), record(input.key, input.attempt))
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
	clientsDone.Wait()
	return history
}
