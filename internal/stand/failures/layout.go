package failures

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"time"

	"godwitcart/internal/policy"
	"godwitcart/internal/stand/rig"
	"godwitcart/internal/wire/platformwire"
)

// The settings of the fleet.
const (
	model               = "ledger-small"
	modelVersion        = "1"
	vmLag               = 10 * time.Second
	drainTimeout        = 40 * time.Second
	defaultMemoryTokens = 1500
	longClass           = "sheet"
	shortClass          = "counter"
)

// accountNames are the client accounts; the API key of each is its name plus accountKeySuffix.
var accountNames = []string{"brandon-depot", "regina-grocers", "moosejaw-cash-desk"}

const accountKeySuffix = "-key"

func accountKeys() []string {
	var keys []string
	for _, name := range accountNames {
		keys = append(keys, name+accountKeySuffix)
	}
	return keys
}

// configuration returns the initial configuration of a run.
func configuration() policy.Configuration {
	c := policy.Configuration{
		Version: 1,
		Services: map[string]policy.Service{
			engineService: {
				Name: engineService, Kind: policy.KindEngine, ChecksFencing: true,
				Runs: []policy.Variant{
					{Model: model, Version: modelVersion}, {Model: model, Version: rolloutVersion},
				},
				Loads: []policy.Variant{{Model: model, Version: modelVersion}},
			},
			plainService: {Name: plainService, Kind: policy.KindPlain},
		},
		Accounts: map[string]policy.Account{},
		Classes: map[string]policy.Class{
			shortClass: {Name: shortClass, Priority: 30},
			longClass:  {Name: longClass, Priority: 20},
		},
		Models: map[string]policy.Model{model: {Name: model, Versions: []string{modelVersion, rolloutVersion}}},
	}
	for _, name := range accountNames {
		digest := sha256.Sum256([]byte(name + accountKeySuffix))
		c.Accounts[name] = policy.Account{
			Name: name, KeyHashes: []string{hex.EncodeToString(digest[:])}, Share: 1,
			Classes: []string{shortClass, longClass},
		}
	}
	digest := sha256.Sum256([]byte(markerAccount))
	c.Accounts[markerAccount] = policy.Account{
		Name: markerAccount, KeyHashes: []string{hex.EncodeToString(digest[:])}, Share: 1, Classes: []string{longClass},
	}
	return c
}

// settingsTemplate is the settings file of one entry VM. Its parameters are the name, the zone, the listen addresses
// for callers and operators, the digest of the operator token, the listen address for peers, the platform's address
// and the drain timeout.
const settingsTemplate = `vm: {name: %s, zone: %s, region: region-1}
callers: {listen: %q, plain_text: true}
operators:
  listen: %q
  plain_text: true
  tokens:
    - {name: failures, role: change, sha256: %s}
peers: {listen: %q, plain_text: true}
platform: {url: "http://%s"}
cursor_keys: ["5abf835463950bfb194935c05bfedda1c2d4caca0dedd9d3ae60e2384d25cbf7"]
drain: {timeout: %v, readiness_delay: 1s}
timeouts: {answer: 1s}
log: {level: info}
`

func (f *fleet) settings(m *member) string {
	digest := sha256.Sum256([]byte(operatorToken))
	platformLink := f.links[linkKey{m.vm.Zone, platformName}].Address
	return fmt.Sprintf(settingsTemplate, m.Name, m.vm.Zone, m.vm.Address, m.vm.AdminAddress,
		hex.EncodeToString(digest[:]), m.vm.PeerAddress, platformLink, drainTimeout)
}

