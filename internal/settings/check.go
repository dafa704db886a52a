package settings

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// CursorKeyBytes is the length of a decoded cursor key.
const CursorKeyBytes = 32

// tokenDigestBytes is the length of a token's SHA-256 digest.
const tokenDigestBytes = 32

// Problem is one invalid setting.
type Problem struct {
	// Key is the dotted path of the setting, such as "peers.listen".
	Key string
	// Message says what is wrong.
	Message string
	// Remedy says how to correct the setting.
	Remedy string
}

// Check returns all problems of s, in the order of the file; without any, s is valid. It reads no files, so it
// does not notice that a named one is missing.
func Check(s *Settings) []Problem {
	c := &checker{}
	c.checkVM(s.VM)
	c.checkCallers(s.Callers)
	c.checkOperators(s.Operators)
	c.checkPeers(s.Peers)
	c.checkDistinctListeners(s)
	c.checkPlatform(s.Platform)
	c.checkCursorKeys(s)
	c.checkDurations(s)
	c.checkResources(s.Limits)
	c.requireOneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.requireOneOf("log.format", s.Log.Format, "text", "json")
	return c.problems
}

// checker collects problems.
type checker struct {
	problems []Problem
}

func (c *checker) report(key, message, remedy string) {
	c.problems = append(c.problems, Problem{Key: key, Message: message, Remedy: remedy})
}

func (c *checker) checkResources(limits ResourceLimits) {
	if limits.MemoryMB < 0 || limits.OpenFiles < 0 {
		c.report("limits.memory_mb", "a limit is negative", "write the memory in MB and the number of descriptors, or 0 for the bounds of the environment")
	}
	if limits.ClientBytesPerSecond < 0 {
		c.report("limits.client_bytes_per_s", "the least rate of clients is negative", "write bytes per second, or 0 for the default")
	}
}

func (c *checker) checkVM(vm VM) {
	c.requirePresent("vm.name", vm.Name, "set it to the VM's name in the platform's list")
	c.requirePresent("vm.zone", vm.Zone, "set it to the VM's availability zone")
	c.requirePresent("vm.region", vm.Region, "set it to the region of the availability zone")
}

func (c *checker) checkCallers(callers Callers) {
	c.requireHostPort("callers.listen", callers.Listen)
	c.checkSecurity("callers", callers.Security, false)
	c.requirePositive("callers.max_body_bytes", callers.MaxBodyBytes)
	c.requirePositive("callers.max_header_bytes", int64(callers.MaxHeaderBytes))
}

func (c *checker) checkOperators(operators Operators) {
	c.requireHostPort("operators.listen", operators.Listen)
	c.checkSecurity("operators", operators.Security, false)
	if len(operators.Tokens) == 0 {
		c.report("operators.tokens", "there is no token", "add a token with name, role and sha256")
	}
	c.checkTokens("operators.tokens", operators.Tokens)
}

func (c *checker) checkTokens(section string, tokens []Token) {
	names := map[string]bool{}
	for i, token := range tokens {
		key := fmt.Sprintf("%s[%d]", section, i)
		c.requirePresent(key+".name", token.Name, "name the operator")
		if names[token.Name] {
			c.report(key+".name", fmt.Sprintf("%q is used by more than one token", token.Name), "give each token a name of its own")
		}
		names[token.Name] = true
		c.requireOneOf(key+".role", string(token.Role), string(RoleRead), string(RoleChange))
		c.requireHexBytes(key+".sha256", token.SHA256, tokenDigestBytes, "write the output of: printf %s TOKEN | sha256sum")
	}
}

func (c *checker) checkPeers(peers Peers) {
	c.requireHostPort("peers.listen", peers.Listen)
	c.checkSecurity("peers", peers.Security, true)
	if peers.Advertise != "" {
		c.requireHostPort("peers.advertise", peers.Advertise)
	}
	host, port, err := net.SplitHostPort(peers.PeerAddress())
	if err == nil && isUnspecified(host) {
		c.report("peers.advertise", "peers cannot dial "+peers.PeerAddress(), "set peers.advertise to the VM's IP address and port")
	}
	if err == nil && port == "0" && peers.Advertise != "" {
		c.report("peers.advertise", "port 0 cannot be dialled", "set the port that peers can reach")
	}
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}

// checkDistinctListeners reports listeners that have the same address. Port 0 is exempt, because the system
// chooses a free port for it.
func (c *checker) checkDistinctListeners(s *Settings) {
	listeners := []struct{ key, address string }{
		{"callers.listen", s.Callers.Listen},
		{"operators.listen", s.Operators.Listen},
		{"peers.listen", s.Peers.Listen},
	}
	seen := map[string]string{}
	for _, l := range listeners {
		_, port, err := net.SplitHostPort(l.address)
		if err != nil || port == "0" {
			continue
		}
		if other, duplicate := seen[l.address]; duplicate {
			c.report(l.key, fmt.Sprintf("%s is used by %s too", l.address, other), "give each listener a port of its own")
		}
		seen[l.address] = l.key
	}
}

