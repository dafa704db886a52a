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

// probes are the requests whose meaning the machine compares.
var probes = []policy.Query{
	{Key: testKey, Service: "cardstat", Class: "kiosk"},
	{Key: testKey, Service: "cardstat", Class: "batch"},
}

// acceptedVersion is what the oracle saw written to the root object.
type acceptedVersion struct {
	index   *policy.Index
	summary string
	at      time.Time
}

// oracle watches the root object without faults. Its versions are the truth.
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
		// The root was written again to settle an abandoned proposal: nothing may have changed.
		same := o.versions[len(o.versions)-1].index.Configuration()
		if !bytes.Equal(policy.Encode(same), policy.Encode(root.Configuration)) {
			panic("the root was rewritten with another content")
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

// count returns how many versions have the summary.
func (o *oracle) count(summary string) int {
	count := 0
	for _, version := range o.accepted() {
		if version.summary == summary {
			count++
		}
	}
	return count
}

// machine drives a cluster with faults and checks it against the oracle.
type machine struct {
	t       *rapid.T
	c       *cluster
	oracle  *oracle
	highest []uint64
	// proposals counts the proposals made.
	proposals int
	mu        sync.Mutex
	// disturbed is when each VM last lost a link or was restarted.
	disturbed []time.Time
	results   map[string]error
}

const machineVMs = 4

func newMachine(t *rapid.T) (*machine, func()) {
	c := startCluster(machineVMs)
	ctx, cancel := context.WithCancel(context.Background())
	m := &machine{
		t: t, c: c, oracle: &oracle{}, highest: make([]uint64, machineVMs),
		disturbed: make([]time.Time, machineVMs), results: make(map[string]error),
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

// propose starts a proposal through a VM; its result is recorded under a summary of its own.
func (m *machine) propose(group *sync.WaitGroup) {
	m.proposals++
	number := m.proposals
	change := setShare("operator", number%policy.MaxShare+1)
	if rapid.Bool().Draw(m.t, "batch") {
		change = setBatch("operator", time.Duration(number)*time.Second)
	}
	change.Summary = fmt.Sprintf("proposal %d", number)
	manager := m.c.manager(m.drawVM())
	group.Go(func() {
		_, err := manager.Propose(context.Background(), change)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.results[change.Summary] = err
	})
}

func (m *machine) drawVM() int { return rapid.IntRange(0, machineVMs-1).Draw(m.t, "vm") }

func (m *machine) disturb(vms ...int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, vm := range vms {
		m.disturbed[vm] = time.Now()
	}
}

// undisturbed reports whether a VM's links have been whole for longer than the bound.
func (m *machine) undisturbed(vm int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.disturbed[vm]) >= inForceBound
}

func (m *machine) disturbAll() { m.disturb(0, 1, 2, 3) }

// fault changes one thing about the surroundings.
func (m *machine) fault() {
	vm := m.drawVM()
	switch rapid.SampledFrom([]string{"cut", "rejoin", "restart", "outage", "back", "write", "peers", "flush", "none"}).Draw(m.t, "fault") {
	case "cut":
		m.c.link(vm, rapid.IntRange(0, 2).Draw(m.t, "side"), rapid.Bool().Draw(m.t, "away"))
		m.disturb(vm)
	case "rejoin":
		m.c.cut(vm, 0)
		m.disturb(vm)
	case "restart":
		m.c.restart(vm)
		m.disturb(vm)
	case "outage":
		m.c.setOutage(true)
		m.disturbAll()
	case "back":
		m.c.setOutage(false)
		m.disturbAll()
	case "write":
		m.faultNextRootWrite(vm)
	case "peers":
		m.c.setPeerFaults(peerFaults{
			slowStage:      rapid.SampledFrom([]time.Duration{0, 50 * time.Millisecond, 250 * time.Millisecond}).Draw(m.t, "slow"),
			dropAnswers:    rapid.Bool().Draw(m.t, "drop answers"),
			dropConclude:   rapid.Bool().Draw(m.t, "drop conclude"),
			repeatConclude: rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(m.t, "repeat"),
		})
	case "flush":
		m.c.store.Flush()
	}
}

// faultNextRootWrite makes the next write of the root fail in a way of its own, or cuts a VM off
// at that moment.
func (m *machine) faultNextRootWrite(vm int) {
	fault := rapid.SampledFrom([]objecttest.Fault{{}, {LoseAnswer: true}, {LoseRequest: true}, {Late: true}}).Draw(m.t, "write")
	used := false
	m.c.store.SetFaults(func(call objecttest.Call) objecttest.Fault {
		if used || call.Op != objecttest.OpPut || call.Key != rootKey {
			return objecttest.Fault{}
		}
		used = true
		m.c.cut(vm, 1)
		m.disturb(vm)
		return fault
	})
}

// step runs up to two proposals at once with faults in their midst.
func (m *machine) step() {
	var group sync.WaitGroup
	for range rapid.IntRange(0, 2).Draw(m.t, "proposals") {
		m.propose(&group)
	}
	pauses := []time.Duration{0, time.Millisecond, 60 * time.Millisecond, time.Second}
	for range rapid.IntRange(1, 3).Draw(m.t, "faults") {
		time.Sleep(rapid.SampledFrom(pauses).Draw(m.t, "before"))
		m.fault()
	}
	group.Wait()
	time.Sleep(rapid.SampledFrom([]time.Duration{0, time.Second, 5 * time.Second, 15 * time.Second}).Draw(m.t, "after"))
	synctest.Wait()
	m.check()
}

// check compares every VM that serves with the oracle.
func (m *machine) check() {
	versions := m.oracle.accepted()
	for vm := range machineVMs {
		manager := m.c.manager(vm)
		current := manager.Current()
		if current == nil {
			continue
		}
		require.GreaterOrEqual(m.t, current.Version, m.highest[vm], "vm-%d went back", vm)
		m.highest[vm] = current.Version
		require.LessOrEqual(m.t, int(current.Version), len(versions), "vm-%d has a version in force that was not accepted", vm)
		truth := versions[current.Version-1].index.Configuration()
		require.Equal(m.t, policy.Encode(truth), policy.Encode(current), "vm-%d has another version %d", vm, current.Version)
		m.checkMeaning(vm, versions)
	}
}

// checkMeaning requires that a VM answers each probe by a version that was accepted last, or was
// replaced less than the bound ago, or not at all; and that a VM whose links are whole has it in force.
func (m *machine) checkMeaning(vm int, versions []acceptedVersion) {
	oldest := 0
	for i, version := range versions {
		if time.Since(version.at) >= inForceBound {
			oldest = i
		}
	}
	manager := m.c.manager(vm)
	if m.c.reachesPlatform(vm) && m.undisturbed(vm) {
		require.Greater(m.t, int(manager.Version()), oldest, "vm-%d is connected and late", vm)
	}
	for _, probe := range probes {
		decision, err := manager.Decide(probe)
		if apierror.Is(err, apierror.KindNotRun) {
			continue
		}
		require.NoError(m.t, err)
		same := false
		for _, version := range versions[oldest:] {
			meant, err := version.index.Decide(probe)
			require.NoError(m.t, err)
			same = same || fmt.Sprint(meant) == fmt.Sprint(decision)
		}
		require.True(m.t, same, "vm-%d answers %v by an older version", vm, probe)
	}
}

// finish heals everything; then all VMs must agree, and results must match the oracle.
func (m *machine) finish() {
	m.c.heal()
	m.disturbAll()
	time.Sleep(time.Minute)
	synctest.Wait()
	m.check()
	latest := uint64(len(m.oracle.accepted()))
	for vm := range machineVMs {
		require.Equal(m.t, latest, m.c.manager(vm).Version(), "vm-%d after healing", vm)
		require.False(m.t, m.c.manager(vm).InDoubt(), "vm-%d after healing", vm)
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
	_, err := m.c.manager(0).Propose(context.Background(), setShare("ann", policy.MaxShare))
	require.NoError(m.t, err)
	m.c.requireVersion(m.t, latest+1)
}

// TestNoRevertAndNoSplitMeaning drives racing operators, outages, cuts, restarts and lost answers.
func TestNoRevertAndNoSplitMeaning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A bubble has no deadline, so rapid must not ask for one.
		withoutDeadline := struct{ rapid.TB }{t}
		rapid.Check(withoutDeadline, func(t *rapid.T) {
			m, stop := newMachine(t)
			defer stop()
			time.Sleep(time.Minute)
			for range rapid.IntRange(1, 12).Draw(t, "steps") {
				m.step()
			}
			m.finish()
		})
	})
}
