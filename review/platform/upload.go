package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

func init() { cases["upload"] = upload }

// deploy writes a configuration with a plain service and an engine service, and starts their
// runners and the daemons. It returns the plain runners and the engines.
func deploy(w *world, hosts int, timeoutMS int) (plain, engines []*platformtest.Runner) {
	for i := range 3 {
		plain = append(plain, w.addRunner(fmt.Sprintf("i-o%d", i+1), "orderdesk", "", "north", "7", 6))
	}
	for i, stage := range []string{"prefill", "decode", "decode"} {
		engines = append(engines, w.addRunner(fmt.Sprintf("i-e%d", i+1), "docreader", stage, "north", "41", 48))
	}
	for _, r := range w.runners {
		w.store.Register(r, platformtest.StateReady, r.Address())
	}
	route := func(name, kind, service string, target int) any {
		return platformtest.Route(host, name, "/"+name+"/", kind, service, map[string]any{"timeoutMs": timeoutMS, "targetLatencyMs": target})
	}
	config := platformtest.Config(1, []any{
		route("confirm", "non_idempotent", "orderdesk", 100), route("slot", "idempotent", "orderdesk", 100),
		route("digest", "stream", "docreader", 900),
	}, []any{platformtest.PlainService("orderdesk", 110), platformtest.EngineService("docreader", 310, 48, 0.5)}, nil)
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000}
	w.store.Configure(config)
	for i := range hosts {
		w.addDaemon(fmt.Sprintf("edge-%d", i+1), "north", true)
	}
	w.startAll()
	return plain, engines
}

// usual sends one request after another to each daemon until stop is closed.
func usual(w *world, stop <-chan struct{}) *sync.WaitGroup {
	var callers sync.WaitGroup
	var all atomic.Int64
	for i, d := range w.daemons {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					w.log("usual requests so far, at all hosts: %d", all.Load())
					return
				default:
				}
				all.Add(1)
				id := fmt.Sprintf("usual%d-%d", i, n)
				if got := call(d.callers, post(id, "/slot/x", "usual", time.Second), nil); got.status != 200 {
					w.log("caller %s: status %d, %v", id, got.status, got.err)
				}
			}
		})
	}
	return &callers
}

// upload: callers leave while they send the body of a request.
func upload(w *world) []string {
	const callers, size, sent, leaveAfter = 24, 60000, 30000, 40 * time.Millisecond
	orderdesk, docreader := deploy(w, 3, 14000)
	for _, r := range w.runners {
		r.Answer(func(x *platformtest.Exchange) {
			usual := strings.HasPrefix(x.RequestID(), "usual")
			if x.ShouldRun() && !usual {
				w.log("runner %s: runs %s with a body of %d bytes", r.ID, x.RequestID(), len(x.Request.Body()))
			}
			if usual {
				time.Sleep(60 * time.Millisecond)
			}
			x.AnswerNormally()
		})
	}
	stop := make(chan struct{})
	others := usual(w, stop)
	time.Sleep(500 * time.Millisecond)
	bodies := map[string]string{}
	var uploads sync.WaitGroup
	for i := range callers {
		id, target, deadline, fields := fmt.Sprintf("order%d", i), "/confirm/x", time.Second, []string(nil)
		if i%2 == 1 {
			id, target, deadline, fields = fmt.Sprintf("digest%d", i), "/digest/x", 14*time.Second, platformtest.Generation(fmt.Sprintf("c%d", i))
		}
		bodies[id] = strings.Repeat(id+": nomination, 400 mt VLSFO to Aktau berth 4. ", size)[:size]
		d, q := w.daemons[i%len(w.daemons)], post(id, target, bodies[id], deadline, fields...)
		uploads.Go(func() {
			time.Sleep(time.Duration(i) * 100 * time.Millisecond)
			if w.quiet {
				got := call(d.callers, q, nil)
				w.log("caller %s at %s: sent all %d bytes: status %d, complete %v, %v", id, d.name, size, got.status, got.complete, got.err)
				return
			}
			c, err := net.DialTimeout("tcp", d.callers, time.Second)
			must(err)
			text := q.Text()
			_, err = c.Write([]byte(text[:len(text)-size+sent]))
			must(err)
			time.Sleep(leaveAfter)
			_ = c.Close()
			w.log("caller %s at %s: sent %d of %d bytes of its body, and left", id, d.name, sent, size)
		})
	}
	uploads.Wait()
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
	changed := 0
	for _, r := range append(orderdesk, docreader...) {
		for _, s := range r.Arrivals() {
			id := s.Header["Request-Id"]
			whole, ok := bodies[id]
			if !ok || s.Header["Stage"] == "prefill" || r.Ran(id) == 0 {
				continue
			}
			if s.Body != whole {
				changed++
				w.log("runner %s ran %s with %d bytes of its body of %d", r.ID, id, len(s.Body), len(whole))
			}
		}
	}
	if changed > 0 {
		return []string{fmt.Sprintf("UNASKED: %d of %d requests ran with their body changed", changed, callers)}
	}
	return nil
}
