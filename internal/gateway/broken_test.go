package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// protocols are the protocols of callers. Responses without a length end with the connection in HTTP/1.0, with the last
// chunk in HTTP/1.1 and with the stream in HTTP/2.
var protocols = []string{"HTTP/1.0", "HTTP/1.1", "HTTP/2"}

// received is a response as a caller sees it.
type received struct {
	status int
	body   string
	// whole is false if the caller sees that the response broke off.
	whole bool
	// endsWithConnection is true if the body has neither a length nor chunks.
	endsWithConnection bool
}

// read sends the call by the protocol and reads the response to its end. started is called after the head; a response that
// breaks off in its head has no status.
func (h *harness) read(protocol string, c call, started func()) received {
	h.t.Helper()
	if c.method == "" {
		c.method = http.MethodPost
	}
	send := h.sendHTTP1
	if protocol == "HTTP/2" {
		send = h.sendHTTP2
	}
	response, err := send(protocol, c)
	if err != nil {
		return received{}
	}
	defer response.Body.Close()
	started()
	body, err := io.ReadAll(response.Body)
	return received{
		status: response.StatusCode, body: string(body), whole: err == nil,
		endsWithConnection: target.EndsWithConnection(response),
	}
}

func (h *harness) sendHTTP1(protocol string, c call) (*http.Response, error) {
	conn, err := net.Dial("tcp", h.entryVMs[c.entryVM].Listener.Addr().String())
	require.NoError(h.t, err)
	h.t.Cleanup(func() { conn.Close() })
	head := fmt.Sprintf("%s %s %s\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", c.method, c.path, protocol, acmeKey, len(c.body))
	for name, value := range c.header {
		head += name + ": " + value + "\r\n"
	}
	_, err = conn.Write([]byte(head + "\r\n" + c.body))
	require.NoError(h.t, err)
	return http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
}

func (h *harness) sendHTTP2(_ string, c call) (*http.Response, error) {
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	h.t.Cleanup(transport.CloseIdleConnections)
	outbound, err := http.NewRequest(c.method, h.entryVMs[c.entryVM].URL+c.path, strings.NewReader(c.body))
	require.NoError(h.t, err)
	outbound.Header.Set("Authorization", "Bearer "+acmeKey)
	for name, value := range c.header {
		outbound.Header.Set(name, value)
	}
	return transport.RoundTrip(outbound)
}

const longStreamBody = `{"model":"letter","prompt":"len=3000","stream":true}`

// cancelAttempts makes the first engine end its generations.
func (h *harness) cancelAttempts() {
	for _, attempt := range h.engineAttempts() {
		outbound := httptest.NewRequest(http.MethodDelete, enginewire.PathAttempts+attempt.AttemptID, nil)
		h.engines[0].Handler().ServeHTTP(httptest.NewRecorder(), outbound)
	}
}

func (h *harness) stopFirstEntryVM() {
	ended, cancel := context.WithCancel(h.t.Context())
	cancel()
	h.gateways[0].Drain(ended)
}

// Each stream fails after its head; its end on the wire must not be that of a complete one.
func TestFailedStreamEndsAsComplete(t *testing.T) {
	ways := map[string]struct {
		header map[string]string
		fail   func(*harness)
	}{
		"the engine ends the generation": {fail: (*harness).cancelAttempts},
		"the deadline passes":            {header: map[string]string{"Godwitcart-Deadline-Ms": "300"}, fail: func(*harness) {}},
		"the entry VM stops":             {fail: (*harness).stopFirstEntryVM},
	}
	for name, way := range ways {
		for _, protocol := range protocols {
			t.Run(name+"/"+protocol, func(t *testing.T) {
				h := newHarness(t)
				c := call{path: "/v1/completions", body: longStreamBody, header: way.header}
				answer := h.read(protocol, c, func() { way.fail(h) })
				require.Equal(t, http.StatusOK, answer.status)
				require.False(t, answer.whole)
				require.NotContains(t, answer.body, "[DONE]")
				if protocol != "HTTP/1.0" {
					require.Contains(t, answer.body, "event: error")
				}
			})
		}
	}
}

// Streams that are complete or handed over end in order.
func TestCompleteStreamEndsAsBroken(t *testing.T) {
	for _, protocol := range protocols {
		t.Run(protocol, func(t *testing.T) {
			h := newHarness(t)
			answer := h.read(protocol, call{path: "/v1/completions", body: streamBody}, func() {})
			require.True(t, answer.whole)
			require.Contains(t, answer.body, "[DONE]")
			resumable := call{path: "/v1/completions", body: longStreamBody, header: map[string]string{"Godwitcart-Resumable": "true"}}
			answer = h.read(protocol, resumable, func() { go h.gateways[0].Drain(t.Context()) })
			require.True(t, answer.whole)
			require.Contains(t, answer.body, "event: reconnect")
		})
	}
}

// addRawService makes a server that writes the answer and ends the connection the only target of the plain service. With
// reset it resets the connection.
func (h *harness) addRawService(answer string, reset bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	h.t.Cleanup(func() { listener.Close() })
	h.placer["counter-api"] = []target.Address{{Name: "raw", HostPort: listener.Addr().String()}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go writeRaw(conn, answer, reset)
		}
	}()
}

func writeRaw(conn net.Conn, answer string, reset bool) {
	defer conn.Close()
	outbound, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, outbound.Body)
	_, _ = conn.Write([]byte(answer))
	if reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
}

// The end of each response on the caller's wire must tell whether it is whole, in each framing.
func TestBrokenPlainResponseEndsAsComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	ways := map[string]struct {
		answer string
		reset  bool
		whole  bool
	}{
		"a length, short":         {answer: head + "Content-Length: 9\r\n\r\nhello"},
		"a length, without body":  {answer: head + "Content-Length: 9\r\n\r\n"},
		"a length":                {answer: head + "Content-Length: 5\r\n\r\nhello", whole: true},
		"chunks, cut":             {answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"},
		"chunks, cut in the last": {answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"},
		"chunks, without body":    {answer: head + "Transfer-Encoding: chunked\r\n\r\n"},
		"chunks":                  {answer: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", whole: true},
		"neither, reset":          {answer: head + "\r\nhello", reset: true},
		"neither":                 {answer: head + "\r\nhello", whole: true},
	}
	for name, way := range ways {
		for _, protocol := range protocols {
			t.Run(name+"/"+protocol, func(t *testing.T) {
				h := newHarness(t)
				h.addRawService(way.answer, way.reset)
				answer := h.read(protocol, call{path: "/services/counter-api/x", body: "1"}, func() {})
				if strings.HasSuffix(name, "without body") {
					require.Equal(t, http.StatusBadGateway, answer.status)
					require.Contains(t, answer.body, "outcome_unknown")
					return
				}
				require.Equal(t, way.whole, answer.whole, answer.body)
				if strings.HasPrefix(name, "neither") && protocol != "HTTP/2" {
					require.True(t, answer.endsWithConnection, "the service did not state the end")
				}
			})
		}
	}
}
