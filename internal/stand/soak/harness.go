package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/stand/rig"
	"godwitcart/platform"
	"godwitcart/platform/platformtest"
)

// The time bounds in the VMs' settings. They are short so that a run reaches them often.
const (
	configurationBound = 2 * time.Second
	revocationBound    = 3 * time.Second
	graceBound         = 6 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// vm is one entry VM.
type vm struct {
	*rig.Program
	zone          string
	callerAddress string
	// address is the IP address that targets see.
	address string
	// builds holds which build the VM has run from when on.
	builds []buildPeriod
	// storeLink connects the VM to the platform's store, and targetPath to the targets.
	storeLink  *rig.Link
	targetPath *rig.Path
	// inRotation is set while the load balancer sends new connections to the VM.
	inRotation atomic.Bool
}

// targetSlot is an address at which targets run in succession.
type targetSlot struct {
	link   *rig.Link
	zone   string
	target atomic.Pointer[platformtest.Target]
	// faultMu is held by the fault that affects the slot.
	faultMu sync.Mutex
}

// harness holds the stand-ins, the entry VMs and the recorded calls, faults and violations of a run.
type harness struct {
	options Options
	*platformtest.Deployment
	ports       *rig.PortPool
	spawner     *rig.Spawner
	servers     []*http.Server
	vms         []*vm
	slots       []*targetSlot
	keys        keyRing
	targetCount atomic.Int64
	// brittleMu is held while targets are brittle, and cutMu while VMs are cut off from all targets: never all of them.
	brittleMu, cutMu sync.Mutex
	// evacuationMu is held while a zone is in evacuation.
	evacuationMu sync.Mutex
	// partCrashes is set once callers send prompts with crashingPart, and requestCrashes once they repeat requests under which
	// targets crash.
	partCrashes, requestCrashes atomic.Bool
	// faultKinds are the kinds of fault that are drawn.
	faultKinds []string
	// hesitating counts the active times in which engines hesitate to go on from copies.
	hesitating atomic.Int64
	// version is the number of the software version of the targets that start.
	version atomic.Int64

	mu     sync.Mutex
	calls  []*call
	limits []limitPeriod
	// checkedWindows counts the windows in which a limit was checked.
	checkedWindows int
	faults         []fault
	// crashes holds when targets crashed, by cause.
	crashes map[crashCause][]time.Time
	// pathCuts are the cuts of VMs from all targets, and checkedCutCalls counts the calls of VMs that were cut off.
	pathCuts        []pathCut
	checkedCutCalls int
	brittleTimes    []brittleTime
	evacuations     []evacuation
	colds           []coldTime
	// wrongContinuations holds the names of the wrong answers by which targets went on with calls, by call.
	wrongContinuations map[string]string
	// hesitated holds the calls with which an engine hesitated to go on.
	hesitated map[string]bool
	// coldArrivals counts the requests that reached cold engines.
	coldArrivals int
	violations   []Violation
}

func newHarness(options Options) (*harness, error) {
	kinds, err := chooseKinds(options.Faults)
	if err != nil {
		return nil, err
	}
	ports, err := rig.NewPortPool()
	if err != nil {
		return nil, err
	}
	return &harness{options: options, Deployment: platformtest.NewDeployment(), crashes: make(map[crashCause][]time.Time), wrongContinuations: make(map[string]string),
		hesitated: make(map[string]bool), faultKinds: kinds, ports: ports, spawner: rig.NewSpawner()}, nil
}

// start starts the stand-ins and all VMs and waits until the VMs are ready.
func (h *harness) start(ctx context.Context) error {
	storeAddress, err := h.startServer(h.Store)
	if err != nil {
		return err
	}
	for i := range h.options.Engines + h.options.PlainTargets {
		service := platformtest.EngineService
		if i >= h.options.Engines {
			service = platformtest.PlainService
		}
		if err := h.addSlot(zones[i%len(zones)], service); err != nil {
			return err
		}
	}
	h.DeclareCold(coldPerSecond, coldStart)
	h.keys.issue(h, 3)
	digestAddress, err := h.ports.Address()
	if err != nil {
		return err
	}
	for i := range h.options.VMs {
		if err := h.addVM(i, storeAddress, digestAddress); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range h.vms {
		group.Go(func() error { return v.Start(ctx) })
	}
	return group.Wait()
}

// startServer serves a stand-in at a free address and returns the address.
func (h *harness) startServer(handler http.Handler) (string, error) {
	address, err := h.ports.Address()
	if err != nil {
		return "", err
	}
	server := &http.Server{Addr: address, Handler: handler}
	h.servers = append(h.servers, server)
	go server.ListenAndServe()
	return address, nil
}

func (h *harness) newLink(destination string) (*rig.Link, error) {
	address, err := h.ports.Address()
	if err != nil {
		return nil, err
	}
	return rig.NewLink(address, destination)
}

func (h *harness) addSlot(zone, service string) error {
	slot := &targetSlot{zone: zone}
	address, err := h.startServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { slot.target.Load().ServeHTTP(rw, r) }))
	if err != nil {
		return err
	}
	if slot.link, err = h.newLink(address); err != nil {
		return err
	}
	h.slots = append(h.slots, slot)
	h.register(slot, h.newTarget(slot, service), service)
	return nil
}

