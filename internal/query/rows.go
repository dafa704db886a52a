package query

import (
	"encoding/json"
	"time"
)

// Row is one row of a table. It is implemented by the row types of this package.
type Row interface {
	isRow()
}

// Duration is a duration that is encoded in JSON as a number of seconds.
type Duration time.Duration

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).Seconds()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var seconds float64
	if err := json.Unmarshal(text, &seconds); err != nil {
		return err
	}
	*d = Duration(seconds * float64(time.Second))
	return nil
}

// Request is a row of the table requests: a request that a VM serves, or that ended recently.
type Request struct {
	ID      string `json:"id"`
	State   string `json:"state"`
	Account string `json:"account"`
	Class   string `json:"class"`
	Service string `json:"service"`
	Model   string `json:"model"`
	Target  string `json:"target"`
	// Zone is the availability zone of the VM that serves the request.
	Zone string `json:"zone"`
	VM   string `json:"vm"`
	// Age is the time since the request was received, Since the time in its current state.
	Age           Duration `json:"age"`
	Since         Duration `json:"since"`
	Attempts      int      `json:"attempts"`
	Tokens        int      `json:"tokens"`
	Preemptions   int      `json:"preemptions"`
	NonIdempotent bool     `json:"non_idempotent"`
	Reason        string   `json:"reason"`
}

// Target is a row of the table targets.
type Target struct {
	Name         string `json:"name"`
	Service      string `json:"service"`
	Zone         string `json:"zone"`
	State        string `json:"state"`
	Drained      bool   `json:"drained"`
	Circuit      string `json:"circuit"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Preemptions  int    `json:"preemptions"`
	// ReportAge is the age of the last load report; it is negative if there is none.
	ReportAge Duration `json:"report_age"`
	Loaded    []string `json:"loaded"`
}

// VM is a row of the table vms: an entry VM as seen by the VM that executes the query.
type VM struct {
	Name        string `json:"name"`
	Zone        string `json:"zone"`
	State       string `json:"state"`
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	// Confirmed is the time since the state was last confirmed.
	Confirmed Duration `json:"confirmed"`
}

// Lease is a row of the table leases.
type Lease struct {
	Name    string `json:"name"`
	Holder  string `json:"holder"`
	Fencing uint64 `json:"fencing"`
}

// Account is a row of the table accounts.
type Account struct {
	Name              string   `json:"name"`
	Share             int      `json:"share"`
	RequestsPerSecond float64  `json:"requests_per_second"`
	Concurrency       int      `json:"concurrency"`
	Classes           []string `json:"classes"`
	// Keys is the number of API keys.
	Keys int `json:"keys"`
}

// Service is a row of the table services.
type Service struct {
	Name          string   `json:"name"`
	Kind          string   `json:"kind"`
	NonIdempotent bool     `json:"non_idempotent"`
	Zones         []string `json:"zones"`
	Runs          []string `json:"runs"`
	Loads         []string `json:"loads"`
	ChecksFencing bool     `json:"checks_fencing"`
}

// Class is a row of the table classes.
type Class struct {
	Name     string   `json:"name"`
	Priority int      `json:"priority"`
	Deadline Duration `json:"deadline"`
}

// Model is a row of the table models.
type Model struct {
	Name     string   `json:"name"`
	Versions []string `json:"versions"`
	Adapters []string `json:"adapters"`
}

// Configuration is a row of the table configuration: the configuration in force on one VM.
type Configuration struct {
	VM      string `json:"vm"`
	Version uint64 `json:"version"`
	Ready   bool   `json:"ready"`
	// InDoubt is true while the VM rejects requests that are affected by an undecided change.
	InDoubt bool     `json:"in_doubt"`
	Staged  []string `json:"staged"`
}

// Version is a row of the table history: an accepted version of the configuration.
type Version struct {
	Version  uint64    `json:"version"`
	Operator string    `json:"operator"`
	VM       string    `json:"vm"`
	At       time.Time `json:"at"`
	Summary  string    `json:"summary"`
	Changes  []string  `json:"changes"`
}

func (Request) isRow()       {}
func (Target) isRow()        {}
func (VM) isRow()            {}
func (Lease) isRow()         {}
func (Account) isRow()       {}
func (Service) isRow()       {}
func (Class) isRow()         {}
func (Model) isRow()         {}
func (Configuration) isRow() {}
func (Version) isRow()       {}

// Count is the number of rows with the given values in the columns by which the query groups.
type Count struct {
	Values []string `json:"values"`
	Count  int      `json:"count"`
}

// Step is one decision about a request, or one change of its state.
type Step struct {
	At      time.Time `json:"at"`
	State   string    `json:"state"`
	Target  string    `json:"target,omitempty"`
	Attempt string    `json:"attempt,omitempty"`
	Reason  string    `json:"reason"`
}

// Timeline is a request with all of its steps in order.
type Timeline struct {
	Request Request `json:"request"`
	Steps   []Step  `json:"steps"`
}
