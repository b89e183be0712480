package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/gateway"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// process is one daemon, which the script starts again whenever it ends. Files
// in the run's folder connect the two: NAME.json are its settings, NAME.pid its
// process id, and NAME.ends has a line for each process that ended.
type process struct {
	// calmness is that of the daemon and of the ways to and from it.
	stability
	dir      string
	name     string
	settings gateway.Settings
	// store is the daemon's own way to the store, callers the way to it.
	storeProxy  *platformtest.Proxy
	callerProxy *platformtest.Proxy

	// ends guards signalled, the processes that were told or made to end.
	signalledMu sync.Mutex
	signalled   map[int]bool
}

// What the daemons are told of the platform.
const (
	// graceS is how long after a SIGTERM the platform would kill, in seconds.
	gracePeriodS = 6
	// leaseMS keeps orders of two holders apart, in milliseconds; short, so that
	// the lease changes hands within a run.
	leaseMS = 1000
	// memoryMB bounds a process; a few hundred of them fit on one host.
	memoryMB = 64
)

// newProcess writes the settings of a daemon; its ports are free ones.
func newProcess(dir, name, domain, store string, free *platformtest.Ports) (*process, error) {
	p := &process{dir: dir, name: name, signalled: map[int]bool{}}
	var err error
	if p.storeProxy, err = platformtest.StartProxy(store); err != nil {
		return nil, err
	}
	ports, err := freePorts(free, 5)
	if err != nil {
		return nil, err
	}
	p.settings = gateway.Settings{
		Daemon: id.Daemon(name),
		Domain: id.Domain(domain),
		Listen: gateway.Listen{
			Callers: ports[0], Ready: ports[1], Entry: ports[2], Peers: ports[3], Metrics: ports[4],
		},
		Store:    p.storeProxy.Address(),
		MemoryMB: memoryMB,
		Bounds: gateway.Bounds{
			GraceS: gracePeriodS, EntryLifetimeS: 2, LeaseMS: leaseMS,
			RepeatRatio: 0.2, RepeatSlack: 58, RepeatWindowS: 10,
		},
		Log: settings.Log{Level: "info"},
	}
	teamBounds(&p.settings.Bounds)
	if p.callerProxy, err = platformtest.StartProxy(p.settings.Listen.Callers); err != nil {
		return nil, err
	}
	body, err := json.MarshalIndent(&p.settings, "", "  ")
	if err != nil {
		return nil, err
	}
	return p, os.WriteFile(p.path("json"), body, 0o600)
}

func (p *process) path(kind string) string { return filepath.Join(p.dir, p.name+"."+kind) }

// pid is the process id that the script wrote; 0 before there is one.
func (p *process) pid() int {
	text, err := os.ReadFile(p.path("pid"))
	if err != nil {
		return 0
	}
	pid, err := strconv.Atoi(string(bytes.TrimSpace(text)))
	if err != nil {
		return 0
	}
	return pid
}

// signal sends a signal to the present process of this daemon.
func (p *process) signal(s syscall.Signal) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.signalledMu.Lock()
		p.signalled[pid] = true
		p.signalledMu.Unlock()
	}
	// A process that has just ended takes no signal: the fault is void then.
	_ = syscall.Kill(pid, s)
}

// ownEnds lists the processes that ended without having been told to.
func (p *process) unexpectedExits() []string {
	text, err := os.ReadFile(p.path("ends"))
	if err != nil {
		return nil
	}
	p.signalledMu.Lock()
	defer p.signalledMu.Unlock()
	var out []string
	for _, line := range bytes.Split(bytes.TrimSpace(text), []byte("\n")) {
		var pid, status int
		if n, err := fmt.Sscan(string(line), &pid, &status); n == 2 && err == nil && !p.signalled[pid] {
			out = append(out, fmt.Sprintf("%s: process %d ended by itself with status %d", p.name, pid, status))
		}
	}
	return out
}

func (p *process) close() {
	p.callerProxy.Close()
	p.storeProxy.Close()
}

// Ports below those that the kernel gives out; a run has its own begin where
// those of a run with another seed seldom do: runs beside each other would take
// one another's.
const (
	firstPort     = 10000
	lastPort      = 20000
	portRanges    = 190
	portsPerRange = 50
)

func portsForSeed(seed uint64) *platformtest.Ports {
	return platformtest.NewPorts(firstPort+int32(seed%portRanges*portsPerRange), lastPort)
}

// freePorts finds loopback addresses that nothing listens on.
func freePorts(free *platformtest.Ports, n int) ([]string, error) {
	var out []string
	for range n {
		address, err := free.Free()
		if err != nil {
			return nil, eris.Wrap(err, "no free port")
		}
		out = append(out, address)
	}
	return out, nil
}
