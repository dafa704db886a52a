package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/claim"
	"godwitcart/internal/dispatch"
	"godwitcart/internal/gateway"
	"godwitcart/internal/gateway/answer"
	"godwitcart/internal/object/objecttest"
	"godwitcart/internal/policy"
	"godwitcart/internal/request"
	"godwitcart/internal/retrybudget"
	"godwitcart/internal/stand/engine"
	"godwitcart/internal/stand/service"
	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

const (
	acmeKey  = "acme-secret"
	otherKey = "other-secret"
)

const testConfiguration = `
version: 1
services:
  godwit-lm: {kind: engine, runs: [{model: sheet}]}
  letters: {kind: engine, non_idempotent: true, runs: [{model: letter}]}
  counter-api: {kind: plain}
classes:
  standard: {priority: 10}
  paid: {priority: 20}
models:
  sheet: {versions: ["1"]}
  letter: {versions: ["1"]}
accounts:
  acme: {key_hashes: [%ACME%], share: 1, classes: [standard, paid]}
  other: {key_hashes: [%OTHER%], share: 1, classes: [standard]}
`

// fixedPolicy is a policy with a constant configuration.
type fixedPolicy struct{ index *policy.Index }

func (p fixedPolicy) Index() *policy.Index { return p.index }

func (p fixedPolicy) Decide(query policy.Query) (policy.Decision, error) {
	return p.index.Decide(query)
}

func newPolicy(t testing.TB) fixedPolicy {
	t.Helper()
	text := strings.NewReplacer("%ACME%", policy.HashKey(acmeKey), "%OTHER%", policy.HashKey(otherKey)).Replace(testConfiguration)
	configuration, err := policy.Parse([]byte(text))
	require.NoError(t, err)
	return fixedPolicy{index: policy.NewIndex(configuration)}
}

// orderedPlacer chooses the first target of the service that is not excluded.
type orderedPlacer map[string][]target.Address

type fixedPlacement struct{ address target.Address }

func (p fixedPlacement) Address() target.Address  { return p.address }
func (p fixedPlacement) Reason() string           { return "first in order" }
func (p fixedPlacement) Progress(int)             {}
func (p fixedPlacement) Preempted()               {}
func (p fixedPlacement) Release(dispatch.Outcome) {}

func (p orderedPlacer) Place(_ context.Context, r *request.Request, excluded []string, _ bool) (dispatch.Placement, error) {
	for _, address := range p[r.Service] {
		if !slices.Contains(excluded, address.Name) {
			return fixedPlacement{address: address}, nil
		}
	}
	return nil, apierror.New(apierror.KindOverloaded, "no target is left", "retry later").WithRetryAfter(time.Second)
}

// blockingPlacer is the placer of one entry VM. While full is set, it finds no target with free capacity and blocks.
type blockingPlacer struct {
	orderedPlacer
	full *atomic.Bool
}

func (p blockingPlacer) Place(ctx context.Context, r *request.Request, excluded []string, retry bool) (dispatch.Placement, error) {
	if p.full.Load() {
		<-ctx.Done()
		return nil, apierror.Wrap(context.Cause(ctx), apierror.KindOverloaded, "no target has free capacity", "retry later")
	}
	return p.orderedPlacer.Place(ctx, r, excluded, retry)
}

// Locate implements dispatch.Locator.
func (p orderedPlacer) Locate(name string) (target.Address, bool) {
	for _, addresses := range p {
		for _, address := range addresses {
			if address.Name == name {
				return address, true
			}
		}
	}
	return target.Address{}, false
}

// harness runs the gateways of two entry VMs with stand-in engines and stand-in plain services.
type harness struct {
	t       testing.TB
	engines []*engine.Engine
	service *service.Service
	// secondService is a second target of the plain service.
	secondService *service.Service
	placer        orderedPlacer
	sealer        *request.Sealer
	policy        fixedPolicy
	store         *objecttest.Store
	entryVMs      []*httptest.Server
	gateways      []*gateway.Gateway
	claimManagers []*claim.Manager
	// deadline is Options.DefaultDeadline of gateways that are added later.
	deadline time.Duration
	// full marks all targets as full for the entry VM of the same index.
	full []*atomic.Bool
}

const (
	testEngines  = 2
	testEntryVMs = 2
)

func newHarness(t testing.TB) *harness {
	t.Helper()
	sealer, err := request.NewSealer([][]byte{bytes.Repeat([]byte{7}, request.MinCursorKeyBytes)})
	require.NoError(t, err)
	h := &harness{t: t, placer: orderedPlacer{}, sealer: sealer, policy: newPolicy(t), store: objecttest.NewStore()}
	for i := range testEngines {
		h.addEngine("engine-" + string(rune('a'+i)))
	}
	h.service = h.addService("counter-a")
	h.secondService = h.addService("counter-b")
	for range testEntryVMs {
		h.addEntryVM()
	}
	return h
}

