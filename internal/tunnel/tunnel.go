// Package tunnel carries connections to targets through another process, with the CONNECT method of HTTP/1.1.
//
// A tunnel keeps the meaning of how a connection ends: an orderly end of the target stays one, and any other end, also of the
// process in between, is a failure at the user, so that an answer that was cut off never looks complete. Tunnels between
// processes of which one does not know frames cannot keep it when the process in between is killed (StatesEnd).
package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"godwitcart/internal/netconn"
)

// Dial opens a connection to host:port.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// UnreachableError reports that the process at the other end of the tunnel is there and could not reach the target.
type UnreachableError struct{ text string }

// Error implements error.
func (e *UnreachableError) Error() string { return e.text }

// ErrSilent marks the error of a process that accepted the connection and did not answer in time: it or the target is silent.
var ErrSilent = errors.New("no answer in time")

// maxErrorBytes bounds the text of a refusal.
const maxErrorBytes = 512

// Connect opens a tunnel to the address through the process at host:port via. The error is an *UnreachableError if that
// process could not reach the address, and marked with ErrSilent if ctx ended before it answered.
func Connect(ctx context.Context, dial Dial, via, address string) (net.Conn, error) {
	conn, _, err := connect(ctx, dial, via, address, nil)
	return conn, err
}

// ConnectFramed is Connect that asks the other process to state how the target ends its connection (StatesEnd).
func ConnectFramed(ctx context.Context, dial Dial, via, address string) (net.Conn, error) {
	conn, answer, err := connect(ctx, dial, via, address, http.Header{headerFraming: {valueFraming}})
	if err == nil && wantsFrames(answer) {
		return newFramedConn(conn), nil
	}
	return conn, err
}

// connect opens a tunnel and returns the header of the answer as well.
func connect(ctx context.Context, dial Dial, via, address string, header http.Header) (net.Conn, http.Header, error) {
	conn, err := dial(ctx, via)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "connect to %s", via)
	}
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	answer, err := handshake(conn, via, address, header)
	if !stop() {
		err = errors.Mark(errors.CombineErrors(ctx.Err(), err), ErrSilent)
	}
	if err != nil {
		conn.Close()
		return nil, nil, err
	}
	return conn, answer, nil
}

// handshake asks the process at the other end for the tunnel, and returns the header of its answer.
func handshake(conn net.Conn, via, address string, header http.Header) (http.Header, error) {
	var request bytes.Buffer
	fmt.Fprintf(&request, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n", address, address)
	_ = header.Write(&request) // a buffer takes all bytes
	request.WriteString("\r\n")
	if _, err := conn.Write(request.Bytes()); err != nil {
		return nil, errors.Wrapf(err, "ask %s for a tunnel", via)
	}
	// Targets send nothing before they are asked, so the reader takes no bytes of the target.
	reader := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, errors.Wrapf(err, "ask %s for a tunnel", via)
	}
	if response.StatusCode == http.StatusOK && reader.Buffered() == 0 {
		return response.Header, nil
	}
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // a part of it is enough
	reason := fmt.Sprintf("%s has no tunnel to %s: status %d: %s", via, address, response.StatusCode, strings.TrimSpace(string(text)))
	if response.StatusCode == http.StatusBadGateway {
		return nil, &UnreachableError{text: reason}
	}
	return nil, errors.New(reason)
}

const (
	maxHeadBytes = 4 << 10
	// bufferBytes is the size of the buffer of each direction.
	bufferBytes = 8 << 10
	// lingerTime is how long a tunnel waits for its user to close it once the target has.
	lingerTime = 2 * time.Second
)

// errWrite marks the errors of the destination of copyBytes.
var errWrite = errors.New("the destination takes no bytes")

// pipe copies between the user of a tunnel and the target until both are closed. copyAnswers copies what the target sends.
func pipe(user, target net.Conn, copyAnswers func(user io.Writer, target io.Reader) error) {
	defer user.Close()
	defer target.Close()
	answered := make(chan error, 1)
	go func() { answered <- copyAnswers(user, ResetReader{target}) }()
	asked := make(chan error, 1)
	go func() { asked <- copyBytes(target, user) }()
	var targetErr error
	select {
	case targetErr = <-answered:
	case err := <-asked:
		if !errors.Is(err, errWrite) {
			return // however the user ends, the target has nobody to answer any more
		}
		targetErr = <-answered // a target that takes no bytes may have answered
	}
	if targetErr != nil {
		reset(user)
		return
	}
	closeWrite(user)
	select {
	case <-asked:
	case <-time.After(lingerTime):
	}
}

// copyBytes copies until the source ends; an orderly end is no error.
func copyBytes(destination io.Writer, source io.Reader) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if _, err := destination.Write(buffer[:n]); err != nil {
				return errors.Mark(err, errWrite)
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// reset makes closing the connection abort it.
func reset(conn net.Conn) {
	if tcp := netconn.TCP(conn); tcp != nil {
		_ = tcp.SetLinger(0) // an error means that it is closed already
	}
}

func closeWrite(conn net.Conn) {
	if tcp := netconn.TCP(conn); tcp != nil {
		_ = tcp.CloseWrite() // as above
	}
}
