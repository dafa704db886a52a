package upstream_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/upstream"
)

// readWhole posts a body to the address and returns the answer that ReadWhole takes for whole.
func readWhole(t *testing.T, client *upstream.Client, address string, body []byte) (string, error) {
	t.Helper()
	request := newGetRequest()
	request.Method = http.MethodPost
	response, err := client.Do(context.Background(), address, request, body, true)
	require.NoError(t, err)
	defer response.Close(true)
	whole, err := response.ReadWhole(1000)
	return string(bytes.Join(whole.Parts(), nil)), err
}

// TestKilledTargetLeavesNoWholeAnswer guards against an answer without a length whose target was killed: the kernel ends the
// connections of a killed process in order.
func TestKilledTargetLeavesNoWholeAnswer(t *testing.T) {
	for way, client := range waysTo(t) {
		for _, killed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/killed %v", way, killed), func(t *testing.T) {
				listener, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				defer listener.Close()
				go func() {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
					conn.Close()
					if killed {
						listener.Close() // after the connection, as it may be in a killed process
					}
				}()
				body, err := readWhole(t, client, listener.Addr().String(), nil)
				if killed || way == "plain" { // through an earlier build no such end is believed
					require.Error(t, err, "%q", body)
					return
				}
				require.NoError(t, err)
				require.Equal(t, "part", body)
			})
		}
	}
}

// TestUnreadRequestLeavesNoWholeAnswer guards against an answer without a length whose target ended while the request was being
// sent.
func TestUnreadRequestLeavesNoWholeAnswer(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	address, _ := serveRaw(t, func(conn net.Conn) {
		write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		_ = conn.(*net.TCPConn).CloseWrite()
		<-done
	})
	_, err := readWhole(t, upstream.NewClient(upstream.Options{}), address, make([]byte, 32<<20))
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// TestResetThatTheRequestHasSeen guards against an answer without a length that looks whole since the writer of a long request
// was told of the reset, and the reader of the answer was not.
func TestResetThatTheRequestHasSeen(t *testing.T) {
	reset := make(chan struct{})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		write(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}()
	request := newGetRequest()
	request.Method = http.MethodPost
	response, err := upstream.NewClient(upstream.Options{}).Do(t.Context(), listener.Addr().String(), request, make([]byte, 32<<20), true)
	require.NoError(t, err)
	defer response.Close(true)
	_, err = io.ReadFull(response, make([]byte, len("part")))
	require.NoError(t, err)
	close(reset)
	time.Sleep(100 * time.Millisecond) // the writer notices the reset
	_, err = response.ReadAll(100)
	require.Error(t, err)
}

// TestConnectionThatChecksAnEndIsUsed checks that the connection by which the end of an answer was checked serves the next call, and
// that answers which state their end are not checked.
func TestConnectionThatChecksAnEndIsUsed(t *testing.T) {
	for head, connections := range map[string]int64{"": 2, "Content-Length: 2\r\n": 1} {
		address, count := serveRaw(t, func(conn net.Conn) {
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				write(conn, "HTTP/1.1 200 OK\r\n"+head+"\r\nok")
			}
		})
		client := upstream.NewClient(upstream.Options{})
		body, err := readWhole(t, client, address, []byte("a long request"))
		require.NoError(t, err)
		require.Equal(t, "ok", body)
		if head == "" {
			_, err = call(t, client, address, false)
			require.NoError(t, err)
		}
		require.Equal(t, connections, count.Load())
	}
}

// TestHeadOfAnswerEndsWithoutItsConnection checks that the answer to HEAD, which has no body, does not end with its connection.
func TestHeadOfAnswerEndsWithoutItsConnection(t *testing.T) {
	address, _ := serve(t, func(conn net.Conn, _ *http.Request, _ int) { write(conn, "HTTP/1.1 200 OK\r\n\r\n") })
	request := newGetRequest()
	request.Method = http.MethodHead
	response, err := upstream.NewClient(upstream.Options{}).Do(t.Context(), address, request, nil, true)
	require.NoError(t, err)
	defer response.Close(true)
	_, err = response.ReadWhole(100)
	require.NoError(t, err)
	require.True(t, response.End().IsStated())
}

// serveRaw starts a target that passes each connection to handle, closes it afterwards, and counts the connections.
func serveRaw(t *testing.T, handle func(net.Conn)) (string, *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	connections := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer conn.Close()
				handle(conn)
			}()
		}
	}()
	return listener.Addr().String(), connections
}
