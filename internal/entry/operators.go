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

// operatorsHandler serves the metrics to all, and to operators with a token what was decided about a request.
func (e *Entry) operatorsHandler() http.Handler {
	s := e.settings.Load()
	mux := http.NewServeMux()
	mux.Handle("GET "+admin.PathMetrics, admin.NewMetricsHandler(metrics.DefaultRegistry))
	mux.Handle("/", admin.NewHandler(admin.Options{
		Ready: e.Ready, Tokens: admin.TokensOf(s.Operators.Tokens), Queries: query.NewEngine(s.VM.Name, &decisions{entry: e}, noPeers{}),
	}))
	return mux
}

// decisions answers operators' queries about the requests that this VM has had.
type decisions struct{ entry *Entry }

// Rows implements query.Source. What other tables hold is on the platform.
func (d *decisions) Rows(_ context.Context, table string) ([]query.Row, error) {
	return nil, apierror.Newf(apierror.KindNotFound, "ask \"explain REQUEST\", or read the metrics", "an entry VM of a deployment keeps no table %s", table)
}

// Explain implements query.Source.
func (d *decisions) Explain(_ context.Context, id string) (query.Life, bool) {
	steps, found := d.entry.trail.Find(id)
	if !found {
		return query.Life{}, false
	}
	s := d.entry.settings.Load()
	life := query.Life{Request: query.Request{ID: id, VM: s.VM.Name, Zone: s.VM.Zone}}
	first, last := steps[0], steps[len(steps)-1]
	life.Request.State = last.Message
	life.Request.Age = query.Duration(time.Since(first.At))
	life.Request.Since = query.Duration(time.Since(last.At))
	for _, step := range steps {
		life.Steps = append(life.Steps, query.Step{At: step.At, State: step.Message, Reason: step.Detail})
	}
	return life, true
}

// noPeers is a query.Peers without any: a request is known to the VM that served it, which its log line names.
type noPeers struct{}

// VMs implements query.Peers.
func (noPeers) VMs() []string { return nil }

// Query implements query.Peers.
func (noPeers) Query(context.Context, string, *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	return nil, apierror.New(apierror.KindInternal, "entry VMs of a deployment do not ask each other", "ask each of them")
}
