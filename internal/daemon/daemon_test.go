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

// requireOneGeneration checks that the text is the tokens of one attempt, each once and in order.
func requireOneGeneration(t *testing.T, text string) {
	t.Helper()
	fields := strings.Fields(text)
	require.NotEmpty(t, fields)
	attempt, _, _ := strings.Cut(fields[0], ":")
	for i, field := range fields {
		require.Equal(t, attempt+":"+strconv.Itoa(i), field)
	}
}

// requireTokens checks that an engine finished one attempt of the request, of as many tokens.
func (f *fleet) requireTokens(id, text string) {
	f.t.Helper()
	ran := 0
	for _, stand := range f.engines {
		for _, attempt := range stand.Ran().Attempts {
			if attempt.RequestID == id {
				ran++
				require.NotEmpty(f.t, attempt.Finished)
				require.Len(f.t, strings.Fields(text), attempt.Tokens)
			}
		}
	}
	require.Equal(f.t, 1, ran)
}

func TestCallersAreServedOverTLSAndHTTP2(t *testing.T) {
	f, a, b := startPair(t)
	for _, v := range []*vm{a, b} {
		s := v.stream(http.MethodPost).readAll()
		require.Equal(t, "[DONE]", s.end)
		requireOneGeneration(t, s.text)
		f.requireTokens(s.id, s.text)
		require.Equal(t, http.StatusOK, v.call(http.MethodGet, "/services/counter-api/till", "").StatusCode)
	}
}

func TestPeersNeedACertificate(t *testing.T) {
	f := newFleet(t)
	a := f.start("entry-a")
	conn, err := tls.Dial("tcp", a.at.Peers, f.trust())
	if err == nil { // The client ends its part of the handshake before the server looks at it.
		defer conn.Close()
		_, err = conn.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "certificate required")
}

func TestAChangedConfigurationIsInForceOnAllVMs(t *testing.T) {
	_, a, b := startPair(t)
	for _, v := range []*vm{a, b} {
		response := v.call(http.MethodPost, "/v1/completions", generation, "Godwitcart-Class", "rush")
		require.Equal(t, http.StatusBadRequest, response.StatusCode, "the class is not known yet")
	}
	for _, text := range []string{"create class rush priority=30", "change account acme classes+=rush"} {
		_, err := a.operator().Command(t.Context(), text, false)
		require.NoError(t, err)
	}
	for _, v := range []*vm{a, b} {
		eventually(t, func() bool {
			response := v.call(http.MethodPost, "/v1/completions", generation, "Godwitcart-Class", "rush")
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode == http.StatusOK
		})
	}
}

func TestReplacedCertificatesAreUsedByNewConnections(t *testing.T) {
	f := newFleet(t)
	a := f.start("entry-a")
	const serial = 77
	f.authority.Write(t, a.files, serial)
	for _, address := range []string{a.at.Callers, a.at.Operators} {
		eventually(t, func() bool {
			conn, err := tls.Dial("tcp", address, f.trust())
			if err != nil { // The files are not replaced in one step.
				return false
			}
			defer conn.Close()
			return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64() == serial
		})
	}
}

func TestOperatorsSeeRequestsOfOtherVMsAndNoSecrets(t *testing.T) {
	f, a, b := startPair(t)
	f.setSlow(100)
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
	f.setSlow(1)
	requireOneGeneration(t, s.readAll().text)
}

func TestMetricsShowTheTrafficOfPeers(t *testing.T) {
	_, a, _ := startPair(t)
	for _, name := range []string{"calls", "served", "sent_bytes", "received_bytes"} {
		shown := regexp.MustCompile(`(?m)^\w*peer_` + name + `(\{.*\})? [1-9]`)
		eventually(t, func() bool { return shown.MatchString(a.metrics()) })
	}
}

