package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/ingress"
	"godwitcart/internal/membudget"
)

// waitTimeout bounds each wait for something that is expected to happen.
const waitTimeout = 20 * time.Second

// guarded is a server behind a guarded listener.
type guarded struct {
	address string
	budget  *membudget.Budget
}

// serve starts a server that echoes bodies, with the limits and a budget of that many bytes. A request to /hold is in service
// until release is closed.
func serve(t testing.TB, budget int64, change func(*ingress.Options), release <-chan struct{}) *guarded {
	t.Helper()
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	g := &guarded{address: inner.Addr().String(), budget: membudget.New(budget)}
	limits := ingress.Limits{HeadBytes: 16 << 10, HeadTime: waitTimeout, IdleTime: waitTimeout}
	options := ingress.Options{Name: "test", Budget: g.budget, MaxConnections: 100, Limits: func() ingress.Limits { return limits }, Logger: log.New(io.Discard)}
	if change != nil {
		change(&options)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Protocols: protocols,
		Handler: ingress.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			if r.URL.Path == "/hold" {
				<-release
			}
			w.Header().Set("Echo", fmt.Sprintf("%s %d", r.URL.Path, len(r.Header)))
			_, _ = w.Write(body)
		})),
		MaxHeaderBytes: 1 << 20, ConnState: ingress.ConnState, ConnContext: ingress.WithConnection, ErrorLog: log.New(io.Discard).StandardLog(),
	}
	go server.Serve(ingress.NewListener(inner, options))
	t.Cleanup(func() { server.Close() })
	return g
}

func (g *guarded) dial(t testing.TB) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn
}

func send(t testing.TB, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func receive(t testing.TB, reader *bufio.Reader) (*http.Response, string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response, string(body)
}

// requireClosed requires that the connection ends without an answer.
func requireClosed(t testing.TB, conn net.Conn) {
	t.Helper()
	n, err := conn.Read(make([]byte, 1))
	require.Zero(t, n)
	require.Error(t, err)
	timeout, isNet := err.(net.Error)
	require.False(t, isNet && timeout.Timeout(), "the connection is still open")
}

func counter(name string) int64 { return metrics.GetOrRegisterCounter("ingress."+name, nil).Count() }

// TestRequestsInARow guards against a guard that loses its place between requests: heads would then be parsed unpaid, or bytes
// lost. Requests with all framings follow each other on a connection in arbitrary pieces.
func TestRequestsInARow(t *testing.T) {
	g := serve(t, 16<<20, nil, nil)
	rapid.Check(t, func(rt *rapid.T) {
		conn, err := net.Dial("tcp4", g.address)
		require.NoError(t, err)
		defer conn.Close()
		require.NoError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
		var text strings.Builder
		var bodies, heads []string
		for i := range rapid.IntRange(1, 5).Draw(rt, "requests") {
			body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1, 100, 5000, 20000}).Draw(rt, "body"))
			fields := rapid.SampledFrom([]int{0, 3, 200, 1500}).Draw(rt, "fields")
			text.WriteString(request(rt, i, body, fields))
			bodies, heads = append(bodies, body), append(heads, fmt.Sprintf("/%d ", i))
		}
		go func() {
			for rest := text.String(); rest != ""; {
				n := min(len(rest), rapid.SampledFrom([]int{1, 7, 1000, 4096, 100000}).Example(len(rest)))
				if _, err := io.WriteString(conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		reader := bufio.NewReader(conn)
		for i, body := range bodies {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				rt.Fatalf("answer %d: %v", i, err)
			}
			got, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != http.StatusOK || string(got) != body || !strings.HasPrefix(response.Header.Get("Echo"), heads[i]) {
				rt.Fatalf("answer %d: status %d, %s, %d bytes of %d, %v", i, response.StatusCode, response.Header.Get("Echo"), len(got), len(body), err)
			}
		}
	})
	require.Eventually(t, func() bool { return g.budget.Used() == 0 }, waitTimeout, 10*time.Millisecond, "all that clients held is released")
}

