package ingress

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// unreadTime is how long bytes that have arrived are waited for after a deadline: a process that was held up reads them late.
const unreadTime = 50 * time.Millisecond

// readInner reads from the client. Where the time that the limits give is over, it closes the connection.
func (c *Conn) readInner(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.isOwnDeadline() && hasInput(c.client.raw) {
		c.extendOwnDeadline(c.ownCause, unreadTime)
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.recordRead(n)
		return n, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.isOwnDeadline() {
		c.client.listener.report.count(c.ownCause, "", c.client.holding.Held(), c.client.pace.silence(sinceStart()))
		return 0, errRefused
	}
	return 0, err
}

// recordRead records bytes that the client has sent. Inside TLS they were recorded underneath.
func (c *Conn) recordRead(bytes int) {
	if c.Conn == c.client.raw {
		c.client.recordRead(bytes)
	}
}

// recordWritten follows a write of bytes that the client has taken.
func (c *Conn) recordWritten(bytes int) {
	if c.Conn != c.client.raw {
		bytes = 0
	}
	c.client.endWrite(bytes)
}

// pauseCheck is how often the bound on the pauses of a body is looked at, which depends on whether others wait.
const pauseCheck = 500 * time.Millisecond

// readPaused is readInner for a part of a body, within the bound on its pauses.
func (c *Conn) readPaused(p []byte) (int, error) {
	listener := c.client.listener
	if listener.bodyPause() == 0 {
		return c.readInner(p)
	}
	defer c.clearOwnDeadline()
	for begun := time.Now(); ; {
		c.extendOwnDeadline(closedLateBody, pauseCheck)
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.recordRead(n)
			return n, nil
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.isOwnDeadline() {
			return 0, err
		}
		if time.Since(begun) >= listener.bodyPause() && !hasInput(c.client.raw) {
			listener.report.count(closedLateBody, "", c.client.holding.Held(), c.client.pace.silence(sinceStart()))
			return 0, errRefused
		}
	}
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted = deadline
	return c.applyDeadline()
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(deadline time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(deadline), c.Conn.SetWriteDeadline(deadline))
}

// setOwnDeadline sets the time that the limits give, unless it runs already for the same cause.
func (c *Conn) setOwnDeadline(cause cause, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ownCause == cause && !c.own.IsZero() {
		return
	}
	c.own, c.ownCause = time.Now().Add(after), cause
	_ = c.applyDeadline() // an error means that the connection is closed, which the next read says, too
}

func (c *Conn) extendOwnDeadline(cause cause, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own, c.ownCause = time.Now().Add(after), cause
	_ = c.applyDeadline() // as above
}

func (c *Conn) clearOwnDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = time.Time{}
	_ = c.applyDeadline() // as above
}

// applyDeadline requires the lock.
func (c *Conn) applyDeadline() error {
	deadline := c.wanted
	if !c.own.IsZero() && (deadline.IsZero() || c.own.Before(deadline)) {
		deadline = c.own
	}
	if deadline.Equal(c.applied) {
		return nil
	}
	c.applied = deadline
	return c.Conn.SetReadDeadline(deadline)
}

// isOwnDeadline reports whether the time that the limits give is over.
func (c *Conn) isOwnDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.own.IsZero() && !time.Now().Before(c.own) && (c.wanted.IsZero() || !c.wanted.Before(c.own))
}
