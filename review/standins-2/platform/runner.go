package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

const heartbeat = 1200 * time.Millisecond

// runRunner is a runner as a process of its own. It registers in the store and prints what it
// runs and writes. On SIGTERM it leaves: it reports that it drains, serves on for a time, and
// exits.
func runRunner(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	name := flags.String("id", "", "its id")
	service := flags.String("service", "", "its service")
	stage := flags.String("stage", "", "prefill or decode; empty for a plain one")
	store := flags.String("store", "", "address of the store")
	slots := flags.Int("slots", 48, "its slots")
	events := flags.Int("events", 20, "events of a stream")
	gap := flags.Duration("gap", 200*time.Millisecond, "pause between events")
	unframed := flags.Bool("unframed", false, "answer streams with neither a length nor chunks")
	serves := flags.Duration("serves", 2*time.Second, "how long it serves on once the store has its report")
	_ = flags.Parse(args)

	r, err := platformtest.StartRunner(*name, *service, *stage)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	r.Slots, r.Events, r.Gap = *slots, *events, *gap
	r.Answer(func(x *platformtest.Exchange) {
		if !x.ShouldRun() || *stage != "decode" {
			x.AnswerNormally()
			return
		}
		x.Run()
		fmt.Printf("%d run %s %s from %d\n", time.Now().UnixMilli(), *name, x.RequestID(), x.FirstEvent())
		if *unframed {
			x.BeginUnframedStream()
		} else {
			x.BeginStream()
		}
		for n := x.FirstEvent(); n <= r.Events; n++ {
			if *unframed {
				x.Write(platformtest.Event(n))
			} else {
				x.Chunk(platformtest.Event(n))
			}
			fmt.Printf("%d wrote %s %s event %d of %d\n", time.Now().UnixMilli(), *name, x.RequestID(), n, r.Events)
			time.Sleep(r.Gap)
		}
		if *unframed {
			_ = x.Conn.Close()
		} else {
			x.Write("0\r\n\r\n")
		}
		fmt.Printf("%d whole %s %s\n", time.Now().UnixMilli(), *name, x.RequestID())
	})

	var leaving atomic.Bool
	sequence := 0
	register := func() bool {
		sequence++
		state := platformtest.StateReady
		if leaving.Load() {
			state = platformtest.StateLeaving
		}
		entry := r.Entry(state)
		entry["sequence"] = sequence
		return putRow(*store, "servers", *name, entry)
	}
	register()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	beat := time.NewTicker(heartbeat)
	for {
		select {
		case <-beat.C:
			register()
		case <-stop:
			leaving.Store(true)
			r.Leave()
			for !register() {
				time.Sleep(50 * time.Millisecond)
			}
			fmt.Printf("%d draining %s\n", time.Now().UnixMilli(), *name)
			time.Sleep(*serves)
			fmt.Printf("%d exits %s\n", time.Now().UnixMilli(), *name)
			os.Exit(0)
		}
	}
}

// putRow writes a row, as a runner does, and reports whether the store has acknowledged it.
func putRow(store, table, key string, value any) bool {
	encoded, err := json.Marshal(value)
	if err != nil {
		return false
	}
	body, err := json.Marshal(map[string]any{"precondition": []any{}, "put": []any{map[string]any{"table": table, "key": key, "value": encoded}}, "remove": []any{}})
	if err != nil {
		return false
	}
	resp, err := http.Post("http://"+store+"/samphirequay/rows-tx", "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
