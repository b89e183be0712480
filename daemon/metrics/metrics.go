// Package metrics is a thin layer over expvar for several daemons in one
// process: each daemon has its own Registry instead of the global namespace.
// Every metric is declared with its name, unit and help text.
package metrics

import (
	"expvar"
	"fmt"
	"io"
	"sort"
	"sync"

	"github.com/valyala/fasthttp"
)

// Unit is the unit of a metric's values.
type Unit string

// The units of metrics.
const (
	UnitCount        Unit = "count"
	UnitBytes        Unit = "bytes"
	UnitMilliseconds Unit = "milliseconds"
	UnitRatio        Unit = "ratio"
)

// Type is the type of a metric.
type Type string

// The types of metrics.
const (
	TypeCounter    Type = "counter"
	TypeCounterMap Type = "counter map"
	TypeGauge      Type = "gauge"
	TypeGaugeMap   Type = "gauge map"
	TypeLatency    Type = "latency"
)

// Description describes one declared metric.
type Description struct {
	Name string
	Type Type
	Unit Unit
	Help string
}

// Registry holds the metrics of one daemon. It is safe for concurrent use.
type Registry struct {
	daemon string

	mu               sync.Mutex
	vars             *expvar.Map
	declared         map[string]declaration
	violations       *CounterMap
	onViolation      func(name, detail string)
	panicOnViolation bool
}

type declaration struct {
	description Description
	variable    expvar.Var
}

// New returns an empty registry for the named daemon.
func New(daemon string) *Registry {
	r := &Registry{
		daemon:   daemon,
		vars:     new(expvar.Map).Init(),
		declared: make(map[string]declaration),
	}
	name := new(expvar.String)
	name.Set(daemon)
	r.vars.Set("daemon", name)
	r.violations = r.CounterMap("invariant_violations", UnitCount, "Violated invariants, by name; any but zero is a fault of the program.")
	return r
}

// Daemon returns the name of the daemon that the registry belongs to.
func (r *Registry) Daemon() string { return r.daemon }

// Describe lists every declared metric, by name.
func (r *Registry) Describe() []Description {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Description, 0, len(r.declared))
	for _, d := range r.declared {
		list = append(list, d.description)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Get returns the variable of the named metric, or nil.
func (r *Registry) Get(name string) expvar.Var { return r.vars.Get(name) }

// PublishGlobally adds the registry to the process-wide expvar namespace under
// the daemon's name. It fails if that name is already published.
func (r *Registry) PublishGlobally() error {
	if expvar.Get(r.daemon) != nil {
		return fmt.Errorf("metrics: %q is already published in this process", r.daemon)
	}
	expvar.Publish(r.daemon, r.vars)
	return nil
}

// WriteJSON writes all metrics as one JSON object.
func (r *Registry) WriteJSON(w io.Writer) error {
	_, err := io.WriteString(w, r.vars.String()+"\n")
	return err
}

// Handler serves the metrics as JSON, for /debug/vars.
func (r *Registry) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json; charset=utf-8")
		// A write fails only if the client has disconnected; fasthttp then closes
		// the connection.
		_ = r.WriteJSON(ctx)
	}
}

// declare returns the variable of the named metric, and creates it on first use.
// It panics if the name was declared with another type, which is a programming
// error.
func declare[V expvar.Var](r *Registry, d Description, create func() V) V {
	r.mu.Lock()
	defer r.mu.Unlock()
	if old, ok := r.declared[d.Name]; ok {
		if old.description.Type != d.Type {
			panic(fmt.Sprintf("metrics: %s is declared as a %s and as a %s", d.Name, old.description.Type, d.Type))
		}
		return old.variable.(V)
	}
	v := create()
	r.declared[d.Name] = declaration{description: d, variable: v}
	r.vars.Set(d.Name, v)
	return v
}
