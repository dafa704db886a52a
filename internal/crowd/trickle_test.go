//go:build crowd

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

const (
	// trickleCrowdSize is the number of clients that send slowly, each of which sends a byte every tricklePause.
	trickleCrowdSize = 600
	tricklePause     = 300 * time.Millisecond
	// trickleBytes is the length of what a client sends slowly, and trickleDeadlineMillis the deadline of its request: it is not
	// there before the ordinary requests have been answered.
	trickleBytes          = 1000
	trickleDeadlineMillis = 300_000
	// settledTicks is how many times each client has tried to send a byte or to connect before ordinary requests come.
	settledTicks = 10
	// ordinaryRequests is the number of ordinary requests beside the crowd, one after the other.
	ordinaryRequests = 10
	// maxAttempts bounds how often the ordinary callers have to come, all together.
	maxAttempts = 2 * ordinaryRequests
	// slowPart is what a caller on a slow line sends every slowPause: 50 kB/s.
	slowPart  = 2500
	slowPause = 50 * time.Millisecond
)

// opening sends the beginning of a request and returns what writes one more byte of it.
type opening func(conn net.Conn, client int) (next func() error, err error)

// gatherTrickling starts the clients and waits until they have settled. A client whose connection is closed returns after the
// pause.
func gatherTrickling(t *testing.T, address string, open opening) (leave func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var clients, settled sync.WaitGroup
	settled.Add(trickleCrowdSize)
	for client := range trickleCrowdSize {
		clients.Go(func() { trickle(ctx, address, client, open, settled.Done) })
	}
	leave = func() {
		cancel()
		clients.Wait()
	}
	t.Cleanup(leave)
	settled.Wait()
	return leave
}

func trickle(ctx context.Context, address string, client int, open opening, settled func()) {
	var conn net.Conn
	var next func() error
	disconnect := func() {
		if conn != nil {
			conn.Close()
		}
		conn, next = nil, nil
	}
	defer disconnect()
	for tick := 0; ; tick++ {
		if tick == settledTicks {
			settled()
		}
		err := error(nil)
		if next == nil {
			if conn, err = (&net.Dialer{Timeout: writeTimeout}).DialContext(ctx, "tcp4", address); err == nil {
				go io.Copy(io.Discard, conn)
				next, err = open(conn, client)
			}
		} else {
			err = next()
		}
		if err != nil {
			disconnect()
		}
		select {
		case <-ctx.Done():
			if tick < settledTicks {
				settled()
			}
			return
		case <-time.After(tricklePause):
		}
	}
}

// byteByByte sends a text at once and another one in slow bytes.
func byteByByte(begin func(client int) string, slow string) opening {
	return func(conn net.Conn, client int) (func() error, error) {
		if _, err := io.WriteString(conn, begin(client)); err != nil {
			return nil, err
		}
		rest := slow
		return func() error {
			if rest == "" {
				return io.EOF
			}
			_, err := io.WriteString(conn, rest[:1])
			rest = rest[1:]
			return err
		}, nil
	}
}

func slowStart(path string, client int) string {
	return start("POST", path, client) + fmt.Sprintf("X-Deadline-Ms: %d\r\n", trickleDeadlineMillis)
}

// slowBodies sends small bodies with a length in slow bytes.
func slowBodies(path string) opening {
	return byteByByte(func(client int) string {
		return slowStart(path, client) + fmt.Sprintf("Content-Length: %d\r\n\r\n", trickleBytes)
	}, strings.Repeat("x", trickleBytes))
}

// slowChunks sends small bodies in chunks and in slow bytes.
func slowChunks(path string) opening {
	return byteByByte(func(client int) string {
		return slowStart(path, client) + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", trickleBytes)
	}, strings.Repeat("x", trickleBytes))
}

// slowHeads sends most of a legal head of short lines at once and its end in slow bytes.
func slowHeads(path string) opening {
	return byteByByte(func(client int) string { return slowStart(path, client) + shortLines(legalHeadBytes) }, oneName(trickleBytes))
}

// slowHTTP2Bodies sends small HTTP/2 bodies in slow frames of one byte, each followed by a ping.
func slowHTTP2Bodies(path string) opening {
	return func(conn net.Conn, client int) (func() error, error) {
		framer, err := http2Client(conn)
		if err != nil {
			return nil, err
		}
		var block bytes.Buffer
		encoder := hpack.NewEncoder(&block)
		for _, field := range http2Fields(path, client, 0)[:5] {
			if err := encoder.WriteField(field); err != nil {
				return nil, err
			}
		}
		err = framer.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true})
		return func() error {
			if err := framer.WriteData(1, false, []byte{'x'}); err != nil {
				return err
			}
			return framer.WritePing(false, [8]byte{})
		}, err
	}
}

// slowLine is the body of a caller on a slow line.
type slowLine struct{ io.Reader }

// Read implements io.Reader.
func (l slowLine) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return l.Reader.Read(p[:min(len(p), slowPart)])
}

// ordinaryOnSlowLine returns an ordinary request that takes two seconds to send.
func (v *deployment) ordinaryOnSlowLine() *http.Request {
	const length = 100_000
	request := v.ordinary()
	request.Body, request.ContentLength = io.NopCloser(slowLine{strings.NewReader(strings.Repeat("x", length))}), length
	request.GetBody = nil
	return request
}

// TestCrowdOfTricklingCallers guards against clients that send a byte now and then: each counted as making progress, whatever its
// rate, and kept its place and its memory while ordinary requests were refused.
func TestCrowdOfTricklingCallers(t *testing.T) {
	for _, test := range []struct {
		name  string
		files int
		open  opening
	}{
		{"bodies with a length", openFiles, slowBodies(lookupPath)},
		{"bodies in chunks", openFiles, slowChunks(lookupPath)},
		{"heads", openFiles, slowHeads(lookupPath)},
		{"bodies on all connections", fewOpenFiles, slowBodies(lookupPath)},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := startDeployment(t, test.files)
			v.watch(portOf(t, v.callers))
			leave := gatherTrickling(t, v.callers, test.open)
			before := attempts
			for range ordinaryRequests {
				requireOrdinaryAnswer(t, v.client, v.ordinary)
			}
			t.Logf("%d ordinary requests answered after %d attempts", ordinaryRequests, attempts-before)
			require.LessOrEqual(t, attempts-before, maxAttempts)
			before = attempts
			requireOrdinaryAnswer(t, v.client, v.ordinaryOnSlowLine)
			t.Logf("a request on a slow line answered after %d attempts", attempts-before)
			leave()
			requireOrdinaryAnswer(t, v.client, v.ordinary)
			v.verdict()
		})
	}
}

// TestCrowdOfTricklingCallersInOwnMode guards against the same outside a deployment, where HTTP/2 connections count as one client
// each.
func TestCrowdOfTricklingCallersInOwnMode(t *testing.T) {
	for _, test := range []struct {
		name  string
		files int
		open  opening
	}{
		{"bodies with a length", openFiles, slowBodies(servicePath)},
		{"HTTP/2 bodies", openFiles, slowHTTP2Bodies(servicePath)},
		{"HTTP/2 bodies on all connections", fewOpenFiles, slowHTTP2Bodies(servicePath)},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := startOwnMode(t, test.files, false)
			v.watch(portOf(t, v.callers))
			leave := gatherTrickling(t, v.callers, test.open)
			for range ordinaryRequests {
				requireOrdinaryAnswer(t, v.client, v.ordinary)
				requireOrdinaryAnswer(t, v.client, v.ready)
			}
			leave()
			requireOrdinaryAnswer(t, v.client, v.ordinary)
			v.verdict()
		})
	}
}
