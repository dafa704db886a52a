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

// The bounds that the VMs are given; they are short, so that a run meets them often.
const (
	configurationBound = 2 * time.Second
	revocationBound    = 3 * time.Second
	graceBound         = 6 * time.Second
)

var zones = []string{"zone-a", "zone-b", "zone-c"}

// vm is one entry VM.
type vm struct {
	*rig.Program
	zone    string
	callers string
	// store leads to the platform's store.
	store *rig.Link
	// inRotation is set while new connections of callers are led here.
	inRotation atomic.Bool
}

// place is an address where targets run, one after the other.
type place struct {
	link   *rig.Link
	zone   string
	target atomic.Pointer[platformtest.Target]
	// busy is held by the fault that acts on the place.
	busy sync.Mutex
}

// world is everything that takes part in a run.
type world struct {
	options Options
	*platformtest.Deployment
	ports   *rig.PortPool
	spawner *rig.Spawner
	servers []*http.Server
	vms     []*vm
	places  []*place
	keys    keyRing
	targets atomic.Int64

	mu         sync.Mutex
	calls      []*call
	faults     []fault
	violations []Violation
}

func newWorld(options Options) (*world, error) {
	ports, err := rig.NewPortPool()
	if err != nil {
		return nil, err
	}
	return &world{options: options, Deployment: platformtest.NewDeployment(), ports: ports, spawner: rig.NewSpawner()}, nil
}

// start serves the stand-ins and starts all VMs.
func (w *world) start(ctx context.Context) error {
	store, err := w.serve(w.Store)
	if err != nil {
		return err
	}
	for i := range w.options.Engines + w.options.Plain {
		service := platformtest.EngineName
		if i >= w.options.Engines {
			service = platformtest.ServiceName
		}
		if err := w.addPlace(zones[i%len(zones)], service); err != nil {
			return err
		}
	}
	w.keys.add(w, 3)
	digests, err := w.ports.Address()
	if err != nil {
		return err
	}
	for i := range w.options.VMs {
		if err := w.addVM(i, store, digests); err != nil {
			return err
		}
	}
	group, ctx := errgroup.WithContext(ctx)
	for _, v := range w.vms {
		group.Go(func() error { return v.Start(ctx) })
	}
	return group.Wait()
}

// serve serves a stand-in and returns its address.
func (w *world) serve(handler http.Handler) (string, error) {
	address, err := w.ports.Address()
	if err != nil {
		return "", err
	}
	server := &http.Server{Addr: address, Handler: handler}
	w.servers = append(w.servers, server)
	go server.ListenAndServe()
	return address, nil
}

func (w *world) link(destination string) (*rig.Link, error) {
	address, err := w.ports.Address()
	if err != nil {
		return nil, err
	}
	return rig.NewLink(address, destination)
}

func (w *world) addPlace(zone, service string) error {
	p := &place{zone: zone}
	address, err := w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { p.target.Load().ServeHTTP(rw, r) }))
	if err != nil {
		return err
	}
	if p.link, err = w.link(address); err != nil {
		return err
	}
	w.places = append(w.places, p)
	w.occupy(p, service)
	return nil
}

// occupy starts a new target at the place and lists it.
func (w *world) occupy(p *place, service string) {
	id := fmt.Sprintf("t-%d", w.targets.Add(1))
	target := platformtest.NewTarget(id, p.link.Address, w.Cluster)
	p.target.Store(target)
	w.List(target, service, p.zone)
}

func (w *world) addVM(i int, store, digests string) error {
	link, err := w.link(store)
	if err != nil {
		return err
	}
	v := &vm{zone: zones[i%len(zones)], store: link}
	addresses := make([]string, 3)
	for j := range addresses {
		if addresses[j], err = w.ports.Address(); err != nil {
			return err
		}
	}
	v.callers = addresses[0]
	name := fmt.Sprintf("vm-%d", i+1)
	file := filepath.Join(w.options.Directory, name+".yaml")
	text := fmt.Sprintf(`vm: {name: %s, zone: %s, region: region, address: 127.0.0.%d}
callers: {listen: "%s"}
readiness: {listen: "%s"}
metrics: {listen: "%s"}
peers: {port: %s}
platform: {address: "%s"}
bounds: {configuration_ms: %d, revocation_ms: %d, grace_s: %g, retry_ratio: 0.2, retry_slack: 100}
`, name, v.zone, i+1, addresses[0], addresses[1], addresses[2], port(digests), link.Address,
		configurationBound.Milliseconds(), revocationBound.Milliseconds(), graceBound.Seconds())
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return errors.Wrap(err, "write settings")
	}
	v.Program = &rig.Program{
		Name: name, Path: filepath.Join(w.options.Binaries, "godwitcartd"), Args: []string{"--deployment", "--settings", file},
		LogPath: filepath.Join(w.options.Directory, name+".log"), ReadyURL: "http://" + addresses[1] + platform.PathReady, Spawner: w.spawner,
	}
	w.vms = append(w.vms, v)
	return nil
}

func (w *world) stop() {
	for _, v := range w.vms {
		v.Kill()
		v.store.Close()
	}
	for _, p := range w.places {
		p.link.Close()
	}
	for _, server := range w.servers {
		_ = server.Close()
	}
	w.spawner.Close()
	w.ports.Close()
}

// keyRing holds the API keys that were ever given out.
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

// add gives out so many new keys.
func (r *keyRing) add(w *world, count int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for range count {
		r.keys = append(r.keys, &key{text: fmt.Sprintf("key-%d", len(r.keys)+1), addedAt: time.Now()})
	}
	r.write(w)
}

// revokeOldest takes the oldest valid key away.
func (r *keyRing) revokeOldest(w *world) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if !k.revoked {
			k.revoked = true
			r.write(w)
			k.revokedAt = time.Now()
			return
		}
	}
}

// write stores the next version of the configuration; it is called with mu held.
func (r *keyRing) write(w *world) {
	r.version++
	var valid []string
	for _, k := range r.keys {
		if !k.revoked {
			valid = append(valid, k.text)
		}
	}
	w.Configure(r.version, valid...)
}

// rewrite stores a new version with the same content.
func (r *keyRing) rewrite(w *world) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(w)
}

// draw returns a key, at times one that was revoked, and what is known of it now.
func (r *keyRing) draw(random *rand.Rand) key {
	r.mu.Lock()
	defer r.mu.Unlock()
	recent := r.keys[max(0, len(r.keys)-4):]
	return *recent[random.IntN(len(recent))]
}

// now returns what is known of the key by now.
func (r *keyRing) now(text string) key {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, k := range r.keys {
		if k.text == text {
			return *k
		}
	}
	return key{}
}
