package sched

import (
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
)

func TestHealthFilterUsesHealthView(t *testing.T) {
	is := is.New(t)
	c := testCycle()
	e := testEndpoint("e", live.RoleDecode)
	keeps(is, healthFilter{}, c, e, true)
	c.options.Health = ejectingView{ejected: "e"}
	keeps(is, healthFilter{}, c, e, false)
	c.options.Health = ejectingView{ejected: "f"}
	keeps(is, healthFilter{}, c, e, true)
}