// read returns the answer to a request or the error that broke it off.
func (f *fleet) read(outbound *http.Request) string {
	response, err := f.client.Do(outbound)
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

func TestAZoneOutOfReachKeepsItsPartOfALimit(t *testing.T) {
	f := newFleet(t)
	a := f.start("entry-a")
	eventually(t, func() bool { return a.readiness() == "ready" })
	_, err := a.operator().Command(t.Context(), "change account acme concurrency=10", false)
	require.NoError(t, err)
	f.platform.PutVM(platformwire.VM{Name: "entry-b", Role: "entry", Zone: "moosejaw", PeerAddress: "127.0.0.1:1"})
	eventually(t, func() bool { return len(a.query("show vms").Rows) == 2 })
	f.setSlow(200)
	const even = 5
	first := a.stream(http.MethodPost)
	answers := make(chan string)
	for range even - 1 {
		outbound := a.request(http.MethodPost, "/v1/completions", generation)
		go func() { answers <- f.read(outbound) }()
	}
	eventually(t, func() bool { return len(a.query("show requests").Rows) == even })
	for range 3 { // A request that may run has begun by then.
		require.True(t, first.next())
	}
	require.NotEmpty(t, a.query("show requests where state = waiting").Rows)
	f.setSlow(1)
	require.Equal(t, "[DONE]", first.readAll().end)
	for range even - 1 {
		require.Contains(t, <-answers, "data: [DONE]")
	}
}

func TestShutdownFinishesOrHandsOverEveryStream(t *testing.T) {
	f, a, b := startPair(t)
	f.setSlow(200)
	plain, resumable := a.stream(http.MethodPost), a.stream(http.MethodPost, "Godwitcart-Resumable", "true")
	require.True(t, plain.next())
	require.True(t, resumable.next())
	a.Shutdown()
	resumable.readAll()
	require.Equal(t, "reconnect", resumable.end)

	for key, kind := range map[string]apierror.Kind{"": apierror.KindNotRun, "sheet-2": apierror.KindUnavailable} {
		response := a.call(http.MethodPost, "/v1/completions", generation, "Idempotency-Key", key)
		var body struct{ Error struct{ Type apierror.Kind } }
		require.NoError(t, json.NewDecoder(response.Body).Decode(&body))
		require.Equal(t, kind, body.Error.Type)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
	}
	require.Equal(t, "shutting down", a.readiness())

	rest := b.stream(http.MethodGet, "Last-Event-ID", resumable.lastID)
	f.setSlow(1)
	require.Equal(t, resumable.id, rest.id)
	rest.text = resumable.text
	for _, s := range []*stream{plain, rest} {
		require.Equal(t, "[DONE]", s.readAll().end)
		requireOneGeneration(t, s.text)
		f.requireTokens(s.id, s.text)
	}
	require.NoError(t, <-a.ended)
	require.Zero(t, a.Active())
	require.Equal(t, 2, f.attempts())
}

func TestWithoutThePlatformAVMIsNotReadyAndSaysWhy(t *testing.T) {
	f := newFleet(t)
	f.platform.SetFaults(platform.Faults{Outage: true})
	a := f.start("entry-a")
	require.Equal(t, "no configuration is known yet", a.readiness())
	response := a.call(http.MethodPost, "/v1/completions", generation)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	f.platform.SetFaults(platform.Faults{})
	eventually(t, func() bool { return a.readiness() == "ready" })
}

// requireRemedy checks that the error names what to do.
func requireRemedy(t *testing.T, err error) {
	t.Helper()
	var typed *apierror.Error
	require.True(t, errors.As(err, &typed), "%v", err)
	require.NotEmpty(t, typed.Remedy)
}

func TestBadSettingsAreRefusedWithARemedy(t *testing.T) {
	f := newFleet(t)
	cases := map[string]func(*settings.Settings){
		"cursor key":   func(s *settings.Settings) { s.CursorKeys = []string{"5a"} },
		"key file":     func(s *settings.Settings) { s.CursorKeys, s.CursorKeysFile = nil, "none" },
		"certificates": func(s *settings.Settings) { s.Peers.TLS.CA = "none" },
		"seed":         func(s *settings.Settings) { s.ConfigurationSeed = "none" },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := f.settings("entry-a")
			spoil(s)
			_, err := daemon.New(s, log.New(io.Discard))
			requireRemedy(t, err)
		})
	}
}

func TestListenersThatCannotBeOpenedAreReportedWithARemedy(t *testing.T) {
	f := newFleet(t)
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer taken.Close()
	address := taken.Addr().String()
	cases := map[string]func(*settings.Settings){
		"callers":     func(s *settings.Settings) { s.Callers.Listen = address },
		"operators":   func(s *settings.Settings) { s.Operators.Listen = address },
		"peers":       func(s *settings.Settings) { s.Peers.Listen = address },
		"certificate": func(s *settings.Settings) { require.NoError(t, os.Remove(s.Callers.TLS.Key)) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			s, _ := f.settings("entry-a")
			s.Peers.Security = settings.Security{PlainText: true}
			spoil(s)
			d, err := daemon.New(s, log.New(io.Discard))
			require.NoError(t, err)
			requireRemedy(t, d.Run(context.Background()))
		})
	}
}
