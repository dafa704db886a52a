package acceptance_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/policy"
	_ "godwitcart/internal/rapidseed"
)

const rootKey = "config/root"

// probeQueries are the queries whose decisions are compared with those of the oracle.
var probeQueries = []policy.Query{
	{Key: testKey, Service: "cardstat", Class: "kiosk"},
	{Key: testKey, Service: "cardstat", Class: "batch"},
}

// acceptedVersion is a version that was written to the root object.
type acceptedVersion struct {
	index   *policy.Index
	summary string
	at      time.Time
}

// oracle records the accepted versions by watching the root object without faults.
type oracle struct {
	mu       sync.Mutex
	versions []acceptedVersion
}

func (o *oracle) run(ctx context.Context, store *objecttest.Store) {
	revision := uint64(0)
	for ctx.Err() == nil {
		batch, err := store.Watch(ctx, rootKey, revision)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		revision = batch.Revision
		for _, event := range batch.Events {
			o.record(event.Value)
		}
	}
}

func (o *oracle) record(value []byte) {
	var root struct {
		Configuration *policy.Configuration `json:"configuration"`
		Latest        acceptance.Acceptance `json:"latest"`
	}
	if err := json.Unmarshal(value, &root); err != nil {
		panic(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if root.Configuration.Version == uint64(len(o.versions)) {
		// The root was written again to fence an abandoned proposal, which must not change the configuration.
		previous := o.versions[len(o.versions)-1].index.Configuration()
		if !bytes.Equal(policy.Encode(previous), policy.Encode(root.Configuration)) {
			panic("a second write of the same version changed its content")
		}
		return
	}
	o.versions = append(o.versions, acceptedVersion{policy.NewIndex(root.Configuration), root.Latest.Summary, time.Now()})
}

func (o *oracle) accepted() []acceptedVersion {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]acceptedVersion(nil), o.versions...)
}

// count returns the number of versions with the summary.
func (o *oracle) count(summary string) int {
	count := 0
	for _, version := range o.accepted() {
		if version.summary == summary {
			count++
		}
	}
	return count
}

// stateMachine applies random changes and faults to a cluster and compares it with the oracle.
type stateMachine struct {
	t               *rapid.T
	cluster         *cluster
	oracle          *oracle
	highestVersions []uint64
	proposalCount   int
	mu              sync.Mutex
	// disturbedAt is when the links of each VM last changed or the VM was last restarted.
	disturbedAt []time.Time
	results     map[string]error
}

const stateMachineVMs = 4

func newStateMachine(t *rapid.T) (*stateMachine, func()) {
	c := startCluster(stateMachineVMs)
	ctx, cancel := context.WithCancel(context.Background())
	m := &stateMachine{
		t: t, cluster: c, oracle: &oracle{}, highestVersions: make([]uint64, stateMachineVMs),
		disturbedAt: make([]time.Time, stateMachineVMs), results: make(map[string]error),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.oracle.run(ctx, c.store)
	}()
	return m, func() {
		c.stop()
		cancel()
		<-done
	}
}

// propose starts a proposal through a random VM. The result is recorded under a unique summary.
func (m *stateMachine) propose(group *sync.WaitGroup) {
	m.proposalCount++
	number := m.proposalCount
	change := changeShare("operator", number%policy.MaxShare+1)
	if rapid.Bool().Draw(m.t, "batch") {
		change = changeBatchClass("operator", time.Duration(number)*time.Second)
	}
	change.Summary = fmt.Sprintf("proposal %d", number)
	manager := m.cluster.manager(m.drawVM())
	group.Go(func() {
		_, err := manager.Propose(context.Background(), change)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.results[change.Summary] = err
	})
}

func (m *stateMachine) drawVM() int { return rapid.IntRange(0, stateMachineVMs-1).Draw(m.t, "vm") }

func (m *stateMachine) markDisturbed(vms ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range vms {
		m.disturbedAt[vm] = time.Now()
	}
}

// isUndisturbed reports whether a VM has had no fault for at least inForceWithin.
func (m *stateMachine) isUndisturbed(vm int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbedAt[vm]) >= inForceWithin
}

func (m *stateMachine) markAllDisturbed() { m.markDisturbed(0, 1, 2, 3) }

// injectFault starts or ends one random fault.
func (m *stateMachine) injectFault() {
	vm := m.drawVM()
	switch rapid.SampledFrom([]string{"cut", "rejoin", "restart", "outage", "back", "write", "peers", "flush", "none"}).Draw(m.t, "fault") {
	case "cut":
		m.cluster.setLink(vm, rapid.IntRange(0, 2).Draw(m.t, "side"), rapid.Bool().Draw(m.t, "away"))
		m.markDisturbed(vm)
	case "rejoin":
		m.cluster.moveToSide(vm, 0)
		m.markDisturbed(vm)
	case "restart":
		m.cluster.restart(vm)
		m.markDisturbed(vm)
	case "outage":
		m.cluster.setOutage(true)
		m.markAllDisturbed()
	case "back":
		m.cluster.setOutage(false)
		m.markAllDisturbed()
	case "write":
		m.faultNextRootWrite(vm)
	case "peers":
		m.cluster.setPeerFaults(peerFaults{
			slowStage:      rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 250 * time.Millisecond}).Draw(m.t, "slow"),
			dropAnswers:    rapid.Bool().Draw(m.t, "drop answers"),
			dropConclude:   rapid.Bool().Draw(m.t, "drop conclude"),
			repeatConclude: rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(m.t, "repeat"),
		})
	case "flush":
		m.cluster.store.Flush()
	}
}

