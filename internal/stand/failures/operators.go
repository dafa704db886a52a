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

// The settings of the operators. At each interval, all operators change the share of one account at the same time, each
// through a randomly chosen entry VM. No two changes use the same value, so that an observed share identifies its
// change.
const (
	operatorCount  = 2
	changeInterval = 2 * time.Second
	changeTimeout  = 10 * time.Second
	markerAccount  = "marker"
	operatorToken  = "failures"
	// Every rolloutEvery intervals a model version is rolled out or withdrawn, in addition to the changes.
	rolloutEvery         = 4
	rolloutVersion       = "2"
	rolloutRetryInterval = 300 * time.Millisecond
	observeInterval      = 250 * time.Millisecond
	observeTimeout       = time.Second
	firstMarkerShare     = 2
)

// Change is one operator's command and its result.
type Change struct {
	Share int
	// Ended is when the operator received the result.
	Ended   time.Time
	Outcome ChangeOutcome
	// Version is the configuration version that an accepted change created.
	Version uint64
	Message string
}

// ChangeOutcome is the result of a change as its operator received it.
type ChangeOutcome string

// The outcomes of a change.
const (
	ChangeAccepted ChangeOutcome = "accepted"
	ChangeRejected ChangeOutcome = "rejected"
	ChangeUnknown  ChangeOutcome = "unknown"
)

// Observation is the configuration in force on one entry VM, requested at Sent and received at Received.
type Observation struct {
	Entry          string
	Sent, Received time.Time
	Version        uint64
	Share          int
}

// operators changes the configuration and polls the configurations in force.
type operators struct {
	entries   []*member
	random    *rand.Rand
	lastShare atomic.Int64
	// rolloutsEnabled adds rollouts and withdrawals of a model version.
	rolloutsEnabled  bool
	acceptedRollouts atomic.Int64

	mu           sync.Mutex
	changes      []Change
	observations []Observation
}

func newOperators(f *fleet, rollouts bool) *operators {
	o := &operators{entries: f.entries, rolloutsEnabled: rollouts, random: rand.New(rand.NewPCG(f.seed, 3))}
	o.lastShare.Store(firstMarkerShare)
	return o
}

// run changes and observes the configuration until ctx ends.
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
		if o.rolloutsEnabled && round%rolloutEvery == 0 {
			m := o.entries[o.random.IntN(len(o.entries))]
			group.Go(func() { o.rollOut(m, round%(2*rolloutEvery) != 0) })
		}
		pause.For(ctx, changeInterval)
	}
	group.Wait()
}

// rollOut adds the model version to the engines' loads or removes it. It retries a failed command until changeTimeout:
// the command may conflict with another change, or the entry VM may be unreachable.
func (o *operators) rollOut(m *member, add bool) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	operator := "-="
	if add {
		operator = "+="
	}
	command := fmt.Sprintf("change service %s loads%s%s@%s", engineService, operator, model, rolloutVersion)
	for ctx.Err() == nil {
		_, err := adminClient(m).Command(ctx, command, false)
		if err == nil {
			o.acceptedRollouts.Add(1)
			return
		}
		log.Debug("roll-out command failed; retrying", "error", err)
		pause.For(ctx, rolloutRetryInterval)
	}
}

func (o *operators) change(m *member) {
	share := int(o.lastShare.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	result, err := adminClient(m).Command(ctx, fmt.Sprintf("change account %s share=%d", markerAccount, share), false)
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

func adminClient(m *member) *admin.Client {
	return &admin.Client{BaseURL: "http://" + m.vm.AdminAddress, Token: operatorToken}
}

// observe polls the configuration in force on one entry VM until ctx ends.
func (o *operators) observe(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if observation, ok := observeOnce(m); ok {
			o.mu.Lock()
			o.observations = append(o.observations, observation)
			o.mu.Unlock()
		}
		pause.For(ctx, observeInterval)
	}
}

func observeOnce(m *member) (Observation, bool) {
	observation := Observation{Entry: m.Name, Sent: time.Now()}
	configuration, err := configurationInForce(m)
	observation.Received = time.Now()
	if err != nil {
		return observation, false
	}
	observation.Version = configuration.Version
	observation.Share = configuration.Accounts[markerAccount].Share
	return observation, true
}

// configurationInForce returns the configuration in force on one entry VM.
func configurationInForce(m *member) (*policy.Configuration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), observeTimeout)
	defer cancel()
	text, err := adminClient(m).Configuration(ctx)
	if err != nil {
		return nil, err
	}
	return policy.Parse(text)
}
