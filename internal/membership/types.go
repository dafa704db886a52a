// Package membership tracks the entry VMs and the targets: which are live, which are leaving, and when each was last
// confirmed.
package membership

import "time"

// Role is the role of a VM.
type Role string

// The roles of a VM.
const (
	// RoleEntry is a VM that runs godwitcartd.
	RoleEntry Role = "entry"
	// RoleTarget is a VM that runs a model engine or a plain service.
	RoleTarget Role = "target"
)

// State is the lifecycle state of a VM. Invariant: within one incarnation it only increases.
type State int

// The states of a VM, in the order in which they may occur.
const (
	// StateUnknown means that the VM has not been observed.
	StateUnknown State = iota
	// StateLive means that the VM serves.
	StateLive
	// StateLeaving means that the VM finishes its work and accepts no new work.
	StateLeaving
	// StateGone means that the VM has stopped.
	StateGone
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateLeaving:
		return "leaving"
	case StateGone:
		return "gone"
	default:
		return "unknown"
	}
}

// VM describes one VM of either role.
type VM struct {
	Name string
	Role Role
	// Region is the region of Zone.
	Region string
	Zone   string
	// Service is the service that a target belongs to; empty for entry VMs.
	Service string
	// Address is the host:port of the listener for callers (entry VM) or for traffic (target).
	Address string
	// PeerAddress is the host:port of an entry VM's drpc listener; empty for targets.
	PeerAddress string
	// AdminAddress is the host:port of an entry VM's operator listener; empty for targets.
	AdminAddress string
	// Incarnation distinguishes restarts of the same VM; empty until the VM itself has reported it.
	Incarnation string
	State       State
	// ConfirmedAt is when the VM last reported itself live, to this VM or to a peer; zero if that is unknown or was
	// invalidated because the VM could not be reached.
	ConfirmedAt time.Time
}
