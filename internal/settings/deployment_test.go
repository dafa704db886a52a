package settings_test

import (
	"maps"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
)

// renderTemplate fills in the deployment's settings template as the platform does.
func renderTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/settings.yaml.tmpl")
	require.NoError(t, err)
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	require.NotContains(t, text, "{{", "the template has a field for which the test has no value")
	return text
}

var exampleValues = map[string]string{
	"node_name|json": `"edge-a-1"`, "zone|json": `"a"`, "region|json": `"r"`, "ip|json": `"10.1.0.19"`, "ip": "10.1.0.19",
	"listen.frontend|json": `"10.1.0.19:8740"`, "listen.ready|json": `"10.1.0.19:8749"`, "port_range.0": "7200",
	"platform.address|json": `"10.200.1.7:8742"`, "limits.memory_mb": "134", "limits.max_fds": "4100",
	"bounds.config_ms": "2000", "bounds.revoke_ms": "5000", "bounds.grace_s": "8",
	"bounds.retry_ratio": "0.2", "bounds.retry_slack": "56",
	"bounds.evacuate_ms": "5000", "bounds.cold_overage": "1.5", "bounds.cold_slack": "5",
}

// TestDeploymentTemplateRendersValidSettings guards against a template with unknown keys or invalid values, with
// which no entry VM of the deployment would start.
func TestDeploymentTemplateRendersValidSettings(t *testing.T) {
	s, err := settings.ParseDeployment("boot.yaml", []byte(renderTemplate(t, exampleValues)))
	require.NoError(t, err)
	require.Equal(t, "edge-a-1", s.VM.Name)
	require.Equal(t, "10.1.0.19:9464", s.Metrics.Listen)
	require.Equal(t, 7200, s.Peers.Port)
	require.Equal(t, 5*time.Second, s.Bounds.RevocationDelay())
	require.Equal(t, 8*time.Second, s.Bounds.GracePeriod())
	require.Equal(t, 4100, s.Limits.OpenFiles)
	require.Equal(t, 5*time.Second, s.Bounds.EvacuationDelay())
	require.Equal(t, []float64{1.5, 5}, []float64{s.Bounds.ColdOverage, s.Bounds.ColdSlack})
}

// TestDeploymentWithoutBoundsOfEvacuation guards against values that the platform leaves empty.
func TestDeploymentWithoutBoundsOfEvacuation(t *testing.T) {
	values := maps.Clone(exampleValues)
	values["bounds.evacuate_ms"], values["bounds.cold_overage"], values["bounds.cold_slack"] = "", "", ""
	s, err := settings.ParseDeployment("boot.yaml", []byte(renderTemplate(t, values)))
	require.NoError(t, err)
	require.Zero(t, s.Bounds.EvacuationDelay())
	require.Equal(t, []float64{1, 0}, []float64{s.Bounds.ColdOverage, s.Bounds.ColdSlack})
}

// TestDeploymentProblemsNameTheSetting checks that the error for each invalid value names its setting.
func TestDeploymentProblemsNameTheSetting(t *testing.T) {
	cases := map[string]struct{ field, value, problem string }{
		"no name":       {"node_name|json", `""`, "vm.name"},
		"no zone":       {"zone|json", `""`, "vm.zone"},
		"host name":     {"ip|json", `"host"`, "vm.address"},
		"no port":       {"listen.frontend|json", `"10.1.0.19"`, "callers.listen"},
		"no bound":      {"bounds.revoke_ms", "0", "bounds.revocation_ms"},
		"no grace":      {"bounds.grace_s", "-1", "bounds.grace_s"},
		"no port range": {"port_range.0", "99999", "peers.port"},
		"budget":        {"bounds.retry_ratio", "-0.1", "bounds.retry_ratio"},
		"evacuation":    {"bounds.evacuate_ms", "-1", "bounds.evacuation_ms"},
		"cold overage":  {"bounds.cold_overage", "0.5", "bounds.cold_overage"},
		"least rate":    {"limits.max_fds", "4100\n  client_bytes_per_s: -1", "limits.client_bytes_per_s"},
		"not a number":  {"limits.memory_mb", "much", "boot.yaml"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			values := make(map[string]string)
			for field, value := range exampleValues {
				values[field] = value
			}
			values[c.field] = c.value
			_, err := settings.ParseDeployment("boot.yaml", []byte(renderTemplate(t, values)))
			require.ErrorContains(t, err, c.problem)
		})
	}
	_, err := settings.ParseDeployment("boot.yaml", []byte(renderTemplate(t, exampleValues)+"unknown: 1\n"))
	require.ErrorContains(t, err, "unknown")
}
