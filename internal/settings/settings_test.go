package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/goccy/go-yaml"
	"github.com/stretchr/testify/require"

	"godwitcart/internal/apierror"
	"godwitcart/internal/policy"
	"godwitcart/internal/settings"
	"godwitcart/internal/wire/platformwire"
)

const examples = "../../examples"

func TestCommentedExampleMatchesDefaults(t *testing.T) {
	s, err := settings.Load(filepath.Join(examples, "godwitcartd.yaml"))
	require.NoError(t, err)
	defaults := settings.Default()
	require.Equal(t, defaults.Timeouts, s.Timeouts)
	require.Equal(t, defaults.Drain, s.Drain)
	require.Equal(t, defaults.Callers.MaxBodyBytes, s.Callers.MaxBodyBytes)
	require.Equal(t, "10.0.0.5:7301", s.Peers.PeerAddress())
	keys, err := s.ReadCursorKeys()
	require.NoError(t, err)
	require.Len(t, keys, 2)
}

func TestDeploymentExamplesMatchVMLists(t *testing.T) {
	for deployment, wantEntries := range map[string]int{"prairie": 9, "derwent": 8} {
		var list platformwire.VMList
		decodeExample(t, filepath.Join(examples, deployment, "vms.yaml"), &list)
		var configuration policy.Configuration
		decodeExample(t, filepath.Join(examples, deployment, "configuration.yaml"), &configuration)
		entries := 0
		for _, vm := range list.VMs {
			if vm.Role != "entry" {
				require.Contains(t, configuration.Services, vm.Service)
				continue
			}
			entries++
			s, err := settings.Load(filepath.Join(examples, deployment, vm.Name+".yaml"))
			require.NoError(t, err)
			require.Equal(t, vm.Name, s.VM.Name)
			require.Equal(t, vm.Zone, s.VM.Zone)
			require.Equal(t, vm.Address, s.Callers.Listen)
			require.Equal(t, vm.PeerAddress, s.Peers.PeerAddress())
			require.Equal(t, vm.AdminAddress, s.Operators.Listen)
		}
		require.Equal(t, wantEntries, entries)
	}
}

func decodeExample(t *testing.T, path string, into any) {
	t.Helper()
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, yaml.UnmarshalWithOptions(text, into, yaml.Strict()))
}

func TestProblemsNameFileLineAndRemedy(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(examples, "prairie", "prairie-regina-a-entry-1.yaml"))
	require.NoError(t, err)
	valid := string(text)
	cases := map[string]struct{ old, new, want string }{
		"unknown key":    {"zone: regina-a", "zone: regina-a\n  zoen: x", `s.yaml:5: unknown field "zoen"; remove the key`},
		"wrong type":     {"plain_text: true", "plain_text: perhaps", "s.yaml:8:"},
		"duplicate key":  {"platform:", "peers: {}\nplatform:", "s.yaml:"},
		"missing":        {"  zone: regina-a\n", "", "s.yaml:3: vm.zone: it is missing; set it"},
		"alias":          {"  zone: regina-a", "  zone: &a [*a]", "s.yaml:4: YAML anchors and aliases are not supported; write"},
		"no security":    {"  listen: 127.0.0.1:7101\n  plain_text: true", "  listen: 127.0.0.1:7101", "callers: exactly one of tls and plain_text"},
		"both":           {"  listen: 127.0.0.1:7301", "  listen: 127.0.0.1:7301\n  tls: {cert: a, key: b, ca: c}", "peers: exactly one of"},
		"same port":      {"127.0.0.1:7301", "127.0.0.1:7101", "peers.listen: 127.0.0.1:7101 is used by callers.listen too"},
		"not dialable":   {"127.0.0.1:7301", "0.0.0.0:7301", "s.yaml:17: peers.advertise: peers cannot dial"},
		"bad role":       {"role: read", "role: root", `s.yaml:14: operators.tokens[0].role: "root" is not allowed`},
		"short digest":   {"role: read, sha256: ", "role: read, sha256: ff", "operators.tokens[0].sha256"},
		"bad url":        {"http://127.0.0.1:7000", "127.0.0.1:7000", "s.yaml:20: platform.url"},
		"bad cursor key": {"cursor_keys:\n  - ", "cursor_keys:\n  - zz", "s.yaml:22: cursor_keys[0]"},
		"two key places": {"cursor_keys:", "cursor_keys_file: x\ncursor_keys:", "exactly one of cursor_keys and"},
		"negative time":  {"platform:", "timeouts: {progress: -1s}\nplatform:", "timeouts.progress: -1s is not a positive"},
		"delay too long": {"platform:", "drain: {timeout: 1s}\nplatform:", "drain.readiness_delay"},
		"negative limit": {"  listen: 127.0.0.1:7101", "  listen: 127.0.0.1:7101\n  max_body_bytes: -4", "callers.max_body_bytes: -4"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			invalid := strings.Replace(valid, c.old, c.new, 1)
			require.NotEqual(t, valid, invalid)
			_, err := settings.Parse("s.yaml", []byte(invalid))
			require.ErrorContains(t, err, c.want)
			require.True(t, apierror.Is(err, apierror.KindBadRequest))
		})
	}
}

func FuzzParse(f *testing.F) {
	text, err := os.ReadFile(filepath.Join(examples, "godwitcartd.yaml"))
	require.NoError(f, err)
	f.Add(text)
	f.Add([]byte("vm: &a [*a]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("s.yaml", text)
		require.Equal(t, err == nil, s != nil)
	})
}
