package gateway

import (
	"fmt"
	runtimemetrics "runtime/metrics"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// spentEvery is the time between the lines that tell what a daemon spends apart
// from requests.
const usageLogInterval = 10 * time.Second

// Names of the runtime's figures.
const (
	figureHeap       = "/memory/classes/heap/objects:bytes"
	figureMemory     = "/memory/classes/total:bytes"
	figureGoroutines = "/sched/goroutines:goroutines"
)

// tellSpent writes, now and then, what the daemon has spent since its start on
// other daemons and on the store, and the memory that it holds.
func (d *Daemon) logUsage(f *fleet) {
	d.every(usageLogInterval, func() {
		wire := f.transport.Wire()
		heap, memory, goroutines := runtimeFigures()
		d.logger.Event("daemon_spent", "owner", f.owner.Load(), "reader", f.broadcasts.Load(), "linked", f.linked.Load(),
			"large", f.members.Large(), "connections", wire.Connections, "wire_sent", wire.SentBytes,
			"wire_received", wire.ReceivedBytes, "packets_sent", wire.SentPackets, "packets_received", wire.ReceivedPackets,
			"sent", d.counts("peer_sent"), "received", d.counts("peer_received"), "store_calls", d.counts("store_calls"),
			"heap", heap, "memory", memory, "goroutines", goroutines)
	})
}

// runtimeFigures are the bytes of live and dead objects on the heap, those that
// the process has from the system, and the goroutines.
func runtimeFigures() (heap, memory, goroutines uint64) {
	samples := []runtimemetrics.Sample{{Name: figureHeap}, {Name: figureMemory}, {Name: figureGoroutines}}
	runtimemetrics.Read(samples)
	value := func(i int) uint64 {
		if samples[i].Value.Kind() != runtimemetrics.KindUint64 {
			return 0
		}
		return samples[i].Value.Uint64()
	}
	return value(0), value(1), value(2)
}

// counts gives the counters of a map of the metrics as NAME:COUNT, by name.
func (d *Daemon) counts(name string) string {
	counters, ok := d.metrics.Get(name).(*metrics.CounterMap)
	if !ok {
		return ""
	}
	var out []string
	counters.Do(func(key string, n int64) { out = append(out, fmt.Sprintf("%s:%d", key, n)) })
	return strings.Join(out, ",")
}
