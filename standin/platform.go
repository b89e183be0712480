package standin

import (
	"net"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samphirequay/samphirequay/core/defaults"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// The names of the platform services' stand-ins as targets of faults.
const (
	TargetTable   = "table"
	TargetObjects = "objects"
	TargetHosts   = "hosts"
	TargetWeights = "weights"
	// PathAddresses is the path at a Platform's control address that returns
	// its Addresses.
	PathAddresses = "/control/addresses"

	defaultListenHost = "127.0.0.1"
	// DefaultHostsLag is the delay after which the host list shows a change.
	DefaultHostsLag = 2 * time.Second
)

// PlatformConfig configures all stand-ins of one site; zero fields take the
// defaults.
type PlatformConfig struct {
	Name string
	// Host is the IP address to listen at. Default: loopback.
	Host string
	// BasePort is the port of the control address; the other stand-ins take the
	// following ports in the order of Addresses. 0 takes free ports.
	BasePort int
	// Domains are the failure domains.
	Domains []string
	// RateWithin and RateAcross are the rates of the links within a failure
	// domain and across two, in bytes a second.
	RateWithin, RateAcross float64
	// ModelService and PlainService are the names of the services in Document;
	// empty leaves the service out.
	ModelService, PlainService string
	// WasteWeight is that of the model service, see package live.
	WasteWeight float64
	// PatienceMS is that of the model service, PlainPatienceMS that of the plain
	// service, see package live; 0 takes the default.
	PatienceMS, PlainPatienceMS int
	Engines                     []EngineConfig
	Plains                      []PlainConfig
	Table                       TableConfig
	// Hosts is the initial host list; HostsLag is the delay after which it shows
	// a change.
	Hosts          []wire.Host
	HostsLag       time.Duration
	LoadsPerSecond float64
	// Seed is the seed of the platform services and the base of the seeds of
	// the endpoints; a Table or an endpoint with its own seed keeps it.
	Seed uint64
}

// EndpointAddress is the address, host:port, of an endpoint.
type EndpointAddress struct {
	Name    string `json:"name"`
	Address string `json:"address"`
}

// Addresses are the addresses, host:port, of the stand-ins of a platform.
type Addresses struct {
	Control string `json:"control"`
	Table   string `json:"table"`
	Objects string `json:"objects"`
	Hosts   string `json:"hosts"`
	Weights string `json:"weights"`
	// Endpoints lists the engines, then the plain services, in the order of the
	// configuration.
	Endpoints []EndpointAddress `json:"endpoints"`
}

// Platform is a set of stand-ins in one process.
type Platform struct {
	Table   *Table
	Objects *ObjectStore
	Hosts   *HostList
	Weights *WeightStore
	Engines []*Engine
	Plains  []*PlainService
	Links   *Links

	cfg       PlatformConfig
	addresses Addresses
	servers   []*Server
	nextPort  int
}

// starter is a stand-in whose server can be started.
type starter interface {
	Start(addr string) (*Server, error)
}

// StartPlatform starts all stand-ins of a platform, each with its own listener.
// If one fails to start, it closes the others and returns the error.
func StartPlatform(cfg PlatformConfig) (*Platform, error) {
	defaults.Set(&cfg.Host, defaultListenHost)
	defaults.Set(&cfg.RateWithin, DefaultRateWithin)
	defaults.Set(&cfg.RateAcross, DefaultRateAcross)
	defaults.Set(&cfg.HostsLag, DefaultHostsLag)
	defaults.Set(&cfg.Table.Seed, cfg.Seed)
	p := &Platform{
		Table:    NewTable(cfg.Table),
		Objects:  NewObjectStore(cfg.Seed),
		Hosts:    NewHostList(cfg.HostsLag, cfg.Hosts, cfg.Seed),
		Weights:  NewWeightStore(cfg.LoadsPerSecond, cfg.Seed),
		Links:    NewLinks(cfg.RateWithin, cfg.RateAcross),
		cfg:      cfg,
		nextPort: cfg.BasePort,
	}
	if err := p.startAll(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// startAll starts the stand-ins in the order of Addresses.
func (p *Platform) startAll() error {
	services := []struct {
		address *string
		standIn starter
	}{
		{&p.addresses.Control, controlStarter{p}},
		{&p.addresses.Table, p.Table},
		{&p.addresses.Objects, p.Objects},
		{&p.addresses.Hosts, p.Hosts},
		{&p.addresses.Weights, p.Weights},
	}
	for _, s := range services {
		address, err := p.listen(s.standIn)
		if err != nil {
			return err
		}
		*s.address = address
	}
	return p.startEndpoints()
}

// startEndpoints starts the engines, then the plain services.
func (p *Platform) startEndpoints() error {
	for i, cfg := range p.cfg.Engines {
		cfg.Links = p.Links
		defaults.Set(&cfg.Seed, p.cfg.Seed+uint64(i)+1)
		engine := NewEngine(cfg)
		p.Engines = append(p.Engines, engine)
		if err := p.listenEndpoint(cfg.Name, engine); err != nil {
			return err
		}
	}
	for i, cfg := range p.cfg.Plains {
		defaults.Set(&cfg.Seed, p.cfg.Seed+uint64(len(p.cfg.Engines)+i)+1)
		plain := NewPlainService(cfg)
		p.Plains = append(p.Plains, plain)
		if err := p.listenEndpoint(cfg.Name, plain); err != nil {
			return err
		}
	}
	return nil
}

// listenEndpoint starts an endpoint and records its address.
func (p *Platform) listenEndpoint(name string, s starter) error {
	address, err := p.listen(s)
	if err != nil {
		return eris.Wrapf(err, "endpoint %s", name)
	}
	p.addresses.Endpoints = append(p.addresses.Endpoints, EndpointAddress{Name: name, Address: address})
	return nil
}

// listen starts a stand-in at the next port and returns its address.
func (p *Platform) listen(s starter) (string, error) {
	server, err := s.Start(net.JoinHostPort(p.cfg.Host, strconv.Itoa(p.nextPort)))
	if err != nil {
		return "", err
	}
	if p.nextPort != 0 {
		p.nextPort++
	}
	p.servers = append(p.servers, server)
	return server.Addr(), nil
}

// Addresses returns the addresses of the stand-ins.
func (p *Platform) Addresses() Addresses { return p.addresses }

// Config returns the platform's configuration, including the defaults that
// StartPlatform set.
func (p *Platform) Config() PlatformConfig { return p.cfg }

// Close closes all stand-ins.
func (p *Platform) Close() {
	for _, server := range p.servers {
		server.Close()
	}
}
