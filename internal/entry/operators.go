package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/admin"
	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/query"
)

// operatorsHandler serves the metrics without authentication, and queries about requests to operators with a token.
func (e *Entry) operatorsHandler() http.Handler {
	s := e.settings.Load()
	mux := http.NewServeMux()
	mux.Handle("GET "+admin.PathMetrics, admin.NewMetricsHandler(metrics.DefaultRegistry))
	mux.Handle("/", admin.NewHandler(admin.Options{
		Ready: e.Ready, Tokens: admin.TokensFromSettings(s.Operators.Tokens), Queries: query.NewEngine(s.VM.Name, &trailSource{entry: e}, noPeers{}), States: e.operatorStates(),
	}))
	return mux
}

// operatorStates returns the parts of the state dump.
func (e *Entry) operatorStates() []admin.StateProvider {
	if e.evacuations == nil {
		return nil
	}
	return []admin.StateProvider{admin.StateFunc{Part: "zones_in_evacuation", Get: func() any { return e.evacuations.Status(time.Now()) }}}
}

// trailSource answers operators' queries from the trail of the requests that this VM has served.
type trailSource struct{ entry *Entry }

// Rows implements query.Source. An entry VM has no tables; their data is on the platform.
func (t *trailSource) Rows(_ context.Context, table string) ([]query.Row, error) {
	return nil, apierror.Newf(apierror.KindNotFound, "ask \"explain REQUEST\", or read the metrics", "an entry VM of a deployment keeps no table %s", table)
}

// Explain implements query.Source.
func (t *trailSource) Explain(_ context.Context, id string) (query.Timeline, bool) {
	steps, found := t.entry.trail.Steps(id)
	if !found {
		return query.Timeline{}, false
	}
	s := t.entry.settings.Load()
	timeline := query.Timeline{Request: query.Request{ID: id, VM: s.VM.Name, Zone: s.VM.Zone}}
	first, last := steps[0], steps[len(steps)-1]
	timeline.Request.State = last.Message
	timeline.Request.Age = query.Duration(time.Since(first.At))
	timeline.Request.Since = query.Duration(time.Since(last.At))
	for _, step := range steps {
		timeline.Steps = append(timeline.Steps, query.Step{At: step.At, State: step.Message, Reason: step.Detail})
	}
	return timeline, true
}

// noPeers is an empty query.Peers: a request is known only to the VM that served it, which its log line names.
type noPeers struct{}

// VMs implements query.Peers.
func (noPeers) VMs() []string { return nil }

// Query implements query.Peers.
func (noPeers) Query(context.Context, string, *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return nil, apierror.New(apierror.KindInternal, "entry VMs of a deployment do not ask each other", "ask each of them")
}
