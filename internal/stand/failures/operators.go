package failures

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/pause"
	"godwitcart/internal/policy"
)

// What the operators of a run do: at each interval all of them change the share of one account
// at the same moment, each through an entry VM of its own and to a value that no other change has.
const (
	operatorCount  = 2
	changeInterval = 2 * time.Second
	changeTimeout  = 10 * time.Second
	markerAccount  = "marker"
	operatorToken  = "failures"
	// Each rolloutEvery intervals a version is rolled out or withdrawn in place of one of the changes.
	rolloutEvery     = 4
	rolloutVersion   = "2"
	rolloutRetry     = 300 * time.Millisecond
	observeInterval  = 250 * time.Millisecond
	observeTimeout   = time.Second
	firstMarkerShare = 2
)

// Change is one operator's command and what the operator was told.
type Change struct {
	Share int
	// Ended is when the operator was told.
	Ended   time.Time
	Outcome ChangeOutcome
	// Version is the accepted one.
	Version uint64
	Message string
}

// ChangeOutcome is how a change ended for its operator.
type ChangeOutcome string

// The outcomes of a change.
const (
	ChangeAccepted ChangeOutcome = "accepted"
	ChangeRejected ChangeOutcome = "rejected"
	ChangeUnknown  ChangeOutcome = "unknown"
)

// Observation is the configuration in force on one entry VM, asked at Sent and answered at Received.
type Observation struct {
	Entry          string
	Sent, Received time.Time
	Version        uint64
	Share          int
}

// operators change the configuration and watch what is in force.
type operators struct {
	entries []*member
	random  *rand.Rand
	share   atomic.Int64
	// rollouts tells whether versions are rolled out, too.
	rollouts  bool
	rolledOut atomic.Int64

	mu           sync.Mutex
	changes      []Change
	observations []Observation
}

func newOperators(f *fleet, rollouts bool) *operators {
	o := &operators{entries: f.entries, rollouts: rollouts, random: rand.New(rand.NewPCG(f.seed, 3))}
	o.share.Store(firstMarkerShare)
	return o
}

// run works until ctx ends.
func (o *operators) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, m := range o.entries {
		group.Go(func() { o.observe(ctx, m) })
	}
	for round := 1; ctx.Err() == nil; round++ {
		for range operatorCount {
			m := o.entries[o.random.IntN(len(o.entries))]
			group.Go(func() { o.change(m) })
		}
		if o.rollouts && round%rolloutEvery == 0 {
			m := o.entries[o.random.IntN(len(o.entries))]
			group.Go(func() { o.rollOut(m, round%(2*rolloutEvery) != 0) })
		}
		pause.For(ctx, changeInterval)
	}
	group.Wait()
}

// rollOut adds the version to what the engines load, or takes it away. Where another change comes
// first or an entry VM cannot be reached it tries again, for as long as a change may take.
func (o *operators) rollOut(m *member, add bool) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	sign := "-="
	if add {
		sign = "+="
	}
	command := fmt.Sprintf("change service %s loads%s%s@%s", engineService, sign, model, rolloutVersion)
	for ctx.Err() == nil {
		_, err := client(m).Command(ctx, command, false)
		if err == nil {
			o.rolledOut.Add(1)
			return
		}
		log.Debug("roll-out", "error", err)
		pause.For(ctx, rolloutRetry)
	}
}

func (o *operators) change(m *member) {
	share := int(o.share.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := client(m).Command(ctx, fmt.Sprintf("change account %s share=%d", markerAccount, share), false)
	change := Change{Share: share, Ended: time.Now(), Outcome: ChangeAccepted}
	switch {
	case err == nil:
		change.Version = result.Version
	case apierror.Is(err, apierror.KindOutcomeUnknown), apierror.Is(err, apierror.KindInternal):
		change.Outcome, change.Message = ChangeUnknown, err.Error()
	default:
		change.Outcome, change.Message = ChangeRejected, err.Error()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.changes = append(o.changes, change)
}

func client(m *member) *admin.Client {
	return &admin.Client{BaseURL: "http://" + m.vm.AdminAddress, Token: operatorToken}
}

// observe asks one entry VM again and again what is in force.
func (o *operators) observe(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if seen, ok := ask(m); ok {
			o.mu.Lock()
			o.observations = append(o.observations, seen)
			o.mu.Unlock()
		}
		pause.For(ctx, observeInterval)
	}
}

func ask(m *member) (Observation, bool) {
	seen := Observation{Entry: m.Name, Sent: time.Now()}
	configuration, err := inForce(m)
	seen.Received = time.Now()
	if err != nil {
		return seen, false
	}
	seen.Version = configuration.Version
	seen.Share = configuration.Accounts[markerAccount].Share
	return seen, true
}

// inForce returns the configuration in force on one entry VM.
func inForce(m *member) (*policy.Configuration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
	defer cancel()
	text, err := client(m).Configuration(ctx)
	if err != nil {
		return nil, err
	}
	return policy.Parse(text)
}
