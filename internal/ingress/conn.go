package ingress

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headBuffer is the size of the first buffer of a head that does not come in one piece.
	headBuffer = 4 << 10
	// rawFactor is how many times the bytes of a message its buffers take while they grow.
	rawFactor = 2
)

// phase is what a connection reads next.
type phase int

const (
	inHead phase = iota
	inBody
	// raw is another protocol, or a request after which no other one follows.
	raw
	// ending is a request after which nothing is read, because there is no memory for what came after it.
	ending
)

// Conn is the connection of a client. For HTTP/1 it gives net/http whole heads only. Read is called by one goroutine at a time.
type Conn struct {
	net.Conn
	client *client
	phase  phase
	// countsRaw is set for protocols other than HTTP, and inMessage while a message of one is read and nothing was written after it.
	countsRaw bool
	inMessage atomic.Bool
	head      scanner
	body      bodyReader
	// pending holds bytes that were read and not passed on: the head while it is not whole, and what came after the end of a
	// request. The first deliverable of them may be passed on, and the first scanned of them were scanned as a head.
	pending              []byte
	deliverable, scanned int
	// hasWhole is set while a request is whole that is not answered yet.
	hasWhole bool

	mu sync.Mutex
	// wanted is the read deadline that the user of the connection has set, and own that of the limits; zero for none.
	wanted, own time.Time
	ownCause    cause
	// applied is the deadline of the connection underneath.
	applied time.Time
}

func newConn(c *client, inner net.Conn, isRaw bool) *Conn {
	conn := &Conn{Conn: inner, client: c}
	if isRaw {
		conn.phase, conn.countsRaw = raw, true
	}
	return conn
}

// NetConn returns the connection underneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.client.end()
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.countsRaw {
		c.client.holding.ShrinkTo(c.client.base)
		c.inMessage.Store(false)
	}
	c.client.beginWrite()
	n, err := c.Conn.Write(p)
	c.recordWritten(n)
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.deliverable > 0:
		return c.deliver(p), nil
	case c.phase == inBody:
		return c.readBody(p)
	case c.phase == raw:
		return c.readRaw(p)
	case c.phase == ending:
		return c.readEnd(p)
	case len(p) == 1 && c.scanned == 0:
		return c.readAhead(p)
	default:
		return c.readHead(p)
	}
}

// readAhead reads the first byte of a request while the one before is in service: net/http waits for the end of the
// connection that way.
func (c *Conn) readAhead(p []byte) (int, error) {
	if len(c.pending) > 0 {
		p[0] = c.pending[0]
		c.drop(1)
	} else if n, err := c.readInner(p); n == 0 {
		return 0, err
	}
	c.head.scan(p)
	return 1, nil
}

// readHead reads until a head is whole, and returns the first bytes of it.
func (c *Conn) readHead(p []byte) (int, error) {
	c.awaitHead()
	if len(c.pending) == 0 {
		n, err := c.readInner(p)
		if n == 0 {
			return 0, err
		}
		c.client.pace.restart(sinceStart())
		end, isWhole := c.head.scan(p[:n])
		if isWhole {
			return c.passOn(p[:n], end)
		}
		if err := c.keep(p[:n]); err != nil {
			return 0, c.refuseForMemory()
		}
		c.scanned = n
	}
	return c.readLongHead(p)
}

// readLongHead collects the head in pending.
func (c *Conn) readLongHead(p []byte) (int, error) {
	for {
		end, isWhole := c.head.scan(c.pending[c.scanned:])
		c.scanned += end
		if err := c.checkSize(); err != nil {
			return 0, err
		}
		if isWhole {
			c.deliverable, c.scanned = c.scanned, 0
			if err := c.admit(); err != nil {
				return 0, err
			}
			c.enterBody()
			return c.deliver(p), nil
		}
		c.awaitHead()
		if len(c.pending) == cap(c.pending) {
			if err := c.keep(nil); err != nil {
				return 0, c.refuseForMemory()
			}
		}
		n, err := c.readInner(c.pending[len(c.pending):cap(c.pending)])
		if n == 0 {
			return 0, err
		}
		c.pending = c.pending[:len(c.pending)+n]
	}
}

// awaitHead ends the request before, if there was one, and sets the time that there is for the next one.
func (c *Conn) awaitHead() {
	if c.hasWhole {
		c.hasWhole = false
		c.client.endWhole()
	}
	c.client.holding.ShrinkTo(c.client.base + int64(cap(c.pending)))
	limits := c.client.listener.options.Limits()
	if !c.head.hasBegun() {
		c.setOwnDeadline(closedIdle, limits.IdleTime)
		return
	}
	c.setOwnDeadline(closedLateHead, limits.HeadTime)
}

