package poison

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/targetlimit"
)

// The users' bound: from modelContact after the fifth crash at most maxLate requests with the part reach targets.
const (
	modelContact = 3 * time.Second
	maxLate      = 3
)

// model plays the registries of many VMs and targets that crash, over a network that delays and loses messages. It runs in
// a synctest bubble, so that time is virtual.
//
// mu guards the targets and what was counted. network guards its random numbers, which registries draw with their own
// locks held.
type model struct {
	mu      sync.Mutex
	random  *rand.Rand
	network sync.Mutex
	chance  *rand.Rand
	vms     []*Registry
	targets []*modelTarget
	loss    float64
	// late is the share of messages that arrive lateBy later than the others.
	late float64
	// mended is set once the bad part crashes nothing any more.
	mended bool
	// repeated is the content of the requests that play sends in place of those with the bad part; empty for none.
	// repeatedCount is the number of such requests if there are several.
	repeated      string
	repeatedCount int
	// restart is how long a target is down after a crash.
	restart time.Duration
	// silenced is a VM whose messages are lost; -1 for none.
	silenced int
	boots    int
	requests int
	crashes  []time.Time
	// lostRequests counts the requests that waited at targets when these crashed.
	lostRequests int
	// sent holds when requests with a bad part reached targets. sentBy and crashesBy hold the same, and the crashes, for each
	// request that is repeated.
	sent              []time.Time
	sentBy, crashesBy map[string][]time.Time
	refused           map[string]int
	served            map[string]int
}

const lateBy = 300 * time.Millisecond

type modelTarget struct {
	id      string
	up      bool
	waiting map[*modelRequest]struct{}
}

type modelRequest struct {
	id    string
	vm    int
	parts []string
	// content identifies the request where it is repeated; empty for one that nobody repeats.
	content string
	trial   *Trial
	aborted atomic.Bool
	retries int
}

func newModel(vms, targets int, seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 0)), chance: rand.New(rand.NewPCG(seed, 1)), silenced: -1, restart: 3 * time.Second, sentBy: make(map[string][]time.Time), crashesBy: make(map[string][]time.Time), refused: make(map[string]int), served: make(map[string]int)}
	for i := range vms {
		m.vms = append(m.vms, m.newVM(i))
	}
	for range targets {
		target := &modelTarget{}
		m.boot(target)
		m.targets = append(m.targets, target)
	}
	return m
}

func vmName(i int) string { return fmt.Sprintf("vm-%d", i) }

func (m *model) newVM(i int) *Registry {
	return NewRegistry(Options{VM: vmName(i), VMs: m.names, Logger: log.New(io.Discard), Broadcast: func(message Message) { m.deliver(i, "", message) }, Send: func(vm string, message Message) { m.deliver(i, vm, message) }})
}

func (m *model) names() []string {
	names := make([]string, max(len(m.vms), 1))
	for i := range names {
		names[i] = vmName(i)
	}
	return names
}

// deliver sends a message to the VM or, without a name, to all other VMs.
func (m *model) deliver(from int, vm string, message Message) {
	if from == m.silenced {
		return
	}
	message.Features = slices.Clone(message.Features)
	m.network.Lock()
	defer m.network.Unlock()
	for i := range m.vms {
		if i == from || vm != "" && vm != vmName(i) || m.chance.Float64() < m.loss {
			continue
		}
		delay := time.Millisecond + time.Duration(m.chance.IntN(3000))*time.Microsecond
		if m.chance.Float64() < m.late {
			delay += lateBy
		}
		recipient := m.vms[i]
		time.AfterFunc(delay, func() { recipient.HandleMessage(vmName(from), message) })
	}
}

func (m *model) boot(target *modelTarget) {
	m.boots++
	target.id, target.up, target.waiting = fmt.Sprintf("t-%d", m.boots), true, make(map[*modelRequest]struct{})
}

// upTarget returns a random target that runs; nil if there is none.
func (m *model) upTarget() *modelTarget {
	var up []*modelTarget
	for _, target := range m.targets {
		if target.up {
			up = append(up, target)
		}
	}
	if len(up) == 0 {
		return nil
	}
	return up[m.random.IntN(len(up))]
}

// request sends a request with the parts through a VM. Its answer begins after the prefill; the bad part crashes the target
// then. The caller holds mu.
func (m *model) request(r *modelRequest) {
	target := m.upTarget()
	if target == nil {
		return
	}
	m.requests++
	if r.id == "" {
		r.id = fmt.Sprintf("r-%d", m.requests)
	}
	trial, err := m.vms[r.vm].Begin(targetlimit.Incarnation{ID: target.id}, r.id, r.features(), func() { r.aborted.Store(true) })
	if err != nil {
		m.refused[r.kind()]++
		return
	}
	r.trial = trial
	if r.kind() == "bad" {
		m.sent = append(m.sent, time.Now())
		m.sentBy[r.content] = append(m.sentBy[r.content], time.Now())
	}
	target.waiting[r] = struct{}{}
	boot := target.id
	time.AfterFunc(200*time.Millisecond+time.Duration(m.random.IntN(400))*time.Millisecond, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if target.id != boot || !target.up {
			return
		}
		delete(target.waiting, r)
		switch {
		case r.aborted.Load():
			trial.Done()
		case r.kind() == "bad" && !m.mended:
			target.waiting[r] = struct{}{}
			m.crashesBy[r.content] = append(m.crashesBy[r.content], time.Now())
			m.crash(target)
		default:
			trial.Answered()
			m.served[r.kind()]++
		}
	})
}

