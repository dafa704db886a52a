package failures

import (
	"cmp"
	"context"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/stand/platform"
	"godwitcart/internal/stand/rig"
	"godwitcart/internal/wire/platformwire"
)

// zones are the availability zones of every run; the members of each kind are assigned to them round-robin.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// The size of the fleet.
const (
	entryCount   = 4
	engineCount  = 4
	serviceCount = 2
)

// The services of the configuration.
const (
	engineService = "godwit-lm"
	plainService  = "counter-api"
)

// member is one entry VM or target of the fleet.
type member struct {
	*rig.Program
	vm platformwire.VM
	// control is the host:port of a target's control listener.
	control string
	// replacements counts how often the member's VM was replaced; nameArgument is the index of the VM's name in Args.
	replacements int
	nameArgument int
}

// maxReplacements bounds the number of replacement names of a member, because the platform views are written before the
// run and list every name. Further replacements reuse the last name.
const maxReplacements = 10

// replacementName returns the name of the member's VM after the given number of replacements.
func replacementName(member string, replacements int) string {
	if replacements == 0 {
		return member
	}
	return member + "-" + strconv.Itoa(replacements)
}

// useReplacementName switches the member to the name of its next VM, which has the same addresses.
func (m *member) useReplacementName() {
	m.replacements = min(m.replacements+1, maxReplacements)
	m.vm.Name = replacementName(m.Name, m.replacements)
	m.Args[m.nameArgument] = m.vm.Name
}

// fleet holds the processes of a run, the links between them, and their ports and files.
type fleet struct {
	// memoryTokens is the number of tokens, prompts included, that the running generations of each engine may hold.
	memoryTokens int

	directory string
	binaries  string
	seed      uint64
	ports     *rig.PortPool
	spawner   *rig.Spawner

	platform        *rig.Program
	platformControl string
	platformListen  string
	// platformViews holds the listen address of the platform's per-zone endpoint, by zone. The endpoint reports
	// member addresses that lead through the zone's links.
	platformViews map[string]string

	entries, engines, services []*member
	// links are keyed by the zone that connections come from and the name of the destination.
	links map[linkKey]*rig.Link
}

type linkKey struct {
	zone, destination string
}

// platformName identifies the platform as the destination of links and the subject of faults.
const platformName = "platform"

// newFleet assigns addresses, opens the links and writes the files. It starts no process.
func newFleet(options Options) (*fleet, error) {
	ports, err := rig.NewPortPool()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		directory: options.Directory, binaries: options.Binaries, seed: options.Seed, ports: ports, spawner: rig.NewSpawner(),
		memoryTokens:  cmp.Or(options.MemoryTokens, defaultMemoryTokens),
		platformViews: make(map[string]string), links: make(map[linkKey]*rig.Link),
	}
	steps := []func() error{f.preparePlatform, f.prepareMembers, f.createLinks, f.writeFiles}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// assignAddresses sets each field to a free address.
func (f *fleet) assignAddresses(fields ...*string) error {
	for _, field := range fields {
		address, err := f.ports.Address()
		if err != nil {
			return err
		}
		*field = address
	}
	return nil
}

func (f *fleet) members() []*member {
	var all []*member
	all = append(all, f.entries...)
	all = append(all, f.engines...)
	return append(all, f.services...)
}

func (f *fleet) entryZones() map[string]string {
	byName := make(map[string]string)
	for _, m := range f.entries {
		byName[m.Name] = m.vm.Zone
	}
	return byName
}

func (f *fleet) targets() []*member {
	return append(append([]*member(nil), f.engines...), f.services...)
}

// createLinks creates a link from each zone to each destination.
func (f *fleet) createLinks() error {
	for _, zone := range zones {
		if err := f.addLink(zone, platformName, f.platformViews[zone]); err != nil {
			return err
		}
		for _, m := range f.members() {
			destination := m.vm.Address
			if m.vm.PeerAddress != "" {
				destination = m.vm.PeerAddress
			}
			if err := f.addLink(zone, m.Name, destination); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) addLink(zone, destination, address string) error {
	listen, err := f.ports.Address()
	if err != nil {
		return err
	}
	link, err := rig.NewLink(listen, address)
	f.links[linkKey{zone, destination}] = link
	return err
}

// linksTo returns the links of all zones to a member.
func (f *fleet) linksTo(name string) []*rig.Link {
	var links []*rig.Link
	for _, zone := range zones {
		links = append(links, f.links[linkKey{zone, name}])
	}
	return links
}

// linksAcross returns the links between a zone and everything outside it.
func (f *fleet) linksAcross(zone string) []*rig.Link {
	links := []*rig.Link{f.links[linkKey{zone, platformName}]}
	for _, m := range f.members() {
		for _, from := range zones {
			if (from == zone) != (m.vm.Zone == zone) {
				links = append(links, f.links[linkKey{from, m.Name}])
			}
		}
	}
	return links
}

// platformView returns the member addresses that the platform reports to a zone: those of the zone's links.
func (f *fleet) platformView(zone string) platform.AddressOverrides {
	view := make(platform.AddressOverrides)
	for _, m := range f.members() {
		linkAddress := f.links[linkKey{zone, m.Name}].Address
		if m.vm.PeerAddress != "" {
			view[m.Name] = platform.Addresses{PeerAddress: linkAddress}
		} else {
			for replacements := range maxReplacements + 1 {
				view[replacementName(m.Name, replacements)] = platform.Addresses{Address: linkAddress}
			}
		}
	}
	return view
}

func (f *fleet) file(name string) string { return filepath.Join(f.directory, name) }

func (f *fleet) writeYAML(name string, value any) error {
	text, err := yaml.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode "+name)
	}
	return f.writeText(name, string(text))
}

func (f *fleet) writeText(name, text string) error {
	return errors.Wrap(os.WriteFile(f.file(name), []byte(text), 0o644), "write "+name)
}

// start runs the stand-ins, then the entry VMs, and waits until all are ready.
func (f *fleet) start(ctx context.Context) error {
	if err := f.platform.Start(ctx); err != nil {
		return err
	}
	if err := startAll(ctx, f.targets()); err != nil {
		return err
	}
	return startAll(ctx, f.entries)
}

func startAll(ctx context.Context, members []*member) error {
	var group errgroup.Group
	for _, m := range members {
		group.Go(func() error { return m.Start(ctx) })
	}
	return group.Wait()
}

// stop kills all processes and closes the links.
func (f *fleet) stop() {
	for _, m := range f.members() {
		m.Kill()
	}
	f.platform.Kill()
	for _, l := range f.links {
		l.Close()
	}
	f.spawner.Close()
	f.ports.Close()
}
