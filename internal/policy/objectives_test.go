package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestGenerationObjectives: only routes whose requests hold memory of engines compete for it.
func TestGenerationObjectives(t *testing.T) {
	route := func(objective time.Duration, generations bool, services ...string) Route {
		r := Route{Host: "a.example", PathPrefix: "/", LatencyObjective: objective, Generations: generations}
		for _, service := range services {
			r.Destinations = append(r.Destinations, Destination{Service: service, Weight: 1})
		}
		return r
	}
	table := BuildRouteTable(RouteTableParts{
		Services: []RoutedService{{Name: "engines", Engine: &Engine{}}, {Name: "plain"}},
		Routes: []Route{
			route(1500*time.Millisecond, true, "engines"), route(4*time.Second, true, "plain", "engines"),
			route(9*time.Second, false, "engines"), route(0, true, "engines"), route(time.Second, true, "unknown"),
		},
	})
	require.Equal(t, map[string]ObjectiveRange{"engines": {Tightest: 1500 * time.Millisecond, Loosest: 4 * time.Second}}, table.GenerationObjectives())
}
