package daemon

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOddEntryOfVMListHidesTheOthers guards against a VM that learns of no other VM and no target since one entry of the platform's
// list cannot be read.
func TestOddEntryOfVMListHidesTheOthers(t *testing.T) {
	const sound = `{"name":"e1","role":"target","zone":"a","service":"lm","address":"10.0.0.1:80"}`
	for name, odd := range map[string]string{
		"nested deeply": strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000), "large number": "1e999", "other type": `{"name":7}`,
		"field of another type": `{"name":"e2","zone":[],"address":"10.0.0.2:80"}`, "no name": `{"zone":"a"}`, "null": "null",
	} {
		t.Run(name, func(t *testing.T) {
			list, err := decodeVMList([]byte(`{"vms":[` + odd + `,` + sound + `]}`))
			require.NoError(t, err)
			require.Len(t, list.VMs, 1)
			require.Equal(t, "e1", list.VMs[0].Name)
		})
	}
	for _, body := range []string{"", "[]", `{"vms":7}`, "{}"} {
		_, err := decodeVMList([]byte(body))
		require.Error(t, err, body)
	}
}
