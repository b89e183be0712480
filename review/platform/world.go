// The program of the review's cases: it starts daemons as processes with the command of the
// deploy file, plays the platform around them with the project's stand-ins, causes one
// disruption, and checks one rule by what callers, runners and the store have seen.
//
//	standins CASE FOLDER [quiet]
//
// quiet leaves the disruption out. The exit status is 1 if the rule was broken, 0 if it held
// and 2 if the case could not run.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// host is the host name of all routes.
const host = "ficu95.example"

// world is a small deployment: the store, the runners and the daemons' processes.
type world struct {
	dir, temp string
	quiet     bool
	record    *os.File
	began     time.Time
	ports     *platformtest.Ports
	store     *platformtest.Store
	bounds    map[string]any

	mu      sync.Mutex
	daemons []*daemon
	runners []*platformtest.Runner
}

// daemon is one host with a daemon.
type daemon struct {
	name, domain                          string
	settings                              string
	first                                 bool
	callers, ready, entry, peers, metrics string
	cmd                                   *exec.Cmd
	ended                                 chan struct{}
}

// check is a failed preparation: the case can't run.
type check struct{ err error }

func must(err error) {
	if err != nil {
		panic(check{err})
	}
}

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	line := fmt.Sprintf("%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = w.record.WriteString(line)
}

func newWorld(dir string, quiet bool) *world {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	must(err)
	temp, err := os.MkdirTemp("", "review")
	must(err)
	w := &world{dir: dir, temp: temp, quiet: quiet, record: record, began: time.Now(),
		ports: platformtest.NewPorts(int32(21000+os.Getpid()%5000), 31000),
		bounds: map[string]any{
			"grace_s": 8, "entry_lifetime_s": 5, "lease_ms": 3000, "repeat_ratio": 0.2, "repeat_slack": 58, "repeat_window_s": 10,
		}}
	w.store, err = platformtest.StartStore()
	must(err)
	return w
}

func (w *world) close() {
	w.killAll()
	for _, r := range w.runners {
		r.Crash()
	}
	w.store.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.temp)
	} else {
		fmt.Println("logs:", w.temp)
	}
}

func (w *world) free() string {
	a, err := w.ports.Free()
	must(err)
	return a
}

// addDaemon adds a host. first is set while the whole system starts for the first time.
func (w *world) addDaemon(name, domain string, first bool) *daemon {
	d := &daemon{name: name, domain: domain, first: first,
		callers: w.free(), ready: w.free(), entry: w.free(), peers: w.free(), metrics: w.free(),
		settings: filepath.Join(w.temp, name+".json")}
	w.daemons = append(w.daemons, d)
	return d
}

// render writes the settings of a host as the platform renders the template of the deploy
// file, before each start.
func (w *world) render(d *daemon) {
	settings := map[string]any{
		"daemon": d.name, "domain": d.domain,
		"listen":      map[string]any{"callers": d.callers, "ready": d.ready, "entry": d.entry, "peers": d.peers, "metrics": d.metrics},
		"store":       w.store.Address(),
		"capacity":    map[string]any{"cores": 0.4, "link_mbps": 1000},
		"first_start": d.first,
		"memory_mb":   134,
		"scheduling":  map[string]any{"call_queue": true, "learned_limits": false, "forecast_refusal": false, "urgent_reserve": true, "avoid_lossy": true},
		"bounds":      w.bounds,
	}
	d.first = false
	encoded, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	must(os.WriteFile(d.settings, encoded, 0o600))
}