// features returns the features of the request.
func (r *modelRequest) features() Features {
	shared := make([]Feature, len(r.parts))
	for i, part := range r.parts {
		shared[i] = PartFeature("s", part)
	}
	if r.content == "" {
		return SharedFeatures(shared...)
	}
	return NewFeatures(requestFeature(r.content), shared...)
}

func requestFeature(content string) Feature {
	return RequestFeature(newFeature("content", []byte(content)), "acme", nil, nil)
}

func (r *modelRequest) kind() string {
	if slices.Contains(r.parts, "bad") || strings.HasPrefix(r.content, "bad") {
		return "bad"
	}
	return "sound"
}

// crash ends a target; it starts again as another one three seconds later. The caller holds mu.
func (m *model) crash(target *modelTarget) {
	m.crashes = append(m.crashes, time.Now())
	m.lostRequests += len(target.waiting)
	target.up = false
	for r := range target.waiting {
		if r.aborted.Load() {
			r.trial.Done()
			continue
		}
		r.trial.Crashed()
		if r.retries == 0 && m.vms[r.vm].MayRetry(r.trial.features) {
			m.request(&modelRequest{id: r.id, vm: r.vm, parts: r.parts, content: r.content, retries: 1})
		}
	}
	time.AfterFunc(m.restart, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.boot(target)
	})
}

// play sends requests for the given time: sound ones, and bad ones unless badPerSecond is zero. Their parts are a common
// one, one of few callers know, and the bad one.
func (m *model) play(duration time.Duration, soundPerSecond, badPerSecond float64) {
	const step = 5 * time.Millisecond
	defer synctest.Wait()
	defer time.Sleep(time.Second) // until the last requests have ended
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		m.mu.Lock()
		if m.random.Float64() < soundPerSecond*step.Seconds() {
			m.request(&modelRequest{vm: m.random.IntN(len(m.vms)), parts: []string{m.commonPart(), fmt.Sprintf("subject-%d", m.random.IntN(400))}})
		}
		if m.random.Float64() < badPerSecond*step.Seconds() {
			m.request(m.badRequest())
		}
		m.mu.Unlock()
	}
}

// badRequest returns a request with the bad part, or a repetition of the request that is repeated.
func (m *model) badRequest() *modelRequest {
	vm := m.random.IntN(len(m.vms))
	if m.repeated != "" {
		content := m.repeated
		if m.repeatedCount > 1 {
			content += fmt.Sprint(m.random.IntN(m.repeatedCount))
		}
		return &modelRequest{vm: vm, parts: []string{"common-0"}, content: content}
	}
	return &modelRequest{vm: vm, parts: []string{m.commonPart(), "bad"}}
}

// end waits until no timer is left.
func (m *model) end() { time.Sleep(time.Minute) }

func (m *model) commonPart() string { return fmt.Sprintf("common-%d", m.random.IntN(8)) }

// blockedAt returns the number of VMs that block the part.
func (m *model) blockedAt(part string) int {
	count := 0
	for _, vm := range m.vms {
		if vm.Check(SharedFeatures(PartFeature("s", part))) != nil {
			count++
		}
	}
	return count
}

// lateRequests counts the bad requests that reached targets later than modelContact after the fifth crash.
func (m *model) lateRequests() int { return countLate(m.sent, m.crashes, 5) }

// lateRepetitions counts the repetitions of each bad request that reached targets later than modelContact after its third
// crash, and returns the highest count.
func (m *model) lateRepetitions() int {
	most := 0
	for content, sent := range m.sentBy {
		most = max(most, countLate(sent, m.crashesBy[content], 3))
	}
	return most
}

// countLate counts the times later than modelContact after that many crashes.
func countLate(sent, crashes []time.Time, noticed int) int {
	late := 0
	for _, at := range sent {
		if len(crashes) >= noticed && at.Sub(crashes[noticed-1]) > modelContact {
			late++
		}
	}
	return late
}

// crashEvery ends each n-th target so many times, now and after each interval.
func (m *model) crashEvery(interval time.Duration, times, n int) {
	for i := range times {
		time.AfterFunc(time.Duration(i)*interval, func() { m.crashEach(n) })
	}
}

// crashEach ends each n-th target.
func (m *model) crashEach(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, target := range m.targets {
		if i%n == 0 && target.up {
			m.crash(target)
		}
	}
}

// resetConnections breaks off all requests of a VM that wait; their targets run on.
func (m *model) resetConnections(vm int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, target := range m.targets {
		for r := range target.waiting {
			if r.vm == vm {
				delete(target.waiting, r)
				r.trial.Crashed()
			}
		}
	}
}

// stateBlocks lets all VMs repeat their blocks, at different times of each interval. Run is not started in the model.
func (m *model) stateBlocks(intervals int) {
	for range intervals {
		for _, vm := range m.vms {
			vm.stateBlocks(time.Now())
			time.Sleep(statementInterval / time.Duration(len(m.vms)))
		}
	}
}

// isRefuted reports whether a VM knows that the target has not crashed after all.
func (m *model) isRefuted(vm int, target targetlimit.Incarnation) bool {
	r := m.vms[vm]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes[target].isRefuted()
}

// blockCount returns the number of features that a VM blocks.
func (m *model) blockCount(vm int) int {
	r := m.vms[vm]
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.blocks)
}

// failures returns the number of trials of a blocked feature that a VM knows to have failed.
func (m *model) failures(vm int, feature Feature) int {
	r := m.vms[vm]
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.blocks[feature].failures
}
