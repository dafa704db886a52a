// Package query answers operators' queries from typed tables. It changes nothing.
//
// A VM answers from its own rows; for a table whose rows are spread over the VMs it asks
// all of its peers, and names in the answer those that could not be reached.
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

// peerTimeout bounds the wait for one peer's part of an answer.
const peerTimeout = 2 * time.Second

// Source supplies the rows of this VM.
type Source interface {
	// Rows returns the rows of a table; all of them have the table's row type.
	Rows(ctx context.Context, table string) ([]Row, error)
	// Explain returns the life of a request that this VM knows.
	Explain(ctx context.Context, request string) (Life, bool)
}

// Peers asks the other entry VMs.
type Peers interface {
	// VMs names the other entry VMs that should be live.
	VMs() []string
	Query(ctx context.Context, vm string, request *peerpb.QueryRequest) (*peerpb.QueryReply, error)
}

// Engine answers queries on one VM. It is safe for concurrent use.
type Engine struct {
	vm     string
	source Source
	peers  Peers
}

// NewEngine returns the Engine of a VM.
func NewEngine(vm string, source Source, peers Peers) *Engine {
	return &Engine{vm: vm, source: source, peers: peers}
}

// Ask answers a query from all VMs that can be reached.
func (e *Engine) Ask(ctx context.Context, query *language.Query) (*Answer, error) {
	if query.Explain != nil {
		return e.explain(ctx, query)
	}
	p, err := newPlan(query)
	if err != nil {
		return nil, err
	}
	own, err := e.local(ctx, p)
	if err != nil || !p.table.Everywhere {
		return own, err
	}
	answers, unreachable := e.askPeers(ctx, query)
	merged := p.merge(append(answers, own))
	merged.Unreachable = unreachable
	return merged, nil
}

func (e *Engine) local(ctx context.Context, p *plan) (*Answer, error) {
	rows, err := e.source.Rows(ctx, p.table.Name)
	if err != nil {
		return nil, err
	}
	return p.answer(rows), nil
}

func (e *Engine) explain(ctx context.Context, query *language.Query) (*Answer, error) {
	id := query.Explain.Request
	if life, found := e.source.Explain(ctx, id); found {
		return lifeAnswer(life), nil
	}
	answers, unreachable := e.askPeers(ctx, query)
	for _, answer := range answers {
		if answer.Life != nil {
			answer.Unreachable = unreachable
			return answer, nil
		}
	}
	remedy := "check the id; ended requests are remembered for a short time"
	if len(unreachable) > 0 {
		remedy = "ask again when these VMs can be reached: " + names(unreachable)
	}
	return nil, apierror.Newf(apierror.KindNotFound, remedy, "no VM that can be reached knows the request %q", id)
}

func names(unreachable []Unreachable) string {
	list := make([]string, 0, len(unreachable))
	for _, vm := range unreachable {
		list = append(list, vm.VM)
	}
	return strings.Join(list, ", ")
}

func lifeAnswer(life Life) *Answer {
	return &Answer{Table: TableRequests, Columns: lifeColumns, Life: &life}
}

// askPeers sends the query to all peers in parallel.
func (e *Engine) askPeers(ctx context.Context, query *language.Query) ([]*Answer, []Unreachable) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request := &peerpb.QueryRequest{Text: query.String()}
	var mu sync.Mutex
	var answers []*Answer
	var unreachable []Unreachable
	var group sync.WaitGroup
	for _, vm := range e.peers.VMs() {
		group.Go(func() {
			answer, err := e.askPeer(ctx, vm, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unreachable = append(unreachable, Unreachable{VM: vm, Reason: err.Error()})
				return
			}
			answers = append(answers, answer)
		})
	}
	group.Wait()
	slices.SortFunc(unreachable, func(a, b Unreachable) int { return strings.Compare(a.VM, b.VM) })
	return answers, unreachable
}

func (e *Engine) askPeer(ctx context.Context, vm string, request *peerpb.QueryRequest) (*Answer, error) {
	reply, err := e.peers.Query(ctx, vm, request)
	if err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, errors.New(reply.Error)
	}
	answer := &Answer{}
	return answer, json.Unmarshal(reply.Rows, answer)
}

// Query answers a peer from this VM's own rows; QueryReply.Rows holds an Answer as JSON.
func (e *Engine) Query(ctx context.Context, request *peerpb.QueryRequest) (*peerpb.QueryReply, error) {
	reply := &peerpb.QueryReply{Vm: e.vm}
	answer, err := e.answerPeer(ctx, request.Text)
	if err == nil {
		reply.Rows, err = json.Marshal(answer)
	}
	if err != nil {
		reply.Error = err.Error()
	}
	return reply, nil
}

func (e *Engine) answerPeer(ctx context.Context, text string) (*Answer, error) {
	statement, err := language.Parse(text)
	if err != nil {
		return nil, err
	}
	if statement.Query == nil {
		return nil, apierror.New(apierror.KindBadRequest, "the text is a command", "send it as a command")
	}
	if statement.Query.Explain != nil {
		if life, found := e.source.Explain(ctx, statement.Query.Explain.Request); found {
			return lifeAnswer(life), nil
		}
		return &Answer{Table: TableRequests, Columns: lifeColumns}, nil
	}
	p, err := newPlan(statement.Query)
	if err != nil {
		return nil, err
	}
	return e.local(ctx, p)
}
