package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"godwitcart/internal/pause"
	"godwitcart/platform/platformtest"
)

// call is one request and what its caller got.
type call struct {
	id   string
	kind string
	vm   string
	key  key
	// runsOnce says that it must not run twice, and streaming that the answer is a series of events.
	runsOnce, streaming bool
	sentAt, endedAt     time.Time
	deadline            time.Duration
	// left says that the caller went away before the end, and gaveUp that no answer had ended long after the deadline.
	left, gaveUp bool

	status int
	// fromTarget says that a target made the answer.
	fromTarget bool
	// whole says that the answer ended as one that is complete; err says how it broke off.
	whole bool
	err   error
	// events is the number of events that came, wanted how many there are, and disorder the first that was wrong.
	events, wanted int
	disorder       string
	// foreign says that the answer names another request.
	foreign bool
}

const (
	// plainDeadline and streamDeadline are how long callers wait for an answer; the longest stream takes half of it.
	plainDeadline, streamDeadline = 2 * time.Second, 9 * time.Second
	// unansweredAfter is how long after its deadline a caller gives up on an answer.
	unansweredAfter = 3 * time.Second
	// readinessPoll is the time between two looks of the balancer.
	readinessPoll = 500 * time.Millisecond
	// keepsVM is the share of callers that go on at the same VM while their connection lasts.
	keepsVM = 0.7
	// leavesEarly is the share of streams whose caller leaves before the end.
	leavesEarly  = 0.05
	longestThink = 60 * time.Millisecond
)

// watchReadiness leads new connections to VMs that are ready, as the platform's balancer does.
func (w *world) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range w.vms {
			v.inRotation.Store(v.Ready(ctx))
		}
		pause.For(ctx, readinessPoll)
	}
}

// runCaller sends one request after the other over connections that it keeps until they are closed.
func (w *world) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(100+number)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	v := w.vms[number%len(w.vms)]
	for sent := 0; ctx.Err() == nil; sent++ {
		c := &call{id: fmt.Sprintf("c%d-%d", number, sent), vm: v.Name, key: w.keys.draw(random)}
		w.send(client, v, c, random)
		w.mu.Lock()
		w.calls = append(w.calls, c)
		w.mu.Unlock()
		if c.err != nil || c.status == http.StatusServiceUnavailable || random.Float64() > keepsVM {
			v = w.ready(random, v)
		}
		pause.For(ctx, time.Duration(random.Int64N(int64(longestThink))))
	}
}

// ready draws a VM in rotation; it returns the one before where there is none.
func (w *world) ready(random *rand.Rand, before *vm) *vm {
	for range 2 * len(w.vms) {
		if v := w.vms[random.IntN(len(w.vms))]; v.inRotation.Load() {
			return v
		}
	}
	return before
}

// draw fills the call with a request of a drawn kind, and returns its path and what it generates.
func (c *call) draw(random *rand.Rand) (path string, generation platformtest.Generation) {
	switch draw := random.Float64(); {
	case draw < 0.3:
		c.kind, path, c.runsOnce = "lookup", "/lookup/1", true
	case draw < 0.55:
		c.kind, path = "peek", "/peek/1"
	case draw < 0.8:
		c.kind, path, c.runsOnce, c.streaming = "letter", "/letters/1", true, true
	default:
		c.kind, path, c.streaming = "check", "/checks/1", true
	}
	c.deadline = plainDeadline
	if c.streaming {
		c.deadline = streamDeadline
		c.wanted = 5 + random.IntN(150)
		generation = platformtest.Generation{
			PromptTokens: 100 + random.IntN(3000), Events: c.wanted, Gap: time.Duration(1+random.IntN(25)) * time.Millisecond,
		}
	}
	return path, generation
}

// send sends one request of a drawn kind and records what comes back.
func (w *world) send(client *http.Client, v *vm, c *call, random *rand.Rand) {
	path, generation := c.draw(random)
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+unansweredAfter)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callers+path, strings.NewReader("flour"))
	if err != nil {
		panic(err) // the address is the run's own
	}
	request.GetBody = nil // net/http must not send it twice
	platformtest.SetCaller(request, c.id, c.key.text, c.deadline)
	if c.streaming {
		platformtest.SetGeneration(request, generation)
	}
	c.sentAt = time.Now()
	defer func() {
		c.endedAt = time.Now()
		c.gaveUp = ctx.Err() != nil
	}()
	response, err := client.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	made, attempt := platformtest.FromTarget(response)
	c.fromTarget = made
	c.foreign = made && attempt != c.id
	leaveAt := -1
	if c.streaming && random.Float64() < leavesEarly {
		leaveAt = random.IntN(c.wanted)
	}
	c.read(response, leaveAt)
}

// read takes the answer in. The caller leaves after so many events; never, where the number is negative.
func (c *call) read(response *http.Response, leaveAt int) {
	if !c.streaming || response.StatusCode != http.StatusOK {
		_, c.err = io.Copy(io.Discard, response.Body)
		c.whole = c.err == nil
		return
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "id: ")
		if !found {
			continue
		}
		c.events++
		if text != fmt.Sprint(c.events) && c.disorder == "" {
			c.disorder = fmt.Sprintf("event %s in place of %d", text, c.events)
		}
		if c.events == leaveAt {
			c.left = true
			return
		}
	}
	c.err = lines.Err()
	c.whole = c.err == nil
}
