package soak

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"godwitcart/platform/platformtest"
)

const (
	// breaksOff begins the kinds of fault in which a target breaks every breakEvery-th of its streams off; a Break follows.
	breaksOff  = "target_breaks_off_"
	breakEvery = 3
	// continuesWrongly is the fault in which every continuesEvery-th target answers VMs that go on with a stream there by
	// something else.
	continuesWrongly = "target_continues_wrongly"
	continuesEvery   = 3
	// framingStream is added to the number of a target in the seed of its framing.
	framingStream = 1 << 20
	// maxForeignBytes bounds the foreign text of a stream that is kept.
	maxForeignBytes = 80
)

// chooseFraming returns the framing of a target's answers.
func (h *harness) chooseFraming(target int64) platformtest.Framing {
	random := rand.New(rand.NewPCG(h.options.Seed, framingStream+uint64(target)))
	return platformtest.Framings[random.IntN(len(platformtest.Framings))]
}

// continueWrongly makes some targets answer wrongly, each in another way, when they are to go on with streams.
func (h *harness) continueWrongly(subjectIndex int, duration time.Duration) {
	names := slices.Sorted(maps.Keys(platformtest.WrongContinuations))
	var running sync.WaitGroup
	for i := subjectIndex % continuesEvery; i < len(h.slots); i += continuesEvery {
		running.Go(func() { h.runWrongContinuation(h.slots[i], names[(subjectIndex+i)%len(names)], duration) })
	}
	running.Wait()
}

func (h *harness) runWrongContinuation(slot *targetSlot, name string, duration time.Duration) {
	slot.faultMu.Lock()
	defer slot.faultMu.Unlock()
	target := slot.target.Load()
	defer h.recordFault(continuesWrongly, target.ID)()
	target.SetContinuation(func(t *platformtest.Target, w http.ResponseWriter, r *http.Request) bool {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if after == 0 || platformtest.IsResumedByCaller(r) {
			return false // such an answer is the first that its caller gets, which it then gets as it is
		}
		h.mu.Lock()
		h.wrongContinuations[platformtest.Attempt(r)] = name
		h.mu.Unlock()
		return platformtest.WrongContinuations[name](t, w, r)
	})
	time.Sleep(duration)
	target.SetContinuation(nil)
}

// readEvents reads a stream and records it. The caller disconnects after disconnectAfter events; a negative number means
// never.
func (c *call) readEvents(body io.Reader, disconnectAfter int) {
	reader := bufio.NewReader(body)
	var event strings.Builder
	for c.events != disconnectAfter || c.events == 0 {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		switch {
		case err != nil:
			c.recordEnd(event.String(), err)
			return
		case line == "\n":
			c.recordEvent(event.String())
			event.Reset()
		}
	}
	c.disconnected = true
}

func (c *call) recordEvent(text string) {
	var number, version string
	for line := range strings.Lines(text) {
		line = strings.TrimSuffix(line, "\n")
		if value, found := strings.CutPrefix(line, "id: "); found {
			number = value
		}
		if value, found := strings.CutPrefix(line, "data: "+platformtest.VersionPrefix); found {
			version = value
		}
	}
	received, err := strconv.Atoi(number)
	if err != nil || text != platformtest.EventText(received, c.id, version, c.eventBytes) {
		c.recordForeign(text)
	}
	if err != nil {
		return
	}
	if version != "" {
		c.recordVersion(version)
	}
	c.events++
	if expected := c.resumedAfter + c.events; received != expected && c.orderError == "" {
		c.orderError = fmt.Sprintf("event %s instead of %d", number, expected)
	}
}

// recordEnd records the error that ended the stream, and the text after its last whole event, which may be a part of the next.
func (c *call) recordEnd(text string, err error) {
	c.complete = err == io.EOF
	if !c.complete {
		c.err = err
	}
	next := strings.TrimRight(platformtest.EventText(c.lastEvent()+1, c.id, "", c.eventBytes), "\n") // any version may follow
	isPart := strings.HasPrefix(next, text) || strings.HasPrefix(text, next)
	if text != "" && (!isPart || c.lastEvent() >= c.expectedEvents) {
		c.recordForeign(text)
	}
}

func (c *call) recordForeign(text string) {
	if c.foreign == "" {
		c.foreign = text[:min(len(text), maxForeignBytes)]
	}
}

// isSoundButBroken reports whether the caller has all events of a stream that one of its runs ended in order, with neither
// length nor chunks, and sees it as broken. A target that breaks off ends its connection in the same way.
func (c *call) isSoundButBroken(runs []platformtest.Run) bool {
	return c.streaming && c.err != nil && c.lastEvent() == c.expectedEvents && slices.ContainsFunc(runs, func(run platformtest.Run) bool {
		return run.Framing == platformtest.FramingNone && run.End == platformtest.EndWhole
	})
}

// wasContinuedWrongly reports whether a target answered wrongly when it was to go on with the call's stream.
func (h *harness) wasContinuedWrongly(c *call) bool { return h.wrongContinuations[c.id] != "" }

// precedesEndRules reports whether the call's VM ran the build in production, and a target ended a stream of the call in a way
// which that build need not know.
func (h *harness) precedesEndRules(c *call, runs []platformtest.Run) bool {
	return h.runsProduction(c.vm, c.sentAt) && (h.wasContinuedWrongly(c) ||
		slices.ContainsFunc(runs, func(run platformtest.Run) bool { return run.Framing == platformtest.FramingNone }))
}

// StreamEnds counts streams by what their callers received: whole, ended as complete before the last event, or broken off.
type StreamEnds struct {
	Whole  int `json:"whole"`
	Early  int `json:"early"`
	Broken int `json:"broken"`
}

// countStreamEnds counts the streams that have begun at their callers by the framing and the end of the first run that broke
// off, or of the last run; those that a target continued wrongly by its answer.
func (h *harness) countStreamEnds(r *Report) {
	r.StreamEnds = make(map[string]*StreamEnds)
	for _, c := range h.calls {
		runs := h.Cluster.Runs(c.id)
		if !c.streaming || c.disconnected || c.status != http.StatusOK || len(runs) == 0 {
			continue
		}
		name := h.streamEnd(c, runs)
		if r.StreamEnds[name] == nil {
			r.StreamEnds[name] = &StreamEnds{}
		}
		switch {
		case !c.complete:
			r.StreamEnds[name].Broken++
		case c.lastEvent() < c.expectedEvents:
			r.StreamEnds[name].Early++
		default:
			r.StreamEnds[name].Whole++
		}
		if c.isSoundButBroken(runs) && !h.hasFault(c.vm, c.sentAt, c.endedAt) && !h.hasFault(runs[len(runs)-1].Target, c.sentAt, c.endedAt) {
			r.SoundStreamsBroken++
		}
	}
}

func (h *harness) streamEnd(c *call, runs []platformtest.Run) string {
	if h.wasContinuedWrongly(c) {
		return "next target: " + h.wrongContinuations[c.id]
	}
	broken := slices.IndexFunc(runs, func(run platformtest.Run) bool { return run.End != platformtest.EndWhole })
	if broken < 0 {
		broken = len(runs) - 1
	}
	end := runs[broken].End
	if end == "" {
		end = "left"
	}
	return fmt.Sprintf("%s/%s", runs[broken].Framing, end)
}
