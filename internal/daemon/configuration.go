package daemon

import (
	"godwitcart/internal/acceptance"
	"godwitcart/internal/policy"
)

func (d *Daemon) buildConfiguration() error {
	seed, err := loadSeedConfiguration(d.settings.ConfigurationSeed)
	if err != nil {
		return err
	}
	d.configuration = acceptance.New(acceptance.Options{
		VM: d.settings.VM.Name, Store: d.store, Peers: d.peers, Seed: seed, Logger: d.logger,
		Directory: &entryDirectory{self: d.settings.VM.Name, lister: d.lister, directory: d.directory},
	})
	return nil
}

// loadSeedConfiguration reads the initial configuration of a new system; without a path it is empty.
func loadSeedConfiguration(path string) (*policy.Configuration, error) {
	if path == "" {
		return policy.Parse([]byte("version: 1\n"))
	}
	return policy.Load(path)
}
