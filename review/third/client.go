package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, key, body string
	deadlineMS              int
	header                  map[string]string
}

var lastAttempt atomic.Int64

// newAttempt returns an id that no other client attempt has.
func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41000000000000+lastAttempt.Add(1)) }

func (q request) text(attempt string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, attempt, q.deadlineMS)
	if q.key != "" {
		fmt.Fprintf(&text, "X-Api-Key: %s\r\n", q.key)
	}
	for name, value := range q.header {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(q.body))
	}
	text.WriteString("\r\n" + q.body)
	return text.String()
}

// answer is what a client has got. isWhole is set if the answer has ended as complete.
type answer struct {
	status  int
	header  http.Header
	body    string
	isWhole bool
	err     error
}

// channel is a client's channel, which may carry several requests one after the other.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) close() { c.conn.Close() }

// send sends a request and reads the answer to its end.
func (c *channel) send(q request, attempt string) answer {
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(q.deadlineMS)*time.Millisecond + time.Second))
	if _, err := io.WriteString(c.conn, q.text(attempt)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), isWhole: err == nil, err: err}
}

// sendOnce sends a request on a channel of its own.
func sendOnce(v *vm, q request, attempt string) answer {
	c, err := openChannel(v.frontend)
	if err != nil {
		return answer{err: err}
	}
	defer c.close()
	return c.send(q, attempt)
}

// abandonAfter sends a streaming request on a channel of its own and closes that after the given number of events.
func abandonAfter(v *vm, q request, attempt string, events int) error {
	_, _, err := firstEvents(v, q, attempt, events)
	return err
}

// firstEvents is abandonAfter that also returns the status of the answer, and the Retry-After of a refusal.
func firstEvents(v *vm, q request, attempt string, events int) (status int, retryAfter time.Duration, err error) {
	c, err := openChannel(v.frontend)
	if err != nil {
		return 0, 0, err
	}
	defer c.close()
	_ = c.conn.SetDeadline(time.Now().Add(time.Duration(q.deadlineMS) * time.Millisecond))
	if _, err := io.WriteString(c.conn, q.text(attempt)); err != nil {
		return 0, 0, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return 0, 0, err
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		retryAfter = time.Duration(seconds * float64(time.Second))
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, retryAfter, nil
	}
	lines := bufio.NewReader(response.Body)
	for seen := 0; seen < events; {
		line, err := lines.ReadString('\n')
		if err != nil {
			return response.StatusCode, retryAfter, err
		}
		if strings.HasPrefix(line, "id: ") {
			seen++
		}
	}
	return response.StatusCode, retryAfter, nil
}
