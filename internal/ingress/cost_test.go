package ingress_test

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/forward"
	"godwitcart/internal/ingress"
	"godwitcart/platform"
)

// TestHeadsAreChargedTheirCost guards against heads whose parsed form takes more memory than is charged for it.
func TestHeadsAreChargedTheirCost(t *testing.T) {
	const headBytes, heads = 15 << 10, 64
	for name, line := range map[string]func(i int) string{
		"short lines":    func(i int) string { return fmt.Sprintf("%s:\r\n", strings.ToLower(fmt.Sprintf("%x", 4096+i))) },
		"bare line ends": func(i int) string { return fmt.Sprintf("%x:\n", 4096+i) },
		"one name":       func(int) string { return "a:\r\n" },
		"ordinary lines": func(i int) string { return fmt.Sprintf("X-Field-%d: the value of an ordinary field\r\n", i) },
		"long values":    func(i int) string { return fmt.Sprintf("x%d: %s\r\n", i, strings.Repeat("v", 2000)) },
	} {
		t.Run(name, func(t *testing.T) {
			var head strings.Builder
			head.WriteString("POST /letters/1 HTTP/1.1\r\nHost: prairie.example\r\nX-Attempt-Id: 1\r\n")
			for i := 0; head.Len() < headBytes; i++ {
				head.WriteString(line(i))
			}
			head.WriteString("\r\n")
			cost := ingress.HeadCost([]byte(head.String()))
			var requests [heads]*http.Request
			var calls [heads]*forward.Call
			before := liveBytes()
			for i := range requests {
				request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(head.String())))
				require.NoError(t, err)
				call, err := platform.Codec{}.ParseCall(request)
				require.NoError(t, err)
				requests[i], calls[i] = request, call
			}
			each := int64(liveBytes()-before) / heads
			runtime.KeepAlive(requests)
			runtime.KeepAlive(calls)
			t.Logf("%d bytes live, %d charged", each, cost)
			require.LessOrEqual(t, each, cost)
		})
	}
}

func liveBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
