package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryLimit is limits.memory_mb of the settings: the platform kills a process that exceeds it (DEPLOY.md).
	memoryLimit = 134 << 20
	// bodyBytes is a little less than max_body_bytes of the configuration.
	bodyBytes = 4_194_304 - 64
)

// residentBytes returns the memory that the process occupies.
func (v *vm) residentBytes() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", v.command.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// watchMemory kills the process when it exceeds its limit, as the platform does, and notes the most that it occupied.
func (v *vm) watchMemory(done <-chan struct{}) {
	most := 0
	defer func() { v.w.note("%s occupied %d MB at most", v.name, most>>20) }()
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := v.residentBytes()
		most = max(most, used)
		if used > memoryLimit {
			v.w.note("the platform kills %s: it occupies %d MB", v.name, used>>20)
			v.signal(syscall.SIGKILL)
			return
		}
	}
}

// playMemory sends streams to two entry VMs at once, far fewer than the model replicas have slots for. With trouble their bodies
// are as large as max_body_bytes of the configuration allows.
func playMemory(w *world, trouble bool) ([]string, error) {
	shared, err := startModels(w, func(int, *replica) {})
	if err != nil {
		return nil, err
	}
	if err := w.startVMs("a", "127.0.0.51", "127.0.0.52"); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	clients := []*client{w.newClient(w.vms[0]), w.newClient(w.vms[1])}
	var watching sync.WaitGroup
	for _, v := range w.vms {
		watching.Go(func() { v.watchMemory(done) })
	}
	if trouble {
		w.note("DISRUPTION the clients send bodies of %d bytes; max_body_bytes is 4194304", bodyBytes)
		for _, c := range clients {
			c.bodyBytes = bodyBytes
		}
	}
	for i := range 70 {
		clients[i%2].send(http.MethodPost, "/price-sheet/1", 39*time.Second, map[string]string{
			"X-Model": "m", "X-Token-Usage": "1500,600", "X-Prefix-Hash": fmt.Sprintf("5c1e07a2:47,%08x:32", i),
		})
		time.Sleep(60 * time.Millisecond)
	}
	for _, c := range clients {
		c.wg.Wait()
	}
	close(done)
	watching.Wait()
	var breaks []string
	for _, c := range clients {
		if lost := lostAttempts(c, shared.all); len(lost) > allowedLosses {
			breaks = append(breaks, fmt.Sprintf("%s passed %d requests on to sound replicas and closed their channels without a whole answer: %v", c.to.name, len(lost), lost))
		}
	}
	return breaks, nil
}

// allowedLosses is how often RULES.md, LOST, lets a machine close the channel of a request that it has passed on.
const allowedLosses = 3

// lostAttempts returns the client's attempts that a replica ran and whose channel ended without a whole answer.
func lostAttempts(c *client, replicas []*replica) []string {
	ran := make(map[string]bool)
	for _, r := range replicas {
		r.mu.Lock()
		for _, current := range r.runs {
			ran[current.attempt] = true
		}
		r.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var lost []string
	for _, o := range c.outcomes {
		if o.err != nil && ran[o.attempt] {
			lost = append(lost, o.attempt)
		}
	}
	return lost
}
