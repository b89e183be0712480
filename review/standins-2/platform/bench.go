package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// bench is one play of a case: the store, the processes that were started, and the record.
type bench struct {
	trouble bool
	// teams is set if the configuration has teams.
	teams   bool
	dir     string
	started time.Time
	store   *platformtest.Store
	ports   *platformtest.Ports

	mu        sync.Mutex
	record    *os.File
	processes []*process
	// broken holds what broke a rule.
	broken []string
}

// process is a process that the case has started.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// cannotRun ends a case that could not be brought about.
type cannotRun string

func newBench(record string) *bench {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	first := int32(20000 + os.Getpid()%40*200)
	return &bench{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: file, ports: platformtest.NewPorts(first, first+1000)}
}

// play runs a case and returns the exit status.
func (b *bench) play(run func(*bench)) (status int) {
	var err error
	if b.dir, err = os.MkdirTemp("", "case"); err != nil {
		return 2
	}
	if b.store, err = platformtest.StartStore(); err != nil {
		return 2
	}
	defer func() {
		if reason, ok := recover().(cannotRun); ok {
			b.note("the case could not run: %s", reason)
			status = 2
		}
		b.end()
		for _, what := range b.broken {
			b.note("BROKEN %s", what)
		}
		b.note("trouble=%t broken=%d status=%d", b.trouble, len(b.broken), status)
		fmt.Printf("trouble=%t broken=%d status=%d\n", b.trouble, len(b.broken), status)
	}()
	run(b)
	if len(b.broken) > 0 {
		return 1
	}
	return 0
}

// end ends all processes that were started.
func (b *bench) end() {
	for _, p := range b.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	b.store.Close()
	_ = os.RemoveAll(b.dir)
}

// note writes a line of the record, with the time since the start in seconds.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (b *bench) breaks(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

func (b *bench) fail(format string, args ...any) { panic(cannotRun(fmt.Sprintf(format, args...))) }

func (b *bench) free() string {
	address, err := b.ports.Free()
	if err != nil {
		b.fail("%v", err)
	}
	return address
}

// spawn starts a process whose output goes to a file of the temporary folder.
func (b *bench) spawn(name string, args ...string) *process {
	out, err := os.Create(filepath.Join(b.dir, name+".log"))
	if err != nil {
		b.fail("%v", err)
	}
	p := &process{cmd: exec.Command(args[0], args[1:]...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		b.fail("%v", err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.processes = append(b.processes, p)
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// daemon is a daemon that was started as the deploy file does.
type daemon struct {
	*process
	name, callers, ready, entry string
	settings                    string
}

// startDaemons starts daemons with the settings of a small deployment, and waits until all
// say that they are ready.
func (b *bench) startDaemons(n int) []*daemon {
	var out []*daemon
	for i := range n {
		d := &daemon{name: fmt.Sprintf("edge-%d", i+1), callers: b.free(), ready: b.free(), entry: b.free()}
		settings := map[string]any{
			"daemon": d.name, "domain": []string{"aktau-port", "kuryk", "bautino", "aktau-city"}[i%4],
			"listen": map[string]any{"callers": d.callers, "ready": d.ready, "entry": d.entry, "peers": b.free(), "metrics": b.free()},
			"store":  b.store.Address(), "store_writes_per_s": 200,
			"capacity":    map[string]any{"cores": 0.4, "link_mbps": 1000},
			"first_start": true, "memory_mb": 134, "max_descriptors": 4100,
			"scheduling": map[string]any{"call_queue": true, "learned_limits": false, "forecast_refusal": false, "urgent_reserve": true, "avoid_lossy": true},
			"bounds": map[string]any{"grace_s": 8, "entry_lifetime_s": 5, "lease_ms": 3000, "repeat_ratio": 0.2,
				"repeat_slack": 58, "repeat_window_s": 10},
		}
		if b.teams {
			bounds := settings["bounds"].(map[string]any) //nolint:forcetypeassert // see above
			bounds["revoke_ms"], bounds["quota_window_s"], bounds["quota_overshoot"], bounds["quota_slack"] = 5000, quotaWindow.Seconds(), quotaOver, quotaSlack
		}
		text, err := json.Marshal(settings)
		if err != nil {
			b.fail("%v", err)
		}
		file := filepath.Join(b.dir, d.name+".json")
		d.settings = file
		if err := os.WriteFile(file, text, 0o600); err != nil {
			b.fail("%v", err)
		}
		d.process = b.spawn(d.name, "target/samphirequayd", "platform", "--settings", file)
		b.note("daemon %s started", d.name)
		out = append(out, d)
	}
	for _, d := range out {
		b.await("daemon "+d.name+" is ready", func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return platformtest.Ready(ctx, d.ready)
		})
	}
	return out
}

// endFirstStart renders the settings as the platform does once the whole system has started.
func (d *daemon) endFirstStart() {
	text, err := os.ReadFile(d.settings)
	if err != nil {
		return
	}
	_ = os.WriteFile(d.settings, bytes.ReplaceAll(text, []byte(`"first_start":true`), []byte(`"first_start":false`)), 0o600)
}

// await waits until something holds, 15 s at most.
func (b *bench) await(what string, holds func() bool) {
	for end := time.Now().Add(15 * time.Second); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			b.fail("not in time: %s", what)
		}
	}
	b.note("%s", what)
}

const host = "ficu95.example"

// configure writes the configuration of a small deployment: an engine service and a plain one.
func (b *bench) configure(version int) {
	stream := map[string]any{"timeoutMs": 14000, "maxAttempts": 1, "sessionAffinity": true}
	resumable := map[string]any{"timeoutMs": 14000, "maxAttempts": 2, "sessionAffinity": true, "resumable": true}
	call := map[string]any{"timeoutMs": 1000, "targetLatencyMs": 100, "priority": 2, "maxAttempts": 1}
	config := platformtest.Config(version, []any{
		platformtest.Route(host, "r-nomination", "/nomination/", "stream", "docreader", stream),
		platformtest.Route(host, "r-bdn", "/bdn/", "stream", "docreader", resumable),
		platformtest.Route(host, "r-stem", "/stem/", "non_idempotent", "orderdesk", call),
	}, []any{
		platformtest.EngineService("docreader", 310, 48, 0.5),
		platformtest.PlainService("orderdesk", 110),
	}, nil)
	delete(config, "tenants")
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	b.store.Configure(config)
	b.note("configuration %d written", version)
}
