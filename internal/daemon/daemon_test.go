package daemon_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/daemon"
	"godwitcart/internal/policy"
	"godwitcart/internal/settings"
	"godwitcart/internal/stand/platform"
	"godwitcart/internal/wire/platformwire"
)

// requireOneGeneration checks that the text consists of the tokens of one attempt, each once and in order.
func requireOneGeneration(t *testing.T, text string) {
	t.Helper()
	fields := strings.Fields(text)
	require.NotEmpty(t, fields)
	attempt, _, _ := strings.Cut(fields[0], ":")
	for i, field := range fields {
		require.Equal(t, attempt+":"+strconv.Itoa(i), field)
	}
}

// requireTokens checks that exactly one attempt of the request ran, that it finished, and that the text has all
// of its tokens.
func (c *cluster) requireTokens(id, text string) {
	c.t.Helper()
	runs := 0
	for _, simulator := range c.engines {
		for _, attempt := range simulator.Activity().Attempts {
			if attempt.RequestID == id {
				runs++
				require.NotEmpty(c.t, attempt.Finished)
				require.Len(c.t, strings.Fields(text), attempt.Tokens)
			}
		}
	}
	require.Equal(c.t, 1, runs)
}

func TestCallersAreServedOverTLSAndHTTP2(t *testing.T) {
	c, a, b := startPair(t)
	for _, v := range []*entryVM{a, b} {
		s := v.stream(http.MethodPost).readAll()
		require.Equal(t, "[DONE]", s.endEvent)
		requireOneGeneration(t, s.text)
		c.requireTokens(s.id, s.text)
		require.Equal(t, http.StatusOK, v.call(http.MethodGet, "/services/counter-api/till", "").StatusCode)
	}
}

func TestPeerListenerRequiresClientCertificate(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a")
	conn, err := tls.Dial("tcp", a.addresses.Peers, c.clientTLS())
	if err == nil { // In TLS 1.3 the client completes its handshake before the server verifies its certificate.
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "certificate required")
}

func TestConfigurationChangeReachesAllVMs(t *testing.T) {
	_, a, b := startPair(t)
	for _, v := range []*entryVM{a, b} {
		response := v.call(http.MethodPost, "/v1/completions", generationBody, "Godwitcart-Class", "rush")
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "the class is not known yet")
	}
	for _, text := range []string{"create class rush priority=30", "change account acme classes+=rush"} {
		_, err := a.operator().Command(t.Context(), text, false)
		require.NoError(t, err)
	}
	for _, v := range []*entryVM{a, b} {
		eventually(t, func() bool {
			response := v.call(http.MethodPost, "/v1/completions", generationBody, "Godwitcart-Class", "rush")
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode == http.StatusOK
		})
	}
}

func TestNewConnectionsUseReplacedCertificates(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a")
	const serial = 77
	c.authority.Write(t, a.files, serial)
	for _, address := range []string{a.addresses.Callers, a.addresses.Operators} {
		eventually(t, func() bool {
			conn, err := tls.Dial("tcp", address, c.clientTLS())
			if err != nil { // The certificate and key files are not replaced atomically.
				return false
			}
			defer conn.Close()
			return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == serial
		})
	}
}

func TestOperatorsSeeRemoteRequestsButNoSecrets(t *testing.T) {
	c, a, b := startPair(t)
	c.setSlowdown(100)
	s := a.stream(http.MethodPost, "Idempotency-Key", "sheet-1")
	require.True(t, s.next())
	eventually(t, func() bool {
		text, err := json.Marshal(b.query("show requests"))
		require.NoError(t, err)
		return bytes.Contains(text, []byte(s.id))
	})
	var dump bytes.Buffer
	require.NoError(t, a.DumpState(&dump))
	require.Contains(t, dump.String(), s.id)
	secrets := []string{apiKey, policy.HashKey(apiKey), operatorToken, cursorKey, secretPrompt}
	for _, secret := range secrets {
		require.NotContains(t, dump.String(), secret)
	}
	c.setSlowdown(1)
	requireOneGeneration(t, s.readAll().text)
}

func TestMetricsCountPeerTraffic(t *testing.T) {
	_, a, _ := startPair(t)
	for _, name := range []string{"calls", "served", "sent_bytes", "received_bytes"} {
		nonZero := regexp.MustCompile(`(?m)^\w*peer_` + name + `(\{.*\})? [1-9]`)
		eventually(t, func() bool { return nonZero.MatchString(a.metrics()) })
	}
}

