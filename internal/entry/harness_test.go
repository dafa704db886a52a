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
	// waitTimeout bounds the wait for an expected condition.
	waitTimeout  = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// deployment is a simulated platform with targets on loopback.
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

// target starts a target and adds it to the platform's list.
func (d *deployment) target(id, service string) *platformtest.Target {
	d.t.Helper()
	return d.targetOfVersion(id, service, "v1")
}

// targetOfVersion is target for a version of the target's software.
func (d *deployment) targetOfVersion(id, service, version string) *platformtest.Target {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	target := d.AddVersion(id, listener.Addr().String(), service, zone, version)
	server := &http.Server{Handler: target, ErrorLog: log.New(io.Discard).StandardLog()}
	go server.Serve(listener)
	d.t.Cleanup(func() { server.Close() })
	return target
}

// configure writes the next version of the configuration with the given API keys.
func (d *deployment) configure(keys ...string) {
	d.version += 3
	d.Configure(d.version, keys...)
}

// vm is one running entry VM.
type vm struct {
	t              *testing.T
	entry          *entry.Entry
	callerAddress  string
	readyAddress   string
	metricsAddress string
	client         *http.Client
	stopped        chan struct{}
	// kill ends the VM at once.
	kill context.CancelFunc
}

// listenerCount counts the loopback addresses that freePort has used in this process.
var listenerCount atomic.Uint32

// freePort returns host:port of a free port on a loopback address of its own. On a shared address, a connection of
// another test could take the port before the caller listens on it.
func freePort(t *testing.T) string {
	t.Helper()
	number := listenerCount.Add(1)
	address := fmt.Sprintf("127.%d.%d.%d:0", 64+os.Getpid()%64, number/250, 1+number%250)
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// Peer ports are taken from below the range from which the system chooses ports for connections: one of those could take
// the port before the VMs listen on it.
const firstPeerPort, lastPeerPort = 12000, 32000

// nextPeerPort is where the next search begins. Processes begin at different ports.
var nextPeerPort atomic.Uint32

func init() { nextPeerPort.Store(uint32(os.Getpid() * 61)) }

// peerPort returns a port that was free for digests and for tunnels when it was checked.
func peerPort(t *testing.T) int {
	t.Helper()
	for range lastPeerPort - firstPeerPort {
		port := firstPeerPort + int(nextPeerPort.Add(1))%(lastPeerPort-firstPeerPort)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		digests, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		tunnels, err := net.Listen("tcp4", address)
		digests.Close()
		if err != nil {
			continue
		}
		tunnels.Close()
		return port
	}
	require.Fail(t, "no port is free for peers")
	return 0
}

// start starts an entry VM and waits until it is ready; change may modify its settings.
func (d *deployment) start(name string, change func(*settings.Deployment)) *vm {
	d.t.Helper()
	s := settings.DefaultDeployment()
	s.VM = settings.DeploymentVM{Name: name, Zone: zone, Region: "sk", Address: "127.0.0.1"}
	s.Callers.Listen, s.Readiness.Listen, s.Metrics.Listen = freePort(d.t), freePort(d.t), freePort(d.t)
	s.Platform.Address = d.address
	s.FirstStart = true
	s.Bounds.ConfigurationMillis = 600
	s.Bounds.GraceSeconds = 4
	if change != nil {
		change(s)
	}
	require.Empty(d.t, settings.CheckDeployment(s))
	v := &vm{
		t: d.t, entry: entry.New(s, log.New(io.Discard)), callerAddress: s.Callers.Listen, readyAddress: s.Readiness.Listen, metricsAddress: s.Metrics.Listen,
		client: &http.Client{Transport: &http.Transport{}}, stopped: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.kill = cancel
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
	require.Eventually(d.t, func() bool { return v.readyStatus() == http.StatusOK }, waitTimeout, pollInterval)
	return v
}

func (v *vm) readyStatus() int {
	response, err := v.client.Get("http://" + v.readyAddress + platform.PathReady)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// attemptCount counts the requests made in this process; it makes attempt ids unique.
var attemptCount atomic.Int64

// request returns a caller's request with a unique attempt id.
func (v *vm) request(method, path, body string) *http.Request {
	v.t.Helper()
	request, err := http.NewRequest(method, "http://"+v.callerAddress+path, strings.NewReader(body))
	require.NoError(v.t, err)
	platformtest.SetCallerHeaders(request, fmt.Sprintf("attempt-%d", attemptCount.Add(1)), "key-1", 8*time.Second)
	return request
}

// generation returns a request for a generation that streams the given number of events.
func (v *vm) generation(path string, events, gapMillis int) *http.Request {
	v.t.Helper()
	request := v.request(http.MethodPost, path, "prompt")
	platformtest.SetGenerationHeaders(request, platformtest.Generation{PromptTokens: 500, Events: events, Gap: time.Duration(gapMillis) * time.Millisecond})
	return request
}

// respondNotRun writes the response of a target that did not run the request.
func respondNotRun(w http.ResponseWriter) {
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

// readEvents reads a stream to its end and calls onEvent after each event. It requires the event ids to be 1 to events,
// in order.
func readEvents(t *testing.T, response *http.Response, events int, onEvent func(number int)) {
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
		if onEvent != nil {
			onEvent(number)
		}
	}
	require.NoError(t, lines.Err())
	require.Equal(t, events, number)
}
