//go:build crowd

package crowd

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/platform"
	"godwitcart/platform/platformtest"
)

const (
	host   = platformtest.Host
	apiKey = "key-1"
	// lookupPath is that of a plain service, and noRoutePath leads nowhere.
	lookupPath, noRoutePath = "/lookup/1", "/none/1"
	// ordinaryBody is the length of the body of the ordinary request in a deployment, far below the limit.
	ordinaryBody = 200 << 10
	// maxWait bounds how long an ordinary caller waits before it comes back.
	maxWait = time.Second
)

// deployment is one entry VM of a deployment with its platform and one target.
type deployment struct {
	*process
	callers, readiness, metrics, tunnels string
	client                               *http.Client
}

func startDeployment(t *testing.T, files int) *deployment {
	t.Helper()
	d := platformtest.NewDeployment()
	store := httptest.NewServer(d.Store)
	t.Cleanup(store.Close)
	t.Cleanup(store.CloseClientConnections)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	target := &http.Server{Handler: d.Add("p1", listener.Addr().String(), platformtest.PlainService, "regina-a"), ErrorLog: log.New(io.Discard).StandardLog()}
	go target.Serve(listener)
	t.Cleanup(func() { target.Close() })
	configuration := platformtest.Configuration(3, apiKey)
	configuration["limits"].(map[string]any)["max_body_bytes"] = bodyLimit
	d.Store.Put("config", "main", configuration)
	v := &deployment{callers: freeAddress(t), readiness: freeAddress(t), metrics: freeAddress(t), tunnels: freeAddress(t)}
	v.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	v.process = startProcess(t, fmt.Sprintf(`
vm: {name: vm-1, zone: regina-a, region: sk, address: 127.0.0.1}
callers: {listen: %q}
readiness: {listen: %q}
metrics: {listen: %q}
peers: {port: %d}
platform: {address: %q}
limits: {memory_mb: %d, open_files: %d}
first_start: true
`, v.callers, v.readiness, v.metrics, portOf(t, v.tunnels), store.Listener.Addr().String(), memoryMB, files), files, nil, []string{"--deployment"})
	v.awaitReady("http://" + v.readiness + platform.PathReady)
	return v
}

// awaitReady waits until the URL answers with status 200.
func (p *process) awaitReady(url string) {
	p.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitTimeout}
	require.Eventually(p.t, func() bool {
		response, err := client.Get(url)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitTimeout, 50*time.Millisecond)
}

// requireOrdinaryAnswer requires that an ordinary request is answered with 200 by a caller that comes back after refusals and
// closed connections, as clients do.
func requireOrdinaryAnswer(t *testing.T, client *http.Client, newRequest func() *http.Request) {
	t.Helper()
	reasons := make(map[string]int)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
		response, err := client.Do(newRequest())
		if err != nil {
			reasons[err.Error()]++
			time.Sleep(maxWait / 10)
			continue
		}
		body, err := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusOK && err == nil {
			return
		}
		reasons[response.Status+" "+string(body)]++
		seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		time.Sleep(min(maxWait, max(maxWait/10, time.Duration(seconds*float64(time.Second)))))
	}
	require.Fail(t, "no ordinary request is answered", "%v", reasons)
}

// attempts counts the ordinary requests.
var attempts int

func (v *deployment) ordinary() *http.Request {
	attempts++
	request, err := http.NewRequest(http.MethodPost, "http://"+v.callers+lookupPath, strings.NewReader(strings.Repeat("x", ordinaryBody)))
	require.NoError(v.t, err)
	platformtest.SetCallerHeaders(request, fmt.Sprintf("ordinary-%d", attempts), apiKey, 8*time.Second)
	return request
}

// meet lets a crowd come to the listener and gives the verdict: in its presence and after it has left.
func (v *deployment) meet(address string, behave behaviour) {
	v.t.Helper()
	v.watch(portOf(v.t, address))
	c := gather(v.t, address, behave)
	requireOrdinaryAnswer(v.t, v.client, v.ordinary)
	c.leave()
	requireOrdinaryAnswer(v.t, v.client, v.ordinary)
	v.verdict()
}

// TestCrowdOfCallers guards against clients of a deployment that make the process run out of memory or take all its
// connections: heads cost many times their bytes and belonged to no account, and nobody who holds a place without using it
// lost it.
func TestCrowdOfCallers(t *testing.T) {
	for _, test := range []struct {
		name   string
		files  int
		behave behaviour
	}{
		{"legal heads of short lines", openFiles, legalHeads(lookupPath)},
		{"legal heads without a route", openFiles, legalHeads(noRoutePath)},
		{"long heads of one name", openFiles, longHeads(lookupPath)},
		{"heads without end", openFiles, unendedHeads(lookupPath)},
		{"lines without end", openFiles, unendedLines(lookupPath)},
		{"empty lines without end", openFiles, emptyLines(lookupPath)},
		{"bodies with a length", openFiles, largeBodies(lookupPath, false)},
		{"bodies in chunks", openFiles, largeBodies(lookupPath, true)},
		{"small bodies held", openFiles, heldBodies(lookupPath)},
		{"requests in a row", openFiles, smallRequestsInARow(noRoutePath)},
		{"connections without a request", fewOpenFiles, silence},
		{"connections idle after an answer", fewOpenFiles, idleAfterAnswer(noRoutePath)},
		{"connections whose answers are not read", fewOpenFiles, smallRequestsInARow(noRoutePath)},
		{"connections short of the end of a head", fewOpenFiles, shortOfHeadEnd(lookupPath)},
		{"connections short of the end of a body", fewOpenFiles, heldBodies(lookupPath)},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := startDeployment(t, test.files)
			v.meet(v.callers, test.behave)
		})
	}
}

// TestCrowdAtOtherListeners guards against the same at the listeners for the platform, for metrics and for other VMs.
func TestCrowdAtOtherListeners(t *testing.T) {
	for name, address := range map[string]func(*deployment) string{
		"readiness": func(v *deployment) string { return v.readiness },
		"metrics":   func(v *deployment) string { return v.metrics },
		"tunnels":   func(v *deployment) string { return v.tunnels },
	} {
		for _, test := range []struct {
			name   string
			files  int
			behave behaviour
		}{
			{"legal heads of short lines", openFiles, legalHeads("/metrics")},
			{"heads without end", openFiles, unendedHeads("/metrics")},
			{"connections without a request", fewOpenFiles, silence},
		} {
			t.Run(name+"/"+test.name, func(t *testing.T) {
				v := startDeployment(t, test.files)
				v.meet(address(v), test.behave)
			})
		}
	}
}

// TestLegalRequestAlone guards against limits that refuse a legal request in calm: a head and a body of the largest legal size.
func TestLegalRequestAlone(t *testing.T) {
	v := startDeployment(t, openFiles)
	v.watch(portOf(t, v.callers))
	requireOrdinaryAnswer(t, v.client, v.ordinary)
	conn, err := net.Dial("tcp4", v.callers)
	require.NoError(t, err)
	defer conn.Close()
	head := start("POST", lookupPath, 1) + fmt.Sprintf("X-Deadline-Ms: 8000\r\nContent-Length: %d\r\n", bodyLimit)
	head += shortLines(16<<10 - len(head) - 8)
	_, err = io.WriteString(conn, head+"\r\n"+strings.Repeat("x", bodyLimit))
	require.NoError(t, err)
	answer := make([]byte, 4<<10)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	n, err := conn.Read(answer)
	require.NoError(t, err)
	require.Contains(t, string(answer[:n]), "HTTP/1.1 200", "%s", answer[:n])
	v.verdict()
}
