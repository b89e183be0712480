package netconn

import (
	"context"
	"errors"
	"net"
	"time"
)

// lateAfter is how far behind its limit a dial ends only where this process was
// held up.
const lateThreshold = 20 * time.Millisecond

// Dialer opens connections. Its Timeout must be set.
type Dialer struct {
	net.Dialer
	// now is the clock; nil for the system's.
	now func() time.Time
}

// Dial opens a TCP connection. Where its limit struck late, the connection may
// have been made meanwhile, so it is dialled once more.
func (d *Dialer) Dial(ctx context.Context, address string) (*Conn, error) {
	began := d.currentTime()
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil && ctx.Err() == nil && d.timedOutLate(began, err) {
		conn, err = d.DialContext(ctx, "tcp", address)
	}
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// late says whether a dial ended by its limit, and well behind it.
func (d *Dialer) timedOutLate(began time.Time, err error) bool {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	return timedOut && d.currentTime().Sub(began) > d.Timeout+lateThreshold
}

func (d *Dialer) currentTime() time.Time {
	if d.now == nil {
		return time.Now()
	}
	return d.now()
}
