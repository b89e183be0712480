package netconn

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/standin"
)

// countDials dials an address that does not answer and returns the number of
// attempts. By the test's clock each attempt takes the given time.
func countDials(t *testing.T, took time.Duration) int {
	t.Helper()
	is := is.New(t)
	full, err := standin.NewFullBacklog("127.0.0.1:0")
	is.NoErr(err)
	defer full.Close()
	dials := 0
	now := time.Unix(1_000, 0)
	d := Dialer{now: func() time.Time { return now }}
	d.Timeout = 10 * time.Millisecond
	d.Control = func(string, string, syscall.RawConn) error {
		dials++
		now = now.Add(took)
		return nil
	}
	_, err = d.Dial(context.Background(), full.Addr())
	netErr, ok := err.(net.Error)
	is.True(ok && netErr.Timeout())
	return dials
}

// TestDelayedDialIsRetried checks that a dial is repeated if its timeout fired late,
// because this process was stalled, and only then.
func TestDelayedDialIsRetried(t *testing.T) {
	is := is.New(t)
	is.Equal(countDials(t, 500*time.Millisecond), 2)
	is.Equal(countDials(t, 10*time.Millisecond), 1)
}
