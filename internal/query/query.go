// Package query executes operators' queries on typed tables. Queries are read-only.
//
// A VM evaluates a query on its own rows. For a table with rows on every VM, it also sends the query to all of its
// peers, merges their results and lists the peers that could not be reached.
package query

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/peer/peerpb"
)

// peerTimeout limits the wait for the results of the peers.
const peerTimeout = 2 * time.Second

// Source supplies the rows of this VM.
type Source interface {
	// Rows returns the rows of a table, all of the row type of that table.
	Rows(ctx context.Context, table string) ([]Row, error)
	// Explain returns the timeline of a request and whether this VM knows the request.
	Explain(ctx context.Context, request string) (Timeline, bool)
}

// Peers sends queries to the other entry VMs.
type Peers interface {
	// VMs returns the names of the other entry VMs that are expected to be live.
	VMs() []string
	Query(ctx context.Context, vm string, request *peerpb.QueryRequest) (*peerpb.QueryReply, error)
}

// Engine executes queries on one VM. It is safe for concurrent use.
type Engine struct {
	vm     string
	source Source
	peers  Peers
}

// NewEngine returns an Engine for the VM with the given name.
func NewEngine(vm string, source Source, peers Peers) *Engine {
	return &Engine{vm: vm, source: source, peers: peers}
}

// Execute executes a query. It includes the rows of all reachable VMs if the table has rows on every VM.
func (e *Engine) Execute(ctx context.Context, query *language.Query) (*Result, error) {
	if query.Explain != nil {
		return e.explain(ctx, query)
	}
	p, err := newPlan(query)
	if err != nil {
		return nil, err
	}
	localResult, err := e.evaluateLocally(ctx, p)
	if err != nil || !p.table.PerVM {
		return localResult, err
	}
	results, unreachable := e.queryPeers(ctx, query)
	merged := p.merge(append(results, localResult))
	merged.Unreachable = unreachable
	return merged, nil
}

func (e *Engine) evaluateLocally(ctx context.Context, p *plan) (*Result, error) {
	rows, err := e.source.Rows(ctx, p.table.Name)
	if err != nil {
		return nil, err
	}
	return p.evaluate(rows), nil
}

func (e *Engine) explain(ctx context.Context, query *language.Query) (*Result, error) {
	id := query.Explain.Request
	if timeline, found := e.source.Explain(ctx, id); found {
		return timelineResult(timeline), nil
	}
	results, unreachable := e.queryPeers(ctx, query)
	for _, result := range results {
		if result.Timeline != nil {
			result.Unreachable = unreachable
			return result, nil
		}
	}
	remedy := "check the id; ended requests are remembered for a short time"
	if len(unreachable) > 0 {
		remedy = "ask again when these VMs can be reached: " + vmNames(unreachable)
	}
	return nil, apierror.Newf(apierror.KindNotFound, remedy, "no VM that can be reached knows the request %q", id)
}

func vmNames(unreachable []Unreachable) string {
	list := make([]string, 0, len(unreachable))
	for _, vm := range unreachable {
		list = append(list, vm.VM)
	}
	return strings.Join(list, ", ")
}

func timelineResult(timeline Timeline) *Result {
	return &Result{Table: TableRequests, Columns: timelineColumns, Timeline: &timeline}
}

// queryPeers sends the query to all peers in parallel.
func (e *Engine) queryPeers(ctx context.Context, query *language.Query) ([]*Result, []Unreachable) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &peerpb.QueryRequest{Text: query.String()}
	var mu sync.Mutex
	var results []*Result
	var unreachable []Unreachable
	var group sync.WaitGroup
	for _, vm := range e.peers.VMs() {
		group.Go(func() {
			result, err := e.queryPeer(ctx, vm, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, Unreachable{VM: vm, Reason: err.Error()})
				return
			}
			results = append(results, result)
		})
	}
	group.Wait()
	slices.SortFunc(unreachable, func(a, b Unreachable) int { return strings.Compare(a.VM, b.VM) })
	return results, unreachable
}

func (e *Engine) queryPeer(ctx context.Context, vm string, request *peerpb.QueryRequest) (*Result, error) {
	reply, err := e.peers.Query(ctx, vm, request)
	if err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	result := &Result{}
	return result, json.Unmarshal(reply.Rows, result)
}

// Query executes a peer's query on the rows of this VM only. QueryReply.Rows holds the Result as JSON.
func (e *Engine) Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	reply := &peerpb.QueryReply{Vm: e.vm}
	result, err := e.evaluateForPeer(ctx, request.Text)
	if err == nil {
		reply.Rows, err = json.Marshal(result)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply, nil
}

func (e *Engine) evaluateForPeer(ctx context.Context, text string) (*Result, error) {
	statement, err := language.Parse(text)
	if err != nil {
		return nil, err
	}
	if statement.Query == nil {
		return nil, apierror.New(apierror.KindBadRequest, "the text is a command", "send it as a command")
	}
	if statement.Query.Explain != nil {
		if timeline, found := e.source.Explain(ctx, statement.Query.Explain.Request); found {
			return timelineResult(timeline), nil
		}
		return &Result{Table: TableRequests, Columns: timelineColumns}, nil
	}
	p, err := newPlan(statement.Query)
	if err != nil {
		return nil, err
	}
	return e.evaluateLocally(ctx, p)
}
