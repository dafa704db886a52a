package forward

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/delivery"
	"godwitcart/internal/lengths"
	"godwitcart/internal/placement"
	"godwitcart/internal/policy"
	"godwitcart/internal/roster"
	"godwitcart/internal/trail"
)

// newTestStream returns a stream that has ended, and the table of its targets.
func newTestStream(targets ...roster.Target) (*stream, *placement.Table) {
	table := placement.NewTable(placement.Options{})
	listed := make(map[string]roster.Target)
	for _, target := range targets {
		listed[target.ID] = target
	}
	table.ReplaceTargets(listed, time.Now())
	f := New(Options{Table: table, Lengths: lengths.NewEstimator(0), Logger: log.New(io.Discard), Trail: trail.New()})
	request := httptest.NewRequest("POST", "/letters/1", nil)
	x := &exchange{Forwarder: f, caller: delivery.New(httptest.NewRecorder(), request), call: &Call{ID: "call", Prompt: Prompt{Tokens: 500}}, route: &policy.Route{Streaming: true}}
	x.service = policy.RoutedService{Name: "drafter", Engine: &policy.Engine{KVCacheTokens: 30000}}
	return &stream{exchange: x, ctx: context.Background()}, table
}

// TestAnswerBeginsDuringAMove guards against a data race: a move or a takeover asks whether the caller has the head of the answer while it is sent.
func TestAnswerBeginsDuringAMove(t *testing.T) {
	s, _ := newTestStream()
	moved := make(chan struct{})
	go func() {
		defer close(moved)
		s.query()
	}()
	require.NoError(t, s.caller.WriteError(apierror.New(apierror.KindNotRun, "refused", "try again")))
	<-moved
}

// TestEndedStreamKeepsPlaces guards against a place that is never freed: the caller leaves while a move or a takeover is in progress, which then
// reserves a place for a stream that has ended.
func TestEndedStreamKeepsPlaces(t *testing.T) {
	engine := roster.Target{ID: "e1", Service: "drafter", Address: "127.0.0.1:1", Slots: 24}
	t.Run("backup", func(t *testing.T) {
		s, table := newTestStream(engine)
		s.release()
		s.restoreBackup(engine)
		require.Empty(t, table.OwnLoads())
	})
	t.Run("move", func(t *testing.T) {
		s, table := newTestStream(engine)
		lease := table.ReserveLeaving(engine, s.query(), time.Now())
		s.register(lease, &answer{})
		s.relocate(engine, func() *continuation {
			s.unregister()
			lease.Done(placement.Canceled, time.Now())
			s.release()
			return &continuation{lease: table.ReserveLeaving(engine, s.query(), time.Now())}
		})
		require.Empty(t, table.OwnLoads())
	})
}
