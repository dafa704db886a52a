package rig

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer starts a server that echoes all data until the test ends, and returns its address.
func echoServer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return listener.Addr().String()
}

func roundTrip(t *testing.T, conn net.Conn) error {
	t.Helper()
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func TestLinkForwardsStallsAndCuts(t *testing.T) {
	ports, err := NewPortPool()
	require.NoError(t, err)
	t.Cleanup(ports.Close)
	address, err := ports.Address()
	require.NoError(t, err)
	l, err := NewLink(address, echoServer(t))
	require.NoError(t, err)
	t.Cleanup(l.Close)
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, roundTrip(t, conn))

	l.Stall()
	l.Stall()
	l.Unstall()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	require.Error(t, roundTrip(t, conn), "one of two stalls is left")
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	l.Unstall()
	_, err = bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err, "data that was held back arrives")

	l.StallResponses()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	require.Error(t, roundTrip(t, conn), "the answer is held back")
	require.NoError(t, conn.SetReadDeadline(time.Time{}))
	l.UnstallResponses()
	_, err = bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)

	l.Reset()
	require.Error(t, roundTrip(t, conn))
	conn, err = net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, roundTrip(t, conn), "a new connection works after a reset")

	l.Refuse()
	require.NoError(t, roundTrip(t, conn), "an open connection lives on")
	refused, err := net.Dial("tcp", address)
	if err == nil {
		require.Error(t, roundTrip(t, refused))
	}
	l.Accept()
	accepted, err := net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, roundTrip(t, accepted))

	l.Cut()
	l.Cut()
	require.Error(t, roundTrip(t, conn))
	require.NoError(t, l.Restore())
	_, err = net.Dial("tcp", address)
	require.Error(t, err, "one of two cuts is left")
	require.NoError(t, l.Restore())
	conn, err = net.Dial("tcp", address)
	require.NoError(t, err)
	require.NoError(t, roundTrip(t, conn))
}
