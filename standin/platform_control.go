package standin

import (
	"fmt"

	"github.com/rotisserie/eris"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// Inject applies a fault to the stand-in that it names.
func (p *Platform) Inject(f wire.Fault) error {
	target := p.target(f.Target)
	if target == nil {
		return eris.New(fmt.Sprintf("no stand-in named %q", f.Target))
	}
	target.Inject(f)
	return nil
}

// injector is a stand-in that accepts faults.
type injector interface{ Inject(wire.Fault) }

// target returns the stand-in with a name; nil if there is none.
func (p *Platform) target(name string) injector {
	switch name {
	case TargetTable:
		return p.Table
	case TargetObjects:
		return p.Objects
	case TargetHosts:
		return p.Hosts
	case TargetWeights:
		return p.Weights
	}
	for _, e := range p.Engines {
		if e.cfg.Name == name {
			return e
		}
	}
	for _, s := range p.Plains {
		if s.cfg.Name == name {
			return s
		}
	}
	return nil
}

// NamedEngine holds the name and the counters of one engine.
type NamedEngine struct {
	Name     string         `json:"name"`
	Counters EngineCounters `json:"counters"`
}

// NamedPlain holds the name and the counters of one plain service.
type NamedPlain struct {
	Name     string        `json:"name"`
	Counters PlainCounters `json:"counters"`
}

// PlatformCounters are the counters of all stand-ins.
type PlatformCounters struct {
	Table   TableCounters  `json:"table"`
	Objects ObjectCounters `json:"objects"`
	Hosts   HostCounters   `json:"hosts"`
	Weights WeightCounters `json:"weights"`
	Engines []NamedEngine  `json:"engines"`
	Plains  []NamedPlain   `json:"plains"`
}

// Counters returns copies of the current counters of all stand-ins.
func (p *Platform) Counters() PlatformCounters {
	c := PlatformCounters{
		Table:   p.Table.Counters(),
		Objects: p.Objects.Counters(),
		Hosts:   p.Hosts.Counters(),
		Weights: p.Weights.Counters(),
	}
	for _, e := range p.Engines {
		c.Engines = append(c.Engines, NamedEngine{Name: e.cfg.Name, Counters: e.Counters()})
	}
	for _, s := range p.Plains {
		c.Plains = append(c.Plains, NamedPlain{Name: s.cfg.Name, Counters: s.Counters()})
	}
	return c
}

// controlStarter serves a platform's control address.
type controlStarter struct{ platform *Platform }

// Start starts the control server at addr, host:port.
func (c controlStarter) Start(addr string) (*Server, error) {
	return startServer(addr, c.handle)
}

// handle serves the control paths.
func (c controlStarter) handle(ctx *fasthttp.RequestCtx) {
	switch {
	case ctx.IsGet() && string(ctx.Path()) == PathAddresses:
		setJSON(ctx, c.platform.Addresses())
	case ctx.IsGet() && string(ctx.Path()) == wire.PathControl:
		setJSON(ctx, c.platform.Counters())
	case ctx.IsPost() && string(ctx.Path()) == wire.PathControl:
		c.inject(ctx)
	default:
		notFound(ctx)
	}
}

// inject applies the fault in the body of a call.
func (c controlStarter) inject(ctx *fasthttp.RequestCtx) {
	var fault wire.Fault
	if f := decodeBody(ctx, &fault); f != nil {
		f.write(ctx)
		return
	}
	if err := c.platform.Inject(fault); err != nil {
		refused(fasthttp.StatusNotFound, wire.ErrorNotFound, err.Error()).write(ctx)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}
