package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// world is a small deployment of stand-ins and entry VMs on loopback addresses.
type world struct {
	store  *store
	vms    []*vm
	folder string

	recordMu sync.Mutex
	record   *os.File
	begun    time.Time
}

var current *world

// fatal ends the case as one that could not run.
func fatal(format string, arguments ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", arguments...)
	if current != nil {
		current.log("cannot run: "+format, arguments...)
		current.end()
	}
	os.Exit(2)
}

// root is the root of the project.
func root() string {
	if folder := os.Getenv("PROJECT_ROOT"); folder != "" {
		return folder
	}
	folder, _ := os.Getwd()
	return folder
}

func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// newWorld starts the store and prepares entry VMs, one for each zone that is named.
func newWorld(zones ...string) *world {
	folder, err := os.MkdirTemp("", "review-third-")
	if err != nil {
		fatal("folder: %v", err)
	}
	path := os.Getenv("RECORD")
	if path == "" {
		path = filepath.Join(folder, "record.txt")
	}
	record, err := os.Create(path)
	if err != nil {
		fatal("record: %v", err)
	}
	w := &world{store: newStore(), folder: folder, record: record, begun: time.Now()}
	current = w
	w.endOnSignal()
	block := 1 + os.Getpid()%250
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.%d.%d", block, i+1))
	}
	peers := strconv.Itoa(freePort(ips...))
	for i, zone := range zones {
		ip := ips[i]
		name := fmt.Sprintf("edge-%s-%d", zone, i+1)
		w.vms = append(w.vms, &vm{
			name: name, zone: zone, ip: ip, folder: folder, peersPort: peers, bounds: defaultBounds, memoryMB: 134,
			frontend: fmt.Sprintf("%s:%d", ip, freePort(ip)), ready: fmt.Sprintf("%s:%d", ip, freePort(ip)),
			store: w.store.listen(),
		})
	}
	return w
}

// endOnSignal ends the case as one that could not run when it is told to stop.
func (w *world) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		fatal("signal: %v", <-signals)
	}()
}

// start starts all VMs and waits until they are ready.
func (w *world) start() {
	for _, v := range w.vms {
		v.writeSettings()
		v.start(true)
	}
	for _, v := range w.vms {
		v.awaitReady(15 * time.Second)
	}
	time.Sleep(2 * time.Second) // the VMs hear of each other
	w.log("%d entry VMs are ready", len(w.vms))
}

// log writes a line to the record.
func (w *world) log(format string, arguments ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%9.3f  %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, arguments...))
}

// end ends all processes that were started.
func (w *world) end() {
	for _, v := range w.vms {
		if v.command != nil {
			v.kill()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Fprintln(os.Stderr, "kept:", w.folder)
	}
	w.record.Close()
}

// finish ends the case: with status 1 if the rule was broken, 0 if it held.
func (w *world) finish(broken bool, format string, arguments ...any) {
	verdict := "the rule held"
	if broken {
		verdict = "THE RULE WAS BROKEN"
	}
	w.log("%s: %s", verdict, fmt.Sprintf(format, arguments...))
	fmt.Printf("%s: %s\n", verdict, fmt.Sprintf(format, arguments...))
	w.end()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}
