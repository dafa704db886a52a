//go:build crowd

package crowd

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"godwitcart/internal/admin"
	"godwitcart/internal/policy"
	standplatform "godwitcart/internal/stand/platform"
	"godwitcart/internal/stand/service"
	"godwitcart/internal/tlsconfig"
	"godwitcart/internal/tlsconfig/tlstest"
	"godwitcart/internal/wire/platformwire"
)

const (
	operatorToken = "operator-token"
	servicePath   = "/services/counter-api/orders/1"
	modelsPath    = "/v1/models"
	// streamsPerClient is the number of requests that an HTTP/2 client has open at once.
	streamsPerClient = 100
)

// ownMode is one entry VM outside a deployment, with its platform and one plain service.
type ownMode struct {
	*process
	callers, operators, peers string
	client                    *http.Client
	// security is the scheme of the callers' listener and trust its certificate authority.
	scheme string
	trust  *x509.CertPool
}

const ownConfiguration = `
version: 1
services:
  counter-api: {kind: plain}
classes:
  standard: {priority: 10}
accounts:
  acme: {key_hashes: [%s], share: 1, classes: [standard]}
`

// startOwnMode starts an entry VM of which all listeners have TLS, or none has. The process learns its memory from GOMEMLIMIT
// and its descriptors from the kernel.
func startOwnMode(t *testing.T, files int, secured bool) *ownMode {
	t.Helper()
	p := standplatform.New(standplatform.Options{Seed: 1})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	counter := httptest.NewServer(service.New(service.Options{Name: "counter-a"}).Handler())
	t.Cleanup(counter.Close)
	t.Cleanup(counter.CloseClientConnections)
	p.PutVM(platformwire.VM{Name: "counter-a", Role: "target", Zone: "regina-a", Service: "counter-api", Address: counter.Listener.Addr().String()})
	seed := filepath.Join(t.TempDir(), "seed.yaml")
	require.NoError(t, os.WriteFile(seed, []byte(fmt.Sprintf(ownConfiguration, policy.HashKey(apiKey))), 0o600))
	v := &ownMode{callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t), scheme: "http"}
	security, peerSecurity := "plain_text: true", "plain_text: true"
	if secured {
		authority := tlstest.NewAuthority(t)
		certificates := authority.NewFiles(t, 10)
		security = fmt.Sprintf("tls: {cert: %q, key: %q}", certificates.Cert, certificates.Key)
		peerSecurity = fmt.Sprintf("tls: {cert: %q, key: %q, ca: %q}", certificates.Cert, certificates.Key, certificates.CA)
		v.scheme, v.trust = "https", trusting(t, certificates)
	}
	v.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: v.trust}}, Timeout: waitTimeout}
	digest := sha256.Sum256([]byte(operatorToken))
	v.process = startProcess(t, fmt.Sprintf(`
vm: {name: vm-1, zone: regina-a, region: sk}
callers: {listen: %q, max_header_bytes: %d, %s}
operators: {listen: %q, %s, tokens: [{name: alice, role: read, sha256: %s}]}
peers: {listen: %q, %s}
platform: {url: %q}
cursor_keys: [%s]
log: {format: json}
`, v.callers, 16<<10, security, v.operators, security, hex.EncodeToString(digest[:]), v.peers, peerSecurity, server.URL, strings.Repeat("5a", 32)),
		files, []string{fmt.Sprintf("GOMEMLIMIT=%dMiB", memoryMB)}, []string{"--seed", seed})
	p.PutVM(platformwire.VM{Name: "vm-1", Role: "entry", Zone: "regina-a", Address: v.callers, PeerAddress: v.peers, AdminAddress: v.operators})
	requireOrdinaryAnswer(t, v.client, v.ready)
	requireOrdinaryAnswer(t, v.client, v.ordinary)
	return v
}

