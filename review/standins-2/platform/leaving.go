package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// engineEvents is the number of events of each stream.
const engineEvents = 20

// startRunner starts a runner as a process.
func (b *bench) startRunner(id, service, stage string, more ...string) *process {
	args := append([]string{os.Args[0], "runner", "--id", id, "--service", service, "--stage", stage, "--store", b.store.Address(),
		"--events", fmt.Sprint(engineEvents)}, more...)
	p := b.spawn(id, args...)
	b.note("runner %s of %s started, stage %q", id, service, stage)
	return p
}

// runnerLines returns what a runner has printed.
func (b *bench) runnerLines(id string) []string {
	text, err := os.ReadFile(filepath.Join(b.dir, id+".log"))
	if err != nil {
		return nil
	}
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// streamed is what a caller got for a stream.
type streamed struct {
	id, path string
	answer   platformtest.Answer
	err      error
}

// callStream sends a request for a stream to a daemon and reads the whole answer.
func (b *bench) callStream(d *daemon, path, id string) streamed {
	out := streamed{id: id, path: path}
	request := platformtest.Request{Method: "POST", Target: path + "2f", Host: host, ID: id, Patience: 14 * time.Second,
		Fields: []string{"Model: m", "Token-Count: 100,40", "Prompt-Prefix: aa:20," + strings.TrimPrefix(id, "q") + ":80"}}
	c, err := net.DialTimeout("tcp", d.callers, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	b.note("caller sends %s%s to %s", path, id, d.name)
	if _, out.err = c.Write([]byte(request.Text())); out.err != nil {
		return out
	}
	out.answer, out.err = platformtest.ReadAnswer(bufio.NewReader(c))
	return out
}

// leavingUnframed takes an engine away while it writes streams that have neither a length nor
// chunks.
func leavingUnframed(b *bench) {
	b.configure(3)
	daemons := b.startDaemons(3)
	for i := range 2 {
		b.startRunner(fmt.Sprintf("i-read-%d", i), "docreader", "prefill")
	}
	engines := map[string]*process{}
	for i := range 3 {
		id := fmt.Sprintf("i-write-%d", i)
		engines[id] = b.startRunner(id, "docreader", "decode", "--unframed")
	}
	b.await("all runners are registered", func() bool {
		_, ok := b.store.Row("servers", "i-write-2")
		return ok
	})
	time.Sleep(6 * time.Second) // the daemons know all runners, and have divided them

	var wg sync.WaitGroup
	var mu sync.Mutex
	var got []streamed
	for n := range 12 {
		path := []string{"/nomination/", "/bdn/"}[n%2]
		wg.Go(func() {
			s := b.callStream(daemons[n%len(daemons)], path, fmt.Sprintf("q%04x", 0xa000+n))
			mu.Lock()
			defer mu.Unlock()
			got = append(got, s)
		})
	}
	time.Sleep(time.Second)
	leaver, most := "", 0
	for id := range engines {
		runs := 0
		for _, line := range b.runnerLines(id) {
			if strings.Contains(line, " run ") {
				runs++
			}
		}
		b.note("runner %s runs %d streams", id, runs)
		if runs > most {
			leaver, most = id, runs
		}
	}
	if most == 0 {
		b.fail("no engine runs a stream")
	}
	if b.trouble {
		b.note("runner %s is told to leave; it is gone 2 s after the store has its report", leaver)
		engines[leaver].signal(syscall.SIGTERM)
	}
	wg.Wait()
	for id := range engines {
		for _, line := range b.runnerLines(id) {
			b.note("%s", line)
		}
	}
	whole := 0
	for _, s := range got {
		events := platformtest.CountEvents(s.answer.Body)
		b.note("caller got %s%s: status %d, %d events of %d, complete=%t, err=%v", s.path, s.id, s.answer.Status, events, engineEvents, s.answer.Complete, s.err)
		switch {
		case s.err == nil && s.answer.Status == 200 && s.answer.Complete && events < engineEvents:
			b.breaks("ORDER, MIXED: %s%s ended as complete after %d of %d events", s.path, s.id, events, engineEvents)
		case s.err == nil && s.answer.Status == 200 && s.answer.Complete:
			whole++
		}
	}
	if !b.trouble && whole != len(got) {
		b.fail("%d of %d streams were whole without the disruption", whole, len(got))
	}
}
