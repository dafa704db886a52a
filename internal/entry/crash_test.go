package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// crashLog records the crashes of engines.
type crashLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

func (l *crashLog) times() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time(nil), l.at...)
}

// crashingEngine is crashingTarget for engines that crash when they begin an answer to a prompt with the part.
func (d *deployment) crashingEngine(name, part string, restartTime time.Duration, crashes *crashLog) {
	d.t.Helper()
	d.crashingTarget(name, "drafter", restartTime, func(engine *platformtest.Target, onCrash func(*platformtest.Target)) {
		engine.SetCrash(part, func(crashed *platformtest.Target) {
			crashes.add()
			onCrash(crashed)
		})
	})
}

// crashingTarget serves targets in succession at one address: prepare tells each what it crashes on, and the next one starts
// restartTime after the crash.
func (d *deployment) crashingTarget(name, service string, restartTime time.Duration, prepare func(target *platformtest.Target, onCrash func(*platformtest.Target))) {
	d.t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(d.t, err)
	address := listener.Addr().String()
	ended := make(chan struct{})
	d.t.Cleanup(func() { close(ended) })
	go func() {
		for boot := 1; listener != nil; boot++ {
			target := d.AddVersion(fmt.Sprintf("%s-%d", name, boot), address, service, zone, "v1")
			server := &http.Server{Handler: target, ErrorLog: log.New(io.Discard).StandardLog()}
			prepare(target, func(*platformtest.Target) { server.Close() })
			served := make(chan struct{})
			go func() {
				_ = server.Serve(listener)
				close(served)
			}()
			select {
			case <-served:
			case <-ended:
				server.Close()
				return
			}
			time.Sleep(restartTime)
			d.Unregister(target.ID)
			listener = listenAgain(address, ended)
		}
	}()
}

// listenAgain listens on the address as soon as it is free; it returns nil once ended is closed.
func listenAgain(address string, ended chan struct{}) net.Listener {
	for {
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return listener
		}
		select {
		case <-ended:
			return nil
		case <-time.After(pollInterval):
		}
	}
}

// arrivalsWith returns when requests with the part reached a target.
func (d *deployment) arrivalsWith(part string) []time.Time {
	var found []time.Time
	for _, target := range d.Targets() {
		for _, arrival := range target.Arrivals() {
			if strings.Contains(arrival.Prefix, part+":") {
				found = append(found, arrival.At)
			}
		}
	}
	return found
}

// The users' bound on a part of prompts that crashes engines: from crashContact after the fifth crash at most
// maxAfterCrashes requests with it reach engines.
const (
	crashContact    = 3 * time.Second
	maxAfterCrashes = 3
)

// TestPromptPartCrashesOneEngineAfterTheOther guards against entry VMs that send requests with a part under which engines
// crash to ever more of them, and against VMs that refuse sound requests with the same other parts.
func TestPromptPartCrashesOneEngineAfterTheOther(t *testing.T) {
	const (
		loadTime = 9 * time.Second
		interval = 150 * time.Millisecond
	)
	d := newDeployment(t)
	var crashes crashLog
	for i := range 12 {
		d.crashingEngine(fmt.Sprintf("engine-%d", i), "bad", 1200*time.Millisecond, &crashes)
	}
	d.configure("key-1")
	vms := d.startFleet(3)
	send := func(v *vm, number int, part string) bool {
		request := v.generation("/checks/1", 3, 10)
		platformtest.SetGenerationHeaders(request, platformtest.Generation{
			PromptTokens: 500, Events: 3, Gap: 10 * time.Millisecond, Prefill: 250 * time.Millisecond,
			Prefix: fmt.Sprintf("common:80,%s:300,own-%d:120", part, number),
		})
		return v.isServed(request)
	}
	var mu sync.Mutex
	soundLate, servedLate := 0, 0
	began := time.Now()
	var callers sync.WaitGroup
	for number := 0; time.Since(began) < loadTime; number++ {
		callers.Go(func() {
			sentAt := time.Now()
			served := send(vms[number%len(vms)], number, fmt.Sprintf("subject-%d", number))
			mu.Lock()
			defer mu.Unlock()
			if times := crashes.times(); len(times) > 0 && sentAt.Sub(times[min(4, len(times)-1)]) > 2*crashContact {
				soundLate++
				if served {
					servedLate++
				}
			}
		})
		if number%2 == 0 {
			callers.Go(func() { send(vms[number/2%len(vms)], -number, "bad") })
		}
		time.Sleep(interval)
	}
	callers.Wait()
	times := crashes.times()
	late := 0
	for _, at := range d.arrivalsWith("bad") {
		if len(times) >= 5 && at.Sub(times[4]) > crashContact {
			late++
		}
	}
	t.Logf("%d crashes; %d requests with the part reached an engine later than %v after the fifth; %d of %d sound requests served then",
		len(times), late, crashContact, servedLate, soundLate)
	require.NotEmpty(t, times)
	require.LessOrEqual(t, late, maxAfterCrashes)
	require.GreaterOrEqual(t, soundLate, 5)
	require.Greater(t, 2*servedLate, soundLate, "sound requests served")
}
