package tunnel

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/cockroachdb/errors"
)

// A framed tunnel states how the target ended its connection. When the process in between is killed, the kernel closes its
// connections in order, which without frames looks like the end of an answer that has no length.
//
// In the direction to the user, each piece of bytes follows its length in two bytes. Length zero is the target's orderly
// end, and failedLength the failure of its connection. The other direction has no frames.
const (
	frameHeaderBytes = 2
	failedLength     = 1<<16 - 1

	// headerFraming asks for frames in a CONNECT request, and grants them in the answer. Who does not know it ignores it.
	headerFraming = "Godwitcart-Tunnel"
	valueFraming  = "framed"
)

var (
	// ErrCarrierLost marks the error of a tunnel that ended without a word on its target: the process in between has ended, or
	// cannot be reached any more.
	ErrCarrierLost = errors.New("the entry VM in between was lost")
	// ErrTargetFailed is the error of a tunnel whose connection to the target was reset or failed.
	ErrTargetFailed = errors.New("the connection to the target failed")
)

// StatesEnd reports whether the connection is a tunnel that tells the end of the target's connection from its own.
func StatesEnd(conn net.Conn) bool {
	_, framed := conn.(*framedConn)
	return framed
}

// framedConn is the user's side of a framed tunnel.
type framedConn struct {
	net.Conn
	reader *bufio.Reader
	// left is the number of bytes of the current piece that have not been read.
	left int
	// end is the error of all further reads once the tunnel has ended.
	end error
}

func newFramedConn(conn net.Conn) *framedConn {
	return &framedConn{Conn: conn, reader: bufio.NewReaderSize(conn, bufferBytes)}
}

// Read implements io.Reader. It returns io.EOF only if the target ended its connection in order.
func (c *framedConn) Read(p []byte) (int, error) {
	if c.left == 0 && c.end == nil {
		c.left, c.end = c.readHeader()
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.reader.Read(p[:min(len(p), c.left)])
	c.left -= n
	if err != nil {
		c.end = carrierLost(err)
	}
	return n, c.end
}

func (c *framedConn) readHeader() (length int, end error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return 0, carrierLost(err)
	}
	switch length = int(binary.BigEndian.Uint16(header[:])); length {
	case 0:
		return 0, io.EOF
	case failedLength:
		return 0, ErrTargetFailed
	default:
		return length, nil
	}
}

func carrierLost(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return errors.Mark(err, ErrCarrierLost)
}

// Buffered returns the number of bytes that were received, or are still to come in the current piece, and were not read yet.
func (c *framedConn) Buffered() int { return max(c.left, c.reader.Buffered()) }

// SyscallConn implements syscall.Conn.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("the connection has no descriptor")
	}
	return conn.SyscallConn()
}

func wantsFrames(header http.Header) bool { return header.Get(headerFraming) == valueFraming }

// copyFramed is copyBytes with frames for a user. The last one says how the source has ended.
func copyFramed(user io.Writer, source io.Reader) error {
	buffer := make([]byte, frameHeaderBytes+bufferBytes)
	for {
		n, err := source.Read(buffer[frameHeaderBytes:])
		if n > 0 {
			binary.BigEndian.PutUint16(buffer, uint16(n))
			if _, err := user.Write(buffer[:frameHeaderBytes+n]); err != nil {
				return err
			}
		}
		if err == nil {
			continue
		}
		last := uint16(failedLength)
		if err == io.EOF {
			last, err = 0, nil
		}
		binary.BigEndian.PutUint16(buffer, last)
		if _, writeErr := user.Write(buffer[:frameHeaderBytes]); writeErr != nil {
			return writeErr
		}
		return err
	}
}
