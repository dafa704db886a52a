package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["carrier"] = carrierKilled }

// proxy carries a node's channels to replicas, from the node's address. While it is cut it answers nothing.
type proxy struct {
	world *world
	node  *node
	cut   atomic.Bool
}

func (w *world) addProxy(n *node) *proxy {
	p := &proxy{world: w, node: n}
	n.proxy = w.address(w.host(), w.ports.replica)
	listener, err := net.Listen("tcp4", n.proxy)
	check(err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.carry(conn)
		}
	}()
	return p
}

func (p *proxy) carry(conn net.Conn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if p.cut.Load() {
		_, _ = io.Copy(io.Discard, conn) // silent until the node gives up
		return
	}
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(p.node.ip)}}
	target, err := dialer.Dial("tcp4", request.Host)
	if err != nil {
		fmt.Fprint(conn, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer target.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n")
	var both sync.WaitGroup
	both.Go(func() { join(target, conn) })
	both.Go(func() { join(conn, target) })
	both.Wait()
}

// join copies until the source ends, and ends the destination as the source has ended.
func join(destination, source net.Conn) {
	_, err := io.Copy(destination, source)
	if err != nil {
		resetConn(destination)
		resetConn(source)
		return
	}
	_ = destination.(*net.TCPConn).CloseWrite()
}

// unframed is generation with answers that have no length and end with their channel.
func unframed(prefill, gap time.Duration) func(*call) bool {
	return func(c *call) bool {
		if _, err := io.ReadAll(c.Body); err != nil {
			return false
		}
		events, _ := strconv.Atoi(c.Header.Get("Test-Events"))
		started := c.begin()
		time.Sleep(prefill)
		_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", c.id, c.stamp())
		for i := 1; i <= events && err == nil; i++ {
			time.Sleep(gap)
			_, err = fmt.Fprintf(c.conn, "id: %d\ndata: piece %d of %s\n\n", i, i, c.id)
		}
		c.end(started, err == nil)
		return false
	}
}

// carrierKilled cuts one machine off from the replicas and kills the one through which it reaches them.
func carrierKilled(w *world) []string {
	const events = 180
	serve := unframed(200*time.Millisecond, 30*time.Millisecond)
	for range 3 {
		w.addReplica("lm", "a", 24, serve)
	}
	w.store.put("config/main", configuration(7, []string{"key-1"}, []any{engineService("lm", 34172)},
		route("sheet", "streaming", "lm", map[string]any{"timeout_ms": 39000, "slo_ms": 1800, "priority": 1, "session_affinity": true, "gap_target_ms": 180}),
	))
	taker, carrier := w.addNode("a"), w.addNode("a")
	link := w.addProxy(taker)
	w.addProxy(carrier)
	w.startAll()
	var streams sync.WaitGroup
	var mu sync.Mutex
	var attempts []*attempt
	send := func(count int) {
		streams.Go(func() {
			a := w.send(taker.frontend(), request{method: http.MethodPost, path: "/sheet/1", key: "key-1", budget: 39 * time.Second, body: make([]byte, 3000), header: map[string]string{
				"X-Model": "m", "X-Token-Usage": "3079,940", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,91bd3f06:32,%s:3000", newID()[:8]), "Test-Events": fmt.Sprint(count),
			}})
			mu.Lock()
			defer mu.Unlock()
			attempts = append(attempts, a)
		})
	}
	send(5)
	streams.Wait()
	require(attempts[0].complete, "the first stream isn't served")
	if w.trouble {
		w.log("%s loses its path to the replicas", taker.name)
		link.cut.Store(true)
	}
	for range 6 {
		send(events)
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if w.trouble {
		carrier.signal(syscall.SIGKILL)
	}
	streams.Wait()
	var broken []string
	for _, a := range attempts[1:] {
		last := fmt.Sprintf("piece %d of %s\n", events, a.id)
		if a.complete && a.status == 200 && !strings.Contains(string(a.body), last) {
			broken = append(broken, fmt.Sprintf("ORDER: stream %s ended as complete after %d of %d pieces", a.id, strings.Count(string(a.body), "data: "), events))
		}
	}
	return broken
}
