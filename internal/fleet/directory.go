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

// directoryPrefix is the common prefix of the keys under which entry VMs register.
const directoryPrefix = "entry-vms/"

const (
	// directoryRetryDelay is the delay after a failed call. Digests are still sent to the known peers meanwhile.
	directoryRetryDelay = time.Second
	// directoryWatchDelay is the delay between two watches, so that one watch returns the entries of several VMs,
	// which usually start together.
	directoryWatchDelay = 500 * time.Millisecond
)

// directoryEntry is the stored value of one VM's registration.
type directoryEntry struct {
	Address string `json:"digest_address"`
	Zone    string `json:"zone"`
	// MemoryMB is Member.Capacity; zero if the VM does not state it.
	MemoryMB int `json:"memory_mb,omitempty"`
}

// Member is an entry VM that is registered in the directory.
type Member struct {
	Name    string
	Zone    string
	Address netip.AddrPort
	// Capacity is the memory of the VM in MB, or zero if it is not known. VMs with more of it read for their zones.
	Capacity int
}

// Directory registers this VM in the platform's store and discovers its peers there. Entries of terminated VMs
// are not removed; digests sent to them are lost.
type Directory struct {
	Store  object.Store
	Self   Member
	Logger *log.Logger
	// Changed is called with all entry VMs except this one, keyed by name.
	Changed func(map[string]Member)

	storeUnavailable bool
}

// Run registers this VM and follows the directory until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	registered := false
	for ctx.Err() == nil {
		err := d.follow(ctx, &registered)
		if err == nil || ctx.Err() != nil {
			continue
		}
		if !d.storeUnavailable {
			d.storeUnavailable = true
			d.Logger.Warn("dependency lost", "dependency", "directory of entry VMs", "error", err)
		}
		pause.For(ctx, directoryRetryDelay)
	}
	return nil
}

// follow registers this VM, unless that is done, then lists the directory and publishes its changes. It returns an
// error, or nil if changes were missed since the store has compacted them; the caller then lists the directory again.
func (d *Directory) follow(ctx context.Context, registered *bool) error {
	if !*registered {
		if err := d.register(ctx); err != nil {
			return err
		}
		*registered = true
	}
	listing, err := d.Store.List(ctx, directoryPrefix)
	if err != nil {
		return err
	}
	if d.storeUnavailable {
		d.storeUnavailable = false
		d.Logger.Info("dependency regained", "dependency", "directory of entry VMs")
	}
	members := make(map[string]Member)
	for _, entry := range listing.Objects {
		d.applyEntry(members, entry)
	}
	d.publish(members)
	revision := listing.Revision
	for {
		batch, err := d.Store.Watch(ctx, directoryPrefix, revision)
		if err == nil && batch.Compacted && revision == listing.Revision {
			pause.For(ctx, directoryRetryDelay) // the list was stale, and the next one may be as old
		}
		if err != nil || batch.Compacted {
			return err
		}
		revision = batch.Revision
		for _, entry := range batch.Events {
			d.applyEntry(members, entry)
		}
		if len(batch.Events) > 0 {
			d.publish(members)
			pause.For(ctx, directoryWatchDelay)
		}
	}
}

// applyEntry updates the members, this VM included, by a stored entry. A deleted or invalid entry removes its VM.
func (d *Directory) applyEntry(members map[string]Member, entry object.Object) {
	name := entry.Key[len(directoryPrefix):]
	var stored directoryEntry
	if entry.Deleted {
		delete(members, name)
		return
	}
	err := json.Unmarshal(entry.Value, &stored)
	var address netip.AddrPort
	if err == nil {
		address, err = netip.ParseAddrPort(stored.Address)
	}
	if err != nil {
		delete(members, name)
		d.Logger.Warn("directory entry of an entry VM ignored", "key", entry.Key, "error", err)
		return
	}
	members[name] = Member{Name: name, Zone: stored.Zone, Address: address, Capacity: stored.MemoryMB}
}

// publish passes all members except this VM to Changed.
func (d *Directory) publish(members map[string]Member) {
	others := make(map[string]Member, len(members))
	for name, member := range members {
		if name != d.Self.Name {
			others[name] = member
		}
	}
	d.Changed(others)
}

// register stores the address at which this VM receives digests, unless the stored entry is already up to date.
func (d *Directory) register(ctx context.Context) error {
	key := directoryPrefix + d.Self.Name
	current := directoryEntry{Address: d.Self.Address.String(), Zone: d.Self.Zone, MemoryMB: d.Self.Capacity}
	stored, err := d.Store.Get(ctx, key)
	if err != nil && !object.IsNotFound(err) {
		return err
	}
	if err == nil {
		var previous directoryEntry
		if json.Unmarshal(stored.Value, &previous) == nil && previous == current {
			return nil
		}
	}
	value, err := json.Marshal(current)
	if err != nil {
		return errors.Wrap(err, "encode the directory entry of this VM")
	}
	_, err = d.Store.Put(ctx, key, value, stored.Version)
	return err
}
