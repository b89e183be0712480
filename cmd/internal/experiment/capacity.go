package experiment

import (
	"context"
	"fmt"
	"time"
)

// The letter's target.
const (
	targetDaemons   = 420
	targetEndpoints = 900
	targetTeams     = 900
	targetModels    = 31
	targetRequests  = 6600.0
	targetDomains   = 5
)

// CapacityFigures are the figures of the experiment.
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

// FitFigures are a straight line through measured points and its value at the
// target: extrapolated, not measured.
type FitFigures struct {
	Of     string  `json:"of"`
	By     string  `json:"by"`
	Line   line    `json:"line"`
	Target float64 `json:"target"`
	At     float64 `json:"at_target"`
}

// runCapacity measures the slopes that docs/CAPACITY.md is worked out from.
// Parts run one after the other, so that each has the processors to itself.
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

// fit adds a line through points, with its value at the target.
func (r *Report) fit(out *CapacityFigures, of, by string, x, y []float64, target float64) {
	f := FitFigures{Of: of, By: by, Line: fitLine(x, y), Target: target}
	f.At = f.Line.At(target)
	out.Fits = append(out.Fits, f)
	r.add("fit of=%s by=%s base=%.6g slope=%.6g r2=%.3f at_%g=%.6g extrapolated=true", of, by, f.Line.Base, f.Line.Slope, f.Line.R2, target, f.At)
}

// OpFigures are the cost of one step of the core.
type OpFigures struct {
	Op string `json:"op"`
	// Size says at what size it was measured.
	Size string `json:"size"`
	// CPUMicros is processor time, garbage collection included.
	CPUMicros  float64 `json:"cpu_us"`
	AllocBytes float64 `json:"alloc_bytes"`
}

// opTime is how long a step is repeated.
const opTime = 300 * time.Millisecond

// op measures a step by repeating it.
func (r *Report) op(out *CapacityFigures, name, size string, step func(i int)) {
	step(0)
	before := allocated()
	n := 0
	u := cpuDuring(func() {
		for begun := time.Now(); time.Since(begun) < opTime; {
			// Looks at the clock would weigh more than short steps.
			for range opsPerLook {
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
	r.add("core op=%s %s cpu=%.2fus alloc=%.0fB", name, size, f.CPUMicros, f.AllocBytes)
}

// opsPerLook is how many steps are done between looks at the clock.
const opsPerLook = 8
