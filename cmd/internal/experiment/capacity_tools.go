package experiment

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// line is a linear fit through measured points.
type line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
}

// fitLine fits a line by least squares.
func fitLine(x, y []float64) line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	return line{Base: base, Slope: slope, R2: stat.RSquared(x, y, nil, base, slope)}
}

// At returns the value of the line at x.
func (l line) At(x float64) float64 { return l.Base + l.Slope*x }

// memory is the memory use of the process, in bytes: its heap, heap and stacks
// together, and its resident set.
type memory struct{ heap, inUse, resident float64 }

// memoryNow measures the memory use. It collects garbage first, so that only
// reachable memory counts.
func memoryNow() memory {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{heap: float64(m.HeapAlloc), inUse: float64(m.HeapAlloc + m.StackInuse), resident: residentBytes()}
}

// allocated returns the total number of bytes that the process has allocated on
// its heap so far, freed memory included.
func allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// residentBytes returns the resident memory of the process, or 0 if /proc does
// not provide it.
func residentBytes() float64 {
	raw, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}

// loadAverage returns the load average of the host over the last minute, or 0 if
// /proc does not provide it.
func loadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	text, _, _ := strings.Cut(string(raw), " ")
	load, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return load
}

// keepBusy keeps one thread per processor busy until the returned function is
// called. It doubles GOMAXPROCS for this time: the rest of the process can then
// run as many threads as before, and the operating system's scheduler divides
// the processors as it does between processes.
func keepBusy() func() {
	n := runtime.GOMAXPROCS(0)
	runtime.GOMAXPROCS(2 * n)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() { spin(stop) })
	}
	return func() {
		close(stop)
		wg.Wait()
		runtime.GOMAXPROCS(n)
	}
}

// spin keeps one thread busy until stop is closed.
func spin(stop <-chan struct{}) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const checkInterval = 1 << 20
	for n := uint64(1); ; n = n*6364136223846793005 + 1 {
		if n%checkInterval != 1 {
			continue
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
