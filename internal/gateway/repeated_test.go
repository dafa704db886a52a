package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
	"godwitcart/internal/wire/enginewire"
)

// repeatingTarget refuses the first call on each connection. Later calls on the connection run, and are answered by the
// earlier refusal once more.
type repeatingTarget struct {
	target.Address
	ran atomic.Int64
	// namesAttempt adds the attempt to the refusals.
	namesAttempt bool
}

func newRepeatingTarget(t *testing.T, namesAttempt bool) *repeatingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	faulty := &repeatingTarget{namesAttempt: namesAttempt}
	faulty.Address = target.Address{Name: "repeating", HostPort: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go faulty.serve(conn)
		}
	}()
	return faulty
}

func (r *repeatingTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if refusal == "" {
			refusal = r.refusal(request)
		} else {
			_, _ = io.Copy(io.Discard, request.Body)
			r.ran.Add(1)
		}
		_, _ = conn.Write([]byte(refusal))
	}
}

// refusal returns a refusal of the call. That of a plain call has no body, so that its connection is kept.
func (r *repeatingTarget) refusal(request *http.Request) string {
	attempt, body := request.Header.Get(enginewire.HeaderAttempt), ""
	if attempt == "" {
		attempt, body = engineAttemptOf(request), `{"kind":"queue_full","message":"no room"}`
	}
	head := "HTTP/1.1 429 Too Many Requests\r\nGodwitcart-Refused: queue_full\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	if r.namesAttempt {
		head += "Godwitcart-Attempt: " + attempt + "\r\n"
	}
	return head + "\r\n" + body
}

// engineAttemptOf returns the attempt that a call to an engine is for.
func engineAttemptOf(request *http.Request) string {
	var generation enginewire.GenerationRequest
	_ = json.NewDecoder(request.Body).Decode(&generation)
	if generation.AttemptID != "" {
		return generation.AttemptID
	}
	return strings.TrimPrefix(request.URL.Path, enginewire.PathAttempts)
}

// The target runs a call and writes the refusal of an earlier one once more on the kept connection.
func TestRepeatedRefusalIsTakenForAnotherCall(t *testing.T) {
	calls := map[string]call{
		"generation":             {path: "/v1/completions", body: `{"model":"sheet","prompt":"len=8"}`},
		"stream":                 {path: "/v1/completions", body: streamBody},
		"generation to run once": {path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`},
		"plain call":             {method: http.MethodGet, path: "/services/counter-api/card"},
		"plain call to run once": {path: "/services/counter-api/order", body: "1"},
	}
	for name, c := range calls {
		for _, namesAttempt := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/named=%v", name, namesAttempt), func(t *testing.T) {
				h := newHarness(t)
				faulty := newRepeatingTarget(t, namesAttempt)
				for service := range h.placer {
					h.placer[service] = []target.Address{faulty.Address}
				}
				for _, warmUp := range []call{calls["generation"], calls["plain call"]} {
					requireError(t, h.do(warmUp), http.StatusServiceUnavailable, "overloaded")
				}
				ranBefore := faulty.ran.Load()
				response := h.do(c)
				if faulty.ran.Load() > ranBefore {
					requireError(t, response, http.StatusBadGateway, "outcome_unknown")
				} else {
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				}
			})
		}
	}
}

// The first target runs the request and repeats an earlier refusal; the second is sound.
func TestRepeatedRefusalRunsRequestTwice(t *testing.T) {
	for _, namesAttempt := range []bool{true, false} {
		t.Run(fmt.Sprintf("named=%v", namesAttempt), func(t *testing.T) {
			h := newHarness(t)
			faulty := newRepeatingTarget(t, namesAttempt)
			h.placer["letters"] = append([]target.Address{faulty.Address}, h.placer["letters"]...)
			h.placer["godwit-lm"] = []target.Address{faulty.Address}
			h.do(call{path: "/v1/completions", body: `{"model":"sheet","prompt":"len=8"}`})
			ranBefore := faulty.ran.Load()
			h.do(call{path: "/v1/completions", body: `{"model":"letter","prompt":"len=8"}`})
			require.LessOrEqual(t, int(faulty.ran.Load()-ranBefore)+len(h.engineAttempts()), 1)
		})
	}
}
