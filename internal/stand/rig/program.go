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

// readyPoll is how often a program that starts is asked whether it is ready.
const readyPoll = 50 * time.Millisecond

// startTimeout bounds the start of a program.
const startTimeout = 30 * time.Second

// Spawner starts programs from one thread that lives as long as the run: the kernel ends them
// when that thread ends, so that nothing stays behind when the run is killed.
type Spawner struct {
	requests chan func()
}

// NewSpawner returns a Spawner with its thread.
func NewSpawner() *Spawner {
	s := &Spawner{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.requests {
			start()
		}
	}()
	return s
}

// Close ends the thread; programs that it started and that still run are ended by the kernel.
func (s *Spawner) Close() { close(s.requests) }

func (s *Spawner) start(command *exec.Cmd) error {
	result := make(chan error)
	s.requests <- func() { result <- command.Start() }
	return <-result
}

// Program is one real process that is started again after faults.
type Program struct {
	Name    string
	Path    string
	Args    []string
	LogPath string
	// ReadyURL answers 200 when the program is ready.
	ReadyURL string
	Spawner  *Spawner

	// Busy is held by the fault that acts on the program.
	Busy sync.Mutex
	mu   sync.Mutex
	// command is nil while the program does not run; ended is closed when it has ended.
	command *exec.Cmd
	ended   chan struct{}
}

// Start runs the program and waits until it is ready.
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
	ended := make(chan struct{})
	p.mu.Lock()
	p.command, p.ended = command, ended
	p.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return p.waitReady(ctx, ended)
}

func (p *Program) waitReady(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !p.Ready(ctx) {
		select {
		case <-ended:
			return errors.Newf("%s ended while it started; see %s", p.Name, p.LogPath)
		case <-ctx.Done():
			return errors.Newf("%s did not become ready in %v; see %s", p.Name, startTimeout, p.LogPath)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// readyTimeout bounds one question whether a program is ready.
const readyTimeout = time.Second

// Ready reports whether the program says that it is ready.
func (p *Program) Ready(ctx context.Context) bool {
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

// Signal sends the signal to the running process, if there is one.
func (p *Program) Signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// Running reports whether the process was started and has not ended.
func (p *Program) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// WaitEnd waits until the process has ended. It reports false when that takes longer than limit.
func (p *Program) WaitEnd(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill ends the process at once.
func (p *Program) Kill() {
	p.Signal(syscall.SIGKILL)
	p.WaitEnd(startTimeout)
}