// passOn returns the bytes of a part that belong to the whole head at its beginning and to its body; the others are kept.
func (c *Conn) passOn(part []byte, end int) (int, error) {
	if err := c.checkSize(); err != nil {
		return 0, err
	}
	if err := c.admit(); err != nil {
		return 0, err
	}
	c.enterBody()
	if c.phase == raw {
		return len(part), nil
	}
	if c.phase == inBody {
		end += c.accept(part[end:])
	}
	c.keepRest(part[end:])
	return end, nil
}

// keepRest keeps what came after the end of a request. If there is no memory for it, the connection ends with the request.
func (c *Conn) keepRest(rest []byte) {
	if len(rest) == 0 || c.keep(rest) == nil {
		return
	}
	c.phase = ending
	c.client.listener.report.count(refusedForMemory, "", c.client.holding.Held(), 0)
}

// readEnd waits for the end of a connection from which no other request is read.
func (c *Conn) readEnd(p []byte) (int, error) {
	for len(p) == 1 { // net/http waits while the request is in service
		if n, err := c.readInner(p); n == 0 {
			return 0, err
		}
	}
	return 0, errRefused
}

// admit pays for the request with the head that was read.
func (c *Conn) admit() error {
	c.clearOwnDeadline()
	if c.head.framing() == ambiguous {
		return c.refuse(refusedFraming, http.StatusBadRequest, "the length of the body is stated in more than one way; state it once")
	}
	cost := headCost(c.head.lines, c.head.bytes())
	if c.head.isHTTP2 {
		cost = http2Bytes
	}
	if err := c.client.holding.Grow(cost); err != nil {
		return c.refuseForMemory()
	}
	return nil
}

// enterBody follows a whole head.
func (c *Conn) enterBody() {
	framing := c.head.framing()
	c.body = newBodyReader(&c.head)
	switch {
	case framing == switched && c.head.isHTTP2:
		c.phase = raw
		c.client.isHTTP2.Store(true)
	case framing == switched || framing == unframed:
		c.phase = raw
		c.beginWhole()
	case c.body.hasEnded():
		c.endRequest()
	default:
		c.phase = inBody
	}
}

// endRequest follows the last byte of a request.
func (c *Conn) endRequest() {
	c.phase, c.head = inHead, scanner{}
	c.beginWhole()
}

func (c *Conn) beginWhole() {
	c.hasWhole = true
	c.client.beginWhole()
}

// accept takes the bytes of a part that belong to the body, and returns their number.
func (c *Conn) accept(part []byte) int {
	n := c.body.accept(part)
	if c.body.hasEnded() {
		c.endRequest()
	}
	return n
}

func (c *Conn) readBody(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := c.accept(c.pending[:min(len(p), len(c.pending))])
		copy(p, c.pending[:n])
		c.drop(n)
		return n, nil
	}
	n, err := c.readPaused(p[:c.body.limit(len(p))])
	if n == 0 {
		return 0, err
	}
	accepted := c.accept(p[:n])
	c.keepRest(p[accepted:n])
	return accepted, nil
}

func (c *Conn) readRaw(p []byte) (int, error) {
	if len(c.pending) > 0 {
		n := copy(p, c.pending)
		c.drop(n)
		return n, nil
	}
	n, err := c.readInner(p)
	if c.countsRaw && n > 0 {
		if !c.inMessage.Swap(true) {
			c.client.pace.restart(sinceStart())
		}
		if c.client.holding.Grow(rawFactor*int64(n)) != nil {
			return 0, errRefused
		}
	}
	return n, err
}

// deliver passes on a part of the whole head in pending.
func (c *Conn) deliver(p []byte) int {
	n := copy(p, c.pending[:c.deliverable])
	c.deliverable -= n
	c.drop(n)
	return n
}

// keep appends the part to pending, with room for more.
func (c *Conn) keep(part []byte) error {
	size := max(headBuffer, 2*cap(c.pending), len(c.pending)+len(part))
	if err := c.client.holding.Grow(int64(size)); err != nil {
		return err
	}
	grown := make([]byte, len(c.pending), size)
	copy(grown, c.pending)
	c.client.holding.Shrink(int64(cap(c.pending)))
	c.pending = append(grown, part...)
	return nil
}

// drop takes the first n bytes off pending.
func (c *Conn) drop(n int) {
	if n == len(c.pending) {
		c.client.holding.Shrink(int64(cap(c.pending)))
		c.pending, c.scanned = nil, 0
		return
	}
	c.pending = c.pending[:copy(c.pending, c.pending[n:])]
}
