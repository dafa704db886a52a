package soak

import (
	"bytes"
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

// call is one request and the response that its caller received.
type call struct {
	id     string
	kind   string
	vm     string
	apiKey key
	// nonIdempotent requests must not run twice; streaming requests are answered with a stream of events.
	nonIdempotent, streaming bool
	sentAt, endedAt          time.Time
	deadline                 time.Duration
	// disconnected is set when the caller closed the connection before the end, timedOut when the response was still
	// incomplete at responseGrace after the deadline.
	disconnected, timedOut bool

	status int
	// fromTarget is set when a target produced the response, as opposed to godwitcart itself.
	fromTarget bool
	// complete is set when the response ended without an error; err is the error that ended it otherwise.
	complete bool
	err      error
	// events counts the received events out of expectedEvents; orderError describes the first out of order.
	events, expectedEvents int
	orderError             string
	// foreign is the first text of a stream that is no event of the request, and body that of another answer.
	foreign, body string
	// firstAttempt is the id of the attempt that brought the first event of a stream that this call resumes; empty for
	// others. resumedAfter is the last event that its caller had then.
	firstAttempt string
	resumedAfter int
	// versions are the software versions of the events that the caller received, also with earlier attempts.
	versions []string
	// sameVersionTargets is the number of undisturbed targets of the stream's version when it was resumed.
	sameVersionTargets int
	// crashCause is why targets crash under the request, and refusedAsCrashing is set if it was refused for that reason.
	crashCause        crashCause
	refusedAsCrashing bool
	// pace is how the caller reads streams, and eventBytes the data that each event holds beyond the usual.
	pace       readingPace
	eventBytes int
	// chunked is set when the body is sent in chunks, which takes bodyTime.
	chunked  bool
	bodyTime time.Duration
	// mismatched is set when the response carries the ID of another request.
	mismatched bool
}

const (
	// plainDeadline and streamDeadline are the deadlines of requests; the longest stream takes half of its deadline.
	plainDeadline, streamDeadline = 2 * time.Second, 9 * time.Second
	// responseGrace is how long after the deadline a caller still waits for the response.
	responseGrace = 3 * time.Second
	// readinessInterval is the interval of the load balancer's readiness checks.
	readinessInterval = 500 * time.Millisecond
	// keepVMProbability is the probability that a caller sends its next request to the same VM after a success.
	keepVMProbability = 0.7
	// disconnectProbability is the probability that the caller of a stream disconnects before its end.
	disconnectProbability = 0.05
	// maxResumes is how often a caller resumes the same stream.
	maxResumes   = 2
	maxThinkTime = 60 * time.Millisecond
	// prefillTime is the time until the first event of a check.
	prefillTime = 60 * time.Millisecond
	// errorTextBytes bounds the text of an error that is read.
	errorTextBytes = 1 << 10
)

// watchReadiness polls the readiness of the VMs and takes those that aren't ready out of rotation, as the platform's
// load balancer does.
func (h *harness) watchReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		for _, v := range h.vms {
			v.inRotation.Store(v.IsReady(ctx))
		}
		pause.For(ctx, readinessInterval)
	}
}

// runCaller sends requests one at a time until ctx ends, over keep-alive connections.
func (h *harness) runCaller(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(h.options.Seed, uint64(100+number)))
	pace := choosePace(random)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DialContext: pace.dialContext()}}
	defer client.CloseIdleConnections()
	v := h.vms[number%len(h.vms)]
	for sent := 0; ctx.Err() == nil; sent++ {
		c := &call{id: fmt.Sprintf("c%d-%d", number, sent), vm: v.Name, apiKey: h.keys.pick(random), pace: pace}
		generation := h.send(client, v, c, random)
		h.recordCall(c)
		for resumes := 0; resumes < maxResumes && c.canBeResumed() && ctx.Err() == nil; resumes++ {
			v = h.chooseReadyVM(random, v)
			c = h.resume(client, v, c, generation)
		}
		if c.err != nil || c.status == http.StatusServiceUnavailable || random.Float64() > keepVMProbability {
			v = h.chooseReadyVM(random, v)
		}
		pause.For(ctx, time.Duration(random.Int64N(int64(maxThinkTime))))
	}
}