// newTarget returns a new target for the slot.
func (h *harness) newTarget(slot *targetSlot, service string) *platformtest.Target {
	number := h.targetCount.Add(1)
	id := fmt.Sprintf("t-%d", number)
	target := platformtest.NewTarget(id, slot.link.Address, h.Cluster)
	target.Version = fmt.Sprintf("v%d", h.version.Load())
	if service == platformtest.PlainService {
		target.Slots = plainSlots
		target.SetRoom(plainSlots, plainQueue, plainWorkTime)
	}
	target.SetFraming(h.chooseFraming(number))
	target.SetIgnoresCloses(h.ignoresCloses(number))
	target.SetHesitation(h.hesitation(number))
	h.setCrashes(slot, target)
	return target
}

// register starts the target in the slot and adds it to the platform's list.
func (h *harness) register(slot *targetSlot, target *platformtest.Target, service string) {
	slot.target.Store(target)
	h.Register(target, service, slot.zone)
}

func (h *harness) addVM(i int, storeAddress, digestAddress string) error {
	link, err := h.newLink(storeAddress)
	if err != nil {
		return err
	}
	pathAddress, err := h.ports.Address()
	if err != nil {
		return err
	}
	address := fmt.Sprintf("127.0.0.%d", i+1)
	path, err := rig.NewPath(pathAddress, address)
	if err != nil {
		return err
	}
	v := &vm{address: address, zone: zones[i%len(zones)], storeLink: link, targetPath: path}
	addresses := make([]string, 3)
	for j := range addresses {
		if addresses[j], err = h.ports.Address(); err != nil {
			return err
		}
	}
	v.callerAddress = addresses[0]
	name := fmt.Sprintf("vm-%d", i+1)
	// Builds that came before the record of software versions refuse settings with it; where they began, streams are not in it.
	firstStart := ""
	if h.options.ProductionBinaries == "" {
		firstStart = "first_start: true\n"
	}
	text := firstStart + fmt.Sprintf(`vm: {name: %s, zone: %s, region: region, address: %s}
callers: {listen: "%s"}
readiness: {listen: "%s"}
metrics: {listen: "%s"}
peers: {port: %s}
platform: {address: "%s"}
targets: {proxy: "%s"}
bounds: {configuration_ms: %d, revocation_ms: %d, grace_s: %g, retry_ratio: 0.2, retry_slack: 100%%s}
`, name, v.zone, address, addresses[0], addresses[1], addresses[2], portOf(digestAddress), link.Address, path.Address,
		configurationBound.Milliseconds(), revocationBound.Milliseconds(), graceBound.Seconds())
	// Builds that came before the bounds on evacuations and cold targets refuse settings with them.
	bounds := map[bool]string{true: "", false: fmt.Sprintf(", evacuation_ms: %d, cold_overage: %g, cold_slack: %d", evacuationBound.Milliseconds(), coldOverage, coldSlack)}
	for isProduction, added := range bounds {
		if err := os.WriteFile(h.settingsFile(name, isProduction), fmt.Appendf(nil, text, added), 0o644); err != nil {
			return errors.Wrap(err, "write settings")
		}
	}
	v.Program = &rig.Program{
		Name:    name,
		LogPath: filepath.Join(h.options.Directory, name+".log"), ReadyURL: "http://" + addresses[1] + platform.PathReady, Spawner: h.spawner,
	}
	h.vms = append(h.vms, v)
	h.useBuild(v, h.options.ProductionBinaries != "")
	return nil
}

func (h *harness) stop() {
	for _, v := range h.vms {
		v.Kill()
		v.storeLink.Close()
		v.targetPath.Close()
	}
	for _, slot := range h.slots {
		slot.link.Close()
	}
	for _, server := range h.servers {
		_ = server.Close()
	}
	h.spawner.Close()
	h.ports.Close()
}

// keyRing holds all API keys issued during the run, including revoked ones.
type keyRing struct {
	mu      sync.Mutex
	version int
	keys    []*key
}

type key struct {
	text      string
	addedAt   time.Time
	revoked   bool
	revokedAt time.Time
}

// issue adds count new keys and publishes them.
func (r *keyRing) issue(h *harness, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range count {
		r.keys = append(r.keys, &key{text: fmt.Sprintf("key-%d", len(r.keys)+1), addedAt: time.Now()})
	}
	r.publish(h)
}

// revokeOldest revokes the oldest valid key and publishes the change.
func (r *keyRing) revokeOldest(h *harness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if !k.revoked {
			k.revoked = true
			r.publish(h)
			k.revokedAt = time.Now()
			return
		}
	}
}

// publish stores the next version of the configuration with the valid keys. The caller holds mu.
func (r *keyRing) publish(h *harness) {
	r.version++
	var valid []string
	for _, k := range r.keys {
		if !k.revoked {
			valid = append(valid, k.text)
		}
	}
	h.Configure(r.version, valid...)
}

// republish stores a new configuration version with the same content.
func (r *keyRing) republish(h *harness) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(h)
}

// pick returns a copy of one of the four newest keys at random, which may be revoked already.
func (r *keyRing) pick(random *rand.Rand) key {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.keys[max(0, len(r.keys)-4):]
	return *recent[random.IntN(len(recent))]
}

// current returns the present state of the key.
func (r *keyRing) current(text string) key {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if k.text == text {
			return *k
		}
	}
	return key{}
}
