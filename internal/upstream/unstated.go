package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// endSettleTime is how long a target whose connection has ended gets until it must be there. A process that is killed
	// closes its connections and its listener one after the other.
	endSettleTime = 20 * time.Millisecond
	// writeSettleTime bounds the wait for the last bytes of the request, which the target has read by then if it answered
	// all of it.
	writeSettleTime = 100 * time.Millisecond
)

// checkUnstatedEnd returns an error if something speaks against the end of the connection being that of a whole answer: the
// target has not received the complete request, or its process is not there any more.
func (r *Response) checkUnstatedEnd() error {
	if err := r.checkRequestSent(); err != nil {
		return err
	}
	select {
	case <-time.After(endSettleTime):
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
	next, err := r.dialAgain()
	if err != nil {
		return errors.WithSecondaryError(errors.Wrap(io.ErrUnexpectedEOF, "the answer ended with its connection, and the target cannot be reached after it"), err)
	}
	r.client.putUnused(r.address, newConn(next, r.conn.relayed))
	return nil
}

// checkRequestSent returns an error unless the request was written completely.
func (r *Response) checkRequestSent() error {
	if r.writeResult == nil {
		return nil // a short request is written before the answer is read
	}
	select {
	case err := <-r.writeResult:
		r.writeResult <- err // Close asks too
		if err != nil {
			return errors.WithSecondaryError(errors.Wrap(io.ErrUnexpectedEOF, "the answer ended with its connection, and the request was not sent completely"), err)
		}
		return nil
	case <-time.After(writeSettleTime):
		return fmt.Errorf("the answer ended with its connection before the request was sent: %w", io.ErrUnexpectedEOF)
	}
}

// dialAgain opens a connection to the target by the way of the response.
func (r *Response) dialAgain() (net.Conn, error) {
	if !r.conn.relayed {
		return r.client.DialDirect(r.ctx, r.address)
	}
	ctx, cancel := context.WithTimeout(r.ctx, maxConnectTimeout)
	defer cancel()
	return r.client.options.Relay(ctx, r.address)
}
