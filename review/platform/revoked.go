package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

func init() { cases["revoked"] = revoked }

// resolve returns the addresses that a daemon names to callers.
func resolve(d *daemon) []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.entry+"/samphirequay/resolve?name="+host+"&region=r&zone=north", nil)
	must(err)
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// revoked: a key is taken away, and later the store comes back from a copy of before, while a
// machine is added.
func revoked(w *world) []string {
	const (
		good, taken = "portofficekey00k3y0", "formeragentkey00k3y0"
		revoke      = 5 * time.Second
		rewritten   = 2 * time.Second
	)
	w.bounds["revoke_ms"] = 5000
	w.bounds["quota_window_s"], w.bounds["quota_overshoot"], w.bounds["quota_slack"] = 8, 0.1, 140000
	var runners []*platformtest.Runner
	for i := range 3 {
		r := w.addRunner(fmt.Sprintf("i-o%d", i+1), "orderdesk", "", "north", "7", 6)
		w.store.Register(r, platformtest.StateReady, r.Address())
		runners = append(runners, r)
	}
	config := func(version int, keys ...string) map[string]any {
		return platformtest.Config(version,
			[]any{platformtest.Route(host, "confirm", "/confirm/", "non_idempotent", "orderdesk", map[string]any{"timeoutMs": 1000, "targetLatencyMs": 120})},
			[]any{platformtest.PlainService("orderdesk", 550)},
			[]any{platformtest.Team("agents", 0, 0, keys...)})
	}
	w.store.Configure(config(10, good, taken))
	for i := range 3 {
		w.addDaemon(fmt.Sprintf("edge-%d", i+1), "north", true)
	}
	w.startAll()
	n := 0
	// send sends a request with a key to an address and reports whether a runner ran it.
	send := func(address, key string) bool {
		n++
		id := fmt.Sprintf("request%d", n)
		sent := time.Now()
		got := call(address, post(id, "/confirm/x", "order", time.Second, platformtest.KeyField(key)), nil)
		ran := slices.ContainsFunc(runners, func(r *platformtest.Runner) bool { return r.Ran(id) > 0 })
		w.log("caller %s at %s with key %s: status %d, %v, ran %v, took %v", id, address, key[:11], got.status, got.err, ran, time.Since(sent).Round(time.Millisecond))
		return ran
	}
	for _, d := range w.daemons {
		if !send(d.callers, taken) {
			panic(check{fmt.Errorf("the key is not accepted at first")})
		}
	}
	older := w.store.Copy()
	w.log("store: a copy is taken")
	time.Sleep(200 * time.Millisecond)
	w.store.Configure(config(20, good))
	acknowledged := time.Now()
	w.log("operator: version 20, without key %s, is acknowledged", taken[:11])
	time.Sleep(revoke + 300*time.Millisecond)
	for _, d := range w.daemons {
		send(d.callers, taken)
		send(d.callers, good)
	}
	if !w.quiet {
		w.store.Refuse("*", 503)
		w.log("store: away")
		time.Sleep(300 * time.Millisecond)
		w.store.Restore(older)
		w.store.Refuse("*", 0)
		w.log("store: back from the copy")
	}
	back := time.Now()
	added := w.addDaemon("edge-4", "north", false)
	w.start(added)
	w.log("a machine is added")
	var late []string
	for time.Since(back) < rewritten {
		listed := false
		for _, d := range w.daemons[:3] {
			listed = listed || slices.Contains(resolve(d), added.callers)
		}
		if listed && send(added.callers, taken) {
			late = append(late, time.Since(acknowledged).Round(time.Millisecond).String())
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.store.Configure(config(20, good))
	w.log("operator: version 20 is written again")
	time.Sleep(time.Second)
	for _, d := range w.daemons {
		send(d.callers, taken)
		send(d.callers, good)
	}
	if len(late) > 0 {
		return []string{fmt.Sprintf("CONFIG: %d requests with a key that was taken away ran, after %s", len(late), strings.Join(late, ", "))}
	}
	return nil
}