func trusting(t *testing.T, files tlsconfig.Files) *x509.CertPool {
	t.Helper()
	text, err := os.ReadFile(files.CA)
	require.NoError(t, err)
	pool := x509.NewCertPool()
	require.True(t, pool.AppendCertsFromPEM(text))
	return pool
}

func (v *ownMode) request(method, address, path, token string, body io.Reader) *http.Request {
	request, err := http.NewRequest(method, v.scheme+"://"+address+path, body)
	require.NoError(v.t, err)
	request.Header.Set("Authorization", "Bearer "+token)
	return request
}

func (v *ownMode) ready() *http.Request {
	return v.request(http.MethodGet, v.operators, admin.PathReady, operatorToken, nil)
}

func (v *ownMode) ordinary() *http.Request {
	return v.request(http.MethodPost, v.callers, servicePath, apiKey, strings.NewReader("flour"))
}

// meet lets a crowd come to the listener and gives the verdict: in its presence and after it has left.
func (v *ownMode) meet(address string, behave behaviour) {
	v.t.Helper()
	v.watch(portOf(v.t, address))
	c := gather(v.t, address, behave)
	requireOrdinaryAnswer(v.t, v.client, v.ordinary)
	requireOrdinaryAnswer(v.t, v.client, v.ready)
	c.leave()
	requireOrdinaryAnswer(v.t, v.client, v.ordinary)
	v.verdict()
}

// TestCrowdInOwnMode guards against the same faults outside a deployment, at the listeners for callers, operators and peers.
func TestCrowdInOwnMode(t *testing.T) {
	for name, address := range map[string]func(*ownMode) string{
		"callers":   func(v *ownMode) string { return v.callers },
		"operators": func(v *ownMode) string { return v.operators },
	} {
		for _, test := range []struct {
			name   string
			files  int
			behave behaviour
		}{
			{"legal heads of short lines", openFiles, legalHeads(servicePath)},
			{"heads without end", openFiles, unendedHeads(servicePath)},
			{"empty lines without end", openFiles, emptyLines(servicePath)},
			{"bodies with a length", openFiles, largeBodies("/v1/completions", false)},
			{"bodies in chunks", openFiles, largeBodies(servicePath, true)},
			{"connections without a request", fewOpenFiles, silence},
			{"connections idle after an answer", fewOpenFiles, idleAfterAnswer(modelsPath)},
			{"HTTP/2 requests with many fields", openFiles, http2Requests(servicePath, false)},
			{"HTTP/2 bodies without end", openFiles, http2Requests(servicePath, true)},
			{"HTTP/2 heads without end", openFiles, http2UnendedHeads(servicePath)},
		} {
			t.Run(name+"/"+test.name, func(t *testing.T) {
				v := startOwnMode(t, test.files, false)
				v.meet(address(v), test.behave)
			})
		}
	}
	t.Run("peers/messages without end", func(t *testing.T) {
		v := startOwnMode(t, openFiles, false)
		v.meet(v.peers, unendedMessages)
	})
	t.Run("peers/connections without a request", func(t *testing.T) {
		v := startOwnMode(t, fewOpenFiles, false)
		v.meet(v.peers, silence)
	})
}

// TestCrowdWithTLS guards against clients that begin a handshake and do not end it, and against heads inside TLS.
func TestCrowdWithTLS(t *testing.T) {
	for name, address := range map[string]func(*ownMode) string{
		"callers":   func(v *ownMode) string { return v.callers },
		"operators": func(v *ownMode) string { return v.operators },
		"peers":     func(v *ownMode) string { return v.peers },
	} {
		t.Run(name+"/handshakes without end", func(t *testing.T) {
			v := startOwnMode(t, fewOpenFiles, true)
			v.meet(address(v), unendedHandshake)
		})
		if name == "peers" {
			continue // they answer only those who have a certificate
		}
		t.Run(name+"/legal heads of short lines", func(t *testing.T) {
			v := startOwnMode(t, openFiles, true)
			v.meet(address(v), v.inside(legalHeads(servicePath)))
		})
		t.Run(name+"/heads without end", func(t *testing.T) {
			v := startOwnMode(t, openFiles, true)
			v.meet(address(v), v.inside(unendedHeads(servicePath)))
		})
	}
}

