package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// attempt is one client attempt and what came of it.
type attempt struct {
	id       string
	sentAt   time.Time // when its last byte was sent
	endAt    time.Time
	status   int
	header   http.Header
	body     []byte
	complete bool // the answer has come to its end
	err      error
	unread   bool // the channel was reset: the process may not have read the request
}

type request struct {
	method, path, key string
	header            map[string]string
	body              []byte
	budget            time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send makes one client attempt on a channel of its own.
func (w *world) send(to string, r request) *attempt {
	a := &attempt{id: newID()}
	conn, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		a.err, a.unread, a.endAt = err, true, time.Now()
		w.log("client %s: no channel to %s: %v", a.id, to, err)
		return a
	}
	defer conn.Close()
	w.exchange(conn, bufio.NewReader(conn), a, r, to)
	return a
}

// exchange sends a request on a channel and reads its answer.
func (w *world) exchange(conn net.Conn, reader *bufio.Reader, a *attempt, r request, to string) {
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, host, a.id, r.budget.Milliseconds())
	if r.key != "" {
		fmt.Fprintf(&head, "X-Api-Key: %s\r\n", r.key)
	}
	for name, value := range r.header {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.body))
	}
	head.WriteString("\r\n")
	_ = conn.SetDeadline(time.Now().Add(r.budget + 2*time.Second))
	_, err := conn.Write(append([]byte(head.String()), r.body...))
	a.sentAt = time.Now()
	w.log("client %s: %s %s sent to %s, key %s", a.id, r.method, r.path, to, r.key)
	if err == nil {
		err = a.read(reader, r.method)
	}
	a.endAt, a.err = time.Now(), err
	a.complete = err == nil
	a.unread = resets(err)
	w.log("client %s: ends after %d ms: status %d, %d bytes, complete %t, stamp %q, error %v", a.id, a.endAt.Sub(a.sentAt).Milliseconds(), a.status, len(a.body), a.complete, a.header.Get("X-Response-Stamp"), err)
}

func (a *attempt) read(reader *bufio.Reader, method string) error {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, err = io.ReadAll(response.Body)
	return err
}
