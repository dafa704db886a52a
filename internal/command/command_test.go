package command_test

import (
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/command"
	"godwitcart/internal/language"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

// memory is an in-memory command.Configuration.
type memory struct {
	versions   []*policy.Configuration
	lastChange acceptance.Change
}

func (m *memory) Propose(_ context.Context, change acceptance.Change) (acceptance.Outcome, error) {
	m.lastChange = change
	current := m.versions[len(m.versions)-1]
	next := current.Clone()
	if err := change.Apply(next); err != nil {
		return acceptance.Outcome{}, err
	}
	if err := policy.Validate(*next); err != nil {
		return acceptance.Outcome{}, err
	}
	outcome := acceptance.Outcome{Version: uint64(len(m.versions)), Changes: policy.Diff(current, next)}
	if !change.DryRun && len(outcome.Changes) > 0 {
		m.versions = append(m.versions, next)
		outcome.Version++
	}
	return outcome, nil
}

func (m *memory) ConfigurationAt(_ context.Context, version uint64) (*policy.Configuration, error) {
	return m.versions[version-1], nil
}

// operationRecorder records the operations that are requested.
type operationRecorder struct{ calls []string }

func (r *operationRecorder) SetDrained(_ context.Context, operator, target string, drained bool) error {
	r.calls = append(r.calls, strings.Join([]string{operator, "drained", target, map[bool]string{true: "yes", false: "no"}[drained]}, " "))
	return nil
}

func (r *operationRecorder) SetLoaded(_ context.Context, operator, target string, variant policy.Variant, loaded bool) error {
	r.calls = append(r.calls, strings.Join([]string{operator, "loaded", variant.String(), target, map[bool]string{true: "yes", false: "no"}[loaded]}, " "))
	return nil
}

func (r *operationRecorder) Cancel(_ context.Context, request, reason string) (bool, error) {
	r.calls = append(r.calls, reason)
	return request == "r1", nil
}

func newMemory() *memory {
	return &memory{versions: []*policy.Configuration{(&policy.Configuration{Version: 1}).Clone()}}
}

func execute(t *testing.T, m *memory, r *operationRecorder, text string) (command.Result, error) {
	t.Helper()
	statement, err := language.Parse(text)
	require.NoError(t, err, text)
	require.NotNil(t, statement.Command, text)
	return command.NewExecutor(m, r).Execute(t.Context(), "ann", statement.Command)
}

func TestCommandsChangeTheConfiguration(t *testing.T) {
	m := newMemory()
	hash := policy.HashKey("key")
	steps := []struct{ text, change string }{
		{`create model m versions=v1 adapters=a`, `+ model m versions=v1`},
		{`create class kiosk priority=10 deadline=30s`, `+ class kiosk priority=10`},
		{`create service drafter kind=engine runs=m@v1,m:a@v1 zones=hobart non_idempotent=true checks_fencing=true`, `+ service drafter kind=engine`},
		{`create account acme key_hashes=` + hash + ` classes=kiosk requests_per_second=2.5 concurrency=4`, `+ account acme key_hashes=` + hash},
		{`change account acme share=3`, `~ account acme share=1 -> 3`},
		{`change model m versions+=v2`, `~ model m versions=v1 -> v1,v2`},
		{`change service drafter runs-=m:a@v1`, `~ service drafter runs=m@v1,m:a@v1 -> m@v1`},
		{`change service drafter zones=""`, `~ service drafter zones=hobart -> ""`},
		{`delete account acme`, `- account acme key_hashes=` + hash},
		{`roll back to 6`, `~ service drafter zones="" -> hobart`},
	}
	for i, step := range steps {
		result, err := execute(t, m, nil, step.text)
		require.NoError(t, err, step.text)
		require.Equal(t, uint64(i+2), result.Version)
		require.Equal(t, step.change, result.Changes[0].String(), step.text)
		require.Equal(t, "ann", m.lastChange.Operator)
		require.Equal(t, step.text, m.lastChange.Summary)
	}
}

func TestDryRunChangesNothing(t *testing.T) {
	m, r := newMemory(), &operationRecorder{}
	result, err := execute(t, m, r, `create class kiosk priority=1 --dry-run`)
	require.NoError(t, err)
	require.Equal(t, "would change version 1", result.Message)
	require.Len(t, result.Changes, 1)
	require.Len(t, m.versions, 1)
	_, err = execute(t, m, r, `drain target t-1 --dry-run`)
	require.NoError(t, err)
	require.Empty(t, r.calls)
}

func TestRejectedCommandsNameTheRemedy(t *testing.T) {
	m := newMemory()
	_, err := execute(t, m, nil, `create class kiosk priority=1`)
	require.NoError(t, err)
	cases := map[string]struct {
		kind apierror.Kind
		text string
	}{
		`create class kiosk`:                               {apierror.KindConflict, "already exists"},
		`change class batch priority=2`:                    {apierror.KindNotFound, "does not exist"},
		`delete model m`:                                   {apierror.KindNotFound, "does not exist"},
		`change class kiosk`:                               {apierror.KindBadRequest, "at least one FIELD=VALUE"},
		`change class kiosk rank=2`:                        {apierror.KindBadRequest, "use one of deadline, priority"},
		`change class kiosk priority=high`:                 {apierror.KindBadRequest, "write a whole number"},
		`change class kiosk priority=1,2`:                  {apierror.KindBadRequest, "one value"},
		`change class kiosk priority+=1`:                   {apierror.KindBadRequest, "one value"},
		`change class kiosk deadline=5`:                    {apierror.KindBadRequest, "write a length of time"},
		`create model m versions-=v1`:                      {apierror.KindNotFound, "v1 is not in the list"},
		`create service s kind=engine runs=x`:              {apierror.KindBadRequest, `model "x", which does not exist`},
		`create service s kind=plain checks_fencing=maybe`: {apierror.KindBadRequest, "write true or false"},
	}
	for text, want := range cases {
		_, err := execute(t, m, nil, text)
		require.True(t, apierror.Is(err, want.kind), "%s: %v", text, err)
		require.Contains(t, err.Error(), want.text, text)
	}
}

func TestOperations(t *testing.T) {
	r := &operationRecorder{}
	for _, text := range []string{`drain target t`, `undrain target t`, `load m:a@v1 on t`, `unload m on t`, `cancel r1`} {
		_, err := execute(t, nil, r, text)
		require.NoError(t, err, text)
	}
	require.Equal(t, []string{
		"ann drained t yes", "ann drained t no", "ann loaded m:a@v1 t yes", "ann loaded m t no", "canceled by operator ann",
	}, r.calls)
	_, err := execute(t, nil, r, `cancel r2`)
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	_, err = execute(t, nil, r, `load m:::x on t`)
	require.True(t, apierror.Is(err, apierror.KindUnknownModel))
}

// TestEveryFieldCanBeSet checks that commands can set every field of every object type except its name. A field
// added to package policy without a setter fails this test.
func TestEveryFieldCanBeSet(t *testing.T) {
	objects := map[string]any{"service": policy.Service{}, "account": policy.Account{}, "class": policy.Class{}, "model": policy.Model{}}
	for name, object := range objects {
		var fields []string
		objectType := reflect.TypeOf(object)
		for i := range objectType.NumField() {
			field, _, _ := strings.Cut(objectType.Field(i).Tag.Get("json"), ",")
			if field != "name" {
				fields = append(fields, field)
			}
		}
		slices.Sort(fields)
		require.Equal(t, fields, command.Fields(name))
	}
}

// cancelPeers maps the names of the peers to whether they are reachable.
type cancelPeers map[string]bool

func (p cancelPeers) VMs() []string { return slices.Sorted(maps.Keys(p)) }

func (p cancelPeers) Cancel(_ context.Context, vm string, request *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	if !p[vm] {
		return nil, errors.New("unreachable")
	}
	return &peerpb.CancelReply{Found: request.RequestId == "at-"+vm}, nil
}

func TestCancelerAsksAllVMs(t *testing.T) {
	canceler := command.Canceler{
		CancelLocal: func(request, _ string) bool { return request == "here" },
		Peers:       cancelPeers{"b": true, "c": true},
	}
	for request, want := range map[string]bool{"here": true, "at-b": true, "at-c": true, "nowhere": false} {
		found, err := canceler.Cancel(t.Context(), request, "")
		require.NoError(t, err)
		require.Equal(t, want, found, request)
	}
	canceler.Peers = cancelPeers{"b": true, "c": false}
	found, err := canceler.Cancel(t.Context(), "at-b", "")
	require.NoError(t, err)
	require.True(t, found)
	_, err = canceler.Cancel(t.Context(), "at-c", "")
	require.True(t, apierror.Is(err, apierror.KindOutcomeUnknown))
}

func TestResultEncodesAsJSON(t *testing.T) {
	text, err := json.Marshal(command.Result{Message: "m", Changes: []policy.Change{{Action: policy.ActionCreate, Type: "class", Name: "c", Field: "f", After: "1"}}})
	require.NoError(t, err)
	require.JSONEq(t, `{"message":"m","changes":[{"action":"create","type":"class","name":"c","field":"f","after":"1"}]}`, string(text))
}