// inside makes a client behave inside a TLS connection.
func (v *ownMode) inside(behave behaviour) behaviour {
	return func(conn net.Conn, client int) error {
		return behave(tls.Client(conn, &tls.Config{RootCAs: v.trust, ServerName: "127.0.0.1"}), client)
	}
}

// unendedHandshake sends the beginning of a TLS handshake.
func unendedHandshake(conn net.Conn, _ int) error {
	_, err := conn.Write([]byte{22, 3, 1, 2, 0, 1, 0, 1, 252, 3, 3})
	return err
}

// unendedMessages sends frames of a message of the peers' protocol (drpc) that does not end: streams of an open call.
func unendedMessages(conn net.Conn, _ int) error {
	const (
		kindMessage = 2 << 1
		frameBytes  = 64 << 10
		frames      = 60 // below the 4 MiB at which a message is refused
	)
	frame := []byte{kindMessage, 1, 1, 0x80, 0x80, 0x04} // stream 1, message 1, length as a varint
	frame = append(frame, bytes.Repeat([]byte{'x'}, frameBytes)...)
	for range frames {
		if _, err := conn.Write(frame); err != nil {
			return err
		}
	}
	return nil
}

// http2Fields are the fields of a legal HTTP/2 request with as many short fields as the limit for heads allows.
func http2Fields(path string, client, stream int) []hpack.HeaderField {
	fields := []hpack.HeaderField{
		{Name: ":method", Value: "POST"}, {Name: ":scheme", Value: "http"}, {Name: ":path", Value: path}, {Name: ":authority", Value: "vm"},
		{Name: "authorization", Value: "Bearer " + apiKey},
	}
	size := uint32(0)
	for i := 0; ; i++ {
		field := hpack.HeaderField{Name: fmt.Sprintf("x%d", i), Value: "1"}
		if size += field.Size(); size > legalHeadBytes {
			return fields
		}
		fields = append(fields, field)
	}
}

// http2Client writes the preface and returns a framer that answers nothing.
func http2Client(conn net.Conn) (*http2.Framer, error) {
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		return nil, err
	}
	framer := http2.NewFramer(conn, conn)
	return framer, framer.WriteSettings()
}

// http2Requests opens requests whose bodies do not end, with many fields or with a part of the body.
func http2Requests(path string, withBody bool) behaviour {
	return func(conn net.Conn, client int) error {
		framer, err := http2Client(conn)
		if err != nil {
			return err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for stream := range streamsPerClient {
			block.Reset()
			fields := http2Fields(path, client, stream)
			if withBody {
				fields = fields[:5]
			}
			for _, field := range fields {
				if err := encoder.WriteField(field); err != nil {
					return err
				}
			}
			id := uint32(2*stream + 1)
			if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block.Bytes(), EndHeaders: true}); err != nil {
				return err
			}
			if withBody {
				const part = 9 << 10 // nearly 1 MiB on a connection
				if err := framer.WriteData(id, false, make([]byte, part)); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

// http2UnendedHeads sends a head in frames of which none ends it.
func http2UnendedHeads(path string) behaviour {
	return func(conn net.Conn, client int) error {
		framer, err := http2Client(conn)
		if err != nil {
			return err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, field := range http2Fields(path, client, 0) {
			if err := encoder.WriteField(field); err != nil {
				return err
			}
		}
		if err := framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes()}); err != nil {
			return err
		}
		for range 60 {
			if err := framer.WriteContinuation(1, false, bytes.Repeat([]byte{0x40, 1, 'a', 1, 'b'}, 200)); err != nil {
				return err
			}
		}
		return nil
	}
}
