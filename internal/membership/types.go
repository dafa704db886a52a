// Package membership knows the entry VMs and the targets: which are live, which
// are leaving, and how fresh that knowledge is.
package membership

import "time"

// Role says what a VM does.
type Role string

// The roles of a VM.
const (
	// RoleEntry is a VM that runs godwitcartd.
	RoleEntry Role = "entry"
	// RoleTarget is a VM that runs a model engine or a plain service.
	RoleTarget Role = "target"
)

// State is the state of a VM. Invariant: within one incarnation it only moves to a higher value.
type State int

// The states of a VM, in the order in which they may follow each other.
const (
	// StateUnknown means that nothing has been heard.
	StateUnknown State = iota
	// StateLive means that the VM serves.
	StateLive
	// StateLeaving means that the VM finishes its work and takes no more.
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
	// Address is host:port of the caller-facing or traffic listener.
	Address string
	// PeerAddress is host:port of an entry VM's drpc listener; empty for targets.
	PeerAddress string
	// AdminAddress is host:port of an entry VM's operators' listener; empty for targets.
	AdminAddress string
	// Incarnation tells restarts of the same VM apart; empty until the VM itself has told it.
	Incarnation string
	State       State
	// ConfirmedAt is when the VM itself last told that it is live, to this VM or to a peer; zero
	// when that is not known or was withdrawn because the VM could not be reached.
	ConfirmedAt time.Time
}
