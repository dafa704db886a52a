package daemon

import (
	"context"

	"godwitcart/internal/acceptance"
	"godwitcart/internal/apierror"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/policy"
)

func (d *Daemon) buildConfiguration() error {
	seed, err := loadSeed(d.settings.ConfigurationSeed)
	if err != nil {
		return err
	}
	d.configuration = acceptance.New(acceptance.Options{
		VM: d.settings.VM.Name, Store: d.store, Peers: noPeers{}, Directory: aloneDirectory{name: d.settings.VM.Name},
		Seed: seed, Logger: d.logger,
	})
	return nil
}

// loadSeed reads the configuration that a new system starts with.
func loadSeed(path string) (*policy.Configuration, error) {
	if path == "" {
		return policy.Parse([]byte("version: 1\n"))
	}
	return policy.Load(path)
}

type aloneDirectory struct{ name string }

func (a aloneDirectory) Listed(context.Context) ([]string, error) { return []string{a.name}, nil }
func (a aloneDirectory) Known() []string                          { return []string{a.name} }

type noPeers struct{}

var errNoPeers = apierror.New(apierror.KindUnavailable, "peers are not connected yet", "wait")

func (noPeers) Stage(context.Context, string, *peerpb.StageRequest) (*peerpb.StageReply, error) {
	return nil, errNoPeers
}
func (noPeers) Conclude(context.Context, string, *peerpb.ConcludeRequest) (*peerpb.ConcludeReply, error) {
	return nil, errNoPeers
}
func (noPeers) Configuration(context.Context, string, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return nil, errNoPeers
}
