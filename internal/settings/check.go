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

// CursorKeyBytes is the length of a cursor key.
const CursorKeyBytes = 32

// sha256Bytes is the length of a token's digest.
const sha256Bytes = 32

// Problem is one fault of the settings.
type Problem struct {
	// Key is the dotted path of the setting, such as "peers.listen".
	Key string
	// Message says what is wrong.
	Message string
	// Remedy says what to write in its place.
	Remedy string
}

// Check returns every fault of s in the order of the file, and nothing when s can be started with.
// It reads no file.
func Check(s *Settings) []Problem {
	c := &checker{}
	c.checkVM(s.VM)
	c.checkCallers(s.Callers)
	c.checkOperators(s.Operators)
	c.checkPeers(s.Peers)
	c.checkDistinctListeners(s)
	c.checkPlatform(s.Platform)
	c.checkCursorKeys(s)
	c.checkTimes(s)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	return c.problems
}

// checker gathers problems.
type checker struct {
	problems []Problem
}

func (c *checker) add(key, message, remedy string) {
	c.problems = append(c.problems, Problem{Key: key, Message: message, Remedy: remedy})
}

func (c *checker) checkVM(vm VM) {
	c.present("vm.name", vm.Name, "set it to the VM's name in the platform's list")
	c.present("vm.zone", vm.Zone, "set it to the VM's availability zone")
	c.present("vm.region", vm.Region, "set it to the region of the availability zone")
}

func (c *checker) checkCallers(callers Callers) {
	c.address("callers.listen", callers.Listen)
	c.security("callers", callers.Security, false)
	c.positive("callers.max_body_bytes", callers.MaxBodyBytes)
	c.positive("callers.max_header_bytes", int64(callers.MaxHeaderBytes))
}

func (c *checker) checkOperators(operators Operators) {
	c.address("operators.listen", operators.Listen)
	c.security("operators", operators.Security, false)
	if len(operators.Tokens) == 0 {
		c.add("operators.tokens", "there is no token", "add a token with name, role and sha256")
	}
	c.checkTokens("operators.tokens", operators.Tokens)
}

func (c *checker) checkTokens(section string, tokens []Token) {
	names := map[string]bool{}
	for i, token := range tokens {
		key := fmt.Sprintf("%s[%d]", section, i)
		c.present(key+".name", token.Name, "name the operator")
		if names[token.Name] {
			c.add(key+".name", fmt.Sprintf("%q stands twice", token.Name), "give each token a name of its own")
		}
		names[token.Name] = true
		c.oneOf(key+".role", string(token.Role), string(RoleRead), string(RoleChange))
		c.hexBytes(key+".sha256", token.SHA256, sha256Bytes, "write the output of: printf %s TOKEN | sha256sum")
	}
}

func (c *checker) checkPeers(peers Peers) {
	c.address("peers.listen", peers.Listen)
	c.security("peers", peers.Security, true)
	if peers.Advertise != "" {
		c.address("peers.advertise", peers.Advertise)
	}
	host, port, err := net.SplitHostPort(peers.PeerAddress())
	if err == nil && isUnspecified(host) {
		c.add("peers.advertise", "peers cannot dial "+peers.PeerAddress(), "set peers.advertise to the VM's IP number and port")
	}
	if err == nil && port == "0" && peers.Advertise != "" {
		c.add("peers.advertise", "port 0 cannot be dialled", "set the port that peers reach")
	}
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return host == "" || (ip != nil && ip.IsUnspecified())
}

// checkDistinctListeners refuses listeners that would fight for one port.
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
		if other, taken := seen[l.address]; taken {
			c.add(l.key, fmt.Sprintf("%s is used by %s too", l.address, other), "give each listener a port of its own")
		}
		seen[l.address] = l.key
	}
}

func (c *checker) checkPlatform(platform Platform) {
	parsed, err := url.Parse(platform.URL)
	if err != nil || parsed.Host == "" || !slices.Contains([]string{"http", "https"}, parsed.Scheme) {
		c.add("platform.url", fmt.Sprintf("%q is not an http or https URL", platform.URL), "write for example http://10.0.0.2:7000")
		return
	}
	if parsed.Path != "" && parsed.Path != "/" {
		c.add("platform.url", "the URL has a path", "leave the path out")
	}
}

func (c *checker) checkCursorKeys(s *Settings) {
	const remedy = "write 64 hexadecimal digits, for example from: openssl rand -hex 32"
	if (len(s.CursorKeys) == 0) == (s.CursorKeysFile == "") {
		c.add("cursor_keys", "exactly one of cursor_keys and cursor_keys_file is needed", "set one of the two, alike on every entry VM")
	}
	for i, key := range s.CursorKeys {
		c.hexBytes(fmt.Sprintf("cursor_keys[%d]", i), key, CursorKeyBytes, remedy)
	}
}

func (c *checker) checkTimes(s *Settings) {
	times := []struct {
		key   string
		value time.Duration
	}{
		{"callers.read_header_timeout", s.Callers.ReadHeaderTimeout},
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
	for _, t := range times {
		if t.value <= 0 {
			c.add(t.key, fmt.Sprintf("%s is not a positive duration", t.value), `write a duration such as "5s"`)
		}
	}
	if s.Drain.ReadinessDelay < 0 || s.Drain.ReadinessDelay >= s.Drain.Timeout {
		c.add("drain.readiness_delay", "it must be at least 0 and less than drain.timeout", "shorten it or lengthen drain.timeout")
	}
	if s.Timeouts.Answer > s.Timeouts.Request {
		c.add("timeouts.answer", "it is longer than timeouts.request", "shorten it or lengthen timeouts.request")
	}
}

func (c *checker) present(key, value, remedy string) {
	if value == "" {
		c.add(key, "it is missing", remedy)
	}
}

func (c *checker) positive(key string, value int64) {
	if value <= 0 {
		c.add(key, fmt.Sprintf("%d is not positive", value), "write a number of at least 1 or leave the key out")
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.add(key, fmt.Sprintf("%q is not allowed", value), fmt.Sprintf("write one of %q", allowed))
	}
}

func (c *checker) address(key, value string) {
	_, port, err := net.SplitHostPort(value)
	if err == nil {
		_, err = strconv.ParseUint(port, 10, 16)
	}
	if err != nil {
		c.add(key, fmt.Sprintf("%q is not host:port", value), "write for example 10.0.0.5:7101")
	}
}

func (c *checker) hexBytes(key, value string, length int, remedy string) {
	decoded, err := hex.DecodeString(value)
	if err != nil || len(decoded) != length {
		c.add(key, fmt.Sprintf("it is not %d hexadecimal digits", 2*length), remedy)
	}
}

// security checks that exactly one of TLS and plain text is chosen and that TLS names its files.
func (c *checker) security(section string, security Security, mutual bool) {
	if (security.TLS != nil) == security.PlainText {
		c.add(section, "exactly one of tls and plain_text is needed", "set tls, or plain_text: true where the network is trusted")
	}
	if security.TLS == nil {
		return
	}
	c.present(section+".tls.cert", security.TLS.Cert, "name a PEM file with the certificate chain")
	c.present(section+".tls.key", security.TLS.Key, "name a PEM file with the private key")
	if mutual {
		c.present(section+".tls.ca", security.TLS.CA, "name a PEM file with the authority that signs the entry VMs")
		return
	}
	if security.TLS.CA != "" {
		c.add(section+".tls.ca", "client certificates are not checked here", "leave the key out; callers and operators show keys and tokens")
	}
}
