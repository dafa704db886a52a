package settings

import (
	"net"
	"time"
)

// Deployment holds the start-up settings of a godwitcartd process that forwards callers' requests in a deployment
// where the platform stores the configuration and the list of targets.
type Deployment struct {
	VM        DeploymentVM        `yaml:"vm"`
	Callers   ListenAddress       `yaml:"callers"`
	Readiness ListenAddress       `yaml:"readiness"`
	Metrics   ListenAddress       `yaml:"metrics"`
	Operators DeploymentOperators `yaml:"operators"`
	Peers     PeerPort            `yaml:"peers"`
	Platform  StoreAddress        `yaml:"platform"`
	Targets   TargetAccess        `yaml:"targets"`
	Limits    ResourceLimits      `yaml:"limits"`
	Bounds    Bounds              `yaml:"bounds"`
	Log       Log                 `yaml:"log"`
	// FirstStart is set if no VM of the fleet has run before.
	FirstStart bool `yaml:"first_start"`
}

// DeploymentVM identifies the VM on which the process runs.
type DeploymentVM struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Address is the IP address to which peers send.
	Address string `yaml:"address"`
}

// DeploymentOperators holds the tokens for operators' requests to the metrics listener. Without tokens, the
// listener serves only metrics.
type DeploymentOperators struct {
	Tokens []Token `yaml:"tokens"`
}

// ListenAddress is the host:port of a listener.
type ListenAddress struct {
	Listen string `yaml:"listen"`
}

// PeerPort is the port on which entry VMs exchange load digests (UDP) and reach targets through each other (TCP). It is
// the same on all of them; 0 turns both off.
type PeerPort struct {
	Port int `yaml:"port"`
}

// StoreAddress is the host:port of the platform's object store.
type StoreAddress struct {
	Address string `yaml:"address"`
}

// TargetAccess tells how the process reaches targets.
type TargetAccess struct {
	// Proxy is the host:port of an HTTP proxy that connects to them with the CONNECT method; empty for none.
	Proxy string `yaml:"proxy"`
}

// ResourceLimits are the resources of the VM that the process may use.
type ResourceLimits struct {
	// MemoryMB bounds the memory of the process, in MB; zero means that of GOMEMLIMIT, or no bound.
	MemoryMB int `yaml:"memory_mb"`
	// OpenFiles bounds the number of open file descriptors; zero means the bound of the kernel.
	OpenFiles int `yaml:"open_files"`
	// ClientBytesPerSecond is the rate below which clients give way to others when memory or connections are short; zero means
	// the default of the listeners.
	ClientBytesPerSecond int `yaml:"client_bytes_per_s"`
}

