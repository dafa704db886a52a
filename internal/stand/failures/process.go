package failures

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

// spawner starts programs from one thread that lives as long as the run: the kernel ends them
// when that thread ends, so that nothing stays behind when the run is killed.
type spawner struct {
	requests chan func()
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.requests {
			start()
		}
	}()
	return s
}

func (s *spawner) start(command *exec.Cmd) error {
	result := make(chan error)
	s.requests <- func() { result <- command.Start() }
	return <-result
}

// program is one real process that is started again after faults.
type program struct {
	name    string
	path    string
	args    []string
	logPath string
	// readyURL answers 200 when the program is ready.
	readyURL string
	spawner  *spawner

	// busy is held by the fault that acts on the program.
	busy sync.Mutex
	mu   sync.Mutex
	// command is nil while the program does not run; ended is closed when it has ended.
	command *exec.Cmd
	ended   chan struct{}
}

// start runs the program and waits until it is ready.
func (p *program) start(ctx context.Context) error {
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open the log of "+p.name)
	}
	defer out.Close()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.spawner.start(command); err != nil {
		return errors.Wrap(err, "start "+p.name)
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

func (p *program) waitReady(ctx context.Context, ended <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !answersOK(ctx, p.readyURL) {
		select {
		case <-ended:
			return errors.Newf("%s ended while it started; see %s", p.name, p.logPath)
		case <-ctx.Done():
			return errors.Newf("%s did not become ready in %v; see %s", p.name, startTimeout, p.logPath)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

// readyTimeout bounds one question whether a program is ready.
const readyTimeout = time.Second

func answersOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

// signal sends the signal to the running process, if there is one.
func (p *program) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		_ = p.command.Process.Signal(signal)
	}
}

// waitEnd waits until the process has ended. It reports false when that takes longer than limit.
func (p *program) waitEnd(limit time.Duration) bool {
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

// kill ends the process at once.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	p.waitEnd(startTimeout)
}
