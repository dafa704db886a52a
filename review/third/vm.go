package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// vm is one entry VM: a process of the project.
type vm struct {
	name, zone, ip             string
	frontend, ready, peersPort string
	// store is the address of the platform's store.
	store    string
	folder   string
	bounds   string
	memoryMB int

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

const defaultBounds = `bounds:
  configuration_ms: 2000
  revocation_ms: 5000
  grace_s: 8
  retry_ratio: 0.2
  retry_slack: 56
`

// The ports that the stand-ins give to VMs are below those that the kernel gives to outgoing connections.
const (
	firstPort = 20000
	portCount = 12000
)

// freePort returns a port that is free on all of the addresses.
func freePort(ips ...string) int {
	for range 100 {
		port := firstPort + rand.IntN(portCount)
		if !slices.ContainsFunc(ips, func(ip string) bool { return !isFree(ip, port) }) {
			return port
		}
	}
	fatal("no free port on %v", ips)
	return 0
}

func isFree(ip string, port int) bool {
	address := net.JoinHostPort(ip, strconv.Itoa(port))
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}

func (v *vm) writeSettings() {
	text := fmt.Sprintf(`vm:
  name: %q
  zone: %q
  region: "r-1"
  address: %q
callers:
  listen: %q
readiness:
  listen: %q
metrics:
  listen: "%s:%d"
peers:
  port: %s
platform:
  address: %q
limits:
  memory_mb: %d
  open_files: 4100
%s`, v.name, v.zone, v.ip, v.frontend, v.ready, v.ip, freePort(v.ip), v.peersPort, v.store, v.memoryMB, v.bounds)
	if err := os.WriteFile(v.settingsFile(), []byte(text), 0o600); err != nil {
		fatal("settings: %v", err)
	}
}

func (v *vm) settingsFile() string { return filepath.Join(v.folder, v.name+".yaml") }

// start starts the process with the command of the deploy file.
func (v *vm) start(firstStart bool) {
	log, err := os.OpenFile(filepath.Join(v.folder, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fatal("log: %v", err)
	}
	command := exec.Command(filepath.Join(root(), "target/godwitcartd"), "--deployment")
	command.Dir = root()
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITCART_NODE_FILE=" + v.settingsFile(), fmt.Sprintf("GODWITCART_FIRST_START=%v", firstStart)}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		fatal("start %s: %v", v.name, err)
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		log.Close()
		close(exited)
	}()
	v.mu.Lock()
	v.command, v.exited = command, exited
	v.mu.Unlock()
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.command != nil {
		_ = v.command.Process.Signal(s)
	}
}

func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	<-v.exited
}

// isReady asks the VM as the platform does.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) awaitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if v.isReady() {
			return
		}
	}
	fatal("%s is not ready after %v", v.name, limit)
}
