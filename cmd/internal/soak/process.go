package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/daemon/gateway"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// process is one daemon, which the script restarts whenever it exits. The script
// and the run communicate through files in the run's folder: NAME.json holds the
// daemon's settings, NAME.pid its process id, and NAME.ends a line with the process
// id and status of each process that exited.
type process struct {
	// stability tracks the faults of the daemon and of its proxies.
	stability
	dir      string
	name     string
	settings gateway.Settings
	// storeProxy carries the daemon's connections to the store, callerProxy those of
	// callers to the daemon.
	storeProxy  *platformtest.Proxy
	callerProxy *platformtest.Proxy

	// signalledMu guards the fields below. signalled holds the ids of the processes that were
	// sent a SIGTERM or SIGKILL.
	signalledMu sync.Mutex
	signalled   map[int]bool
	// killed is when a process of the daemon was last sent a SIGKILL, and stopped when each one
	// that was sent a SIGTERM got its first.
	killed  time.Time
	stopped []time.Time
}

// Settings of the daemons.
const (
	// gracePeriodS is the time between SIGTERM and SIGKILL on the platform, in
	// seconds.
	gracePeriodS = 6
	// entryLifetimeS is how long callers keep an answer with a daemon's address, in seconds.
	entryLifetimeS = 2
	// leaseMS is the minimum time between the role orders of two lease holders, in
	// milliseconds. It is short so that the lease changes hands within a run.
	leaseMS = 1000
	// memoryMB is the memory limit of a process, low enough for a few hundred
	// processes on one host.
	memoryMB = 64
)

// newProcess starts the proxies of a daemon and writes its settings, with free
// ports.
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
			GraceS: gracePeriodS, EntryLifetimeS: entryLifetimeS, LeaseMS: leaseMS,
		},
		Log: settings.Log{Level: "info"},
	}
	retryBounds(&p.settings.Bounds)
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

// pid returns the process id that the script wrote; 0 if there is none.
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

// signal sends a signal to the current process of the daemon.
func (p *process) signal(s syscall.Signal) {
	pid := p.pid()
	if pid == 0 {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.signalledMu.Lock()
		switch {
		case s == syscall.SIGKILL:
			p.killed = time.Now()
		case !p.signalled[pid]:
			p.stopped = append(p.stopped, time.Now())
		}
		p.signalled[pid] = true
		p.signalledMu.Unlock()
	}
	// The error is ignored: the process may just have exited, and then the fault
	// has no effect.
	_ = syscall.Kill(pid, s)
}

// killedSince reports whether a process of the daemon was killed since the given time.
func (p *process) killedSince(at time.Time) bool {
	p.signalledMu.Lock()
	defer p.signalledMu.Unlock()
	return p.killed.After(at)
}

// stopsWithoutCallers reports whether the daemon was being stopped at a time, for longer than
// callers keep an answer that names it, and not for so long that it takes only what it can end.
func (p *process) stopsWithoutCallers(at time.Time) bool {
	p.signalledMu.Lock()
	defer p.signalledMu.Unlock()
	return slices.ContainsFunc(p.stopped, func(stop time.Time) bool {
		return at.After(stop.Add(entryLifetimeS*time.Second)) && at.Before(stop.Add(lateStop))
	})
}

// unexpectedExits describes the processes that exited without a SIGTERM or SIGKILL
// from this run.
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
			out = append(out, fmt.Sprintf("%s: process %d exited unexpectedly with status %d", p.name, pid, status))
		}
	}
	return out
}

func (p *process) close() {
	p.callerProxy.Close()
	p.storeProxy.Close()
}

// The ports of a run are below the kernel's ephemeral ports. The first port depends
// on the seed, so that concurrent runs with different seeds seldom compete for the
// same ports.
const (
	firstPort     = 10000
	lastPort      = 20000
	portRanges    = 190
	portsPerRange = 50
)

func portsForSeed(seed uint64) *platformtest.Ports {
	return platformtest.NewPorts(firstPort+int32(seed%portRanges*portsPerRange), lastPort)
}

// freePorts returns n loopback addresses without a listener.
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
