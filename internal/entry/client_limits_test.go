package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// callerHead is the head of an ordinary request without its end.
const callerHead = "POST /lookup/1 HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nX-Attempt-Id: %d\r\nX-Api-Key: key-1\r\nX-Deadline-Ms: %d\r\n"

// dialCaller opens a connection of a caller, on which waits are bounded.
func (v *vm) dialCaller() net.Conn {
	v.t.Helper()
	conn, err := net.Dial("tcp4", v.callerAddress)
	require.NoError(v.t, err)
	v.t.Cleanup(func() { conn.Close() })
	require.NoError(v.t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	return conn
}

// TestLimitsOfTheConfigurationHold checks that heads, the time for them and idle times are bounded by what the configuration in
// force says, and not by constants of the program.
func TestLimitsOfTheConfigurationHold(t *testing.T) {
	d := newDeployment(t)
	d.target("p1", platformtest.PlainService)
	configuration := platformtest.Configuration(3, "key-1")
	limits := configuration["limits"].(map[string]any)
	limits["max_header_bytes"], limits["header_timeout_ms"], limits["idle_timeout_ms"] = 2000, 300, 600
	d.Store.Put("config", "main", configuration)
	v := d.start("vm-1", nil)
	for name, test := range map[string]struct {
		fields int
		status int
	}{"within": {1500, http.StatusOK}, "beyond": {2500, http.StatusRequestHeaderFieldsTooLarge}} {
		t.Run(name, func(t *testing.T) {
			conn := v.dialCaller()
			_, err := fmt.Fprintf(conn, callerHead+"A: %s\r\nContent-Length: 0\r\n\r\n", attemptCount.Add(1), 8000, strings.Repeat("x", test.fields))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
	for name, sent := range map[string]string{"idle": "", "head without end": "GET /"} {
		t.Run(name, func(t *testing.T) {
			conn := v.dialCaller()
			_, err := io.WriteString(conn, sent)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, conn)
			timeout, isNet := err.(net.Error)
			require.False(t, isNet && timeout.Timeout(), "the connection is still open")
		})
	}
}
