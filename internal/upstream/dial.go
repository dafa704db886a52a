package upstream

import (
	"bufio"
	"cmp"
	"context"
	"net"
	"time"

	"godwitcart/internal/tunnel"
)

const (
	// detourDelay is how long one way to a target is tried alone.
	detourDelay = 100 * time.Millisecond
	// detourPatience bounds the try of the other way while no cut is known: a target that is down is reached by neither, and
	// the request could go elsewhere meanwhile.
	detourPatience = 100 * time.Millisecond
	// maxTunnelIdleTime bounds how long an idle tunnel is kept, so that a VM that stops is soon free of them.
	maxTunnelIdleTime = 1500 * time.Millisecond
)

// DialDirect opens a connection to a target without the help of another entry VM, within the timeout of the connectTimer.
func (c *Client) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	bounded, cancel := context.WithTimeout(ctx, c.connects.timeout())
	defer cancel()
	startedAt := time.Now()
	conn, err := c.dialPlain(bounded, address)
	if err == nil {
		c.connects.observe(time.Since(startedAt))
	}
	return conn, err
}

func (c *Client) dialPlain(ctx context.Context, address string) (net.Conn, error) {
	if c.options.Proxy == "" {
		return c.DialPeer(ctx, address)
	}
	return tunnel.Connect(ctx, c.DialPeer, c.options.Proxy, address)
}

// DialPeer opens a connection to another process of the deployment, with the checks of connections to targets.
func (c *Client) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return c.dialer.DialContext(ctx, "tcp4", address)
}

// IsCutOff reports whether this VM seems to be cut off from all targets, though other VMs reach them.
func (c *Client) IsCutOff() bool { return c.paths.isCutOff(time.Now()) }

// dialed is the result of one way to a target.
type dialed struct {
	net.Conn
	err     error
	relayed bool
}

// dial opens a connection to a target, directly or through another VM. It begins with the way that is known to work, and
// tries the other one when that fails or takes long.
func (c *Client) dial(ctx context.Context, address string) (*conn, error) {
	if c.options.Relay == nil || !c.paths.mayDetour(address, time.Now()) {
		direct, err := c.DialDirect(ctx, address)
		if err == nil {
			c.recordDirect(address, time.Now())
		}
		return newConn(direct, false), err
	}
	relayFirst := c.paths.prefersDetour(address, time.Now())
	won, directFailed, err := c.raceWays(ctx, address, relayFirst, c.DialDirect)
	if err != nil {
		return nil, err
	}
	c.recordWay(address, won.relayed, directFailed)
	return newConn(won.Conn, won.relayed), nil
}

// raceWays returns the first connection of the two ways. directFailed says of a relayed connection whether the direct way
// had failed, or had not succeeded though it was tried first. The error is that of the direct way.
func (c *Client) raceWays(ctx context.Context, address string, relayFirst bool, direct tunnel.Dial) (won dialed, directFailed bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan dialed, 2)
	open := 0
	start := func(relayed bool) {
		open++
		way := direct
		if relayed {
			way = c.options.Relay
		}
		go func() {
			bounded, cancelWay := context.WithCancel(ctx)
			if relayed && !relayFirst {
				bounded, cancelWay = context.WithTimeout(ctx, detourPatience)
			}
			defer cancelWay()
			conn, err := way(bounded, address)
			results <- dialed{Conn: conn, err: err, relayed: relayed}
		}()
	}
	defer func() {
		cancel()
		go closeLosers(results, open)
	}()
	start(relayFirst)
	isOtherStarted := false
	delay := time.NewTimer(detourDelay)
	defer delay.Stop()
	directFailed = !relayFirst
	for {
		select {
		case <-delay.C:
		case result := <-results:
			open--
			if result.err == nil {
				return result, directFailed, nil
			}
			if !result.relayed {
				directFailed, err = true, result.err
			} else {
				err = cmp.Or(err, result.err)
				if ctx.Err() == nil {
					c.paths.recordFailedDetour(address, time.Now())
				}
			}
			if isOtherStarted && open == 0 {
				return dialed{}, directFailed, err
			}
		}
		if !isOtherStarted {
			isOtherStarted = true
			start(!relayFirst)
		}
	}
}

// closeLosers closes the connections of ways that succeed too late.
func closeLosers(results <-chan dialed, open int) {
	for range open {
		if late := <-results; late.err == nil {
			late.Close()
		}
	}
}

// recordWay records by which way the target was reached.
func (c *Client) recordWay(address string, relayed, directFailed bool) {
	now := time.Now()
	switch {
	case !relayed:
		c.recordDirect(address, now)
	case directFailed:
		c.recordDetour(address, now)
	case c.paths.startProbe(address, now):
		go c.probe(address)
	}
}

// recordDetour drops the idle connections that the direct path left behind: they may be dead.
func (c *Client) recordDetour(address string, now time.Time) {
	wasCutOff := c.paths.isCutOff(now)
	if c.paths.recordDetour(address, now) {
		c.CloseIdle(address)
		c.wayChanged(address, true)
	}
	if !wasCutOff && c.paths.isCutOff(now) {
		c.closeAllIdle()
	}
}

func (c *Client) recordDirect(address string, now time.Time) {
	if c.paths.recordDirect(address, now) {
		c.wayChanged(address, false)
	}
}

func (c *Client) wayChanged(address string, relayed bool) {
	if c.options.WayChanged != nil {
		c.options.WayChanged(address, relayed)
	}
}

// probe tries the direct path to a target that is reached through another VM.
func (c *Client) probe(address string) {
	direct, err := c.DialDirect(context.Background(), address)
	if err != nil {
		c.recordDetour(address, time.Now())
		return
	}
	c.recordDirect(address, time.Now())
	usable := newConn(direct, false)
	usable.idleTimeout = maxTunnelIdleTime
	c.putIdle(address, usable)
}

// newConn returns the connection with its buffers, or nil without one.
func newConn(connection net.Conn, relayed bool) *conn {
	if connection == nil {
		return nil
	}
	input := &boundedInput{source: tunnel.ResetReader{Conn: connection}}
	return &conn{Conn: connection, relayed: relayed, input: input, reader: bufio.NewReaderSize(input, bufferSize), writer: bufio.NewWriterSize(connection, bufferSize)}
}
