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

	// Limits for waiting on asynchronous conditions.
	waitTimeout  = 30 * time.Second
	pollInterval = 50 * time.Millisecond
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

// cluster is a simulated platform with two engines and a plain service, and the entry VMs that a test starts.
type cluster struct {
	t           *testing.T
	platform    *platform.Platform
	platformURL string
	engines     []*engine.Engine
	authority   tlstest.Authority
	seedPath    string
	client      *http.Client
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, platform: platform.New(platform.Options{Seed: 1}), authority: tlstest.NewAuthority(t)}
	c.platformURL = "http://" + c.serve(c.platform.Handler())
	for _, name := range []string{"engine-a", "engine-b"} {
		c.addEngine(name)
	}
	c.addTarget("counter-a", "counter-api", service.New(service.Options{Name: "counter-a"}).Handler())
	c.seedPath = filepath.Join(t.TempDir(), "seed.yaml")
	text := strings.ReplaceAll(seedConfiguration, "%KEY%", policy.HashKey(apiKey))
	require.NoError(t, os.WriteFile(c.seedPath, []byte(text), 0o600))
	transport := &http.Transport{TLSClientConfig: c.clientTLS(), ForceAttemptHTTP2: true}
	c.client = &http.Client{Transport: transport}
	t.Cleanup(transport.CloseIdleConnections)
	return c
}

// serve starts an unencrypted HTTP server, which is closed at the end of the test, and returns its address.
func (c *cluster) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

func (c *cluster) addEngine(name string) {
	simulator := engine.New(engine.Options{
		Name: name, Zone: zone, Text: engine.TextAttempt, Seed: 1, StepBase: time.Millisecond,
		StepPerSequence: time.Microsecond, MedianTokens: 200, Sigma: 0.01, Loaded: []enginewire.ModelVariant{{Model: "sheet"}},
	})
	ctx, cancel := context.WithCancel(context.Background())
	go simulator.Run(ctx)
	c.t.Cleanup(cancel)
	c.engines = append(c.engines, simulator)
	c.addTarget(name, "godwit-lm", simulator.Handler())
}

func (c *cluster) addTarget(name, service string, handler http.Handler) {
	c.platform.PutVM(platformwire.VM{Name: name, Role: "target", Zone: zone, Service: service, Address: c.serve(handler)})
}

func (c *cluster) setSlowdown(factor float64) {
	for _, simulator := range c.engines {
		simulator.SetFaults(engine.Faults{Slow: factor})
	}
}

// attempts returns the number of attempts that the engines have run.
func (c *cluster) attempts() int {
	count := 0
	for _, simulator := range c.engines {
		count += len(simulator.Activity().Attempts)
	}
	return count
}

// clientTLS returns a TLS configuration that trusts the test authority and has no client certificate.
func (c *cluster) clientTLS() *tls.Config {
	text, err := os.ReadFile(c.authority.NewFiles(c.t, 2).CA)
	require.NoError(c.t, err)
	pool := x509.NewCertPool()
	require.True(c.t, pool.AppendCertsFromPEM(text))
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
}

// entryVM is one running entry VM.
type entryVM struct {
	*daemon.Daemon
	cluster   *cluster
	addresses daemon.Addresses
	files     tlsconfig.Files
	// runResult receives the result of Run.
	runResult chan error
}

func (c *cluster) settings(name string) (*settings.Settings, tlsconfig.Files) {
	files := c.authority.NewFiles(c.t, 10)
	digest := sha256.Sum256([]byte(operatorToken))
	s := settings.Default()
	s.VM = settings.VM{Name: name, Zone: zone, Region: "sk-south"}
	s.Callers.Listen, s.Operators.Listen, s.Peers.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Callers.TLS = &settings.TLS{Cert: files.Cert, Key: files.Key}
	s.Operators.TLS = s.Callers.TLS
	s.Operators.Tokens = []settings.Token{{Name: "alice", Role: settings.RoleChange, SHA256: hex.EncodeToString(digest[:])}}
	s.Peers.TLS = &settings.TLS{Cert: files.Cert, Key: files.Key, CA: files.CA}
	s.Platform.URL, s.Platform.ListInterval = c.platformURL, 100*time.Millisecond
	s.CursorKeys, s.ConfigurationSeed = []string{cursorKey}, c.seedPath
	s.Drain.ReadinessDelay, s.Timeouts.TokenGap = 0, waitTimeout
	require.Empty(c.t, settings.Check(s))
	return s, files
}

