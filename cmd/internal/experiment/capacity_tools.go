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
type memory struct{ inUse, resident float64 }

// memoryNow collects garbage first, so that only what is held counts.
func memoryNow() memory {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return memory{inUse: float64(m.HeapInuse + m.StackInuse), resident: residentBytes()}
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

// keepBusy keeps every processor busy until the returned function is called.
func keepBusy() func() {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for n := uint64(1); ; n = n*6364136223846793005 + 1 {
				if n%(1<<20) != 1 {
					continue
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	return func() {
		close(stop)
		wg.Wait()
	}
}
