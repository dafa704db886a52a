//go:build crowd

package crowd

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// memoryMB is the memory of the VM, that of the smallest one of a deployment.
	memoryMB = 112
	// openFiles and fewOpenFiles are the descriptors of the VM; fewOpenFiles are less than the crowd's connections need.
	openFiles    = 4100
	fewOpenFiles = 400
	// sampleInterval is the time between two looks at the process.
	sampleInterval = 20 * time.Millisecond
	// waitTimeout bounds each wait for something that is expected to happen.
	waitTimeout = 30 * time.Second
)

// program is the path of godwitcartd as TestMain has built it.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(dir, "godwitcartd")
	build := exec.Command("go", "build", "-ldflags", "-linkmode=external", "-o", program, "godwitcart/cmd/godwitcartd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.RemoveAll(dir)
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running godwitcartd.
type process struct {
	t    *testing.T
	pid  int
	log  *lockedBuffer
	done chan struct{}
	// openFiles is the limit of its descriptors.
	openFiles int
	// port is that of the listener that the crowd meets.
	port int

	stopSampling chan struct{}
	sampling     sync.WaitGroup
	// peakBytes is the most that was resident and unread at once, and peakFiles the most open descriptors.
	peakBytes, peakFiles atomic.Int64
}

type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// tail returns the last bytes of the log.
func (b *lockedBuffer) tail(bytes int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.text.String()
	return text[max(0, len(text)-bytes):]
}

// startProcess starts godwitcartd with the settings and the additional environment. limit is enforced as the limit of its
// descriptors by the kernel.
func startProcess(t *testing.T, settings string, limit int, environment, arguments []string) *process {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
	shell := fmt.Sprintf("ulimit -n %d; exec %s --settings %s %s", limit, program, path, strings.Join(arguments, " "))
	command := exec.Command("sh", "-c", shell)
	command.Env = append(os.Environ(), environment...)
	p := &process{t: t, log: &lockedBuffer{}, done: make(chan struct{}), openFiles: limit, stopSampling: make(chan struct{})}
	command.Stdout, command.Stderr = p.log, p.log
	require.NoError(t, command.Start())
	p.pid = command.Process.Pid
	go func() {
		defer close(p.done)
		_ = command.Wait()
	}()
	t.Cleanup(func() {
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
		<-p.done
		if t.Failed() {
			t.Logf("the end of the log:\n%s", p.log.tail(4000))
		}
	})
	return p
}

// watch samples the process until verdict. port is that of the listener that the crowd meets.
func (p *process) watch(port int) {
	p.port = port
	for _, sample := range []func(){p.sampleMemory, p.sampleFiles} {
		p.sampling.Go(func() {
			for {
				sample()
				select {
				case <-p.stopSampling:
					return
				case <-time.After(sampleInterval):
				}
			}
		})
	}
}

func (p *process) sampleMemory() {
	if resident, err := residentBytes(p.pid, "VmRSS:"); err == nil {
		raise(&p.peakBytes, resident+unreadBytes(p.port))
	}
}

func (p *process) sampleFiles() {
	if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)); err == nil {
		raise(&p.peakFiles, int64(len(files)))
	}
}

func raise(peak *atomic.Int64, value int64) {
	if value > peak.Load() {
		peak.Store(value)
	}
}

// residentBytes returns a field of the process's status.
func residentBytes(pid int, field string) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, field); found {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no field %s", field)
}

// unreadBytes returns how many bytes the kernel holds that the listener's connections have received and not read.
func unreadBytes(port int) int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	suffix := fmt.Sprintf(":%04X", port)
	unread := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const listening = "0A" // the queue of a listener counts connections
		if len(fields) < 5 || !strings.HasSuffix(fields[1], suffix) || fields[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(fields[4], ":")
		bytes, _ := strconv.ParseInt(received, 16, 64)
		unread += bytes
	}
	return unread
}

// verdict requires that the process lives and that memory and descriptors have stayed within the limits of its VM.
func (p *process) verdict() {
	p.t.Helper()
	close(p.stopSampling)
	p.sampling.Wait()
	highest, err := residentBytes(p.pid, "VmHWM:")
	select {
	case <-p.done:
		require.Fail(p.t, "the process has ended")
	default:
	}
	require.NoError(p.t, err)
	peak := max(highest, p.peakBytes.Load())
	p.t.Logf("peak: %d MB resident and unread, %d descriptors", peak>>20, p.peakFiles.Load())
	require.LessOrEqual(p.t, peak, int64(memoryMB)<<20, "resident and unread bytes")
	require.LessOrEqual(p.t, p.peakFiles.Load(), int64(p.openFiles), "open descriptors")
}

// freeAddress returns host:port of a free port on a loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func portOf(t *testing.T, address string) int {
	t.Helper()
	_, port, err := net.SplitHostPort(address)
	require.NoError(t, err)
	number, err := strconv.Atoi(port)
	require.NoError(t, err)
	return number
}
