package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitcart/internal/settings"
	"godwitcart/platform/platformtest"
)

// readSlowly reads the answer on the connection at a rate, and returns what it has read up to the last chunk or an error.
func readSlowly(conn net.Conn, bytesPerSecond int) (string, error) {
	var got strings.Builder
	buffer := make([]byte, bytesPerSecond/20)
	for {
		n, err := conn.Read(buffer)
		got.Write(buffer[:n])
		if strings.HasSuffix(got.String(), "\r\n0\r\n\r\n") {
			return got.String(), nil
		}
		if err != nil {
			return got.String(), err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	}
}

// TestBackupIsGivenUpForASourceThatHasCrashed guards against a backup that is given up for a source whose answer has broken off while its events wait for a slow caller.
func TestBackupIsGivenUpForASourceThatHasCrashed(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			const (
				events = 150
				size   = 4 << 10
			)
			d := newDeployment(t)
			text := func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size)) }
			var source atomic.Value
			crashed := make(chan struct{})
			for _, id := range []string{"e1", "e2"} {
				d.wrappedTarget(id, platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
					switch {
					case r.URL.Path == "/v1/kv-move":
						w.WriteHeader(http.StatusNotFound)
						return true
					case r.Header.Get("X-Token-Usage") == "":
						return false
					case isForBackup(r):
						time.Sleep(delay)
						after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
						s := startRawStream(w, r, inChunks, 0)
						for n := after + 1; n <= events; n++ {
							s.write(text(n))
						}
						s.end()
						return true
					}
					source.Store(id)
					s := startRawStream(w, r, inChunks, 0)
					for n := 1; n <= 100; n++ {
						s.write(text(n))
						time.Sleep(2 * time.Millisecond)
					}
					close(crashed)
					panic(http.ErrAbortHandler)
				}, "")
			}
			d.configure("key-1")
			v := d.start("vm-1", nil)
			conn := slowConn(t, v.callerAddress)
			request := v.generation("/letters/1", events, 2)
			require.NoError(t, request.Write(conn))
			<-crashed
			time.Sleep(400 * time.Millisecond)
			require.True(t, d.MarkLeaving(source.Load().(string)))
			time.Sleep(1500 * time.Millisecond)
			body, err := readSlowly(conn, 1<<20)
			require.NoError(t, err, "broken off after %d events", strings.Count(body, "id: "))
			require.Equal(t, events, strings.Count(body, "id: "))
		})
	}
}

// TestMovedMemoryExpiresWhileEventsWaitForTheCaller guards against a destination that is asked only once a slow caller has taken all that was read ahead, when the memory has lapsed.
func TestMovedMemoryExpiresWhileEventsWaitForTheCaller(t *testing.T) {
	const (
		events = 135
		size   = 4 << 10
		ttl    = 5 * time.Second // handle_ttl_s of the deployment
	)
	t.Parallel()
	d := newDeployment(t)
	var movedAt, askedAt atomic.Int64
	start := func(id string) {
		d.wrappedMoves(id, func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Kv-From") == "" {
				return false
			}
			askedAt.CompareAndSwap(0, time.Now().UnixNano())
			if time.Since(time.Unix(0, movedAt.Load())) > ttl {
				refuseRun(w, r)
				return true
			}
			return false
		}, func() { movedAt.CompareAndSwap(0, time.Now().UnixNano()) })
	}
	start("e1")
	d.configure("key-1")
	v := d.start("vm-1", nil)
	conn := slowConn(t, v.callerAddress)
	request := v.request(http.MethodPost, "/letters/1", "prompt")
	platformtest.SetGenerationHeaders(request, platformtest.Generation{PromptTokens: 500, Events: events, Gap: 10 * time.Millisecond})
	request.Header.Set(platformtest.HeaderEventBytes, strconv.Itoa(size))
	request.Header.Set("X-Deadline-Ms", "60000")
	require.NoError(t, request.Write(conn))
	time.Sleep(200 * time.Millisecond)
	start("e2")                                                 // too late to be the backup
	time.AfterFunc(time.Second, func() { d.MarkLeaving("e1") }) // most events are made
	body, err := readSlowly(conn, 48<<10)
	t.Logf("moved, and asked %v later", time.Duration(askedAt.Load()-movedAt.Load()))
	require.NoError(t, err, "broken off after %d events", strings.Count(body, "id: "))
	require.Equal(t, events, strings.Count(body, "id: "))
}