// start starts the daemon's process with the command of the deploy file.
func (w *world) start(d *daemon) {
	w.render(d)
	out, err := os.OpenFile(filepath.Join(w.temp, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/samphirequayd", "platform")
	cmd.Env = append(os.Environ(), "SAMPHIREQUAY_NODE_FILE="+d.settings)
	cmd.Stdout, cmd.Stderr = out, out
	must(cmd.Start())
	_ = out.Close()
	ended := make(chan struct{})
	w.mu.Lock()
	d.cmd, d.ended = cmd, ended
	w.mu.Unlock()
	w.log("host %s: daemon started", d.name)
	go func() {
		err := cmd.Wait()
		w.log("host %s: daemon ended: %v", d.name, err)
		close(ended)
	}()
}

// startAll starts all daemons and waits until they are ready and know one another.
func (w *world) startAll() {
	for _, d := range w.daemons {
		w.start(d)
	}
	for _, d := range w.daemons {
		w.awaitReady(d, 10*time.Second)
	}
	time.Sleep(3 * time.Second)
}

func (w *world) running(d *daemon) bool {
	if d.cmd == nil {
		return false
	}
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL and waits for the end of the process.
func (w *world) kill(d *daemon) {
	if !w.running(d) {
		return
	}
	_ = d.cmd.Process.Signal(syscall.SIGCONT)
	_ = d.cmd.Process.Kill()
	<-d.ended
}

// killAll ends all processes at once.
func (w *world) killAll() {
	for _, d := range w.daemons {
		if w.running(d) {
			_ = d.cmd.Process.Kill()
		}
	}
	for _, d := range w.daemons {
		w.kill(d)
	}
}

func (w *world) signal(d *daemon, s syscall.Signal) {
	w.log("host %s: signal %v", d.name, s)
	_ = d.cmd.Process.Signal(s)
}

// awaitReady waits until the daemon's readiness probe answers 200.
func (w *world) awaitReady(d *daemon, limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		ok := platformtest.Ready(ctx, d.ready)
		cancel()
		if ok {
			w.log("host %s: ready", d.name)
			return
		}
	}
	panic(check{fmt.Errorf("daemon %s is not ready", d.name)})
}

// addRunner starts a runner; stage is empty for a plain one.
func (w *world) addRunner(id, service, stage, zone, software string, slots int) *platformtest.Runner {
	r, err := platformtest.StartRunner(id, service, stage)
	must(err)
	r.Zone, r.Software, r.Slots = zone, software, slots
	w.runners = append(w.runners, r)
	return r
}

// post returns a request of a caller.
func post(id, target, body string, patience time.Duration, fields ...string) *platformtest.Request {
	return &platformtest.Request{Method: "POST", Target: target, Host: host, ID: id, Body: body, Patience: patience, Fields: fields}
}

// reply is a caller's view of an answer.
type reply struct {
	status   int
	header   http.Header
	body     string
	complete bool
	err      error
}

// call sends one request over a new connection and reads the whole answer. each, if set, gets
// the body line by line as it arrives.
func call(address string, q *platformtest.Request, each func(line string)) reply {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	return callOn(c, bufio.NewReader(c), q, each)
}

func callOn(c net.Conn, from *bufio.Reader, q *platformtest.Request, each func(line string)) reply {
	_ = c.SetDeadline(time.Now().Add(q.Patience))
	if _, err := c.Write([]byte(q.Text())); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(from, &http.Request{Method: q.Method})
	if err != nil {
		return reply{err: err}
	}
	out := reply{status: resp.StatusCode, header: resp.Header}
	var body strings.Builder
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		body.WriteString(line)
		if each != nil && line != "" {
			each(strings.TrimRight(line, "\r\n"))
		}
		if err != nil {
			out.body = body.String()
			out.complete = errors.Is(err, io.EOF)
			if !out.complete {
				out.err = err
			}
			return out
		}
	}
}

func number(text string) int {
	n, _ := strconv.Atoi(strings.TrimSpace(text))
	return n
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: standins CASE FOLDER [quiet]")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2], len(os.Args) > 3 && os.Args[3] == "quiet"))
}

// limit is the longest that a case may take.
const limit = 110 * time.Second

// endInTime ends the processes, and the case, if it takes too long or is interrupted.
func (w *world) endInTime() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(limit):
		}
		w.killAll()
		fmt.Println("could not run: the case was ended")
		os.Exit(2)
	}()
}

// play plays a case and returns the exit status.
func play(run func(w *world) (broken []string), dir string, quiet bool) (status int) {
	var w *world
	defer func() {
		if failed := recover(); failed != nil {
			c, ok := failed.(check)
			if !ok {
				panic(failed)
			}
			fmt.Println("could not run:", c.err)
			status = 2
		}
		if w != nil {
			w.close()
		}
	}()
	w = newWorld(dir, quiet)
	w.endInTime()
	broken := run(w)
	for _, b := range broken {
		w.log("BROKEN %s", b)
		fmt.Println("BROKEN", b)
	}
	if len(broken) > 0 {
		return 1
	}
	w.log("held")
	fmt.Println("held")
	return 0
}