// fetch returns the body of the response to a request, or the text of the error.
func (c *cluster) fetch(outbound *http.Request) string {
	response, err := c.client.Do(outbound)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// TestUnreachableZoneKeepsItsShareOfALimit guards against exceeding an account's limit during a network partition:
// while the VMs of a zone are unreachable, part of the limit stays reserved for them, so that fewer requests than
// an even share run on this VM.
func TestUnreachableZoneKeepsItsShareOfALimit(t *testing.T) {
	c := newCluster(t)
	a := c.start("entry-a")
	eventually(t, func() bool { return a.readiness() == "ready" })
	_, err := a.operator().Command(t.Context(), "change account acme concurrency=10", false)
	require.NoError(t, err)
	c.platform.PutVM(platformwire.VM{Name: "entry-b", Role: "entry", Zone: "moosejaw", PeerAddress: "127.0.0.1:1"})
	eventually(t, func() bool { return len(a.query("show vms").Rows) == 2 })
	c.setSlowdown(200)
	const evenShare = 5
	first := a.stream(http.MethodPost)
	answers := make(chan string)
	for range evenShare - 1 {
		outbound := a.request(http.MethodPost, "/v1/completions", generationBody)
		go func() { answers <- c.fetch(outbound) }()
	}
	eventually(t, func() bool { return len(a.query("show requests").Rows) == evenShare })
	for range 3 { // By the third event, every admitted request has started.
		require.True(t, first.next())
	}
	require.NotEmpty(t, a.query("show requests where state = waiting").Rows)
	c.setSlowdown(1)
	require.Equal(t, "[DONE]", first.readAll().endEvent)
	for range evenShare - 1 {
		require.Contains(t, <-answers, "data: [DONE]")
	}
}

func TestShutdownFinishesOrHandsOverEveryStream(t *testing.T) {
	c, a, b := startPair(t)
	c.setSlowdown(200)
	nonResumable, resumable := a.stream(http.MethodPost), a.stream(http.MethodPost, "Godwitcart-Resumable", "true")
	require.True(t, nonResumable.next())
	require.True(t, resumable.next())
	a.Shutdown()
	resumable.readAll()
	require.Equal(t, "reconnect", resumable.endEvent)

	for key, kind := range map[string]apierror.Kind{"": apierror.KindNotRun, "sheet-2": apierror.KindUnavailable} {
		response := a.call(http.MethodPost, "/v1/completions", generationBody, "Idempotency-Key", key)
		var body struct{ Error struct{ Type apierror.Kind } }
		require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
		require.Equal(t, kind, body.Error.Type)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	require.Equal(t, "shutting down", a.readiness())

	resumed := b.stream(http.MethodGet, "Last-Event-ID", resumable.lastID)
	c.setSlowdown(1)
	require.Equal(t, resumable.id, resumed.id)
	resumed.text = resumable.text
	for _, s := range []*stream{nonResumable, resumed} {
		require.Equal(t, "[DONE]", s.readAll().endEvent)
		requireOneGeneration(t, s.text)
		c.requireTokens(s.id, s.text)
	}
	require.NoError(t, <-a.runResult)
	require.Zero(t, a.Active())
	require.Equal(t, 2, c.attempts())
}

func TestVMWithoutPlatformReportsNotReady(t *testing.T) {
	c := newCluster(t)
	c.platform.SetFaults(platform.Faults{Outage: true})
	a := c.start("entry-a")
	require.Equal(t, "no configuration is known yet", a.readiness())
	response := a.call(http.MethodPost, "/v1/completions", generationBody)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	c.platform.SetFaults(platform.Faults{})
	eventually(t, func() bool { return a.readiness() == "ready" })
}

// requireRemedy checks that the error has a remedy.
func requireRemedy(t *testing.T, err error) {
	t.Helper()
	var typed *apierror.Error
	require.True(t, errors.As(err, &typed), "%v", err)
	require.NotEmpty(t, typed.Remedy)
}

func TestInvalidSettingsErrorsHaveARemedy(t *testing.T) {
	c := newCluster(t)
	cases := map[string]func(*settings.Settings){
		"cursor key":   func(s *settings.Settings) { s.CursorKeys = []string{"5a"} },
		"key file":     func(s *settings.Settings) { s.CursorKeys, s.CursorKeysFile = nil, "none" },
		"certificates": func(s *settings.Settings) { s.Peers.TLS.CA = "none" },
		"seed":         func(s *settings.Settings) { s.ConfigurationSeed = "none" },
	}
	for name, breakSettings := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := c.settings("entry-a")
			breakSettings(s)
			_, err := daemon.New(s, log.New(io.Discard))
			requireRemedy(t, err)
		})
	}
}

func TestListenerErrorsHaveARemedy(t *testing.T) {
	c := newCluster(t)
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer occupied.Close()
	address := occupied.Addr().String()
	cases := map[string]func(*settings.Settings){
		"callers":     func(s *settings.Settings) { s.Callers.Listen = address },
		"operators":   func(s *settings.Settings) { s.Operators.Listen = address },
		"peers":       func(s *settings.Settings) { s.Peers.Listen = address },
		"certificate": func(s *settings.Settings) { require.NoError(t, os.Remove(s.Callers.TLS.Key)) },
	}
	for name, breakSettings := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := c.settings("entry-a")
			s.Peers.Security = settings.Security{PlainText: true}
			breakSettings(s)
			d, err := daemon.New(s, log.New(io.Discard))
			require.NoError(t, err)
			requireRemedy(t, d.Run(context.Background()))
		})
	}
}
