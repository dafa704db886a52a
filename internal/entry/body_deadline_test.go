package entry_test

import (
	"bufio"
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// TestBodyThatIsNotThereByTheDeadlineIsRefused guards against bodies that are waited for without bound: a request whose body stops
// short of its end is refused as not run when its deadline has passed.
func TestBodyThatIsNotThereByTheDeadlineIsRefused(t *testing.T) {
	d := newDeployment(t)
	d.target("p1", platformtest.PlainService)
	d.configure("key-1")
	v := d.start("vm-1", nil)
	for _, framing := range []string{"Content-Length: 5\r\n\r\n1234", "Transfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n"} {
		conn := v.dialCaller()
		_, err := fmt.Fprintf(conn, callerHead+framing, attemptCount.Add(1), 500)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
	}
}
