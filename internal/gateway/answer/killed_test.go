package answer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// childVariable makes TestKilledProcessEndsResponseAsComplete serve one response without end, in the child process that it kills.
const childVariable = "GODWITCART_TEST_CHILD"

func serveWithoutEnd() {
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response := New(w, r)
		response.Begin(http.StatusOK)
		_, _ = response.Write([]byte("hello"))
		select {}
	}))
	server.Config.ConnContext = WithConnection
	server.Start()
	fmt.Println(server.Listener.Addr())
	select {}
}

// The kernel closes the connections of a killed process in order unless they are to be reset.
func TestKilledProcessEndsResponseAsComplete(t *testing.T) {
	if os.Getenv(childVariable) != "" {
		serveWithoutEnd()
	}
	child := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestKilledProcessEndsResponseAsComplete$")
	child.Env = append(os.Environ(), childVariable+"=1")
	output, err := child.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, child.Start())
	t.Cleanup(func() { _ = child.Wait() })
	t.Cleanup(func() { _ = child.Process.Kill() })
	var address string
	_, err = fmt.Fscanln(output, &address)
	require.NoError(t, err)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("GET / HTTP/1.0\r\n\r\n"))
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.ReadFull(response.Body, make([]byte, len("hello")))
	require.NoError(t, err)
	require.NoError(t, child.Process.Kill())
	_, err = response.Body.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, io.EOF)
}
