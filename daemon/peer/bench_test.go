package peer

import (
	"context"
	"runtime"
	"testing"

	"github.com/samphirequay/samphirequay/core/id"
)

// BenchmarkCall measures one call and its answer over loopback.
func BenchmarkCall(b *testing.B) {
	from, to := benchPair(b)
	var echo string
	for b.Loop() {
		if err := from.Call(context.Background(), to.Self().Daemon, kindEcho, "hello", &echo); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSend measures one-way messages of 100 bytes, from sending until they are
// handled.
func BenchmarkSend(b *testing.B) {
	from, to := benchPair(b)
	handler := to.cfg.Handler.(*recorder)
	text := string(make([]byte, 100))
	received := make(chan struct{})
	go func() {
		for range b.N {
			<-handler.notes
		}
		close(received)
	}()
	b.ResetTimer()
	for range b.N {
		for from.Send(to.Self().Daemon, kindNote, text) != nil {
			runtime.Gosched() // the ring is full
		}
	}
	<-received
	b.ReportMetric(float64(from.Wire().SentBytes)/float64(b.N), "wire-B/op")
}

func benchPair(b *testing.B) (*Transport, *Transport) {
	b.Helper()
	f := newFleet(b)
	from, _ := f.listen("a", nil)
	to, _ := f.listen("b", nil)
	if err := from.SetPeer("b", to.Address()); err != nil {
		b.Fatal(err)
	}
	callUntilConnected(b, from, "b")
	return from, to
}

// BenchmarkConnections measures the memory and goroutines that each further
// connected peer uses at both ends together.
func BenchmarkConnections(b *testing.B) {
	f := newFleet(b)
	hub, _ := f.listen("hub", nil)
	peers := make([]*Transport, 0, b.N)
	for i := range b.N {
		t, _ := f.listen(id.Daemon("peer-"+string(rune('a'+i%26))+string(rune('a'+i/26%26))), nil)
		if err := t.SetPeer("hub", hub.Address()); err != nil {
			b.Fatal(err)
		}
		peers = append(peers, t)
	}
	before := measureUsage()
	b.ResetTimer()
	for _, t := range peers {
		callUntilConnected(b, t, "hub")
	}
	b.StopTimer()
	after := measureUsage()
	n := float64(b.N)
	b.ReportMetric(float64(after.heap-before.heap)/n, "heap-B/conn")
	b.ReportMetric(float64(after.stack-before.stack)/n, "stack-B/conn")
	b.ReportMetric(float64(after.goroutines-before.goroutines)/n, "goroutines/conn")
}

type resourceUsage struct{ heap, stack, goroutines int64 }

func measureUsage() resourceUsage {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{int64(m.HeapInuse), int64(m.StackInuse), int64(runtime.NumGoroutine())}
}