func (c *checker) checkPlatform(platform Platform) {
	parsed, err := url.Parse(platform.URL)
	if err != nil || parsed.Host == "" || !slices.Contains([]string{"http", "https"}, parsed.Scheme) {
		c.report("platform.url", fmt.Sprintf("%q is not an http or https URL", platform.URL), "write for example http://10.0.0.2:7000")
		return
	}
	if parsed.Path != "" && parsed.Path != "/" {
		c.report("platform.url", "the URL has a path", "leave the path out")
	}
}

func (c *checker) checkCursorKeys(s *Settings) {
	const remedy = "write 64 hexadecimal digits, for example from: openssl rand -hex 32"
	if (len(s.CursorKeys) == 0) == (s.CursorKeysFile == "") {
		c.report("cursor_keys", "exactly one of cursor_keys and cursor_keys_file is needed", "set one of the two, with the same keys on every entry VM")
	}
	for i, key := range s.CursorKeys {
		c.requireHexBytes(fmt.Sprintf("cursor_keys[%d]", i), key, CursorKeyBytes, remedy)
	}
}

func (c *checker) checkDurations(s *Settings) {
	durations := []struct {
		key   string
		value time.Duration
	}{
		{"callers.read_header_timeout", s.Callers.ReadHeaderTimeout}, {"callers.read_body_pause", s.Callers.ReadBodyPause},
		{"callers.idle_timeout", s.Callers.IdleTimeout},
		{"peers.call_timeout", s.Peers.CallTimeout},
		{"platform.timeout", s.Platform.Timeout},
		{"platform.list_interval", s.Platform.ListInterval},
		{"drain.timeout", s.Drain.Timeout},
		{"timeouts.connect", s.Timeouts.Connect},
		{"timeouts.answer", s.Timeouts.Answer},
		{"timeouts.token_gap", s.Timeouts.TokenGap},
		{"timeouts.progress", s.Timeouts.Progress},
		{"timeouts.request", s.Timeouts.Request},
	}
	for _, d := range durations {
		if d.value <= 0 {
			c.report(d.key, fmt.Sprintf("%s is not a positive duration", d.value), `write a duration such as "5s"`)
		}
	}
	if s.Drain.ReadinessDelay < 0 || s.Drain.ReadinessDelay >= s.Drain.Timeout {
		c.report("drain.readiness_delay", "it must be at least 0 and less than drain.timeout", "shorten it or lengthen drain.timeout")
	}
	if s.Timeouts.Answer > s.Timeouts.Request {
		c.report("timeouts.answer", "it is longer than timeouts.request", "shorten it or lengthen timeouts.request")
	}
}

func (c *checker) requirePresent(key, value, remedy string) {
	if value == "" {
		c.report(key, "it is missing", remedy)
	}
}

func (c *checker) requirePositive(key string, value int64) {
	if value <= 0 {
		c.report(key, fmt.Sprintf("%d is not positive", value), "write a number of at least 1 or leave the key out")
	}
}

func (c *checker) requireOneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(key, fmt.Sprintf("%q is not allowed", value), fmt.Sprintf("write one of %q", allowed))
	}
}

func (c *checker) requireHostPort(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.report(key, fmt.Sprintf("%q is not host:port", value), "write for example 10.0.0.5:7101")
	}
}

func (c *checker) requireHexBytes(key, value string, length int, remedy string) {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != length {
		c.report(key, fmt.Sprintf("it is not %d hexadecimal digits", 2*length), remedy)
	}
}

// checkSecurity checks that exactly one of TLS and plain text is chosen and that TLS names its files. With mutual,
// the CA that signs client certificates is required; without, it is rejected.
func (c *checker) checkSecurity(section string, security Security, mutual bool) {
	if (security.TLS != nil) == security.PlainText {
		c.report(section, "exactly one of tls and plain_text is needed", "set tls, or plain_text: true where the network is trusted")
	}
	if security.TLS == nil {
		return
	}
	c.requirePresent(section+".tls.cert", security.TLS.Cert, "name a PEM file with the certificate chain")
	c.requirePresent(section+".tls.key", security.TLS.Key, "name a PEM file with the private key")
	if mutual {
		c.requirePresent(section+".tls.ca", security.TLS.CA, "name a PEM file with the CA that signs the entry VMs' certificates")
		return
	}
	if security.TLS.CA != "" {
		c.report(section+".tls.ca", "client certificates are not checked here", "leave the key out; callers authenticate with API keys and operators with tokens")
	}
}
