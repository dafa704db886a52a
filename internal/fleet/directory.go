package fleet

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"godwitcart/internal/object"
	"godwitcart/internal/pause"
)

// entriesPrefix begins the keys under which entry VMs make themselves known to each other.
const entriesPrefix = "entry-vms/"

const (
	// directoryRetry is the wait after a failed call; digests go on to the peers that are known.
	directoryRetry = time.Second
	// directoryGather is the wait between two watches: VMs usually start together.
	directoryGather = 500 * time.Millisecond
)

// entryVM is the stored entry of one VM.
type entryVM struct {
	Address string `json:"digest_address"`
	Zone    string `json:"zone"`
}

// Member is an entry VM as the directory knows it.
type Member struct {
	Name    string
	Zone    string
	Address netip.AddrPort
}

// Directory makes this VM known in the platform's store and learns of its peers there. Entries of VMs that
// are gone stay; digests to them are lost.
type Directory struct {
	Store  object.Store
	Self   Member
	Logger *log.Logger
	// Changed receives all entry VMs but this one, by name.
	Changed func(map[string]Member)

	lost bool
}

// Run keeps the directory until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	announced := false
	for ctx.Err() == nil {
		err := d.follow(ctx, &announced)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if !d.lost {
			d.lost = true
			d.Logger.Warn("dependency lost", "dependency", "directory of entry VMs", "error", err)
		}
		pause.For(ctx, directoryRetry)
	}
	return nil
}

func (d *Directory) follow(ctx context.Context, announced *bool) error {
	if !*announced {
		if err := d.announce(ctx); err != nil {
			return err
		}
		*announced = true
	}
	listing, err := d.Store.List(ctx, entriesPrefix)
	if err != nil {
		return err
	}
	if d.lost {
		d.lost = false
		d.Logger.Info("dependency regained", "dependency", "directory of entry VMs")
	}
	peers := make(map[string]Member)
	for _, entry := range listing.Objects {
		d.put(peers, entry)
	}
	d.publish(peers)
	revision := listing.Revision
	for {
		batch, err := d.Store.Watch(ctx, entriesPrefix, revision)
		if err != nil || batch.Compacted {
			return err
		}
		revision = batch.Revision
		for _, entry := range batch.Events {
			d.put(peers, entry)
		}
		if len(batch.Events) > 0 {
			d.publish(peers)
			pause.For(ctx, directoryGather)
		}
	}
}

func (d *Directory) put(peers map[string]Member, entry object.Object) {
	name := entry.Key[len(entriesPrefix):]
	var stored entryVM
	if entry.Deleted {
		delete(peers, name)
		return
	}
	err := json.Unmarshal(entry.Value, &stored)
	var address netip.AddrPort
	if err == nil {
		address, err = netip.ParseAddrPort(stored.Address)
	}
	if err != nil {
		delete(peers, name)
		d.Logger.Warn("entry of an entry VM ignored", "key", entry.Key, "error", err)
		return
	}
	peers[name] = Member{Name: name, Zone: stored.Zone, Address: address}
}

func (d *Directory) publish(peers map[string]Member) {
	others := make(map[string]Member, len(peers))
	for name, member := range peers {
		if name != d.Self.Name {
			others[name] = member
		}
	}
	d.Changed(others)
}

// announce writes where this VM takes digests, unless that is known already.
func (d *Directory) announce(ctx context.Context) error {
	key := entriesPrefix + d.Self.Name
	wanted := entryVM{Address: d.Self.Address.String(), Zone: d.Self.Zone}
	stored, err := d.Store.Get(ctx, key)
	if err != nil && !object.IsNotFound(err) {
		return err
	}
	if err == nil {
		var known entryVM
		if json.Unmarshal(stored.Value, &known) == nil && known == wanted {
			return nil
		}
	}
	value, err := json.Marshal(wanted)
	if err != nil {
		return errors.Wrap(err, "encode the entry")
	}
	_, err = d.Store.Put(ctx, key, value, stored.Version)
	return err
}
