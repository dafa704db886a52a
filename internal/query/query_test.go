package query_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/query"
)

// fixedSource is a Source with constant rows and timelines.
type fixedSource struct {
	rows      map[string][]query.Row
	timelines map[string]query.Timeline
}

func (s fixedSource) Rows(_ context.Context, table string) ([]query.Row, error) {
	return s.rows[table], nil
}

func (s fixedSource) Explain(_ context.Context, id string) (query.Timeline, bool) {
	timeline, found := s.timelines[id]
	return timeline, found
}

// directPeers calls the engines of other VMs directly; a VM with a nil engine is unreachable.
type directPeers map[string]*query.Engine

func (p directPeers) VMs() []string {
	var names []string
	for name := range p {
		names = append(names, name)
	}
	return names
}

func (p directPeers) Query(ctx context.Context, vm string, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	if p[vm] == nil {
		return nil, errors.New("connection refused")
	}
	return p[vm].Query(ctx, request)
}

func requestRow(id, vm, state, class string, age time.Duration, tokens int) query.Row {
	return query.Request{ID: id, VM: vm, State: state, Class: class, Account: "acme", Age: query.Duration(age), Tokens: tokens}
}

func newEngines() *query.Engine {
	first := fixedSource{
		rows: map[string][]query.Row{
			query.TableRequests: {
				requestRow("r1", "vm-1", "waiting", "counter", 90*time.Second, 0),
				requestRow("r2", "vm-1", "streaming", "batch", 2*time.Second, 40),
			},
			query.TableServices: {
				query.Service{Name: "drafter", Kind: "engine", Runs: []string{"m@v1", "m@v2"}, NonIdempotent: true},
				query.Service{Name: "cardstat", Kind: "plain"},
			},
			query.TableHistory: {
				query.Version{Version: 1, At: time.Date(2026, 3, 1, 6, 0, 0, 0, time.UTC), Operator: "seed"},
				query.Version{Version: 2, At: time.Date(2026, 3, 2, 6, 0, 0, 0, time.UTC), Operator: "ann"},
			},
		},
	}
	second := fixedSource{
		rows:      map[string][]query.Row{query.TableRequests: {requestRow("r3", "vm-2", "waiting", "counter", 3*time.Minute, 0)}},
		timelines: map[string]query.Timeline{"r3": {Steps: []query.Step{{State: "waiting", Reason: "received"}}}},
	}
	peers := directPeers{"vm-2": query.NewEngine("vm-2", second, directPeers{}), "vm-3": nil}
	return query.NewEngine("vm-1", first, peers)
}

func runQuery(t *testing.T, text string) (*query.Result, error) {
	t.Helper()
	statement, err := language.Parse(text)
	require.NoError(t, err)
	result, err := newEngines().Execute(t.Context(), statement.Query)
	if err != nil {
		return nil, err
	}
	// Encode and decode the result, because godwitctl receives it as JSON.
	encoded, err := json.Marshal(result)
	require.NoError(t, err)
	decoded := &query.Result{}
	require.NoError(t, json.Unmarshal(encoded, decoded))
	return decoded, nil
}

func TestQueries(t *testing.T) {
	cases := map[string][]string{
		`show requests`: {"r1", "r2", "r3"},
		`show requests where state = waiting order by age desc`:         {"r3", "r1"},
		`show requests where state = waiting order by age desc limit 1`: {"r3"},
		`show requests where age > 1m and age < 2m`:                     {"r1"},
		`show requests where tokens >= 40`:                              {"r2"},
		`show requests where id != r1 and vm ~ VM`:                      {"r2", "r3"},
		`show requests order by class, id desc`:                         {"r2", "r3", "r1"},
		`show services where runs = m@v2`:                               {"drafter"},
		`show services where non_idempotent = false`:                    {"cardstat"},
		`show history`: {"2", "1"},
		`show history where at > "2026-03-01T12:00:00Z"`: {"2"},
		`count requests`:                      {"3"},
		`count requests by class, state`:      {"counter waiting 2", "batch streaming 1"},
		`count requests where state = failed`: {"0"},
		`count services by kind`:              {"engine 1", "plain 1"},
		`explain r3`:                          {"0001-01-01T00:00:00Z waiting   received"},
	}
	for text, want := range cases {
		result, err := runQuery(t, text)
		require.NoError(t, err, text)
		cells, err := result.Cells()
		require.NoError(t, err, text)
		var got []string
		for _, line := range cells {
			require.Len(t, line, len(result.Columns), text)
			if strings.HasPrefix(text, "show") {
				line = line[:1]
			}
			got = append(got, strings.Join(line, " "))
		}
		require.Equal(t, want, got, text)
	}
}

func TestResultListsUnreachableVMs(t *testing.T) {
	result, err := runQuery(t, `show requests limit 2`)
	require.NoError(t, err)
	require.True(t, result.Truncated)
	require.Equal(t, []query.Unreachable{{VM: "vm-3", Reason: "connection refused"}}, result.Unreachable)
	_, err = runQuery(t, `explain r9`)
	require.True(t, apierror.Is(err, apierror.KindNotFound))
	require.Contains(t, err.Error(), "vm-3")
}

func TestQueryRejectsUnknownNamesAndValues(t *testing.T) {
	cases := map[string]string{
		`show tables`:                               `use one of requests, targets`,
		`show classes where rank = 1`:               `use one of name, priority, deadline`,
		`show classes order by rank`:                `has no column "rank"`,
		`count classes by rank`:                     `has no column "rank"`,
		`show classes where priority = high`:        `write a number`,
		`show classes where deadline > 5`:           `write a length of time`,
		`show history where at > yesterday`:         `write a time`,
		`show services where checks_fencing < true`: `write = true`,
		`show services where runs > m`:              `holds the value`,
	}
	for text, want := range cases {
		_, err := runQuery(t, text)
		require.True(t, apierror.Is(err, apierror.KindBadRequest), text)
		require.Contains(t, err.Error(), want, text)
	}
}