// Bounds are the service levels that the operators of the deployment guarantee.
type Bounds struct {
	// ConfigurationMillis bounds the time until an accepted configuration is in force on every entry VM.
	ConfigurationMillis float64 `yaml:"configuration_ms"`
	// RevocationMillis bounds how long a revoked key may still be accepted.
	RevocationMillis float64 `yaml:"revocation_ms"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `yaml:"grace_s"`
	// RetryRatio and RetrySlack bound the retries of a service over all entry VMs: in any period, at most
	// RetryRatio times the requests of the period, plus RetrySlack.
	RetryRatio float64 `yaml:"retry_ratio"`
	RetrySlack float64 `yaml:"retry_slack"`
	// EvacuationMillis bounds the time until a zone in evacuation gets nothing more; zero means that the operators of the
	// deployment evacuate no zones.
	EvacuationMillis float64 `yaml:"evacuation_ms"`
	// ColdOverage and ColdSlack bound what a cold target gets in any second from all entry VMs: ColdOverage times the
	// requests a second that its service declares for cold targets, plus ColdSlack.
	ColdOverage float64 `yaml:"cold_overage"`
	ColdSlack   float64 `yaml:"cold_slack"`
}

// ConfigurationDelay returns the bound on the time until an accepted configuration is in force.
func (b Bounds) ConfigurationDelay() time.Duration { return millis(b.ConfigurationMillis) }

// RevocationDelay returns the bound on how long a revoked key may still be accepted.
func (b Bounds) RevocationDelay() time.Duration { return millis(b.RevocationMillis) }

// EvacuationDelay returns the bound on the time until a zone in evacuation gets nothing more; zero if there is none.
func (b Bounds) EvacuationDelay() time.Duration { return millis(b.EvacuationMillis) }

// GracePeriod returns the time between SIGTERM and SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return millis(b.GraceSeconds * 1000) }

func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// The defaults of Bounds.
const (
	defaultConfigurationMillis = 4000 // required time for a change to be in force on all entry VMs
	defaultRevocationMillis    = 5000
	defaultGraceSeconds        = 8
	defaultRetryRatio          = 0.1
	defaultRetrySlack          = 20
	defaultColdOverage         = 1
)

// DefaultDeployment returns the default settings. They lack required values, so CheckDeployment rejects them.
func DefaultDeployment() *Deployment {
	return &Deployment{
		Bounds: Bounds{
			ConfigurationMillis: defaultConfigurationMillis, RevocationMillis: defaultRevocationMillis,
			GraceSeconds: defaultGraceSeconds, RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack,
			ColdOverage: defaultColdOverage,
		},
		Log: Log{Level: DefaultLogLevel, Format: "json"},
	}
}

// LoadDeployment reads the file at path, fills in the defaults and checks the result.
func LoadDeployment(path string) (*Deployment, error) { return load(path, ParseDeployment) }

// ParseDeployment is LoadDeployment for text that was already read; path is used in errors only.
func ParseDeployment(path string, text []byte) (*Deployment, error) {
	return parse(path, text, DefaultDeployment(), CheckDeployment)
}

// CheckDeployment returns all problems of s; without any, s is valid.
func CheckDeployment(s *Deployment) []Problem {
	c := &checker{}
	report := c.report
	if s.VM.Name == "" {
		report("vm.name", "it is missing", "name the VM")
	}
	if s.VM.Zone == "" {
		report("vm.zone", "it is missing", "name the availability zone of the VM")
	}
	if net.ParseIP(s.VM.Address) == nil {
		report("vm.address", "it is not an IP address", "write the IP address of the VM")
	}
	for _, address := range []struct{ key, value string }{
		{"callers.listen", s.Callers.Listen}, {"readiness.listen", s.Readiness.Listen},
		{"metrics.listen", s.Metrics.Listen}, {"platform.address", s.Platform.Address},
	} {
		c.requireHostPort(address.key, address.value)
	}
	if s.Targets.Proxy != "" {
		c.requireHostPort("targets.proxy", s.Targets.Proxy)
	}
	if s.Peers.Port < 0 || s.Peers.Port > 65535 {
		report("peers.port", "it is not a port number", "write a number from 0 to 65535; 0 turns the exchange of load digests off")
	}
	for _, bound := range []struct {
		key   string
		value float64
	}{
		{"bounds.configuration_ms", s.Bounds.ConfigurationMillis}, {"bounds.revocation_ms", s.Bounds.RevocationMillis},
		{"bounds.grace_s", s.Bounds.GraceSeconds},
	} {
		if bound.value <= 0 {
			report(bound.key, "it is not positive", "write a positive number")
		}
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		report("bounds.retry_ratio", "the retry budget is negative", "write a ratio and a slack of zero or more")
	}
	if s.Bounds.EvacuationMillis < 0 {
		report("bounds.evacuation_ms", "it is negative", "write the bound in milliseconds, or 0 if no zones are evacuated")
	}
	if s.Bounds.ColdOverage < 1 || s.Bounds.ColdSlack < 0 {
		report("bounds.cold_overage", "cold targets would get less than they take", "write an overage of 1 or more and a slack of 0 or more")
	}
	c.checkResources(s.Limits)
	c.checkTokens("operators.tokens", s.Operators.Tokens)
	return c.problems
}
