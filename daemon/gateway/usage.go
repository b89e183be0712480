package gateway

import (
	"fmt"
	runtimemetrics "runtime/metrics"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// usageLogInterval is the interval at which the resource usage apart from requests is
// logged.
const usageLogInterval = 10 * time.Second

// Names of the runtime metrics.
const (
	figureHeap       = "/memory/classes/heap/objects:bytes"
	figureMemory     = "/memory/classes/total:bytes"
	figureGoroutines = "/sched/goroutines:goroutines"
)

// logUsage periodically logs the daemon's traffic with other daemons and its calls to
// the store since its start, and its memory usage.
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

// runtimeFigures returns the bytes of live and dead objects on the heap, the bytes
// that the runtime has mapped from the system, and the number of goroutines.
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

// counts returns the counters of a counter map as a comma-separated list of
// NAME:COUNT; empty if there is no such map.
func (d *Daemon) counts(name string) string {
	counters, ok := d.metrics.Get(name).(*metrics.CounterMap)
	if !ok {
		return ""
	}
	var out []string
	counters.Do(func(key string, n int64) { out = append(out, fmt.Sprintf("%s:%d", key, n)) })
	return strings.Join(out, ",")
}
