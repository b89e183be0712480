package netconn

import (
	"context"
	"errors"
	"net"
	"time"
)

// lateThreshold separates late timers from normal ones: a dial that ends more than
// this long after its timeout ended late because this process was stalled.
const lateThreshold = 20 * time.Millisecond

// Dialer opens connections. Timeout must be set.
type Dialer struct {
	net.Dialer
	// now is the clock; nil means time.Now.
	now func() time.Time
}

// Dial opens a TCP connection. If the timeout fired late because this process was
// stalled, the endpoint may have answered in time, so Dial tries once more.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	start := d.currentTime()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil && ctx.Err() == nil && d.timedOutLate(start, err) {
		conn, err = d.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// timedOutLate reports whether a dial timed out more than lateThreshold after its
// timeout.
func (d *Dialer) timedOutLate(start time.Time, err error) bool {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	return timedOut && d.currentTime().Sub(start) > d.Timeout+lateThreshold
}

func (d *Dialer) currentTime() time.Time {
	if d.now == nil {
		return time.Now()
	}
	return d.now()
}