func (f *fleet) prepareMembers() error {
	for i := range entryCount {
		if err := f.addEntry(i); err != nil {
			return err
		}
	}
	for i := range engineCount {
		if err := f.addEngine(i); err != nil {
			return err
		}
	}
	for i := range serviceCount {
		if err := f.addService(i); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) newMember(kind string, i int, role, service, binary string) *member {
	name := kind + "-" + strconv.Itoa(i+1)
	return &member{
		Program: &rig.Program{Name: name, Path: f.binaries + "/" + binary, LogPath: f.file(name + ".log"), Spawner: f.spawner},
		vm:      platformwire.VM{Name: name, Role: role, Region: "region-1", Zone: zones[i%len(zones)], Service: service},
	}
}

func (f *fleet) addEntry(i int) error {
	m := f.newMember("entry", i, "entry", "", "godwitcartd")
	if err := f.assignAddresses(&m.vm.Address, &m.vm.PeerAddress, &m.vm.AdminAddress); err != nil {
		return err
	}
	m.Args = []string{"--settings", f.file(m.Name + ".yaml"), "--seed", f.file("configuration.yaml")}
	m.ReadyURL = "http://" + m.vm.AdminAddress + "/readyz"
	f.entries = append(f.entries, m)
	return nil
}

func (f *fleet) addEngine(i int) error {
	m := f.newMember("engine", i, "target", engineService, "godwitstand")
	if err := f.assignAddresses(&m.vm.Address, &m.control); err != nil {
		return err
	}
	m.Args = []string{
		"engine", "--name", m.Name, "--listen", m.vm.Address, "--control", m.control, "--zone", m.vm.Zone,
		"--weights", "http://" + f.platformListen, "--load", model + "@" + modelVersion, "--text", "attempt", "--checks-fencing",
		"--memory-tokens", strconv.Itoa(f.memoryTokens), "--journal", f.file("journal"),
	}
	m.nameArgument = 2
	m.ReadyURL = "http://" + m.control + "/faults"
	f.engines = append(f.engines, m)
	return nil
}

func (f *fleet) addService(i int) error {
	m := f.newMember("service", i, "target", plainService, "godwitstand")
	if err := f.assignAddresses(&m.vm.Address, &m.control); err != nil {
		return err
	}
	m.Args = []string{
		"service", "--name", m.Name, "--listen", m.vm.Address, "--control", m.control, "--zone", m.vm.Zone,
		"--latency", "30ms", "--journal", f.file("journal"),
	}
	m.nameArgument = 2
	m.ReadyURL = "http://" + m.control + "/faults"
	f.services = append(f.services, m)
	return nil
}

func (f *fleet) preparePlatform() error {
	if err := f.assignAddresses(&f.platformListen, &f.platformControl); err != nil {
		return err
	}
	args := []string{
		"platform", "--listen", f.platformListen, "--control", f.platformControl, "--vms", f.file("vms.yaml"),
		"--vm-lag", vmLag.String(), "--seed", strconv.FormatUint(f.seed, 10),
	}
	for _, zone := range zones {
		address, err := f.ports.Address()
		if err != nil {
			return err
		}
		f.platformViews[zone] = address
		args = append(args, "--view", address+"="+f.file(zone+".yaml"))
	}
	f.platform = &rig.Program{
		Name: platformName, Path: f.binaries + "/godwitstand", Args: args, LogPath: f.file("platform.log"),
		ReadyURL: "http://" + f.platformControl + "/faults", Spawner: f.spawner,
	}
	return nil
}

// writeFiles writes the files that the programs read when they start.
func (f *fleet) writeFiles() error {
	var list platformwire.VMList
	for _, m := range f.members() {
		list.VMs = append(list.VMs, m.vm)
	}
	if err := f.writeYAML("vms.yaml", list); err != nil {
		return err
	}
	for _, zone := range zones {
		if err := f.writeYAML(zone+".yaml", f.platformView(zone)); err != nil {
			return err
		}
	}
	for _, m := range f.entries {
		if err := f.writeText(m.Name+".yaml", f.settings(m)); err != nil {
			return err
		}
	}
	first := configuration()
	text, err := policy.YAML(&first)
	if err != nil {
		return err
	}
	return f.writeText("configuration.yaml", string(text))
}
