package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/admin"
	"godwitcart/internal/daemon"
	"godwitcart/internal/policy"
	"godwitcart/internal/query"
	"godwitcart/internal/settings"
	"godwitcart/internal/stand/engine"
	"godwitcart/internal/stand/platform"
	"godwitcart/internal/stand/service"
	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/tlsconfig/tlstest"
	"godwitcart/internal/wire/enginewire"
	"godwitcart/internal/wire/platformwire"
)

const (
	apiKey        = "acme-secret-key"
	operatorToken = "operator-secret-token"
	secretPrompt  = "a prompt that nobody else may read"
	zone          = "regina-a"

	// The bounds of waiting for something that happens soon.
	patience = 30 * time.Second
	poll     = 50 * time.Millisecond
)

var cursorKey = strings.Repeat("5a", settings.CursorKeyBytes)

const seedConfiguration = `
version: 1
services:
  godwit-lm: {kind: engine, runs: [{model: sheet}]}
  counter-api: {kind: plain}
classes:
  standard: {priority: 10}
models:
  sheet: {versions: ["1"]}
accounts:
  acme: {key_hashes: [%KEY%], share: 1, classes: [standard]}
`

// fleet is a platform with two engines and a service, and the entry VMs that a test starts.
type fleet struct {
	t         *testing.T
	platform  *platform.Platform
	platURL   string
	engines   []*engine.Engine
	authority tlstest.Authority
	seed      string
	client    *http.Client
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t, platform: platform.New(platform.Options{Seed: 1}), authority: tlstest.NewAuthority(t)}
	f.platURL = "http://" + f.serve(f.platform.Handler())
	for _, name := range []string{"engine-a", "engine-b"} {
		f.addEngine(name)
	}
	f.addTarget("counter-a", "counter-api", service.New(service.Options{Name: "counter-a"}).Handler())
	f.seed = filepath.Join(t.TempDir(), "seed.yaml")
	text := strings.ReplaceAll(seedConfiguration, "%KEY%", policy.HashKey(apiKey))
	require.NoError(t, os.WriteFile(f.seed, []byte(text), 0o600))
	transport := &http.Transport{TLSClientConfig: f.trust(), ForceAttemptHTTP2: true}
	f.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	return f
}