// TestCommentsForASlowCallerMakeItsEngineLookSilent guards against an engine that is left as silent while a comment of its waits for the caller.
func TestCommentsForASlowCallerMakeItsEngineLookSilent(t *testing.T) {
	t.Parallel()
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
				s.write(fmt.Sprintf("id: %d\ndata: x\n\n", number))
				s.write(": " + strings.Repeat("x", size) + "\n\n")
				time.Sleep(2 * time.Millisecond)
			}
			s.end()
			return true
		}, "")
	}
	d.configure("key-1")
	v := d.start("vm-1", nil)
	conn := slowConn(t, v.callerAddress)
	require.NoError(t, v.generation("/letters/1", events, 2).Write(conn))
	body, err := readSlowly(conn, 300<<10)
	require.NoError(t, err, "broken off after %d events", strings.Count(body, "id: "))
	require.EqualValues(t, 1, runs.Load())
	require.Zero(t, stops.Load(), "the engine was asked to stop a stream that it was sending")
}

// TestEventsReadAheadMakeTheirStreamGiveWay guards against streams that are given up, where memory is short, for the events that were read ahead for slow callers.
func TestEventsReadAheadMakeTheirStreamGiveWay(t *testing.T) {
	const (
		streams, bodies   = 24, 100
		events, size      = 200, 4 << 10
		bodyBytes, byHalf = 288 << 10, 224 << 10
	)
	d := newDeployment(t)
	var sent, halves atomic.Int64
	goOn := make(chan struct{})
	d.wrappedTarget("e1", platformtest.EngineService, func(w http.ResponseWriter, r *http.Request) bool {
		if r.Header.Get("X-Token-Usage") == "" {
			return false
		}
		s := startRawStream(w, r, inChunks, 0)
		for n := 1; n <= events; n++ {
			s.write(fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", size)))
			if n == events-10 {
				sent.Add(1)
				select {
				case <-goOn:
				case <-time.After(6 * time.Second):
				}
			}
		}
		s.end()
		return true
	}, "")
	d.wrappedTarget("p1", platformtest.PlainService, func(w http.ResponseWriter, r *http.Request) bool {
		if !strings.HasPrefix(r.URL.Path, "/peek/") {
			return false
		}
		conn := hijack(w)
		fmt.Fprint(conn, rawHead(r, http.StatusOK, "Content-Type: text/plain", fmt.Sprint("Content-Length: ", bodyBytes)))
		part := make([]byte, 32<<10)
		for n := 0; n < bodyBytes; n += len(part) {
			if n == byHalf {
				halves.Add(1)
				<-goOn
			}
			if _, err := conn.Write(part); err != nil {
				break
			}
		}
		conn.Close()
		return true
	}, "")
	d.Store.Put("servers", "e1", slotsEntry(d, "e1", 100))
	d.configure("key-1")
	v := d.start("vm-1", func(s *settings.Deployment) { s.Limits.MemoryMB = smallMemoryMB })
	var conns []net.Conn
	for range streams {
		conn := slowConn(t, v.callerAddress)
		require.NoError(t, v.generation("/letters/1", events, 1).Write(conn))
		conns = append(conns, conn)
	}
	time.Sleep(1500 * time.Millisecond)
	t.Logf("%d of %d engines have sent nearly all", sent.Load(), streams)
	for range bodies {
		request := v.request(http.MethodGet, "/peek/1", "")
		go func() {
			if response, err := v.client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	t.Logf("%d of %d bodies are half there", halves.Load(), bodies)
	close(goOn)
	var readers sync.WaitGroup
	var broken atomic.Int64
	for _, conn := range conns {
		readers.Go(func() {
			if body, err := readSlowly(conn, 2<<20); err != nil {
				broken.Add(1)
				t.Logf("%v after %d events", err, strings.Count(body, "id: "))
			}
		})
	}
	readers.Wait()
	require.Zero(t, broken.Load(), "of %d streams", streams)
}