func (h *harness) addEngine(name string) {
	standIn := engine.New(engine.Options{
		Name: name, Text: engine.TextAttempt, StepBase: time.Millisecond, StepPerSequence: time.Microsecond,
		MedianTokens: 20, Sigma: 0.1, Loaded: []enginewire.ModelVariant{{Model: "sheet"}, {Model: "letter"}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go standIn.Run(ctx)
	server := httptest.NewServer(standIn.Handler())
	h.t.Cleanup(func() {
		cancel()
		server.CloseClientConnections()
		server.Close()
	})
	h.engines = append(h.engines, standIn)
	address := target.Address{Name: name, HostPort: server.Listener.Addr().String()}
	h.placer["godwit-lm"] = append(h.placer["godwit-lm"], address)
	h.placer["letters"] = append(h.placer["letters"], address)
}

func (h *harness) addService(name string) *service.Service {
	standIn := service.New(service.Options{Name: name})
	server := httptest.NewServer(standIn.Handler())
	h.t.Cleanup(func() {
		standIn.SetFaults(service.Faults{})
		server.CloseClientConnections()
		server.Close()
	})
	address := target.Address{Name: name, HostPort: server.Listener.Addr().String()}
	h.placer["counter-api"] = append(h.placer["counter-api"], address)
	return standIn
}

func (h *harness) addEntryVM() {
	timeouts := target.Timeouts{Connect: time.Second, ResponseHeader: time.Second, Progress: time.Second, TokenGap: time.Second}
	full := new(atomic.Bool)
	h.full = append(h.full, full)
	claims := claim.NewManager(claim.Options{Store: h.store})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = claims.Run(ctx) })
	h.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	dispatcher := dispatch.New(dispatch.Options{
		Engines: target.NewEngineClient(timeouts), Plain: target.NewPlainClient(timeouts),
		Placer: blockingPlacer{orderedPlacer: h.placer, full: full},
		Claims: claims, Locator: h.placer,
		Budget: retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultSlack), VM: "vm", ResumeWindow: 10 * time.Second, NewID: rand.Text,
	})
	entryGateway := gateway.New(gateway.Options{
		Policy: h.policy, Dispatcher: dispatcher, Registry: request.NewRegistry(), Sealer: h.sealer, MaxBodyBytes: 1 << 16,
		DefaultDeadline: h.deadline,
	})
	server := newCallerServer(entryGateway)
	h.t.Cleanup(server.Close)
	h.entryVMs = append(h.entryVMs, server)
	h.gateways = append(h.gateways, entryGateway)
	h.claimManagers = append(h.claimManagers, claims)
}

// newCallerServer returns a started server that is configured as that of the daemon.
func newCallerServer(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = answer.WithConnection
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetHTTP1(true)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	return server
}

// call is one request to an entry VM.
type call struct {
	entryVM int
	method  string
	path    string
	body    string
	key     string
	header  map[string]string
}

func (h *harness) do(c call) *http.Response {
	h.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	if c.key == "" {
		c.key = acmeKey
	}
	outbound, err := http.NewRequest(c.method, h.entryVMs[c.entryVM].URL+c.path, strings.NewReader(c.body))
	require.NoError(h.t, err)
	outbound.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range c.header {
		outbound.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(outbound)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { response.Body.Close() })
	response.Body = &bufferedBody{Reader: bufio.NewReader(response.Body), Closer: response.Body}
	return response
}

// bufferedBody keeps data that was read ahead, so that a stream can be read in several calls.
type bufferedBody struct {
	*bufio.Reader
	io.Closer
}

// event is one server-sent event as a caller reads it.
type event struct {
	name string
	id   string
	data string
}

// text returns the token text of a completion chunk.
func (e event) text(t testing.TB) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	require.NoError(t, json.Unmarshal([]byte(e.data), &chunk))
	if len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// readEvents reads up to limit events, or fewer if the stream ends.
func readEvents(t testing.TB, body io.ReadCloser, limit int) []event {
	t.Helper()
	var events []event
	var current event
	lines := body.(*bufferedBody).Reader
	for len(events) < limit {
		line, err := lines.ReadString('\n')
		if err != nil {
			return events
		}
		line = strings.TrimSuffix(line, "\n")
		switch {
		case strings.HasPrefix(line, "id: "):
			current.id = line[len("id: "):]
		case strings.HasPrefix(line, "event: "):
			current.name = line[len("event: "):]
		case strings.HasPrefix(line, "data: "):
			current.data = line[len("data: "):]
		case line == "" && current.data != "":
			events = append(events, current)
			current = event{}
		}
	}
	return events
}

// requireCompleteGeneration checks that text consists of the tokens 0 to count-1 of one attempt, once and in order.
// It returns the attempt's id.
func requireCompleteGeneration(t testing.TB, text string, count int) string {
	t.Helper()
	fields := strings.Fields(text)
	require.Len(t, fields, count)
	attempt, _, _ := strings.Cut(fields[0], ":")
	for i, field := range fields {
		require.Equal(t, attempt+":"+itoa(i), field)
	}
	return attempt
}

func itoa(n int) string {
	text, _ := json.Marshal(n)
	return string(text)
}

// digestOf returns the digest of a body as the gateway stores it in claims.
func digestOf(body string) string {
	return strconv.FormatUint(xxhash.Sum64String(body), 16) + "-" + strconv.Itoa(len(body))
}

func (h *harness) engineAttempts() []engine.AttemptRecord {
	var attempts []engine.AttemptRecord
	for _, standIn := range h.engines {
		attempts = append(attempts, standIn.Activity().Attempts...)
	}
	return attempts
}

// Timeout and interval of require.Eventually.
const (
	eventuallyTimeout = 10 * time.Second
	pollInterval      = 20 * time.Millisecond
)
