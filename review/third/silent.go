package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of a small deployment that the case judges by.
const (
	contactTime = 3 * time.Second // contact_ms
	configTime  = 2 * time.Second // config_ms
	// keepAliveTime is how long after the last byte on a silent channel the VM's own TCP keep-alive ends it: one second, and two
	// probes a second apart without an answer.
	keepAliveTime = 3 * time.Second
	// judgeMargin is the time between the reading of the clock and the first byte of a request.
	judgeMargin = 50 * time.Millisecond
)

// silentCase: the open channels between the VMs and the store go silent for good while new ones work, and a configuration
// follows that leads a route to another service and takes a key away. Afterwards requests are sent on that route and with that key.
func silentCase() {
	w := newWorld("a", "b", "c")
	models := []string{"lm-1", "lm-2", "lm-3"}
	configuration := func(version int, service string, keys ...string) map[string]any {
		moved := routeSpec("moved", "/app/", "unsafe", service, 1500, 300, 1)
		moved["anonymous"] = true
		routes := []map[string]any{moved, routeSpec("desk", "/desk/", "unsafe", "new", 1500, 300, 1)}
		services := []map[string]any{plainService("old"), plainService("new")}
		for _, name := range models {
			route := routeSpec(name, "/"+name+"/", "streaming", name, 6000, 1500, 2)
			route["stream_resume"] = true
			routes, services = append(routes, route), append(services, plainService(name))
		}
		return configSpec(version, routes, services, map[string][]string{"t1": keys, "t2": {"key-t2"}})
	}
	w.store.put("config", "main", configuration(3, "old", "key-stays", "key-withdrawn"))
	var old, all []*replica
	for _, service := range append([]string{"old", "new"}, models...) {
		for i, zone := range []string{"a", "b", "c"} {
			r := w.newReplica(service, fmt.Sprintf("i-%s-%d", service, i), zone)
			if strings.HasPrefix(service, "lm") {
				r.work = (&streamWork{events: 4, gap: 20 * time.Millisecond}).serve
			}
			r.register("ready")
			all = append(all, r)
			if service == "old" {
				old = append(old, r)
			}
		}
	}
	var ways []*proxy
	for _, v := range w.vms {
		p := newProxy(v.store)
		ways = append(ways, p)
		v.store = p.address()
	}
	w.start()
	w.resumeStreams(models)
	time.Sleep(2 * time.Second)

	silencedAt := time.Now()
	if hasTrouble() {
		for i, p := range ways {
			w.log("the %d open channels between %s and the store go silent; new ones work", p.silence(), w.vms[i].name)
		}
		time.AfterFunc(keepAliveTime, func() {
			for i, p := range ways {
				w.log("keep-alive ends %d silent channels of %s on which nothing is awaited", p.endIdle(), w.vms[i].name)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	w.store.put("config", "main", configuration(8, "new", "key-stays"))
	confirmedAt := time.Now()
	w.log("the store confirms version 8: /app/ leads to service new, key-withdrawn is gone")

	judgedFrom := confirmedAt.Add(configTime)
	if inTouch := silencedAt.Add(contactTime); hasTrouble() && inTouch.After(judgedFrom) {
		judgedFrom = inTouch
	}
	judgedFrom = judgedFrom.Add(judgeMargin)
	w.log("machines are in touch, and version 8 is due, for what is sent from %.3f s on", judgedFrom.Sub(w.begun).Seconds())
	sent := &sentRequests{at: make(map[string]time.Time)}
	var clients sync.WaitGroup
	for _, v := range w.vms {
		clients.Go(func() {
			w.keepAsking(v, request{method: http.MethodPost, path: "/app/x", body: "order", deadlineMS: 1500}, "moved", sent, silencedAt.Add(9*time.Second))
		})
		clients.Go(func() {
			w.keepAsking(v, request{method: http.MethodPost, path: "/desk/x", key: "key-withdrawn", body: "order", deadlineMS: 1500}, "withdrawn", sent, silencedAt.Add(9*time.Second))
		})
	}
	clients.Wait()
	byOld, byKey := sent.judge(w, old, "moved", judgedFrom), sent.judge(w, all, "withdrawn", judgedFrom)
	w.finish(byOld+byKey > 0, "sent later than config_ms after the confirmation, by machines in touch: %d requests ran at the service that the route has left, %d ran with the withdrawn key; %d sent in all", byOld, byKey, len(sent.at))
}

// resumeStreams has clients at each VM lose their channel within a stream of each model and resume it on a new one.
func (w *world) resumeStreams(models []string) {
	var clients sync.WaitGroup
	for _, v := range w.vms {
		for _, model := range models {
			clients.Go(func() {
				q := request{method: http.MethodPost, path: "/" + model + "/x", key: "key-stays", body: "prompt", deadlineMS: 5000}
				if err := abandonAfter(v, q, newAttempt(), 2); err != nil {
					w.log("stream of %s at %s: %v", model, v.name, err)
					return
				}
				q.header = map[string]string{"Last-Event-Id": "2"}
				resumed := sendOnce(v, q, newAttempt())
				w.log("stream of %s resumed at %s: status %d, whole %v", model, v.name, resumed.status, resumed.isWhole)
			})
		}
	}
	clients.Wait()
}

// sentRequests holds when requests were sent, by attempt.
type sentRequests struct {
	mu   sync.Mutex
	at   map[string]time.Time
	kind map[string]string
	vm   map[string]string
}

// keepAsking sends the request each 25 ms, each time on a new channel.
func (w *world) keepAsking(v *vm, q request, kind string, sent *sentRequests, end time.Time) {
	var open sync.WaitGroup
	for time.Now().Before(end) {
		attempt := newAttempt()
		sent.mu.Lock()
		if sent.kind == nil {
			sent.kind, sent.vm = make(map[string]string), make(map[string]string)
		}
		sent.at[attempt], sent.kind[attempt], sent.vm[attempt] = time.Now(), kind, v.name
		sent.mu.Unlock()
		open.Go(func() {
			got := sendOnce(v, q, attempt)
			w.log("%s request %s sent to %s at %.3f s: status %d, stamp %q, error %v", kind, attempt, v.name, sent.time(attempt).Sub(w.begun).Seconds(), got.status, got.header.Get("X-Response-Stamp"), got.err)
		})
		time.Sleep(25 * time.Millisecond)
	}
	open.Wait()
}

func (s *sentRequests) time(attempt string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[attempt]
}

// judge counts the requests of a kind that were sent from the given time on and ran at one of the replicas.
func (s *sentRequests) judge(w *world, replicas []*replica, kind string, from time.Time) (broken int) {
	last := make(map[string]time.Time)
	for _, r := range replicas {
		r.mu.Lock()
		for _, one := range r.runs {
			sentAt, known := s.at[one.attempt]
			if !known || s.kind[one.attempt] != kind {
				continue
			}
			if vm := s.vm[one.attempt]; sentAt.After(last[vm]) {
				last[vm] = sentAt
			}
			if sentAt.After(from) {
				broken++
			}
		}
		r.mu.Unlock()
	}
	for vm, at := range last {
		w.log("the last %s request at %s that ran was sent at %.3f s", kind, vm, at.Sub(w.begun).Seconds())
	}
	return broken
}
