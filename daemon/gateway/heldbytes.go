package gateway

import (
	"context"

	"github.com/valyala/fasthttp"

	"github.com/samphirequay/samphirequay/daemon/bytebudget"
	"github.com/samphirequay/samphirequay/daemon/callerconn"
	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// charged returns the context of a request, to whose account is charged what is held for
// it until its answer has been written.
func (d *Daemon) charged(ctx *fasthttp.RequestCtx) context.Context {
	caller, ok := ctx.Conn().(*callerconn.Conn)
	if !ok || d.platform.Budget == nil {
		return d.ctx
	}
	account := d.platform.Budget.Open()
	caller.Charge(account)
	return bytebudget.NewContext(d.ctx, account)
}

// newCallers returns the record of callers that have an answer to read, and shows how many
// there are. Those that don't
// read are let go first when bytes are short.
func (d *Daemon) newCallers() *callerconn.Callers {
	d.metrics.GaugeFunc("answers_owed", metrics.UnitCount, "Requests of callers whose answer has not been written whole yet.", func() float64 {
		return float64(d.answers.Owed())
	})
	unread := d.metrics.Counter("callers_not_reading", metrics.UnitCount, "Connections of callers that were ended since they did not read their answers.")
	c := callerconn.New(d.now, func(u callerconn.Unread) {
		unread.Inc()
		d.logger.Event("caller_not_reading", "caller", u.Caller, "unread", u.For, "held", u.Held)
	})
	if d.platform.Budget != nil {
		d.platform.Budget.OnShort(c.EndUnread)
	}
	return c
}
