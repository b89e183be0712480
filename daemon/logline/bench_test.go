package logline

import (
	"io"
	"testing"

	"github.com/samphirequay/samphirequay/daemon/metrics"
)

// BenchmarkOneLine is what a routine line costs its writer while the log's
// reader keeps up.
func BenchmarkOneLine(b *testing.B) { benchmarkLines(b, io.Discard, func() {}) }

// BenchmarkOneLineForASilentReader is the same while nobody reads: the line is
// left out and counted.
func BenchmarkOneLineForASilentReader(b *testing.B) {
	silent := &stuck{entered: make(chan struct{}), release: make(chan struct{})}
	benchmarkLines(b, silent, func() { close(silent.release) })
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
	b.ReportMetric(float64(l.routine.Value())/float64(b.N), "left_out/op")
	release()
	l.Close()
}
