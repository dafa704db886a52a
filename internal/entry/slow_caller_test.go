package entry_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/platform/platformtest"
)

// slowConn opens a connection whose buffers hold about as much as those of a client with small windows.
func slowConn(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	conn, err := dialer.Dial("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// TestSlowCallerMakesItsEngineLookSilent guards against a working engine that is left as silent while its caller takes no events.
func TestSlowCallerMakesItsEngineLookSilent(t *testing.T) {
	const (
		events = 150
		size   = 4 << 10
	)
	d := newDeployment(t)
	var runs, stops atomic.Int64
	for _, id := range []string{"e1", "e2"} {
		d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
			switch {
			case r.URL.Path == "/v1/kv-move":
				stops.Add(1)
				w.WriteHeader(http.StatusNotFound)
				return true
			case r.Header.Get("X-Token-Usage") == "":
				return false
			case isForBackup(r):
				refuseRun(w, r)
				return true
			}
			runs.Add(1)
			s := startRawStream(w, r, inChunks, 0)
			for number := 1; number <= events; number++ {
				s.write(fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", size)))
				time.Sleep(2 * time.Millisecond)
			}
			s.end()
			return true
		}, "")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	conn := slowConn(t, v.callerAddress)
	request := v.generation("/letters/1", events, 2)
	require.NoError(t, request.Write(conn))
	received := 0
	for buffer := make([]byte, 32<<10); received < events*size; time.Sleep(15 * time.Millisecond) {
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		received += n
	}
	require.EqualValues(t, 1, runs.Load())
	require.Zero(t, stops.Load(), "the engine was asked to stop a stream that it was sending")
}

// TestSlowCallersKeepThePlacesOfIdleEngines guards against engines that count as full though they have sent all they had, because callers read slowly.
func TestSlowCallersKeepThePlacesOfIdleEngines(t *testing.T) {
	const (
		slots  = 4
		events = 150
		size   = 2 << 10
	)
	d := newDeployment(t)
	var running atomic.Int64
	d.wrappedTarget("e1", platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Token-Usage") == "" {
			return false
		}
		running.Add(1)
		defer running.Add(-1)
		s := startRawStream(w, r, inChunks, 0)
		for number := 1; number <= events; number++ {
			s.write(fmt.Sprintf("id: %d\ndata: %s\n\n", number, strings.Repeat("x", size)))
		}
		s.end()
		return true
	}, "")
	d.Store.Put("servers", "e1", slotsEntry(d, "e1", slots))
	d.configure("key-1")
	v := d.start("vm-1", nil)
	for range slots {
		conn := slowConn(t, v.callerAddress)
		require.NoError(t, v.generation("/letters/1", events, 1).Write(conn))
		_, err := conn.Read(make([]byte, 1))
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool { return running.Load() == 0 }, waitTimeout, pollInterval)
	time.Sleep(300 * time.Millisecond)
	response, _ := v.do(v.generation("/letters/1", events, 1))
	require.Equal(t, http.StatusOK, response.StatusCode, "refused though the engine is idle")
}

// slotsEntry returns the registry entry of a target with another number of places.
func slotsEntry(d *deployment, id string, slots int) map[string]any {
	for _, target := range d.Targets() {
		if target.ID == id {
			target.Slots = slots
			return target.RegistryEntry(platformtest.EngineService, zone, "ready")
		}
	}
	return nil
}
