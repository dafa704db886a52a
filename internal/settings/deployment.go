package settings

import (
	"net"
	"time"
)

// Deployment are the start-up settings of a godwitcartd that forwards callers' requests in a deployment
// whose platform keeps the configuration and the list of targets.
type Deployment struct {
	VM        DeploymentVM        `yaml:"vm"`
	Callers   ListenAddress       `yaml:"callers"`
	Readiness ListenAddress       `yaml:"readiness"`
	Metrics   ListenAddress       `yaml:"metrics"`
	Operators DeploymentOperators `yaml:"operators"`
	Peers     PeerPort            `yaml:"peers"`
	Platform  StoreAddress        `yaml:"platform"`
	Limits    ResourceLimits      `yaml:"limits"`
	Bounds    Bounds              `yaml:"bounds"`
	Log       Log                 `yaml:"log"`
}

// DeploymentVM says where the process runs.
type DeploymentVM struct {
	Name   string `yaml:"name"`
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Address is the IP number that peers send to.
	Address string `yaml:"address"`
}

// DeploymentOperators says who may ask on the metrics' address. Without tokens only metrics are served.
type DeploymentOperators struct {
	Tokens []Token `yaml:"tokens"`
}

// ListenAddress is the host:port of a listener.
type ListenAddress struct {
	Listen string `yaml:"listen"`
}

// PeerPort is the UDP port on which entry VMs exchange load digests, the same on all of them.
type PeerPort struct {
	Port int `yaml:"port"`
}

// StoreAddress is the host:port of the platform's object store.
type StoreAddress struct {
	Address string `yaml:"address"`
}

// ResourceLimits are what the VM grants the process.
type ResourceLimits struct {
	// MemoryMB bounds the process's memory; zero means no bound.
	MemoryMB int `yaml:"memory_mb"`
	// OpenFiles bounds the process's descriptors; zero means no bound.
	OpenFiles int `yaml:"open_files"`
}

// Bounds are the times and shares that the deployment's operators have promised.
type Bounds struct {
	// ConfigurationMillis bounds the time until an accepted configuration is in force.
	ConfigurationMillis float64 `yaml:"configuration_ms"`
	// RevocationMillis bounds the time for which a revoked key may still be accepted.
	RevocationMillis float64 `yaml:"revocation_ms"`
	// GraceSeconds is the time between SIGTERM and SIGKILL.
	GraceSeconds float64 `yaml:"grace_s"`
	// RetryRatio and RetrySlack bound the retries at a service over all entry VMs: within any time the ratio
	// times its requests, plus the slack.
	RetryRatio float64 `yaml:"retry_ratio"`
	RetrySlack float64 `yaml:"retry_slack"`
}

// Configuration returns the bound on putting a configuration in force.
func (b Bounds) Configuration() time.Duration { return millis(b.ConfigurationMillis) }

// Revocation returns the bound on accepting a revoked key.
func (b Bounds) Revocation() time.Duration { return millis(b.RevocationMillis) }

// Grace returns the time between SIGTERM and SIGKILL.
func (b Bounds) Grace() time.Duration { return millis(b.GraceSeconds * 1000) }

func millis(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}

// The bounds that hold where the settings name none.
const (
	defaultConfigurationMillis = 4000 // the time within which letter 1 wants changes in force everywhere
	defaultRevocationMillis    = 5000
	defaultGraceSeconds        = 8
	defaultRetryRatio          = 0.1
	defaultRetrySlack          = 20
)

// DefaultDeployment returns settings that hold only the defaults; they do not pass CheckDeployment.
func DefaultDeployment() *Deployment {
	return &Deployment{
		Bounds: Bounds{
			ConfigurationMillis: defaultConfigurationMillis, RevocationMillis: defaultRevocationMillis,
			GraceSeconds: defaultGraceSeconds, RetryRatio: defaultRetryRatio, RetrySlack: defaultRetrySlack,
		},
		Log: Log{Level: DefaultLogLevel, Format: "json"},
	}
}

// LoadDeployment reads the file at path, fills in the defaults and checks the result.
func LoadDeployment(path string) (*Deployment, error) { return load(path, ParseDeployment) }

// ParseDeployment is LoadDeployment on the text of the file that path names.
func ParseDeployment(path string, text []byte) (*Deployment, error) {
	return parse(path, text, DefaultDeployment(), CheckDeployment)
}

// CheckDeployment returns what is wrong with the settings.
func CheckDeployment(s *Deployment) []Problem {
	c := &checker{}
	add := c.add
	if s.VM.Name == "" {
		add("vm.name", "is missing", "name the VM")
	}
	if s.VM.Zone == "" {
		add("vm.zone", "is missing", "name the availability zone of the VM")
	}
	if net.ParseIP(s.VM.Address) == nil {
		add("vm.address", "is not an IP number", "write the IP number of the VM")
	}
	for _, address := range []struct{ key, value string }{
		{"callers.listen", s.Callers.Listen}, {"readiness.listen", s.Readiness.Listen},
		{"metrics.listen", s.Metrics.Listen}, {"platform.address", s.Platform.Address},
	} {
		c.address(address.key, address.value)
	}
	if s.Peers.Port < 0 || s.Peers.Port > 65535 {
		add("peers.port", "is not a port", "write a number from 0 to 65535; 0 exchanges no digests")
	}
	for _, bound := range []struct {
		key   string
		value float64
	}{
		{"bounds.configuration_ms", s.Bounds.ConfigurationMillis}, {"bounds.revocation_ms", s.Bounds.RevocationMillis},
		{"bounds.grace_s", s.Bounds.GraceSeconds},
	} {
		if bound.value <= 0 {
			add(bound.key, "is not above zero", "write a time above zero")
		}
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		add("bounds.retry_ratio", "the retry budget is negative", "write a ratio and a slack of zero or more")
	}
	c.checkTokens("operators.tokens", s.Operators.Tokens)
	return c.problems
}
