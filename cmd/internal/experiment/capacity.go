package experiment

import (
	"context"
	"fmt"
	"time"
)

// The target size of the system, to which the results are extrapolated.
// targetRequests is in requests per second.
const (
	targetDaemons   = 420
	targetEndpoints = 900
	targetTeams     = 900
	targetModels    = 31
	targetRequests  = 6600.0
	targetDomains   = 5
)

// CapacityFigures are the results of the capacity experiment.
type CapacityFigures struct {
	Core     []OpFigures       `json:"core"`
	Sizes    []SizeFigures     `json:"sizes"`
	Idle     []IdleFigures     `json:"idle"`
	Fits     []FitFigures      `json:"fits"`
	Changes  []ChangeFigures   `json:"changes"`
	Requests []RequestFigures  `json:"requests"`
	InFlight []InFlightFigures `json:"in_flight"`
	Claims   []ClaimFigures    `json:"claims"`
}

// FitFigures are a linear fit through measured points and its value at the
// target size. That value is extrapolated, not measured.
type FitFigures struct {
	Of     string  `json:"of"`
	By     string  `json:"by"`
	Line   line    `json:"line"`
	Target float64 `json:"target"`
	At     float64 `json:"at_target"`
}

// runCapacity measures the slopes that docs/CAPACITY.md is calculated from.
// Its parts run one after the other, so that each has the processors to itself.
func runCapacity(ctx context.Context, env Env) (*Report, error) {
	report := &Report{Experiment: "capacity", Seed: env.Seed}
	var out CapacityFigures
	for _, part := range []struct {
		name string
		run  func(context.Context, Env, *Report, *CapacityFigures) error
	}{
		{"core", capacityCore},
		{"sizes", capacitySizes},
		{"changes", capacityChanges},
		{"requests", capacityRequests},
		{"in-flight", capacityInFlight},
		{"idle", capacityIdle},
		{"claims", capacityClaims},
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		env.logf("capacity part=%s", part.name)
		if err := part.run(ctx, env, report, &out); err != nil {
			for _, text := range report.Lines {
				env.logf("measured %s", text)
			}
			return nil, fmt.Errorf("capacity %s: %w", part.name, err)
		}
	}
	report.Data = out
	return report, nil
}

// addFit adds a linear fit through points, with its value at the target.
func (r *Report) addFit(out *CapacityFigures, of, by string, x, y []float64, target float64) {
	f := FitFigures{Of: of, By: by, Line: fitLine(x, y), Target: target}
	f.At = f.Line.At(target)
	out.Fits = append(out.Fits, f)
	r.addLine("fit of=%s by=%s base=%.6g slope=%.6g r2=%.3f at_%g=%.6g extrapolated=true", of, by, f.Line.Base, f.Line.Slope, f.Line.R2, target, f.At)
}

// OpFigures are the cost of one operation of the core.
type OpFigures struct {
	Op string `json:"op"`
	// Size is the system size during the measurement, as key=value pairs.
	Size string `json:"size"`
	// CPUMicros is the processor time per operation in microseconds, garbage
	// collection included.
	CPUMicros  float64 `json:"cpu_us"`
	AllocBytes float64 `json:"alloc_bytes"`
}

// opTime is how long an operation is repeated.
const opTime = 300 * time.Millisecond

// measureOp measures an operation by repeating it.
func (r *Report) measureOp(out *CapacityFigures, name, size string, step func(i int)) {
	step(0)
	before := allocated()
	n := 0
	u := cpuDuring(func() {
		for begun := time.Now(); time.Since(begun) < opTime; {
			// Reading the clock can cost more than a short operation.
			for range opsPerClockRead {
				n++
				step(n)
			}
		}
	})
	f := OpFigures{
		Op: name, Size: size, CPUMicros: u.cpu.Seconds() * 1e6 / float64(n),
		AllocBytes: (allocated() - before) / float64(n),
	}
	out.Core = append(out.Core, f)
	r.addLine("core op=%s %s cpu=%.2fus alloc=%.0fB", name, size, f.CPUMicros, f.AllocBytes)
}

// opsPerClockRead is the number of operations between two readings of the clock.
const opsPerClockRead = 8
