package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestLabelsOverridePoolFields(t *testing.T) {
	is := is.New(t)
	pool := &live.Pool{Model: "m", Version: "1"}
	e := &live.Endpoint{}
	is.Equal(desiredSetup(pool, e, live.RoleDecode), Setup{Model: "m", Version: "1", Role: live.RoleDecode})
	pool.Labels = live.Labels{live.LabelVersion: "2"} // a rollout to the whole pool
	is.Equal(desiredSetup(pool, e, live.RoleDecode).Version, "2")
	e.Labels = live.Labels{live.LabelVersion: "3"} // a canary endpoint
	is.Equal(desiredSetup(pool, e, live.RoleDecode).Version, "3")
}
