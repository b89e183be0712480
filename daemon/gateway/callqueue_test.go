package gateway

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/registry"
	"github.com/samphirequay/samphirequay/core/route"
	"github.com/samphirequay/samphirequay/core/sched"
)

// TestContradictingSchedulingIsRejected checks that such settings are named with their file,
// line and field, and that the queue alone is accepted.
func TestContradictingSchedulingIsRejected(t *testing.T) {
	is := is.New(t)
	for field, want := range map[string]string{
		`"scheduling": {"learned_limits": true}`:                        "scheduling.learned_limits: needs call_queue",
		`"scheduling": {"call_queue": false, "learned_limits": true}`:   "scheduling.learned_limits: needs call_queue",
		`"scheduling": {"call_queue": true, "learned_limit": true}`:     "scheduling.learned_limit: unknown field",
		`"scheduling": {"call_queue": "yes", "forecast_refusal": true}`: "scheduling.call_queue: is",
	} {
		path := writeSettings(t, field)
		_, faults := Load(path)
		is.Equal(len(faults), 1)
		is.True(strings.HasPrefix(faults[0].Error(), path+":5:"))
		is.True(strings.Contains(faults[0].Error(), want))
	}
	for _, field := range []string{`"scheduling": {"call_queue": true}`, `"scheduling": {"call_queue": true, "learned_limits": true}`} {
		set, faults := Load(writeSettings(t, field))
		is.Equal(len(faults), 0)
		is.True(set.Scheduling.CallQueue)
	}
}

// queueRoutes is a configuration with a plain service and one that runs on engines.
func queueRoutes(t *testing.T) *route.Table {
	t.Helper()
	routes, err := route.NewTable(route.Config{
		Version:  1,
		Services: []route.Service{{Name: "desk"}, {Name: "reader", Engine: &route.Engine{Slots: 8, KVTokens: 1000}}},
		Routes: []route.Route{
			{Name: "r", Host: "h", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 2, Targets: []route.Target{{Service: "desk", Weight: 1}}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return routes
}

// TestOnlyQueuedPlainServicesHavePools checks the schedulers' configuration with the call
// queue on and off: off, plain services are unknown to it.
func TestOnlyQueuedPlainServicesHavePools(t *testing.T) {
	is := is.New(t)
	routes := queueRoutes(t)
	entries := []registry.Endpoint{
		{Name: "i-1", Service: "desk", Slots: 6, Domain: "north"},
		{Name: "i-2", Service: "desk", Leaving: true},
		{Name: "e-1", Service: "reader", Role: live.RoleDecode},
		{Name: "stray", Service: "desk", Role: live.RoleDecode},
		{Name: "nowhere", Service: "gone"},
	}
	off := document(routes, entries, false)
	is.Equal(len(off.Pools), 1)
	is.Equal(len(off.Endpoints), 1)
	is.Equal(callPoolNames(routes, false), nil)

	on := document(routes, entries, true)
	is.Equal(len(on.Pools), 2)
	is.Equal(poolNames(routes), []id.Pool{"reader"}) // without role orders for plain services
	is.Equal(callPoolNames(routes, true), []id.Pool{"desk"})
	found, err := sched.PoolEndpoints(on, sched.FindPool(on, "desk"))
	is.NoErr(err)
	is.Equal(fmt.Sprint(endpointNames(found)), "[i-1 i-2]")
	is.Equal(found[0].Slots, 6)
	is.Equal(found[1].Slots, 1)
	is.Equal(sched.LabelledRole(found[0]), live.RolePlain)
	is.True(!live.IsLeaving(found[0]))
	is.True(live.IsLeaving(found[1]))
	found, err = sched.PoolEndpoints(on, sched.FindPool(on, "reader"))
	is.NoErr(err)
	is.Equal(fmt.Sprint(endpointNames(found)), "[e-1]")
}

// TestAServiceOfAnotherKindGetsAnotherScheduler checks which pools a configuration changes
// so that their schedulers no longer fit.
func TestAServiceOfAnotherKindGetsAnotherScheduler(t *testing.T) {
	is := is.New(t)
	before := queueRoutes(t)
	config := *before.Config()
	config.Services = []route.Service{{Name: "desk", Engine: &route.Engine{Slots: 8, KVTokens: 1000}}, {Name: "reader", Engine: &route.Engine{Slots: 4, KVTokens: 1000}}, {Name: "new"}}
	now, err := route.NewTable(config)
	is.NoErr(err)
	is.Equal(otherKind(before, now), []id.Pool{"desk"})
	is.Equal(otherKind(before, before), nil)
	is.Equal(otherKind(nil, now), nil)
}

func endpointNames(endpoints []*live.Endpoint) []id.Endpoint {
	var out []id.Endpoint
	for _, e := range endpoints {
		out = append(out, e.Name)
	}
	return out
}
