package rig

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// readyPollInterval is the interval of the readiness checks while a program starts.
const readyPollInterval = 50 * time.Millisecond

// startTimeout bounds the time until a started program is ready, and the wait for the exit of a killed one.
const startTimeout = 30 * time.Second

// Spawner starts programs from one OS thread that lives as long as the run. Programs have SIGKILL as their
// parent-death signal, which the kernel sends when that thread exits, so none survive a killed run.
type Spawner struct {
	requests chan func()
}

// NewSpawner returns a Spawner and starts its thread.
func NewSpawner() *Spawner {
	s := &Spawner{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for runOnThread := range s.requests {
			runOnThread()
		}
	}()
	return s
}

// Close ends the thread; the kernel kills the programs that it started and that still run.
func (s *Spawner) Close() { close(s.requests) }

func (s *Spawner) start(command *exec.Cmd) error {
	result := make(chan error)
	s.requests <- func() { result <- command.Start() }
	return <-result
}

// Program is a process that can be restarted after faults.
type Program struct {
	Name    string
	Path    string
	Args    []string
	LogPath string
	// ReadyURL responds with status 200 when the program is ready.
	ReadyURL string
	Spawner  *Spawner

	// FaultMu is held by the fault that affects the program.
	FaultMu sync.Mutex
	mu      sync.Mutex
	// command is nil before the first start; exited is closed when the process has exited.
	command *exec.Cmd
	exited  chan struct{}
}

// Start starts the program, appends its output to the log and waits until it is ready.
func (p *Program) Start(ctx context.Context) error {
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the log of "+p.Name)
	}
	defer out.Close()
	command := exec.Command(p.Path, p.Args...)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Spawner.start(command); err != nil {
		return errors.Wrap(err, "start "+p.Name)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.command, p.exited = command, exited
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return p.waitReady(ctx, exited)
}

func (p *Program) waitReady(ctx context.Context, exited <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !p.IsReady(ctx) {
		select {
		case <-exited:
			return errors.Newf("%s ended before it was ready; see %s", p.Name, p.LogPath)
		case <-ctx.Done():
			return errors.Newf("%s did not become ready within %v; see %s", p.Name, startTimeout, p.LogPath)
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// readyTimeout bounds one readiness check.
const readyTimeout = time.Second

// IsReady checks whether ReadyURL responds with status 200.
func (p *Program) IsReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.ReadyURL, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends the signal to the process if one was started. It ignores errors, such as that the process has exited.
func (p *Program) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// IsRunning reports whether the process was started and has not exited.
func (p *Program) IsRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// WaitExit waits until the process has exited. It returns false if that takes longer than limit.
func (p *Program) WaitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill sends SIGKILL and waits for the process to exit.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	p.WaitExit(startTimeout)
}
