package pairing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWaitStart(t *testing.T) {
	is := is.New(t)
	const patience = 360 * time.Millisecond
	is.Equal(WaitStart(time.Second, time.Second+2*ms, patience), time.Second) // from its arrival
	is.Equal(WaitStart(time.Second, 2*time.Second, patience), 2*time.Second-180*ms)
}