// request returns a request with the body and number of fields, framed in one of the legal ways.
func request(t *rapid.T, number int, body string, fields int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "POST /%d HTTP/1.1\r\nHost: a\r\n", number)
	for i := range fields {
		fmt.Fprintf(&text, "f%d:\r\n", i)
	}
	if rapid.Bool().Draw(t, "length") {
		fmt.Fprintf(&text, "%s: %d\r\n\r\n%s", rapid.SampledFrom([]string{"Content-Length", "content-length"}).Draw(t, "name"), len(body), body)
		return text.String()
	}
	text.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	size := rapid.SampledFrom([]int{1, 10, 3000}).Draw(t, "chunk")
	if len(body) > 5000 {
		size = 3000
	}
	extension := rapid.SampledFrom([]string{"", ";name=value"}).Draw(t, "extension")
	for rest := body; rest != ""; {
		n := min(size, len(rest))
		fmt.Fprintf(&text, "%x%s\r\n%s\r\n", n, extension, rest[:n])
		rest = rest[n:]
	}
	text.WriteString("0\r\n" + rapid.SampledFrom([]string{"", "Trailer-Field: 0\r\n"}).Draw(t, "trailer") + "\r\n")
	return text.String()
}

// TestHeadsBeyondTheLimit checks the refusal of a head that is too long, whole or without end, and that one of the largest legal
// size is served.
func TestHeadsBeyondTheLimit(t *testing.T) {
	g := serve(t, 16<<20, nil, nil)
	field := func(bytes int) string { return "a: " + strings.Repeat("x", bytes-len("a: \r\n")) + "\r\n" }
	for name, test := range map[string]struct {
		text   string
		status int
	}{
		"legal":       {"GET /1 HTTP/1.1\r\nHost: a\r\n" + field(16<<10-len("Host: a\r\n\r\n")) + "\r\n", http.StatusOK},
		"whole":       {"GET /1 HTTP/1.1\r\nHost: a\r\n" + field(16<<10) + "\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"without end": {"GET /1 HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 16<<10), http.StatusRequestHeaderFieldsTooLarge},
		"first line":  {"GET /" + strings.Repeat("1", 20<<10), http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			conn := g.dial(t)
			send(t, conn, test.text)
			response, _ := receive(t, bufio.NewReader(conn))
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

// TestAmbiguousFraming checks that a request is refused whose length is stated in more than one way.
func TestAmbiguousFraming(t *testing.T) {
	g := serve(t, 16<<20, nil, nil)
	for name, head := range map[string]string{
		"length and chunks": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two lengths":       "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"folded length":     "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n 6\r\n\r\n",
		"no number":         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +5\r\n\r\n",
		"chunks in 1.0":     "POST / HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"two codings":       "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn := g.dial(t)
			send(t, conn, head)
			response, _ := receive(t, bufio.NewReader(conn))
			require.Equal(t, http.StatusBadRequest, response.StatusCode)
		})
	}
}

