// Package settings reads the start-up settings of godwitcartd from one YAML file.
//
// Load refuses unknown keys, missing values and impossible combinations. Every
// error names the file, the line, the key and the remedy. What operators change
// while the system runs is not here but in the accepted configuration
// (internal/policy).
package settings

import "time"

// Settings are the start-up settings of one godwitcartd process.
type Settings struct {
	VM        VM        `yaml:"vm"`
	Callers   Callers   `yaml:"callers"`
	Operators Operators `yaml:"operators"`
	Peers     Peers     `yaml:"peers"`
	Platform  Platform  `yaml:"platform"`
	// CursorKeys are 32-byte keys as 64 hexadecimal digits, the same on every entry VM. The
	// first seals new cursors; all of them open cursors, so that keys can be rotated.
	CursorKeys []string `yaml:"cursor_keys,omitempty"`
	// CursorKeysFile names a file with one key a line, in place of CursorKeys.
	CursorKeysFile string `yaml:"cursor_keys_file,omitempty"`
	// ConfigurationSeed names a YAML file with the configuration that becomes version 1 when neither
	// the platform nor a peer holds one; empty starts with a configuration without objects.
	ConfigurationSeed string   `yaml:"configuration_seed,omitempty"`
	Drain             Drain    `yaml:"drain"`
	Timeouts          Timeouts `yaml:"timeouts"`
	Log               Log      `yaml:"log"`
}

// VM says where the process runs.
type VM struct {
	// Name is the VM's name in the platform's list.
	Name string `yaml:"name"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone"`
	// Region is the region of the zone.
	Region string `yaml:"region"`
}

// TLS names the files of a listener's certificate. The files are read again when they change.
type TLS struct {
	// Cert is a PEM file with the certificate chain.
	Cert string `yaml:"cert"`
	// Key is a PEM file with the private key of Cert.
	Key string `yaml:"key"`
	// CA is a PEM file with the authorities that clients must be signed by; for peers only.
	CA string `yaml:"ca,omitempty"`
}

// Security chooses between TLS and plain text; exactly one of the two is set.
type Security struct {
	TLS *TLS `yaml:"tls,omitempty"`
	// PlainText allows traffic without TLS.
	PlainText bool `yaml:"plain_text,omitempty"`
}

// Callers is the listener for client accounts.
type Callers struct {
	// Listen is host:port.
	Listen   string `yaml:"listen"`
	Security `yaml:",inline"`
	// MaxBodyBytes bounds the body of a generation request.
	MaxBodyBytes int64 `yaml:"max_body_bytes"`
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int `yaml:"max_header_bytes"`
	// ReadHeaderTimeout bounds how long a caller may take to send its header.
	ReadHeaderTimeout time.Duration `yaml:"read_header_timeout"`
	// IdleTimeout closes a connection without a request.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// Operators is the listener for operators, metrics and the platform's health checks.
type Operators struct {
	// Listen is host:port.
	Listen   string `yaml:"listen"`
	Security `yaml:",inline"`
	// Tokens lists who may ask and who may change.
	Tokens []Token `yaml:"tokens"`
}

// TokenRole says what the bearer of a token may do.
type TokenRole string

// The roles of a token.
const (
	// RoleRead allows queries, metrics and the state dump.
	RoleRead TokenRole = "read"
	// RoleChange allows commands too.
	RoleChange TokenRole = "change"
)

// Token is an operator's bearer token.
type Token struct {
	// Name names the operator in logs and in the record of changes.
	Name string    `yaml:"name"`
	Role TokenRole `yaml:"role"`
	// SHA256 is the lower-case hexadecimal SHA-256 digest of the token.
	SHA256 string `yaml:"sha256"`
}

// Peers is the listener for the other entry VMs.
type Peers struct {
	// Listen is host:port.
	Listen string `yaml:"listen"`
	// Advertise is the host:port that peers dial; it defaults to Listen.
	Advertise string `yaml:"advertise,omitempty"`
	Security  `yaml:",inline"`
	// CallTimeout bounds one call to a peer.
	CallTimeout time.Duration `yaml:"call_timeout"`
}

// Platform is where the platform's services are reached.
type Platform struct {
	// URL is the base URL, without a path.
	URL string `yaml:"url"`
	// Timeout bounds one call, apart from watches.
	Timeout time.Duration `yaml:"timeout"`
	// ListInterval is the least pause between two reads of the list of VMs; it grows with the list.
	ListInterval time.Duration `yaml:"list_interval"`
}

// Drain sets how the process leaves.
type Drain struct {
	// Timeout bounds a graceful shutdown; what still runs then is handed over or reported as cut off.
	Timeout time.Duration `yaml:"timeout"`
	// ReadinessDelay is how long the listener stays open after readiness fails, so that the
	// platform's balancer sees it.
	ReadinessDelay time.Duration `yaml:"readiness_delay"`
}

// Timeouts bound the calls to targets.
type Timeouts struct {
	// Connect bounds the set-up of a connection.
	Connect time.Duration `yaml:"connect"`
	// Answer bounds the wait for a target to take or refuse an attempt, however long its queue is.
	Answer time.Duration `yaml:"answer"`
	// Progress bounds the wait between two events of an attempt that waits for its first token or for
	// memory; links stall without breaking.
	Progress time.Duration `yaml:"progress"`
	// TokenGap bounds the wait between two tokens of an attempt that is running.
	TokenGap time.Duration `yaml:"token_gap"`
	// Request bounds a request that states no deadline and whose class has none.
	Request time.Duration `yaml:"request"`
}

// Log sets what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is text or json.
	Format string `yaml:"format"`
}

// The defaults of settings that the file leaves out.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultCallTimeout       = time.Second
	DefaultPlatformTimeout   = 2 * time.Second
	DefaultListInterval      = 2 * time.Second
	DefaultDrainTimeout      = time.Hour
	DefaultReadinessDelay    = 2 * time.Second
	DefaultConnectTimeout    = time.Second
	DefaultAnswerTimeout     = time.Second
	DefaultProgressTimeout   = 5 * time.Second
	DefaultTokenGap          = time.Second
	DefaultRequestTimeout    = 10 * time.Minute
	DefaultLogLevel          = "info"
	DefaultLogFormat         = "text"
)

// Default returns settings that hold only the defaults; they do not pass Check.
func Default() *Settings {
	return &Settings{
		Callers: Callers{
			MaxBodyBytes:      DefaultMaxBodyBytes,
			MaxHeaderBytes:    DefaultMaxHeaderBytes,
			ReadHeaderTimeout: DefaultReadHeaderTimeout,
			IdleTimeout:       DefaultIdleTimeout,
		},
		Peers:    Peers{CallTimeout: DefaultCallTimeout},
		Platform: Platform{Timeout: DefaultPlatformTimeout, ListInterval: DefaultListInterval},
		Drain:    Drain{Timeout: DefaultDrainTimeout, ReadinessDelay: DefaultReadinessDelay},
		Timeouts: Timeouts{
			Connect:  DefaultConnectTimeout,
			Answer:   DefaultAnswerTimeout,
			Progress: DefaultProgressTimeout,
			TokenGap: DefaultTokenGap,
			Request:  DefaultRequestTimeout,
		},
		Log: Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
	}
}

// PeerAddress returns the host:port that peers dial.
func (p Peers) PeerAddress() string {
	if p.Advertise != "" {
		return p.Advertise
	}
	return p.Listen
}
