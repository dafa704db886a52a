package entry

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"godwitcart/internal/relay"
	"godwitcart/internal/settings"
	"godwitcart/internal/tunnel"
	"godwitcart/internal/upstream"
)

const (
	// tunnelShare is the share of the file descriptors that tunnels of other VMs may use, and tunnelDescriptors what each
	// takes. tunnelHeadroom is the number of connections beyond that, which learn that all tunnels are in use.
	tunnelShare       = 0.2
	tunnelDescriptors = 2
	tunnelHeadroom    = 16
)

// newClient returns the client for targets. It reaches them through other VMs where the exchange with them is on.
func (e *Entry) newClient(s *settings.Deployment) *upstream.Client {
	options := upstream.Options{Proxy: s.Targets.Proxy, WayChanged: e.logWay, Budget: e.memory}
	if s.Peers.Port != 0 {
		options.LocalAddress = net.ParseIP(s.VM.Address)
		dialer := relay.NewDialer(relay.Options{Peers: e.relayPeers, ZoneOf: e.zoneOfTarget, Dial: e.dialPeer})
		options.Relay = dialer.Dial
	}
	return upstream.NewClient(options)
}

// logWay logs by which way a target is reached from now on, and whether this VM reaches any target directly.
func (e *Entry) logWay(address string, relayed bool) {
	message := "target reached directly again"
	if relayed {
		message = "target reached through other VMs"
	}
	e.logger.Info(message, "address", address, "cut_off", e.client.IsCutOff())
}

func (e *Entry) dialPeer(ctx context.Context, address string) (net.Conn, error) {
	return e.client.DialPeer(ctx, address)
}

func (e *Entry) zoneOfTarget(address string) string {
	zone, _ := e.table.ZoneOf(address)
	return zone
}

// relayPeers returns the other entry VMs.
func (e *Entry) relayPeers() []relay.Peer {
	if e.fleet == nil {
		return nil
	}
	var peers []relay.Peer
	for member, isNoHelp := range e.fleet.Others() {
		peers = append(peers, relay.Peer{Name: member.Name, Zone: member.Zone, Address: member.Address.String(), IsNoHelp: isNoHelp})
	}
	return peers
}

// startTunnels serves tunnels to targets for other entry VMs.
func (e *Entry) startTunnels(ctx context.Context, group *errgroup.Group, address string) error {
	maxTunnels := e.connections(tunnelShare / tunnelDescriptors)
	e.tunnels = tunnel.NewServer(tunnel.ServerOptions{Dial: e.client.DialDirect, Allow: e.allowTunnel, MaxTunnels: maxTunnels, Context: ctx})
	_, err := e.startServer(ctx, group, server{
		name: "tunnels", address: address, handler: http.HandlerFunc(e.tunnels.ServeHTTP), maxConnections: maxTunnels + tunnelHeadroom,
	})
	return err
}

// allowTunnel returns an error if this VM does not carry a connection of the VM at the IP address to the target.
func (e *Entry) allowTunnel(user netip.Addr, address string) error {
	if !e.fleet.IsMember(user) {
		return errors.Mark(errors.Newf("%s is no entry VM of the directory", user), tunnel.ErrForbidden)
	}
	if _, listed := e.table.ZoneOf(address); !listed {
		return errors.Mark(errors.Newf("no target is listed at %s", address), tunnel.ErrForbidden)
	}
	if e.table.IsPaused(address, time.Now()) {
		return errors.Mark(errors.Newf("the target at %s has asked this VM for a pause", address), tunnel.ErrNoWay)
	}
	if e.table.IsEvacuated(address) {
		return errors.Mark(errors.Newf("the target at %s is in a zone in evacuation", address), tunnel.ErrNoWay)
	}
	if e.draining.Load() {
		return errors.New("this VM is shutting down")
	}
	if e.client.IsCutOff() {
		return errors.New("this VM is cut off from the targets")
	}
	return nil
}

// openTunnels returns the number of tunnels of other VMs.
func (e *Entry) openTunnels() int64 {
	if e.tunnels == nil {
		return 0
	}
	return e.tunnels.Open()
}
