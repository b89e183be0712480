package logline

import (
	"io"
	"testing"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// BenchmarkRoutineLine measures the cost of a routine line to its caller while
// the output keeps up.
func BenchmarkRoutineLine(b *testing.B) { benchmarkLines(b, io.Discard, func() {}) }

// BenchmarkRoutineLineWithBlockedOutput measures the same while the output
// blocks: the line is dropped and counted.
func BenchmarkRoutineLineWithBlockedOutput(b *testing.B) {
	blocked := &blockedOutput{entered: make(chan struct{}), release: make(chan struct{})}
	benchmarkLines(b, blocked, func() { close(blocked.release) })
}

func benchmarkLines(b *testing.B, output io.Writer, release func()) {
	l, err := New(Config{Output: output, RingSize: 512, Daemon: "d", Registry: metrics.New("d")})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Routine("request", "request", "4120b5fe74f97812", "route", "r", "service", "s", "attempts", 1, "outcome", "answered", "status", 200)
	}
	b.ReportMetric(float64(l.routineDropped.Value())/float64(b.N), "left_out/op")
	release()
	l.Close()
}
