package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

func init() { cases["versions"] = versions }

// versions: callers take streams up again after all daemons were killed during a release.
func versions(w *world) []string {
	const streams, events, gap = 6, 60, 150 * time.Millisecond
	var mu sync.Mutex
	engine := func(id, stage, software string) *platformtest.Runner {
		r := w.addRunner(id, "docreader", stage, "north", software, 48)
		r.Events, r.Gap = events, gap
		r.Answer(func(x *platformtest.Exchange) {
			if !x.ShouldRun() || x.Stage() != "decode" {
				x.AnswerNormally()
				return
			}
			x.Run()
			w.log("runner %s (software %s): runs %s from event %d", id, software, x.RequestID(), x.FirstEvent())
			x.BeginStream()
			for n := x.FirstEvent(); n <= events; n++ {
				x.Chunk(fmt.Sprintf("id: %d\ndata: %s token %d\n\n", n, software, n))
				time.Sleep(gap)
			}
			x.Write("0\r\n\r\n")
		})
		return r
	}
	old := []*platformtest.Runner{engine("i-p1", "prefill", "41"), engine("i-d1", "decode", "41"), engine("i-d2", "decode", "41")}
	for _, r := range old {
		w.store.Register(r, platformtest.StateReady, r.Address())
	}
	w.store.Configure(platformtest.Config(1,
		[]any{platformtest.Route(host, "digest", "/digest/", "stream", "docreader", map[string]any{"timeoutMs": 14000, "resumable": true})},
		[]any{platformtest.EngineService("docreader", 310, 48, 0.5)}, nil))
	for i := range 3 {
		w.addDaemon(fmt.Sprintf("edge-%d", i+1), "north", true)
	}
	w.startAll()

	// seen holds the software versions of which each stream's caller got events.
	seen := make([]map[string]int, streams)
	var callers sync.WaitGroup
	for i := range streams {
		seen[i] = map[string]int{}
		callers.Go(func() {
			last, began := 0, ""
			end := time.Now().Add(14 * time.Second)
			for attempt := 0; last < events && time.Until(end) > 0; attempt++ {
				id := fmt.Sprintf("stream%d-%d", i, attempt)
				fields := platformtest.Generation(fmt.Sprintf("b%d", i))
				if last > 0 {
					fields = append(fields, platformtest.TakeUp(began, last)...)
				}
				d := w.daemons[(i+attempt)%len(w.daemons)]
				got := call(d.callers, post(id, "/digest/x", "prompt", time.Until(end), fields...), func(line string) {
					if rest, ok := strings.CutPrefix(line, "id: "); ok {
						last = number(rest)
						if began == "" {
							began = id
						}
					}
					if rest, ok := strings.CutPrefix(line, "data: "); ok {
						software, _, _ := strings.Cut(rest, " ")
						mu.Lock()
						seen[i][software]++
						mu.Unlock()
					}
				})
				w.log("caller of stream %d: attempt %s at %s: status %d, events up to %d, complete %v, %v", i, id, d.name, got.status, last, got.complete, got.err)
				pause := 300 * time.Millisecond
				if got.err != nil && got.status == 0 {
					pause = 500 * time.Millisecond
				}
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	// The release: runners of the new version start, the old ones leave. They never report
	// that they drain: their entries are removed, and they serve on.
	fresh := []*platformtest.Runner{engine("i-p3", "prefill", "42"), engine("i-d3", "decode", "42"), engine("i-d4", "decode", "42")}
	for i, r := range fresh {
		w.store.Register(r, platformtest.StateReady, r.Address())
		w.log("release: runner %s of software 42 is registered", r.ID)
		time.Sleep(200 * time.Millisecond)
		w.store.Remove("servers", old[i].ID)
		w.log("release: the entry of runner %s of software 41 is removed", old[i].ID)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	if !w.quiet {
		w.killAll()
		w.log("all daemons are killed")
		time.Sleep(300 * time.Millisecond)
		for _, d := range w.daemons {
			w.start(d)
		}
	}
	callers.Wait()
	mixed := 0
	for i, s := range seen {
		w.log("stream %d: events by software version: %v", i, s)
		if len(s) > 1 {
			mixed++
		}
	}
	if mixed > 2 {
		return []string{fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", mixed, streams)}
	}
	return nil
}
