package admin_test

import (
	"context"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/command"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
)

// memory is an in-memory command.Configuration.
type memory struct{ current *policy.Configuration }

func (m *memory) Propose(_ context.Context, change acceptance.Change) (acceptance.Outcome, error) {
	next := m.current.Clone()
	if err := change.Apply(next); err != nil {
		return acceptance.Outcome{}, err
	}
	outcome := acceptance.Outcome{Version: 1, Changes: policy.Diff(m.current, next)}
	if !change.DryRun {
		m.current = next
		outcome.Version = 2
	}
	return outcome, policy.Validate(*next)
}

func (m *memory) ConfigurationAt(context.Context, uint64) (*policy.Configuration, error) {
	return m.current, nil
}

type classSource struct{ memory *memory }

func (s classSource) Rows(context.Context, string) ([]query.Row, error) {
	var rows []query.Row
	for name := range s.memory.current.Classes {
		rows = append(rows, query.Class{Name: name})
	}
	return rows, nil
}

func (s classSource) Explain(context.Context, string) (query.Timeline, bool) {
	return query.Timeline{}, false
}

type noPeers struct{}

func (noPeers) VMs() []string { return nil }

func (noPeers) Query(context.Context, string, *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return nil, io.EOF
}

// startServer starts the operator HTTP API and returns a client with RoleChange and one with RoleRead.
func startServer(t *testing.T) (changer, reader *admin.Client) {
	t.Helper()
	m := &memory{current: (&policy.Configuration{Version: 1}).Clone()}
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests.accepted", registry).Inc(7)
	metrics.GetOrRegisterTimer("first-token", registry).Update(2e9)
	handler := admin.NewHandler(admin.Options{
		Ready: func() (bool, string) { return false, "starting" },
		Tokens: []admin.Token{
			{Operator: "ann", Role: admin.RoleChange, SHA256: policy.HashKey("token-ann")},
			{Operator: "bob", Role: admin.RoleRead, SHA256: policy.HashKey("token-bob")},
		},
		States: []admin.StateProvider{
			admin.StateFunc{Part: "small", Get: func() any { return map[string]int{"count": 3} }},
			admin.StateFunc{Part: "large", Get: func() any { return strings.Repeat("x", 5<<20) }},
			admin.StateFunc{Part: "broken", Get: func() any { return math.NaN() }},
		},
		Queries:              query.NewEngine("vm-1", classSource{m}, noPeers{}),
		Commands:             command.NewExecutor(m, nil),
		CurrentConfiguration: func() *policy.Configuration { return m.current },
		Metrics:              registry,
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return &admin.Client{BaseURL: server.URL, Token: "token-ann"}, &admin.Client{BaseURL: server.URL, Token: "token-bob"}
}

func get(t *testing.T, client *admin.Client, path string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, client.BaseURL+path, nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+client.Token)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(text)
}

func TestQueriesAndCommands(t *testing.T) {
	changer, reader := startServer(t)
	dry, err := changer.Command(t.Context(), "create class kiosk priority=3", true)
	require.NoError(t, err)
	require.True(t, dry.DryRun)
	result, err := changer.Command(t.Context(), "create class kiosk priority=3", false)
	require.NoError(t, err)
	require.Equal(t, "version 2 is accepted", result.Message)
	queried, err := reader.Query(t.Context(), "show classes")
	require.NoError(t, err)
	require.Equal(t, []query.Row{query.Class{Name: "kiosk"}}, queried.Rows)
}

func TestConfigurationExportAndApply(t *testing.T) {
	changer, reader := startServer(t)
	text, err := os.ReadFile("../policy/testdata/configuration.yaml")
	require.NoError(t, err)
	_, err = reader.Apply(t.Context(), text, false)
	require.True(t, apierror.Is(err, apierror.KindForbidden))
	_, err = changer.Apply(t.Context(), text, false)
	require.NoError(t, err)
	exported, err := reader.Configuration(t.Context())
	require.NoError(t, err)
	result, err := changer.Apply(t.Context(), exported, true)
	require.NoError(t, err)
	require.Empty(t, result.Changes)
	_, err = changer.Apply(t.Context(), []byte("classes: 3"), false)
	require.True(t, apierror.Is(err, apierror.KindBadRequest))
}

func TestInvalidStatementsAndTokensAreRejected(t *testing.T) {
	changer, reader := startServer(t)
	_, err := reader.Command(t.Context(), "create class kiosk", false)
	require.True(t, apierror.Is(err, apierror.KindForbidden))
	_, err = (&admin.Client{BaseURL: reader.BaseURL, Token: "guess"}).Query(t.Context(), "show classes")
	require.True(t, apierror.Is(err, apierror.KindUnauthenticated))
	_, err = (&admin.Client{BaseURL: reader.BaseURL}).Query(t.Context(), "show classes")
	require.True(t, apierror.Is(err, apierror.KindUnauthenticated))
	_, err = reader.Query(t.Context(), "create class kiosk")
	require.True(t, apierror.Is(err, apierror.KindBadRequest))
	_, err = changer.Command(t.Context(), "show classes", false)
	require.True(t, apierror.Is(err, apierror.KindBadRequest))
	_, err = reader.Query(t.Context(), "show nothing")
	require.Contains(t, err.Error(), "use one of")
	_, err = reader.Query(t.Context(), strings.Repeat("x", 2<<20))
	require.True(t, apierror.Is(err, apierror.KindTooLarge))
}

func TestHealthReadinessMetricsAndState(t *testing.T) {
	_, reader := startServer(t)
	anonymous := &admin.Client{BaseURL: reader.BaseURL}
	status, _ := get(t, anonymous, admin.PathHealth)
	require.Equal(t, http.StatusOK, status)
	status, text := get(t, anonymous, admin.PathReady)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "starting\n", text)
	for _, path := range []string{admin.PathMetrics, admin.PathState, admin.PathConfiguration} {
		status, _ = get(t, anonymous, path)
		require.Equal(t, http.StatusUnauthorized, status, path)
	}
	_, text = get(t, reader, admin.PathMetrics)
	require.Contains(t, text, "godwitcart_requests_accepted_total 7\n")
	require.Contains(t, text, `godwitcart_first_token_seconds{quantile="0.5"} 2`)
	require.Contains(t, text, "go_goroutines")
	_, text = get(t, reader, admin.PathState)
	require.Contains(t, text, `"count": 3`)
	require.Contains(t, text, `"omitted": "too large; use queries"`)
	require.Contains(t, text, `NaN`)
}
