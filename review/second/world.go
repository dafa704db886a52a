package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// world is the small deployment of a case.
type world struct {
	startedAt time.Time
	folder    string
	store     *store

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	vms    []*vm
	ended  []func()
	closed sync.Once
}

func newWorld(path string) (*world, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		return nil, err
	}
	w := &world{startedAt: time.Now(), folder: folder, file: file, record: bufio.NewWriter(file)}
	w.store = newStore()
	return w, nil
}

// note writes one line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f ", time.Since(w.startedAt).Seconds())
	fmt.Fprintf(w.record, format+"\n", values...)
}

// close ends all that the case has started, and waits until the processes are gone.
func (w *world) close() {
	w.closed.Do(func() {
		w.mu.Lock()
		vms, ended := slices.Clone(w.vms), slices.Clone(w.ended)
		w.mu.Unlock()
		for _, v := range vms {
			v.end()
		}
		for _, end := range ended {
			end()
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.record.Flush()
		w.file.Close()
		os.RemoveAll(w.folder)
	})
}

// caseTime bounds a case; the longest takes about 70 s.
const caseTime = 115 * time.Second

// endEarly ends the case when it is interrupted or takes too long. If the kernel ends it, the kernel ends its processes too
// (Pdeathsig).
func (w *world) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case received := <-signals:
			w.note("ended by signal %v", received)
		case <-time.After(caseTime):
			w.note("ended after %v", caseTime)
		}
		w.close()
		os.Exit(exitCannotRun)
	}()
}

// atEnd calls end when the case ends.
func (w *world) atEnd(end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, end)
}

// serve starts an HTTP server on a free port of the address and returns its host:port and what ends it.
func (w *world) serve(ip string, handler http.Handler) (address string, end func(), err error) {
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	end = func() { server.Close() }
	w.atEnd(end)
	return listener.Addr().String(), end, nil
}

// vm is one entry VM: a process of the daemon.
type vm struct {
	w       *world
	name    string
	ip      string
	callers string
	ready   string
	setting string
	log     string
	command *exec.Cmd
	done    chan struct{}
}

// settings follow deploy/settings.yaml.tmpl with the bounds of a small installation.
const settings = `vm:
  name: %q
  zone: %q
  region: "r"
  address: %q
callers:
  listen: %q
readiness:
  listen: %q
metrics:
  listen: %q
peers:
  port: %d
platform:
  address: %q
limits:
  memory_mb: 134
  open_files: 4100
bounds:
  configuration_ms: 2000
  revocation_ms: 5000
  grace_s: 8
  retry_ratio: 0.2
  retry_slack: 56
  evacuation_ms:
  cold_overage:
  cold_slack:
`

// freePort returns a port that is free on the addresses for TCP and UDP.
func freePort(ips ...string) (int, error) {
search:
	for range 50 {
		probe, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			return 0, err
		}
		port := probe.Addr().(*net.TCPAddr).Port
		probe.Close()
		for _, ip := range ips {
			address := fmt.Sprintf("%s:%d", ip, port)
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				continue search
			}
			listener.Close()
			packets, err := net.ListenPacket("udp4", address)
			if err != nil {
				continue search
			}
			packets.Close()
		}
		return port, nil
	}
	return 0, fmt.Errorf("no port is free on %v", ips)
}

// startVMs starts one entry VM on each address, all in the zone, and waits until they are ready. Each reaches the store by
// an address of its own.
func (w *world) startVMs(zone string, ips ...string) error {
	var ports [4]int
	for i := range ports {
		port, err := freePort(ips...)
		if err != nil {
			return err
		}
		ports[i] = port
	}
	for i, ip := range ips {
		name := fmt.Sprintf("entry-%d", i+1)
		store, _, err := w.serve("127.0.0.1", w.store.handler(name))
		if err != nil {
			return err
		}
		at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		v := &vm{w: w, name: name, ip: ip, callers: at(ports[0]), ready: at(ports[1])}
		v.setting = filepath.Join(w.folder, name+".yaml")
		v.log = filepath.Join(w.folder, name+".log")
		text := fmt.Sprintf(settings, name, zone, ip, v.callers, v.ready, at(ports[2]), ports[3], store)
		if err := os.WriteFile(v.setting, []byte(text), 0o600); err != nil {
			return err
		}
		if err := v.start(true); err != nil {
			return err
		}
		w.mu.Lock()
		w.vms = append(w.vms, v)
		w.mu.Unlock()
	}
	for _, v := range w.vms {
		if err := v.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process with the command of deploy/system.toml.
func (v *vm) start(first bool) error {
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	v.command = exec.Command("target/godwitcartd", "--deployment")
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.w.folder, "GODWITCART_NODE_FILE=" + v.setting, fmt.Sprintf("GODWITCART_FIRST_START=%t", first)}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	v.done = make(chan struct{})
	v.w.note("%s starts, process %d", v.name, v.command.Process.Pid)
	go func(command *exec.Cmd, done chan struct{}) {
		err := command.Wait()
		v.w.note("%s ended: %v", v.name, err)
		close(done)
	}(v.command, v.done)
	return nil
}

// signal sends a signal to the process.
func (v *vm) signal(sent syscall.Signal) {
	v.w.note("%s gets signal %v", v.name, sent)
	v.command.Process.Signal(sent)
}

func (v *vm) end() {
	v.command.Process.Kill()
	<-v.done
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		if text, err := os.ReadFile(v.log); err == nil {
			os.WriteFile(filepath.Join(keep, v.name+".log"), text, 0o600)
		}
	}
}

func (v *vm) awaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for ctx.Err() == nil {
		answer, err := http.Get("http://" + v.ready + "/v1/readyz")
		if err == nil {
			answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				v.w.note("%s is ready", v.name)
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", v.name)
}
