package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A long stream of plsgc: the most pieces, each of the mean size.
const (
	mostPieces = 554
	pieceBytes = 370
)

// unreadTime is how long an answer of a replica may remain unread until the replica cuts it off.
const unreadTime = 4 * time.Second

// slowCase: as many clients as two engines have slots ask for streams, and read them slowly, until their time budget is over. Without
// trouble they read as fast as they can. Meanwhile sound clients of another tenant ask for two kinds of request at all VMs.
func slowCase() {
	const (
		slots       = 8
		replicas    = 2
		routeTime   = 39 * time.Second
		settleTime  = 4 * time.Second
		playTime    = 28 * time.Second
		bytesPerSec = 100
	)
	w := newWorld("a", "b", "c")
	letter := routeSpec("letter", "/letter/", "streaming", "lm", int(routeTime.Milliseconds()), 1800, 1)
	letter["session_affinity"] = true
	model := plainService("lm")
	model["engine"] = map[string]any{"slots": slots, "kv_capacity": 34172, "kv_bytes": 163840, "link_mbps": 24000, "moves": false, "backups": false}
	w.store.put("config", "main", configSpec(3, []map[string]any{letter, routeSpec("lookup", "/lookup/", "unsafe", "counter", 3000, 300, 1)},
		[]map[string]any{model, plainService("counter")}, map[string][]string{"slow": {"key-1"}, "sound": {"key-2"}}))
	var active atomic.Int64
	for i := range replicas {
		r := w.newReplica("lm", fmt.Sprintf("i-lm-%d", i), "a")
		r.slots = slots
		r.work = func(rw http.ResponseWriter, q *http.Request) { serveLongStream(w, r.id, &active, rw, q) }
		r.register("ready")
		w.newReplica("counter", fmt.Sprintf("i-counter-%d", i), "a").register("ready")
	}
	w.start()
	generation := request{
		method: http.MethodPost, path: "/letter/x", key: "key-1", body: "prompt", deadlineMS: int(routeTime.Milliseconds()),
		header: map[string]string{"X-Model": "m", "X-Token-Usage": "1000,2216", "X-Prefix-Hash": "5c1e07a2:400,e4402b7d:600"},
	}
	lookup := request{method: http.MethodPost, path: "/lookup/x", key: "key-2", body: "sku", deadlineMS: 3000}

	var readers sync.WaitGroup
	for i := range slots * replicas {
		v := w.vms[i%len(w.vms)]
		readers.Go(func() { w.readStream(v, generation, hasTrouble(), bytesPerSec) })
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(settleTime)
	w.log("%d streams run at the engines", active.Load())

	generation.key = "key-2" // another tenant
	var served, asked [2]atomic.Int64
	var clients sync.WaitGroup
	for i, end := 0, time.Now().Add(playTime); time.Now().Before(end); i++ {
		v := w.vms[i%len(w.vms)]
		clients.Go(func() {
			asked[0].Add(1)
			if w.askGeneration(v, generation, &active) {
				served[0].Add(1)
			}
		})
		clients.Go(func() {
			asked[1].Add(1)
			if got := sendOnce(v, lookup, newAttempt()); got.status == http.StatusOK && got.isWhole {
				served[1].Add(1)
			}
		})
		time.Sleep(time.Second)
	}
	clients.Wait()
	readers.Wait()
	w.finishStarved(served[0].Load(), asked[0].Load(), served[1].Load(), asked[1].Load())
}

// serveLongStream answers with a long stream. It cuts the answer off if that remains unread.
func serveLongStream(w *world, id string, active *atomic.Int64, rw http.ResponseWriter, q *http.Request) {
	active.Add(1)
	defer active.Add(-1)
	attempt := q.Header.Get("X-Attempt-Id")
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	piece := strings.Repeat("x", pieceBytes)
	for n := 1; n <= mostPieces; n++ {
		_ = control.SetWriteDeadline(time.Now().Add(unreadTime))
		_, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, piece)
		if err == nil {
			err = control.Flush()
		}
		if err != nil || q.Context().Err() != nil {
			w.log("%s ends the run of %s at piece %d: %v", id, attempt, n, err)
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
	w.log("%s has sent the whole stream of %s", id, attempt)
}

// readStream reads a stream on a channel with small buffers, as on a link between machines: slowly until the client's time budget is
// over, or as fast as it can.
func (w *world) readStream(v *vm, q request, isSlow bool, bytesPerSec int) {
	const segmentBytes, bufferBytes = 1460, 4096
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bufferBytes)
		})
	}}
	conn, err := dialer.Dial("tcp4", v.frontend)
	if err != nil {
		w.log("reader at %s: %v", v.name, err)
		return
	}
	defer conn.Close()
	attempt := newAttempt()
	if _, err := io.WriteString(conn, q.text(attempt)); err != nil {
		w.log("reader at %s: %v", v.name, err)
		return
	}
	if !isSlow {
		n, err := io.Copy(io.Discard, io.LimitReader(conn, int64(mostPieces*pieceBytes)))
		w.log("stream %s at %s: its client has read %d bytes: %v", attempt, v.name, n, err)
		return
	}
	read, buffer := 0, make([]byte, bytesPerSec)
	var longestWait time.Duration
	for leaveAt := time.Now().Add(time.Duration(q.deadlineMS) * time.Millisecond); time.Now().Before(leaveAt); time.Sleep(time.Second) {
		begun := time.Now()
		n, err := conn.Read(buffer)
		longestWait = max(longestWait, time.Since(begun))
		read += n
		if err != nil {
			w.log("stream %s at %s has ended for its slow client after %d bytes: %v", attempt, v.name, read, err)
			return
		}
	}
	w.log("the slow client of stream %s at %s leaves at the end of its time, with %d bytes; it never waited longer than %v for the next one", attempt, v.name, read, longestWait.Round(time.Millisecond))
}
