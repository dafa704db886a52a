package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/entry"
	"godwitcart/internal/settings"
	"godwitcart/platform"
	"godwitcart/platform/platformtest"
)

const (
	zone = "regina-a"
	host = platformtest.Host
	// patience bounds the wait for something that happens soon.
	patience = 20 * time.Second
	poll     = 10 * time.Millisecond
)

// deployment is a platform with targets, on loopback.
type deployment struct {
	*platformtest.Deployment
	t       *testing.T
	address string
	version int
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{Deployment: platformtest.NewDeployment(), t: t}
	server := httptest.NewServer(d.Store)
	t.Cleanup(server.CloseClientConnections)
	t.Cleanup(server.Close)
	d.address = server.Listener.Addr().String()
	return d
}

// target starts a target and lists it.
func (d *deployment) target(id, service string) *platformtest.Target {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := d.Add(id, listener.Addr().String(), service, zone)
	server := &http.Server{Handler: target, ErrorLog: log.New(io.Discard).StandardLog()}
	go server.Serve(listener)
	d.t.Cleanup(func() { server.Close() })
	return target
}

// configure writes the next version with the keys given.
func (d *deployment) configure(keys ...string) {
	d.version += 3
	d.Configure(d.version, keys...)
}

// vm is one running entry VM.
type vm struct {
	t       *testing.T
	entry   *entry.Entry
	callers string
	ready   string
	metrics string
	client  *http.Client
	stopped chan struct{}
}

// listeners counts the loopback addresses given out in this process.
var listeners atomic.Uint32

// freePort returns host:port of a port that was free a moment ago, on a loopback address of its own: on a shared
// one another test's connection may take the port before it is listened on.
func freePort(t *testing.T) string {
	t.Helper()
	number := listeners.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, number/250, 1+number%250)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// udpPort returns a port on which no datagrams were awaited a moment ago.
func udpPort(t *testing.T) int {
	t.Helper()
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).Port
}

// start runs an entry VM; change may alter its settings. It is ready on return.
func (d *deployment) start(name string, change func(*settings.Deployment)) *vm {
	d.t.Helper()
	s := settings.DefaultDeployment()
	s.VM = settings.DeploymentVM{Name: name, Zone: zone, Region: "sk", Address: "127.0.0.1"}
	s.Callers.Listen, s.Readiness.Listen, s.Metrics.Listen = freePort(d.t), freePort(d.t), freePort(d.t)
	s.Platform.Address = d.address
	s.Bounds.ConfigurationMillis = 600
	s.Bounds.GraceSeconds = 4
	if change != nil {
		change(s)
	}
	require.Empty(d.t, settings.CheckDeployment(s))
	v := &vm{
		t: d.t, entry: entry.New(s, log.New(io.Discard)), callers: s.Callers.Listen, ready: s.Readiness.Listen, metrics: s.Metrics.Listen,
		client: &http.Client{Transport: &http.Transport{}}, stopped: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		defer close(v.stopped)
		if err := v.entry.Run(ctx); err != nil {
			d.t.Errorf("entry VM %s: %v", name, err)
		}
	}()
	d.t.Cleanup(func() {
		cancel()
		<-v.stopped
		v.client.CloseIdleConnections()
	})
	require.Eventually(d.t, func() bool { return v.readiness() == http.StatusOK }, patience, poll)
	return v
}

func (v *vm) readiness() int {
	response, err := v.client.Get("http://" + v.ready + platform.PathReady)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// attempts counts the requests made in this process.
var attempts atomic.Int64

// request returns a caller's request with an attempt id of its own.
func (v *vm) request(method, path, body string) *http.Request {
	v.t.Helper()
	request, err := http.NewRequest(method, "http://"+v.callers+path, strings.NewReader(body))
	require.NoError(v.t, err)
	platformtest.SetCaller(request, fmt.Sprintf("attempt-%d", attempts.Add(1)), "key-1", 8*time.Second)
	return request
}

// generation returns the request of a stream of events.
func (v *vm) generation(path string, events, gapMillis int) *http.Request {
	v.t.Helper()
	request := v.request(http.MethodPost, path, "prompt")
	platformtest.SetGeneration(request, platformtest.Generation{PromptTokens: 500, Events: events, Gap: time.Duration(gapMillis) * time.Millisecond})
	return request
}

// notRun answers as a target that did not run the request.
func notRun(w http.ResponseWriter) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (v *vm) do(request *http.Request) (*http.Response, string) {
	v.t.Helper()
	response, err := v.client.Do(request)
	require.NoError(v.t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(v.t, err)
	return response, string(body)
}

// follow reads a stream to its end and calls seen after each event; it requires the events to be the numbers
// from 1 to events, in order.
func follow(t *testing.T, response *http.Response, events int, seen func(number int)) {
	t.Helper()
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
	lines := bufio.NewScanner(response.Body)
	number := 0
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		number++
		require.Equal(t, fmt.Sprint(number), text, "an event is missing, twice or out of order")
		if seen != nil {
			seen(number)
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, events, number)
}
