package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/target"
)

// childAnswer is the environment variable with the bytes that the child process of TestKilledServiceEndsAsComplete writes.
const childAnswer = "GODWITCART_TEST_CHILD_ANSWER"

// answerWithoutEnd answers one call, tells on the standard output that it has, and keeps the connection.
func answerWithoutEnd(answer string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(listener.Addr())
	conn, err := listener.Accept()
	if err != nil {
		os.Exit(1)
	}
	_, _ = http.ReadRequest(bufio.NewReader(conn))
	_, _ = conn.Write([]byte(answer))
	fmt.Println("answered")
	select {}
}

// startChildService makes a child process that answers one call the only target of the plain service. The returned function
// kills it once it has answered.
func (h *harness) startChildService(answer string) (kill func()) {
	child := exec.CommandContext(h.t.Context(), os.Args[0], "-test.run=^TestKilledServiceEndsAsComplete$")
	child.Env = append(os.Environ(), childAnswer+"="+answer)
	output, err := child.StdoutPipe()
	require.NoError(h.t, err)
	require.NoError(h.t, child.Start())
	lines := bufio.NewScanner(output)
	require.True(h.t, lines.Scan())
	h.placer["counter-api"] = []target.Address{{Name: "child", HostPort: lines.Text()}}
	return func() {
		lines.Scan()
		_ = child.Process.Kill()
		_ = child.Wait()
	}
}

// The kernel closes the connections of a killed process in order.
func TestKilledServiceEndsAsComplete(t *testing.T) {
	if answer, isChild := os.LookupEnv(childAnswer); isChild {
		answerWithoutEnd(answer)
	}
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	ways := map[string]string{
		"in the status line":     "HTTP/1.1 200 O",
		"in the head":            head,
		"a length, short":        head + "Content-Length: 9\r\n\r\nhello",
		"a length, without body": head + "Content-Length: 9\r\n\r\n",
		"chunks":                 head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"chunks, without body":   head + "Transfer-Encoding: chunked\r\n\r\n",
		"neither":                head + "\r\nhello",
		"neither, without body":  head + "\r\n",
		"HTTP/1.0":               "HTTP/1.0 200 OK\r\n\r\nhello",
	}
	for name, way := range ways {
		for _, protocol := range protocols {
			t.Run(name+"/"+protocol, func(t *testing.T) {
				h := newHarness(t)
				kill := h.startChildService(way)
				go kill()
				answer := h.read(protocol, call{path: "/services/counter-api/x", body: "1"}, func() {})
				if answer.status == http.StatusOK {
					require.False(t, answer.whole, answer.body)
				}
			})
		}
	}
}