// faultNextRootWrite isolates a VM at the next write of the root, and may also make that write fail.
func (m *stateMachine) faultNextRootWrite(vm int) {
	fault := rapid.SampledFrom([]objecttest.Fault{{}, {LoseResponse: true}, {LoseRequest: true}, {DeferWrite: true}}).Draw(m.t, "write")
	used := false
	m.cluster.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
		if used || call.Op != objecttest.OpPut || call.Key != rootKey {
			return objecttest.Fault{}
		}
		used = true
		m.cluster.moveToSide(vm, 1)
		m.markDisturbed(vm)
		return fault
	})
}

// step runs up to two proposals concurrently and injects faults while they run.
func (m *stateMachine) step() {
	var group sync.WaitGroup
	for range rapid.IntRange(0, 2).Draw(m.t, "proposals") {
		m.propose(&group)
	}
	pauses := []time.Duration{0, time.Millisecond, 60 * time.Millisecond, time.Second}
	for range rapid.IntRange(1, 3).Draw(m.t, "faults") {
		time.Sleep(rapid.SampledFrom(pauses).Draw(m.t, "before"))
		m.injectFault()
	}
	group.Wait()
	time.Sleep(rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second, 15 * time.Second}).Draw(m.t, "after"))
	synctest.Wait()
	m.check()
}

// check compares the configuration of every serving VM with the oracle.
func (m *stateMachine) check() {
	versions := m.oracle.accepted()
	for vm := range stateMachineVMs {
		manager := m.cluster.manager(vm)
		current := manager.Current()
		if current == nil {
			continue
		}
		require.GreaterOrEqual(m.t, current.Version, m.highestVersions[vm], "vm-%d reverted to an older version", vm)
		m.highestVersions[vm] = current.Version
		require.LessOrEqual(m.t, int(current.Version), len(versions), "vm-%d has a version in force that was not accepted", vm)
		expected := versions[current.Version-1].index.Configuration()
		require.Equal(m.t, policy.Encode(expected), policy.Encode(current), "vm-%d has another version %d", vm, current.Version)
		m.checkDecisions(vm, versions)
	}
}

// checkDecisions requires that a VM either refuses a probe query or answers it according to the latest accepted
// version, or one that was replaced less than inForceWithin ago. A VM without recent faults must have such a version
// in force.
func (m *stateMachine) checkDecisions(vm int, versions []acceptedVersion) {
	oldestAllowed := 0
	for i, version := range versions {
		if time.Since(version.at) >= inForceWithin {
			oldestAllowed = i
		}
	}
	manager := m.cluster.manager(vm)
	if m.cluster.reachesPlatform(vm) && m.isUndisturbed(vm) {
		require.Greater(m.t, int(manager.Version()), oldestAllowed, "vm-%d is connected, but its version is too old", vm)
	}
	for _, probe := range probeQueries {
		decision, err := manager.Decide(probe)
		if apierror.Is(err, apierror.KindNotRun) {
			continue
		}
		require.NoError(m.t, err)
		matched := false
		for _, version := range versions[oldestAllowed:] {
			expected, err := version.index.Decide(probe)
			require.NoError(m.t, err)
			matched = matched || fmt.Sprint(expected) == fmt.Sprint(decision)
		}
		require.True(m.t, matched, "vm-%d answers %v according to an outdated version", vm, probe)
	}
}

// finish ends all faults. Then all VMs must agree, the results must match the oracle, and a new change must succeed.
func (m *stateMachine) finish() {
	m.cluster.heal()
	m.markAllDisturbed()
	time.Sleep(time.Minute)
	synctest.Wait()
	m.check()
	latest := uint64(len(m.oracle.accepted()))
	for vm := range stateMachineVMs {
		require.Equal(m.t, latest, m.cluster.manager(vm).Version(), "vm-%d after healing", vm)
		require.False(m.t, m.cluster.manager(vm).InDoubt(), "vm-%d after healing", vm)
	}
	for summary, err := range m.results {
		count := m.oracle.count(summary)
		switch {
		case err == nil:
			require.Equal(m.t, 1, count, "%s was answered as accepted", summary)
		case apierror.Is(err, apierror.KindOutcomeUnknown):
			require.LessOrEqual(m.t, count, 1, summary)
		default:
			require.Zero(m.t, count, "%s was answered as rejected: %v", summary, err)
		}
	}
	_, err := m.cluster.manager(0).Propose(context.Background(), changeShare("ann", policy.MaxShare))
	require.NoError(m.t, err)
	m.cluster.requireVersion(m.t, latest+1)
}

// TestVersionsNeverRevertAndVMsAgree runs concurrent proposals with random outages, partitions, restarts and lost
// replies.
func TestVersionsNeverRevertAndVMsAgree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A synctest bubble does not support Deadline, so the method must not be visible to rapid.
		withoutDeadline := struct{ rapid.TB }{t}
		rapid.Check(withoutDeadline, func(t *rapid.T) {
			m, stop := newStateMachine(t)
			defer stop()
			time.Sleep(time.Minute)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				m.step()
			}
			m.finish()
		})
	})
}
