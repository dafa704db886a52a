package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"godwitcart/internal/admission"
	"godwitcart/internal/apierror"
	"godwitcart/internal/ingress"
	"godwitcart/internal/membership"
	"godwitcart/internal/peer"
	"godwitcart/internal/peer/peerpb"
	"godwitcart/internal/request"
	"godwitcart/internal/settings"
	"godwitcart/internal/tlsconfig"
)

// leaveTimeout bounds the announcement to peers that this VM is leaving.
const leaveTimeout = time.Second

// peerNetwork calls the other entry VMs by name.
type peerNetwork struct {
	*peer.Client
	directory *membership.Directory
}

// VMs returns the names of the other entry VMs that are expected to be live.
func (n *peerNetwork) VMs() []string {
	var names []string
	for _, vm := range n.directory.Peers() {
		names = append(names, vm.Name)
	}
	return names
}

// resolve returns the peer address of an entry VM, and false when it is not known.
func (n *peerNetwork) resolve(name string) (string, bool) {
	vm, known := n.directory.Get(name)
	return vm.PeerAddress, known && vm.PeerAddress != ""
}

// buildPeers makes the peer client and the gossip. It fails if the TLS files for peers cannot be loaded.
func (d *Daemon) buildPeers() error {
	d.peers = &peerNetwork{directory: d.directory}
	d.traffic = &peer.Traffic{}
	d.traffic.Register(metrics.DefaultRegistry)
	options := peer.ClientOptions{Resolve: d.peers.resolve, CallTimeout: d.settings.Peers.CallTimeout, Traffic: d.traffic}
	if files := d.settings.Peers.TLS; files != nil {
		reloader, err := tlsconfig.New(tlsFiles(files), d.logger)
		if err != nil {
			return err
		}
		d.peerTLS = reloader
		options.TLS = reloader.ClientConfig
	}
	d.peers.Client = peer.NewClient(options)
	d.gossip = peer.NewGossip(peer.GossipOptions{
		Self: d.settings.VM.Name, Incarnation: d.incarnation, Zone: d.settings.VM.Zone,
		Directory: d.directory, Exchange: d.peers.Exchange,
		// d.configuration is built later, hence the closures.
		ConfigurationVersion:   func() uint64 { return d.configuration.Version() },
		OnConfigurationVersion: func(vm string, version uint64) { d.configuration.Observe(vm, version) },
		Usages:                 d.usages, OnUsages: d.observeUsages,
	})
	return nil
}

func tlsFiles(files *settings.TLS) tlsconfig.Files {
	return tlsconfig.Files{Cert: files.Cert, Key: files.Key, CA: files.CA}
}

func (d *Daemon) usages() []*peerpb.Usage {
	var messages []*peerpb.Usage
	for _, usage := range d.controller.Usages() {
		messages = append(messages, &peerpb.Usage{
			Account: usage.Account, InProgress: int32(usage.InProgress), RequestsPerSecond: usage.RequestsPerSecond,
		})
	}
	return messages
}

func (d *Daemon) observeUsages(vm string, messages []*peerpb.Usage) {
	usages := make([]admission.Usage, 0, len(messages))
	for _, message := range messages {
		usages = append(usages, admission.Usage{
			Account: message.Account, InProgress: int(message.InProgress), RequestsPerSecond: message.RequestsPerSecond,
		})
	}
	d.controller.ObserveUsage(vm, usages, time.Now())
}

// servePeers serves calls of the other entry VMs until ctx ends.
func (d *Daemon) servePeers(ctx context.Context, listener net.Listener) error {
	var config *tls.Config
	if d.peerTLS != nil {
		config = d.peerTLS.ServerConfig()
	}
	server, err := peer.NewServer(peer.ServerOptions{TLS: config, Traffic: d.traffic, Handlers: peer.Handlers{
		Exchange: d.gossip, Acceptance: d.configuration, Query: d.queries, Cancel: &peerCanceler{registry: d.registry},
		Claims: d.claimManager,
	}})
	if err != nil {
		return err
	}
	err = server.Serve(ctx, ingress.NewListener(listener, ingress.Options{
		Name: "peers", Budget: d.memory, MaxConnections: d.connections(peerConnectionShare), IsRaw: true, Logger: d.logger,
		Limits: d.staticLimits(defaultLimits),
	}))
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// peerCanceler cancels requests of this VM on behalf of peers.
type peerCanceler struct{ registry *request.Registry }

// Cancel implements peer.Canceler.
func (c *peerCanceler) Cancel(_ context.Context, message *peerpb.CancelRequest) (*peerpb.CancelReply, error) {
	return &peerpb.CancelReply{Found: c.registry.Cancel(message.RequestId, message.Reason)}, nil
}

// announceLeaving announces to the peers that this VM is leaving.
func (d *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.gossip.Leave(ctx)
}

// entryDirectory lists the entry VMs that have to accept a configuration.
type entryDirectory struct {
	self      string
	lister    *lister
	directory *membership.Directory
}

// ListVMs implements acceptance.Directory.
func (e *entryDirectory) ListVMs(ctx context.Context) ([]string, error) {
	list, err := e.lister.List(ctx)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindUnavailable, "the platform's list of VMs cannot be read", "try again later")
	}
	var names []string
	for _, vm := range list.VMs {
		if vm.Role == string(membership.RoleEntry) && !vm.Leaving {
			names = append(names, vm.Name)
		}
	}
	return names, nil
}

// KnownVMs implements acceptance.Directory.
func (e *entryDirectory) KnownVMs() []string {
	names := []string{e.self}
	for _, vm := range e.directory.Peers() {
		if vm.State < membership.StateLeaving {
			names = append(names, vm.Name)
		}
	}
	return names
}
