package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to record.txt, one line each.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, started: time.Now()}
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program because the case could not be played.
type cannotRun struct{ reason string }

func check(err error) {
	if err != nil {
		panic(cannotRun{err.Error()})
	}
}

func require(condition bool, format string, args ...any) {
	if !condition {
		panic(cannotRun{fmt.Sprintf(format, args...)})
	}
}

// world is a small deployment: a store, entry machines that run the daemon, and replicas.
type world struct {
	*record
	trouble bool
	store   *store
	nodes   []*node
	bounds  map[string]string // of the settings, where a case has its own

	root     string // the repository
	dir      string // temporary
	network  string // the first three bytes of all addresses
	nextHost int
	ports    ports
	closed   bool
}

// ports are the same on all machines.
type ports struct{ frontend, ready, metrics, peers, store, replica int }

// node is one entry machine.
type node struct {
	world   *world
	name    string
	zone    string
	ip      string
	proxy   string
	process *exec.Cmd
	exited  chan struct{}
}

func newWorld(r *record, trouble bool) *world {
	root, err := os.Getwd()
	check(err)
	dir, err := os.MkdirTemp("", "review")
	check(err)
	w := &world{record: r, trouble: trouble, root: root, dir: dir, nextHost: 10, bounds: map[string]string{}}
	w.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	base := 20000 + rand.IntN(100)*100
	w.ports = ports{frontend: base, ready: base + 1, metrics: 9464, peers: base + 2, store: base + 3, replica: base + 4}
	w.store = newStore(w.address(w.host(), w.ports.store))
	return w
}

func (w *world) host() string {
	w.nextHost++
	return fmt.Sprintf("%s%d", w.network, w.nextHost)
}

func (w *world) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.kill()
	}
	os.RemoveAll(w.dir)
}

func (w *world) addNode(zone string) *node {
	n := &node{world: w, name: fmt.Sprintf("edge-%s-%d", zone, len(w.nodes)+1), zone: zone, ip: w.host()}
	w.nodes = append(w.nodes, n)
	return n
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// settings renders the template of the deploy file for the node.
func (n *node) settings() string {
	w := n.world
	values := map[string]string{
		"node_name|json": quote(n.name), "zone|json": quote(n.zone), "region|json": quote("region-1"), "ip|json": quote(n.ip), "ip": n.ip,
		"listen.frontend|json": quote(w.address(n.ip, w.ports.frontend)), "listen.ready|json": quote(w.address(n.ip, w.ports.ready)),
		"port_range.0": fmt.Sprint(w.ports.peers), "platform.address|json": quote(w.store.address), "limits.memory_mb": "134", "limits.max_fds": "4100",
		"bounds.config_ms": "2000", "bounds.revoke_ms": "5000", "bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_slack": "56",
		"bounds.evacuate_ms": "", "bounds.cold_overage": "", "bounds.cold_slack": "",
	}
	for name, value := range w.bounds {
		values[name] = value
	}
	template, err := os.ReadFile(filepath.Join(w.root, "deploy/settings.yaml.tmpl"))
	check(err)
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
		value, known := values[found[2:len(found)-2]]
		require(known, "the template names %s, which the case does not know", found)
		return value
	})
	if n.proxy != "" {
		text += "targets:\n  proxy: " + quote(n.proxy) + "\n"
	}
	return text
}

func quote(text string) string { return fmt.Sprintf("%q", text) }

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// start runs the command of the deploy file.
func (n *node) start() {
	deploy, err := os.ReadFile(filepath.Join(n.world.root, "deploy/system.toml"))
	check(err)
	found := runLine.FindSubmatch(deploy)
	require(found != nil, "deploy/system.toml names no command")
	words := strings.Fields(string(found[1]))
	path := filepath.Join(n.world.dir, n.name+".yaml")
	check(os.WriteFile(path, []byte(n.settings()), 0o600))
	output, err := os.OpenFile(filepath.Join(n.world.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer output.Close()
	n.process = exec.Command(filepath.Join(n.world.root, words[0]), words[1:]...)
	n.process.Dir, n.process.Stdout, n.process.Stderr = n.world.root, output, output
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	n.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.world.dir, "LANG=C", "GODWITCART_NODE_FILE=" + path}
	check(n.startUnlessClosed())
	exited, process := make(chan struct{}), n.process
	n.exited = exited
	n.world.log("%s starts, pid %d", n.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		n.world.log("%s ended: %v", n.name, err)
		close(exited)
	}()
}

// startUnlessClosed starts no process once the others have been ended.
func (n *node) startUnlessClosed() error {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	if n.world.closed {
		return fmt.Errorf("the case has ended")
	}
	return n.process.Start()
}

func (n *node) signal(s syscall.Signal) {
	n.world.log("%s gets signal %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	if n.process == nil {
		return
	}
	select {
	case <-n.exited:
		return
	default:
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// waitReady waits until the readiness check answers 200.
func (n *node) waitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + n.world.address(n.ip, n.world.ports.ready) + "/v1/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			n.world.log("%s is ready", n.name)
			return
		}
	}
	panic(cannotRun{n.name + " did not become ready"})
}

func (n *node) frontend() string { return n.world.address(n.ip, n.world.ports.frontend) }

// startAll starts all nodes and waits until they are ready and know each other.
func (w *world) startAll() {
	for _, n := range w.nodes {
		n.start()
	}
	for _, n := range w.nodes {
		n.waitReady(10 * time.Second)
	}
	time.Sleep(3 * time.Second)
}

// resets reports whether the error says that the peer reset the channel, as opposed to an orderly end.
func resets(err error) bool {
	return err != nil && (strings.Contains(err.Error(), "reset by peer") || strings.Contains(err.Error(), "broken pipe"))
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