// TestHeadWithoutMemoryIsRefused checks that a head is refused as not run, with the time to come back, before it is parsed if
// there is no memory for it, and that a request in service keeps its place.
func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	release := make(chan struct{})
	g := serve(t, 1<<20, nil, release)
	head := "POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n" + strings.Repeat("a:\r\n", 1500) + "\r\n"
	served := g.dial(t)
	send(t, served, head)
	require.Eventually(t, func() bool { return g.budget.Used() > 400<<10 }, waitTimeout, time.Millisecond)
	refused := g.dial(t)
	send(t, refused, head)
	response, body := receive(t, bufio.NewReader(refused))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "1", response.Header.Get("Retry-After"))
	require.Contains(t, body, "no memory")
	requireClosed(t, refused)
	ordinary := g.dial(t)
	send(t, ordinary, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	response, _ = receive(t, bufio.NewReader(ordinary))
	require.Equal(t, http.StatusOK, response.StatusCode, "an ordinary request")
	close(release)
	response, _ = receive(t, bufio.NewReader(served))
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestLongestWithoutProgressMakesRoom checks which connection is closed when all places are taken: not one with a whole
// request, and of the others the one that has been longest without progress.
func TestLongestWithoutProgressMakesRoom(t *testing.T) {
	release := make(chan struct{})
	g := serve(t, 16<<20, func(o *ingress.Options) { o.MaxConnections = 3 }, release)
	whole := g.dial(t)
	send(t, whole, "POST /hold HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
	require.Eventually(t, func() bool { return g.budget.Used() > 40<<10 }, waitTimeout, time.Millisecond)
	before := counter("closed_for_descriptors")
	silent := g.dial(t)
	idle := g.dial(t)
	send(t, idle, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = receive(t, bufio.NewReader(idle))
	time.Sleep(100 * time.Millisecond) // both of them make no progress any more
	newer := g.dial(t)
	send(t, newer, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = receive(t, bufio.NewReader(newer))
	requireClosed(t, silent)
	require.Equal(t, before+1, counter("closed_for_descriptors"))
	send(t, idle, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	_, _ = receive(t, bufio.NewReader(idle))
	close(release)
	_, _ = receive(t, bufio.NewReader(whole))
}

// TestLateClientsAreClosed checks the times of the limits: a head that does not end, also after a request, and a connection
// without a request.
func TestLateClientsAreClosed(t *testing.T) {
	g := serve(t, 16<<20, func(o *ingress.Options) {
		o.Limits = func() ingress.Limits {
			return ingress.Limits{HeadBytes: 16 << 10, HeadTime: 50 * time.Millisecond, IdleTime: 100 * time.Millisecond}
		}
	}, nil)
	for name, first := range map[string]string{"nothing": "", "a part of a head": "GET /1 HTTP/1.1\r\nHost:", "a byte": "G"} {
		t.Run(name, func(t *testing.T) {
			conn := g.dial(t)
			send(t, conn, first)
			requireClosed(t, conn)
			conn = g.dial(t)
			send(t, conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			_, _ = receive(t, bufio.NewReader(conn))
			if first != "" {
				_, _ = io.WriteString(conn, first) // an error means that it was closed as idle
			}
			requireClosed(t, conn)
		})
	}
}

// TestEmptyLinesAreBounded checks that empty lines in place of a request end the connection.
func TestEmptyLinesAreBounded(t *testing.T) {
	g := serve(t, 16<<20, nil, nil)
	for _, first := range []string{"", "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"} {
		conn := g.dial(t)
		_, _ = io.WriteString(conn, first+strings.Repeat("\r\n", 1000)) // an error means that it was closed
		_, err := io.Copy(io.Discard, conn)
		timeout, isNet := err.(net.Error)
		require.False(t, isNet && timeout.Timeout(), "the connection is still open")
	}
}

// TestClientThatTakesNoAnswerMakesRoom guards against clients that hold all places with whole requests whose answers they do not
// read.
func TestClientThatTakesNoAnswerMakesRoom(t *testing.T) {
	g := serve(t, 64<<20, func(o *ingress.Options) { o.MaxConnections = 1 }, nil)
	greedy := g.dial(t)
	require.NoError(t, greedy.(*net.TCPConn).SetReadBuffer(4<<10))
	body := strings.Repeat("b", 8<<20) // more than the kernel's buffers hold of the echo
	send(t, greedy, fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	require.Eventually(t, func() bool {
		conn, err := net.Dial("tcp4", g.address)
		if err != nil {
			return false
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(waitTimeout))
		_, _ = io.WriteString(conn, "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n") // an error means that it was refused
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil
	}, waitTimeout, 100*time.Millisecond)
}
