// Package settings reads the start-up settings of godwitcartd from one YAML file.
//
// Load rejects unknown keys, missing values and invalid combinations. Every error names the file, the line, the key
// and the remedy. What operators change at run time is part of the accepted configuration (internal/policy) instead.
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
	// first key seals new cursors; every key opens them, so that keys can be rotated.
	CursorKeys []string `yaml:"cursor_keys,omitempty"`
	// CursorKeysFile names a file with one key per line; it replaces CursorKeys.
	CursorKeysFile string `yaml:"cursor_keys_file,omitempty"`
	// ConfigurationSeed names a YAML file with the configuration that becomes version 1 if neither the platform
	// nor a peer has one. Without it, version 1 has no objects.
	ConfigurationSeed string   `yaml:"configuration_seed,omitempty"`
	Drain             Drain    `yaml:"drain"`
	Timeouts          Timeouts `yaml:"timeouts"`
	// Limits are what the VM grants the process.
	Limits ResourceLimits `yaml:"limits"`
	Log    Log            `yaml:"log"`
}

// VM identifies the VM on which the process runs.
type VM struct {
	// Name is the VM's name in the platform's list.
	Name string `yaml:"name"`
	// Zone is the VM's availability zone.
	Zone string `yaml:"zone"`
	// Region is the region of the zone.
	Region string `yaml:"region"`
}

// TLS names the certificate files of a listener. They are reloaded when they change.
type TLS struct {
	// Cert is a PEM file with the certificate chain.
	Cert string `yaml:"cert"`
	// Key is a PEM file with the private key of Cert.
	Key string `yaml:"key"`
	// CA is a PEM file with the certificate authorities that sign client certificates; for peers only.
	CA string `yaml:"ca,omitempty"`
}

// Security selects TLS or plain text; exactly one of the two is set.
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
	// ReadBodyPause bounds how long a caller may send nothing of a body that has not ended.
	ReadBodyPause time.Duration `yaml:"read_body_pause"`
	// IdleTimeout is how long a connection may be idle between two requests before it is closed.
	IdleTimeout time.Duration `yaml:"idle_timeout"`
}

// Operators is the listener for operators, metrics and the platform's health checks.
type Operators struct {
	// Listen is host:port.
	Listen   string `yaml:"listen"`
	Security `yaml:",inline"`
	// Tokens are the operators' bearer tokens, each with its role.
	Tokens []Token `yaml:"tokens"`
}

// TokenRole is the access that a token grants.
type TokenRole string

// The roles of a token.
const (
	// RoleRead allows queries, metrics and the state dump.
	RoleRead TokenRole = "read"
	// RoleChange also allows commands.
	RoleChange TokenRole = "change"
)

// Token is an operator's bearer token.
type Token struct {
	// Name identifies the operator in logs and in the history of changes.
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

// Platform configures the access to the platform's services.
type Platform struct {
	// URL is the base URL, without a path.
	URL string `yaml:"url"`
	// Timeout bounds each call except watches.
	Timeout time.Duration `yaml:"timeout"`
	// ListInterval is the minimum pause between two reads of the list of VMs; long lists are read less often.
	ListInterval time.Duration `yaml:"list_interval"`
}

// Drain configures the graceful shutdown.
type Drain struct {
	// Timeout bounds a graceful shutdown; requests still running then are handed over or reported as cut off.
	Timeout time.Duration `yaml:"timeout"`
	// ReadinessDelay is how long the listener keeps accepting requests after the readiness check starts to fail, so
	// that the platform's load balancer can notice.
	ReadinessDelay time.Duration `yaml:"readiness_delay"`
}

// Timeouts bound the calls to targets.
type Timeouts struct {
	// Connect bounds the establishment of a connection.
	Connect time.Duration `yaml:"connect"`
	// Answer bounds the wait for a target to accept or refuse an attempt. Time in the target's queue is not part
	// of it: a target answers before it queues the attempt.
	Answer time.Duration `yaml:"answer"`
	// Progress bounds the wait between two events of an attempt that waits for its first token or for memory.
	// It detects links that stall without closing the connection.
	Progress time.Duration `yaml:"progress"`
	// TokenGap bounds the wait between two tokens of an attempt that is running.
	TokenGap time.Duration `yaml:"token_gap"`
	// Request is the deadline of a request that states none and whose class has none.
	Request time.Duration `yaml:"request"`
}

// Log configures the log output.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
	// Format is text or json.
	Format string `yaml:"format"`
}

// The defaults of settings that the file omits.
const (
	DefaultMaxBodyBytes      = 4 << 20
	DefaultMaxHeaderBytes    = 64 << 10
	DefaultReadHeaderTimeout = 5 * time.Second
	DefaultReadBodyPause     = 10 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultCallTimeout       = time.Second
	DefaultPlatformTimeout   = 2 * time.Second
	DefaultListInterval      = 2 * time.Second
	DefaultDrainTimeout      = time.Hour
	DefaultReadinessDelay    = 2 * time.Second
	DefaultConnectTimeout    = time.Second
	DefaultAnswerTimeout     = time.Second
	DefaultProgressTimeout   = 5 * time.Second
	DefaultTokenGapTimeout   = time.Second
	DefaultRequestTimeout    = 10 * time.Minute
	DefaultLogLevel          = "info"
	DefaultLogFormat         = "text"
)

// Default returns the default settings. They lack required values, so Check rejects them.
func Default() *Settings {
	return &Settings{
		Callers: Callers{
			MaxBodyBytes:      DefaultMaxBodyBytes,
			MaxHeaderBytes:    DefaultMaxHeaderBytes,
			ReadHeaderTimeout: DefaultReadHeaderTimeout,
			ReadBodyPause:     DefaultReadBodyPause,
			IdleTimeout:       DefaultIdleTimeout,
		},
		Peers:    Peers{CallTimeout: DefaultCallTimeout},
		Platform: Platform{Timeout: DefaultPlatformTimeout, ListInterval: DefaultListInterval},
		Drain:    Drain{Timeout: DefaultDrainTimeout, ReadinessDelay: DefaultReadinessDelay},
		Timeouts: Timeouts{
			Connect:  DefaultConnectTimeout,
			Answer:   DefaultAnswerTimeout,
			Progress: DefaultProgressTimeout,
			TokenGap: DefaultTokenGapTimeout,
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