// chooseReadyVM returns a random VM in rotation, or current if it finds none.
func (h *harness) chooseReadyVM(random *rand.Rand, current *vm) *vm {
	for range 2 * len(h.vms) {
		if v := h.vms[random.IntN(len(h.vms))]; v.inRotation.Load() {
			return v
		}
	}
	return current
}

// randomize sets the call's kind and parameters at random and returns the request's path and generation.
func (c *call) randomize(random *rand.Rand) (path string, generation platformtest.Generation) {
	switch draw := random.Float64(); {
	case draw < 0.3:
		c.kind, path, c.nonIdempotent = "lookup", "/lookup/1", true
	case draw < 0.55:
		c.kind, path = "peek", "/peek/1"
	case draw < 0.8:
		c.kind, path, c.nonIdempotent, c.streaming = "letter", "/letters/1", true, true
	default:
		c.kind, path, c.streaming = "check", "/checks/1", true
	}
	c.deadline = plainDeadline
	if c.streaming {
		c.deadline = streamDeadline
		c.expectedEvents = 5 + random.IntN(150)
		generation = platformtest.Generation{
			PromptTokens: 100 + random.IntN(3000), Events: c.expectedEvents, Gap: time.Duration(1+random.IntN(25)) * time.Millisecond,
		}
		c.chooseEventSize(&generation, random)
	}
	c.chooseBody(random)
	return path, generation
}

// send sends one request of a random kind and records the response in c. It returns the generation of a stream.
func (h *harness) send(client *http.Client, v *vm, c *call, random *rand.Rand) platformtest.Generation {
	path, generation := c.randomize(random)
	switch c.kind {
	case "check":
		generation.Prefix, generation.Prefill = h.choosePrefix(c, random), prefillTime
	case "peek":
		path = h.choosePath(c, path, random)
	}
	disconnectAfter := -1
	if c.streaming && random.Float64() < disconnectProbability {
		disconnectAfter = random.IntN(c.expectedEvents)
	}
	h.transmit(client, v, c, path, generation, disconnectAfter)
	return generation
}

// transmit sends the request and records the response in c. The caller disconnects after disconnectAfter events; a
// negative number means never.
func (h *harness) transmit(client *http.Client, v *vm, c *call, path string, generation platformtest.Generation, disconnectAfter int) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline+responseGrace)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+v.callerAddress+path, c.requestBody())
	if err != nil {
		panic(err) // the run chose the address itself
	}
	request.GetBody = nil // keeps net/http from retrying the request on its own
	platformtest.SetCallerHeaders(request, c.id, c.apiKey.text, c.deadline)
	if c.streaming {
		platformtest.SetGenerationHeaders(request, generation)
	}
	if c.firstAttempt != "" {
		platformtest.SetResumeHeaders(request, c.firstAttempt, c.resumedAfter)
	}
	c.sentAt = time.Now()
	defer func() {
		c.endedAt = time.Now()
		c.timedOut = ctx.Err() != nil
	}()
	response, err := client.Do(request)
	if err != nil {
		c.err = err
		return
	}
	defer response.Body.Close()
	c.status = response.StatusCode
	fromTarget, echoedID := platformtest.FromTarget(response)
	c.fromTarget = fromTarget
	c.mismatched = fromTarget && echoedID != c.id
	c.readResponse(response, disconnectAfter)
}

// readResponse reads the response and records it. The caller disconnects after disconnectAfter events; a negative
// number means never.
func (c *call) readResponse(response *http.Response, disconnectAfter int) {
	if !c.streaming || response.StatusCode != http.StatusOK {
		var text bytes.Buffer
		_, c.err = io.Copy(&text, io.LimitReader(response.Body, errorTextBytes))
		c.refusedAsCrashing = strings.Contains(text.String(), blockedText)
		if c.err == nil {
			_, c.err = io.Copy(io.Discard, response.Body)
		}
		c.complete = c.err == nil
		c.body = text.String()
		return
	}
	c.readEvents(c.pace.reader(response.Body), disconnectAfter)
}