// start runs an entry VM until the end of the test and adds it to the platform's list of VMs.
func (c *cluster) start(name string) *entryVM {
	c.t.Helper()
	s, files := c.settings(name)
	d, err := daemon.New(s, log.New(io.Discard))
	require.NoError(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	v := &entryVM{Daemon: d, cluster: c, files: files, runResult: make(chan error, 1)}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		v.runResult <- d.Run(ctx)
	}()
	c.t.Cleanup(func() {
		stop()
		<-stopped
	})
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	v.addresses, err = d.Addresses(waitCtx)
	require.NoError(c.t, err)
	c.platform.PutVM(platformwire.VM{
		Name: name, Role: "entry", Zone: zone, Address: v.addresses.Callers, PeerAddress: v.addresses.Peers, AdminAddress: v.addresses.Operators,
	})
	return v
}

// startPair returns two entry VMs that are ready and know each other.
func startPair(t *testing.T) (c *cluster, a, b *entryVM) {
	t.Helper()
	c = newCluster(t)
	a, b = c.start("entry-a"), c.start("entry-b")
	for _, v := range []*entryVM{a, b} {
		eventually(t, func() bool { return v.readiness() == "ready" })
		eventually(t, func() bool { return len(v.query("show vms").Rows) == 2 })
	}
	return c, a, b
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, pollInterval)
}

// readiness returns the text of the readiness check on the operators' listener.
func (v *entryVM) readiness() string {
	status, text := v.get(admin.PathReady)
	require.Equal(v.cluster.t, status == http.StatusOK, text == "ready")
	return text
}

func (v *entryVM) metrics() string {
	_, text := v.get(admin.PathMetrics)
	return text
}

// get sends a GET request to the operators' listener.
func (v *entryVM) get(path string) (int, string) {
	outbound, err := http.NewRequest(http.MethodGet, "https://"+v.addresses.Operators+path, nil)
	require.NoError(v.cluster.t, err)
	outbound.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := v.cluster.client.Do(outbound)
	require.NoError(v.cluster.t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	require.NoError(v.cluster.t, err)
	return response.StatusCode, strings.TrimSpace(string(text))
}

func (v *entryVM) operator() *admin.Client {
	return &admin.Client{BaseURL: "https://" + v.addresses.Operators, Token: operatorToken, HTTP: v.cluster.client}
}

func (v *entryVM) query(text string) *query.Result {
	v.cluster.t.Helper()
	answer, err := v.operator().Query(v.cluster.t.Context(), text)
	require.NoError(v.cluster.t, err)
	return answer
}

// request returns a caller's request. The headers are alternating names and values.
func (v *entryVM) request(method, path, body string, headers ...string) *http.Request {
	v.cluster.t.Helper()
	outbound, err := http.NewRequest(method, "https://"+v.addresses.Callers+path, strings.NewReader(body))
	require.NoError(v.cluster.t, err)
	outbound.Header.Set("Authorization", "Bearer "+apiKey)
	for i := 0; i < len(headers); i += 2 {
		outbound.Header.Set(headers[i], headers[i+1])
	}
	return outbound
}

func (v *entryVM) call(method, path, body string, headers ...string) *http.Response {
	v.cluster.t.Helper()
	response, err := v.cluster.client.Do(v.request(method, path, body, headers...))
	require.NoError(v.cluster.t, err)
	v.cluster.t.Cleanup(func() { response.Body.Close() })
	return response
}

const generationBody = `{"model":"sheet","stream":true,"max_tokens":1000,"prompt":"` + secretPrompt + `"}`

// stream reads the server-sent events of a generation.
type stream struct {
	t     *testing.T
	id    string
	lines *bufio.Reader
	// lastID is the id of the last event and text the concatenated tokens. endEvent tells how the stream ended:
	// the name of its last event, or [DONE].
	lastID, text, endEvent string
}

func (v *entryVM) stream(method string, headers ...string) *stream {
	v.cluster.t.Helper()
	response := v.call(method, "/v1/completions", generationBody, headers...)
	require.Equal(v.cluster.t, http.StatusOK, response.StatusCode)
	require.Equal(v.cluster.t, 2, response.ProtoMajor)
	return &stream{t: v.cluster.t, id: response.Header.Get("Godwitcart-Request"), lines: bufio.NewReader(response.Body)}
}

// next reads one event and reports whether the stream continues.
func (s *stream) next() bool {
	for {
		line, err := s.lines.ReadString('\n')
		require.NoError(s.t, err, "the stream was cut off after %q", s.text)
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch {
		case name == "id":
			s.lastID = value
		case name == "event":
			s.endEvent = value
		case name == "data" && value == "[DONE]":
			s.endEvent = value
		case name == "data" && s.endEvent == "":
			s.appendChunk(value)
		case line == "\n":
			return s.endEvent == ""
		}
	}
}

func (s *stream) appendChunk(data string) {
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
