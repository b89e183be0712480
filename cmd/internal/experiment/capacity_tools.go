package experiment

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"

	"gonum.org/v1/gonum/stat"
)

// line is a straight line through measured points.
type line struct {
	Base  float64 `json:"base"`
	Slope float64 `json:"slope"`
	R2    float64 `json:"r2"`
}

// fitLine draws the line of least squares.
func fitLine(x, y []float64) line {
	base, slope := stat.LinearRegression(x, y, nil, false)
	return line{Base: base, Slope: slope, R2: stat.RSquared(x, y, nil, base, slope)}
}

// At is the line's value at x.
func (l line) At(x float64) float64 { return l.Base + l.Slope*x }

// memory is what the process holds, in bytes.
type memory struct{ heap, inUse, resident float64 }

// memoryNow collects garbage first, so that only what is held counts.
func memoryNow() memory {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{heap: float64(m.HeapAlloc), inUse: float64(m.HeapAlloc + m.StackInuse), resident: residentBytes()}
}

// allocated is how many bytes the process has ever allocated on its heap.
func allocated() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.TotalAlloc)
}

// residentBytes is the process's resident memory; 0 where the system does not tell.
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

// loadAverage is the host's load over the last minute; 0 where the system
// does not tell.
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

// keepBusy keeps as many threads busy as there are processors, until the
// returned function is called. The rest of the process gets as many again, so
// that the system's scheduler shares the processors, as between processes.
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

// spin keeps a thread of its own busy until stop is closed.
func spin(stop <-chan struct{}) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	const look = 1 << 20
	for n := uint64(1); ; n = n*6364136223846793005 + 1 {
		if n%look != 1 {
			continue
		}
		select {
		case <-stop:
			return
		default:
		}
	}
}
