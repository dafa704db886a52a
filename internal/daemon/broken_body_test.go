package daemon_test

import (
	"crypto/tls"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBodiesThatBreakOffSayNothingOfTheTarget guards against callers whose bodies break off while they are passed on: each counted as
// a failure of the target, which then got no calls of others for a while.
func TestBodiesThatBreakOffSayNothingOfTheTarget(t *testing.T) {
	c := newCluster(t)
	v := c.start("entry-a")
	eventually(t, func() bool { return v.readiness() == "ready" })
	call := func() (int, error) {
		response, err := c.client.Do(v.request(http.MethodPost, "/services/counter-api/orders/1", "flour"))
		if err != nil {
			return 0, err
		}
		return response.StatusCode, response.Body.Close()
	}
	eventually(t, func() bool {
		status, err := call()
		return err == nil && status == http.StatusOK
	})
	for range 20 {
		conn, err := tls.Dial("tcp4", v.addresses.Callers, c.clientTLS())
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /services/counter-api/orders/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 1000000\r\n\r\n%s", apiKey, strings.Repeat("x", 200<<10))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	eventually(t, func() bool { return v.Active() == 0 })
	status, err := call()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
}