// serve returns the address of a plain HTTP server that lasts as long as the test.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (f *fleet) addEngine(name string) {
	stand := engine.New(engine.Options{
		Name: name, Zone: zone, Text: engine.TextAttempt, Seed: 1, StepBase: time.Millisecond,
		StepPerSequence: time.Microsecond, MedianTokens: 200, Sigma: 0.01, Loaded: []enginewire.Loaded{{Model: "sheet"}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go stand.Run(ctx)
	f.t.Cleanup(cancel)
	f.engines = append(f.engines, stand)
	f.addTarget(name, "godwit-lm", stand.Handler())
}

func (f *fleet) addTarget(name, service string, handler http.Handler) {
	f.platform.PutVM(platformwire.VM{Name: name, Role: "target", Zone: zone, Service: service, Address: f.serve(handler)})
}

func (f *fleet) setSlow(factor float64) {
	for _, stand := range f.engines {
		stand.SetFaults(engine.Faults{Slow: factor})
	}
}

// attempts returns how many generations the engines have run.
func (f *fleet) attempts() int {
	count := 0
	for _, stand := range f.engines {
		count += len(stand.Ran().Attempts)
	}
	return count
}

// trust returns a client's TLS configuration without a certificate of its own.
func (f *fleet) trust() *tls.Config {
	text, err := os.ReadFile(f.authority.NewFiles(f.t, 2).CA)
	require.NoError(f.t, err)
	pool := x509.NewCertPool()
	require.True(f.t, pool.AppendCertsFromPEM(text))
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// vm is one running entry VM.
type vm struct {
	*daemon.Daemon
	fleet *fleet
	at    daemon.Addresses
	files tlsconfig.Files
	// ended receives what Run returned.
	ended chan error
}

func (f *fleet) settings(name string) (*settings.Settings, tlsconfig.Files) {
	files := f.authority.NewFiles(f.t, 10)
	digest := sha256.Sum256([]byte(operatorToken))
	s := settings.Default()
	s.VM = settings.VM{Name: name, Zone: zone, Region: "sk-south"}
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.TLS = &settings.TLS{Cert: files.Cert, Key: files.Key}
	s.Operators.TLS = s.Callers.TLS
	s.Operators.Tokens = []settings.Token{{Name: "alice", Role: settings.RoleChange, SHA256: hex.EncodeToString(digest[:])}}
	s.Peers.TLS = &settings.TLS{Cert: files.Cert, Key: files.Key, CA: files.CA}
	s.Platform.URL, s.Platform.ListInterval = f.platURL, 100*time.Millisecond
	s.CursorKeys, s.ConfigurationSeed = []string{cursorKey}, f.seed
	s.Drain.ReadinessDelay, s.Timeouts.TokenGap = 0, patience
	require.Empty(f.t, settings.Check(s))
	return s, files
}

// start runs an entry VM until the end of the test and adds it to the platform's list.
func (f *fleet) start(name string) *vm {
	f.t.Helper()
	s, files := f.settings(name)
	d, err := daemon.New(s, log.New(io.Discard))
	require.NoError(f.t, err)
	ctx, stop := context.WithCancel(context.Background())
	v := &vm{Daemon: d, fleet: f, files: files, ended: make(chan error, 1)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		v.ended <- d.Run(ctx)
	}()
	f.t.Cleanup(func() {
		stop()
		<-stopped
	})
	waiting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	v.at, err = d.Addresses(waiting)
	require.NoError(f.t, err)
	f.platform.PutVM(platformwire.VM{
		Name: name, Role: "entry", Zone: zone, Address: v.at.Callers, PeerAddress: v.at.Peers, AdminAddress: v.at.Operators,
	})
	return v
}

// startPair returns two entry VMs that are ready and know each other.
func startPair(t *testing.T) (f *fleet, a, b *vm) {
	t.Helper()
	f = newFleet(t)
	a, b = f.start("entry-a"), f.start("entry-b")
	for _, v := range []*vm{a, b} {
		eventually(t, func() bool { return v.readiness() == "ready" })
		eventually(t, func() bool { return len(v.query("show vms").Rows) == 2 })
	}
	return f, a, b
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, poll)
}

// readiness returns what the operators' listener says about being led callers.
func (v *vm) readiness() string {
	status, text := v.get(admin.PathReady)
	require.Equal(v.fleet.t, status == http.StatusOK, text == "ready")
	return text
}

func (v *vm) metrics() string {
	_, text := v.get(admin.PathMetrics)
	return text
}

// get asks the operators' listener.
func (v *vm) get(path string) (int, string) {
	outbound, err := http.NewRequest(http.MethodGet, "https://"+v.at.Operators+path, nil)
	require.NoError(v.fleet.t, err)
	outbound.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := v.fleet.client.Do(outbound)
	require.NoError(v.fleet.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(v.fleet.t, err)
	return response.StatusCode, strings.TrimSpace(string(text))
}

func (v *vm) operator() *admin.Client {
	return &admin.Client{BaseURL: "https://" + v.at.Operators, Token: operatorToken, HTTP: v.fleet.client}
}

func (v *vm) query(text string) *query.Answer {
	v.fleet.t.Helper()
	answer, err := v.operator().Query(v.fleet.t.Context(), text)
	require.NoError(v.fleet.t, err)
	return answer
}

// request returns a caller's request; headers are pairs of name and value.
func (v *vm) request(method, path, body string, headers ...string) *http.Request {
	v.fleet.t.Helper()
	outbound, err := http.NewRequest(method, "https://"+v.at.Callers+path, strings.NewReader(body))
	require.NoError(v.fleet.t, err)
	outbound.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		outbound.Header.Set(headers[i], headers[i+1])
	}
	return outbound
}

func (v *vm) call(method, path, body string, headers ...string) *http.Response {
	v.fleet.t.Helper()
	response, err := v.fleet.client.Do(v.request(method, path, body, headers...))
	require.NoError(v.fleet.t, err)
	v.fleet.t.Cleanup(func() { response.Body.Close() })
	return response
}

const generation = `{"model":"sheet","stream":true,"max_tokens":1000,"prompt":"` + secretPrompt + `"}`

// stream reads a generation's server-sent events.
type stream struct {
	t     *testing.T
	id    string
	lines *bufio.Reader
	// lastID is the id of the last event, text what the tokens said and end how the stream ended: the
	// name of its last event, or [DONE].
	lastID, text, end string
}

func (v *vm) stream(method string, headers ...string) *stream {
	v.fleet.t.Helper()
	response := v.call(method, "/v1/completions", generation, headers...)
	require.Equal(v.fleet.t, http.StatusOK, response.StatusCode)
	require.Equal(v.fleet.t, 2, response.ProtoMajor)
	return &stream{t: v.fleet.t, id: response.Header.Get("Godwitcart-Request"), lines: bufio.NewReader(response.Body)}
}

// next reads one event and reports whether the stream goes on.
func (s *stream) next() bool {
	for {
		line, err := s.lines.ReadString('\n')
		require.NoError(s.t, err, "the stream was cut off after %q", s.text)
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch {
		case name == "id":
			s.lastID = value
		case name == "event":
			s.end = value
		case name == "data" && value == "[DONE]":
			s.end = value
		case name == "data" && s.end == "":
			s.take(value)
		case line == "\n":
			return s.end == ""
		}
	}
}

func (s *stream) take(data string) {
	var chunk struct {
		Choices []struct{ Text string }
	}
	require.NoError(s.t, json.NewDecoder(bytes.NewReader([]byte(data))).Decode(&chunk))
	for _, choice := range chunk.Choices {
		s.text += choice.Text
	}
}

func (s *stream) readAll() *stream {
	for s.next() {
	}
	return s
}
