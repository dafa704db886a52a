package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform/platformtest"
)

const (
	// crashPath is the path of a plain request under which targets crash, and crashPart the last part of the prompt of such a
	// generation.
	crashPath = "/peek/bad"
	crashPart = "bad-own"
	// crashRestartTime is how long a target is down after a crash.
	crashRestartTime = 1500 * time.Millisecond
)

// askPlain sends a plain request and reports whether it was served.
func (v *vm) askPlain(path string) bool { return v.isServed(v.request(http.MethodGet, path, "")) }

// askGeneration sends a generation whose last part is its own and reports whether it was served.
func (v *vm) askGeneration(ownPart string) bool {
	request := v.generation("/checks/1", 3, 10)
	platformtest.SetGenerationHeaders(request, platformtest.Generation{
		PromptTokens: 500, Events: 3, Gap: 10 * time.Millisecond, Prefill: 100 * time.Millisecond, Prefix: fmt.Sprintf("common:80,subject:300,%s:120", ownPart),
	})
	return v.isServed(request)
}

// isServed sends the request and reports whether its answer is a whole success.
func (v *vm) isServed(request *http.Request) bool {
	response, err := v.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// TestRequestEndsOneServerAfterTheOther guards against a request that is sent on and on while each server crashes under it,
// because nothing else is answered meanwhile or because it has no shared part of its own.
func TestRequestEndsOneServerAfterTheOther(t *testing.T) {
	const (
		loadTime    = 12 * time.Second
		badInterval = 200 * time.Millisecond
	)
	cases := map[string]struct {
		service       string
		targets       int
		prepare       func(target *platformtest.Target, onCrash func(*platformtest.Target))
		bad, sound    func(v *vm, number int) bool
		soundInterval time.Duration
		isBad         func(arrival platformtest.Arrival) bool
		// throughOthers is set if the requests come at a VM that reaches targets through others alone.
		throughOthers bool
	}{
		"plain, nothing else is asked for": {
			"counter", 3, crashOnPath, askBadPlain, nil, 0, isBadPlain, false,
		},
		"plain, little else is asked for": {
			"counter", 3, crashOnPath, askBadPlain, func(v *vm, number int) bool { return v.askPlain(fmt.Sprintf("/peek/%d", number)) }, time.Second, isBadPlain, false,
		},
		"generation with nothing but its last part": {
			"drafter", 9, crashOnPart, func(v *vm, _ int) bool { return v.askGeneration(crashPart) },
			func(v *vm, number int) bool { return v.askGeneration(fmt.Sprintf("own-%d", number)) }, 100 * time.Millisecond,
			func(arrival platformtest.Arrival) bool { return strings.Contains(arrival.Prefix, crashPart+":") }, false,
		},
		"plain, at a VM that is cut off": {
			"counter", 3, crashOnPath, askBadPlain, func(v *vm, number int) bool { return v.askPlain(fmt.Sprintf("/peek/%d", number)) }, time.Second, isBadPlain, true,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			var crashes crashLog
			for i := range c.targets {
				d.crashingTarget(fmt.Sprintf("target-%d", i), c.service, crashRestartTime, func(target *platformtest.Target, onCrash func(*platformtest.Target)) {
					c.prepare(target, func(crashed *platformtest.Target) {
						crashes.add()
						onCrash(crashed)
					})
				})
			}
			d.configure("key-1")
			vms := d.startCrashFleet(c.throughOthers)
			began := time.Now()
			var callers sync.WaitGroup
			var sound servedCount
			callers.Go(func() { repeat(vms, began.Add(loadTime), badInterval, c.bad) })
			if c.sound != nil {
				callers.Go(func() { sound.add(repeat(vms, began.Add(loadTime), c.soundInterval, c.sound)) })
			}
			callers.Wait()
			times := crashes.times()
			late := 0
			for _, target := range d.Targets() {
				for _, arrival := range target.Arrivals() {
					if c.isBad(arrival) && len(times) >= 3 && arrival.At.Sub(times[2]) > crashContact {
						late++
					}
				}
			}
			t.Logf("%d crashes; %d bad requests reached a target later than %v after the third; %d of %d others served", len(times), late, crashContact, sound.served, sound.sent)
			require.NotEmpty(t, times)
			require.LessOrEqual(t, late, maxAfterCrashes)
			require.GreaterOrEqual(t, 2*sound.served, sound.sent, "others served")
		})
	}
}

// startCrashFleet starts three VMs, or the one of three that is cut off from the targets.
func (d *deployment) startCrashFleet(throughOthers bool) []*vm {
	d.t.Helper()
	if !throughOthers {
		return d.startFleet(3)
	}
	vms, paths := d.startFleetWithPaths(3)
	paths[0].Cut(rig.Refused)
	return vms[:1]
}

func crashOnPath(target *platformtest.Target, onCrash func(*platformtest.Target)) {
	target.SetCrashPath(crashPath, onCrash)
}

func crashOnPart(target *platformtest.Target, onCrash func(*platformtest.Target)) {
	target.SetCrash(crashPart, onCrash)
}

func askBadPlain(v *vm, _ int) bool { return v.askPlain(crashPath) }

func isBadPlain(arrival platformtest.Arrival) bool { return arrival.Path == crashPath }

// servedCount counts requests and those that were served.
type servedCount struct{ sent, served int }

func (c *servedCount) add(other servedCount) {
	c.sent += other.sent
	c.served += other.served
}

// repeat sends a request to each VM in turn until the end, one each interval, and waits for the answers.
func repeat(vms []*vm, end time.Time, interval time.Duration, ask func(v *vm, number int) bool) servedCount {
	var mu sync.Mutex
	var count servedCount
	var callers sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		callers.Go(func() {
			served := ask(vms[number%len(vms)], number)
			mu.Lock()
			defer mu.Unlock()
			count.sent++
			if served {
				count.served++
			}
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return count
}

// TestOutageRefusesPopularRequest guards against taking the request that makes most of the traffic for the cause of an
// outage: all targets end together several times, and it is on board of each.
func TestOutageRefusesPopularRequest(t *testing.T) {
	const (
		outages       = 4
		outageGap     = 2 * time.Second
		recoveryBound = 5 * time.Second
	)
	d := newDeployment(t)
	ends := make(chan func(), 3*(outages+1))
	for i := range 3 {
		d.crashingTarget(fmt.Sprintf("target-%d", i), "counter", crashRestartTime, func(target *platformtest.Target, onCrash func(*platformtest.Target)) {
			target.SetRoom(24, 24, 60*time.Millisecond)
			ends <- func() { onCrash(target) }
		})
	}
	d.configure("key-1")
	vms := d.startFleet(3)
	ask := func(v *vm, _ int) bool { return v.askPlain("/peek/popular") }
	repeat(vms, time.Now().Add(time.Second), 20*time.Millisecond, ask)
	var callers sync.WaitGroup
	ended := time.Now().Add((outages - 1) * outageGap)
	var after servedCount
	callers.Go(func() {
		repeat(vms, ended.Add(recoveryBound), 20*time.Millisecond, ask)
		after = repeat(vms, time.Now().Add(3*time.Second), 20*time.Millisecond, ask)
	})
	for range outages {
		for range 3 {
			(<-ends)()
		}
		time.Sleep(outageGap)
	}
	callers.Wait()
	require.Equal(t, after.sent, after.served, "requests served later than %v after the last outage", recoveryBound)
}
