package experiment

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/standin"
)

// Parameters of the experiment.
const (
	overheadCalls       = 400
	overheadWarmup      = 50
	overheadBusyCalls   = 6000
	overheadConcurrency = 16
	overheadCompletions = 200
	overheadIdle        = time.Second
)

// timedCall makes one call and returns the measured time: that of the whole call,
// or that until the first token.
type timedCall func(ctx context.Context) (time.Duration, error)

// OverheadFigures compare routed calls with direct calls to the same stand-in.
type OverheadFigures struct {
	Call     string    `json:"call"`
	Direct   quantiles `json:"direct"`
	Routed   quantiles `json:"routed"`
	AddedP50 float64   `json:"added_p50_ms"`
	AddedP99 float64   `json:"added_p99_ms"`
}

// ThroughputFigures are call rates and processor times. The processor times are
// those of the whole process, which runs the load, the stand-ins and the router.
type ThroughputFigures struct {
	Call             string  `json:"call"`
	DirectPerSecond  float64 `json:"direct_per_second"`
	RoutedPerSecond  float64 `json:"routed_per_second"`
	DirectCPU        float64 `json:"direct_cpu_us"`
	RoutedCPU        float64 `json:"routed_cpu_us"`
	AddedCPU         float64 `json:"added_cpu_us"`
	PerCorePerSecond float64 `json:"routed_per_second_per_core"`
	IdleCores        float64 `json:"idle_cores"`
}

type quantiles struct {
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
}

// overheadData is the data of the overhead report.
type overheadData struct {
	Latency    []OverheadFigures   `json:"latency"`
	Throughput []ThroughputFigures `json:"throughput"`
}

// overheadSite returns a site with one engine of each role and one plain service.
// Their simulated work takes almost no time, so that the measured time is mostly
// that of the transport and the router.
func overheadSite() standin.PlatformConfig {
	site := standin.Bunker()
	domain := site.Domains[0]
	site.Domains = site.Domains[:1]
	site.Engines = []standin.EngineConfig{
		{Name: "engine-prefill", Domain: domain, Model: site.ModelService, Version: "1", Role: standin.RolePrefill, PrefillTokensPerSecond: 1e6, ChecksFencing: true},
		{Name: "engine-decode", Domain: domain, Model: site.ModelService, Version: "1", Role: standin.RoleDecode, Slots: 64, DecodeTokenMS: 1, ChecksFencing: true},
	}
	site.Plains = []standin.PlainConfig{
		{Name: "plain", Domain: domain, Service: site.PlainService, Slots: 256, WorkTime: time.Nanosecond},
	}
	return site
}

// runOverhead measures the overhead of a single daemon.
func runOverhead(ctx context.Context, env Env) (*Report, error) {
	d := Deployment{Name: "overhead", Site: overheadSite(), Profile: load.Bunker()}
	fleetTeams, loadTeams := d.Teams(1)
	fleetTeams[0].MaxInFlight = overheadConcurrency * 4
	f, err := fleet.Start(ctx, fleet.Config{Sites: sitesOf(d), Daemons: 1, Teams: fleetTeams})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	client := load.NewClient()
	defer client.CloseIdleConnections()
	calls := &overheadClient{fleet: f, client: client, site: d.Site, key: loadTeams[0].Key}
	report := &Report{Experiment: "overhead", Seed: env.Seed}
	var data overheadData
	for _, c := range calls.latencyCalls() {
		figures, err := compareLatency(ctx, c)
		if err != nil {
			return nil, err
		}
		data.Latency = append(data.Latency, figures)
		report.addLine("call=%s direct_p50=%.3fms direct_p99=%.3fms routed_p50=%.3fms routed_p99=%.3fms added_p50=%.3fms added_p99=%.3fms",
			figures.Call, figures.Direct.P50MS, figures.Direct.P99MS, figures.Routed.P50MS, figures.Routed.P99MS, figures.AddedP50, figures.AddedP99)
	}
	busy, err := compareThroughput(ctx, calls)
	if err != nil {
		return nil, err
	}
	data.Throughput = append(data.Throughput, busy)
	report.addLine("call=%s direct=%.0f/s routed=%.0f/s direct_cpu=%.0fus routed_cpu=%.0fus added_cpu=%.0fus routed_per_core=%.0f/s idle_cores=%.3f",
		busy.Call, busy.DirectPerSecond, busy.RoutedPerSecond, busy.DirectCPU, busy.RoutedCPU, busy.AddedCPU, busy.PerCorePerSecond, busy.IdleCores)
	report.Data = data
	return report, nil
}

// comparison is a call that is made directly and through the router.
type comparison struct {
	name           string
	calls          int
	direct, routed timedCall
}

// compareLatency alternates direct and routed calls, so that both are measured
// under the same conditions.
func compareLatency(ctx context.Context, c comparison) (OverheadFigures, error) {
	direct := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	routed := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for i := range c.calls + overheadWarmup {
		for _, target := range []struct {
			call timedCall
			into *hdrhistogram.Histogram
		}{{c.direct, direct}, {c.routed, routed}} {
			took, err := target.call(ctx)
			if err != nil {
				return OverheadFigures{}, fmt.Errorf("%s: %w", c.name, err)
			}
			if i < overheadWarmup {
				continue
			}
			if err := target.into.RecordValue(max(took.Microseconds(), 1)); err != nil {
				return OverheadFigures{}, err
			}
		}
	}
	out := OverheadFigures{Call: c.name, Direct: quantilesOf(direct), Routed: quantilesOf(routed)}
	out.AddedP50 = out.Routed.P50MS - out.Direct.P50MS
	out.AddedP99 = out.Routed.P99MS - out.Direct.P99MS
	return out, nil
}

func quantilesOf(h *hdrhistogram.Histogram) quantiles {
	return quantiles{
		P50MS: float64(h.ValueAtQuantile(50)) / 1000,
		P99MS: float64(h.ValueAtQuantile(99)) / 1000,
	}
}

// compareThroughput makes plain calls from many concurrent callers, first directly
// and then through the router.
func compareThroughput(ctx context.Context, calls *overheadClient) (ThroughputFigures, error) {
	idle := cpuDuring(func() { time.Sleep(overheadIdle) })
	out := ThroughputFigures{Call: "plain", IdleCores: idle.cpu.Seconds() / idle.wall.Seconds()}
	direct, err := busyCalls(ctx, calls.plainDirect)
	if err != nil {
		return out, err
	}
	routed, err := busyCalls(ctx, calls.plainRouted)
	if err != nil {
		return out, err
	}
	out.DirectPerSecond = overheadBusyCalls / direct.wall.Seconds()
	out.RoutedPerSecond = overheadBusyCalls / routed.wall.Seconds()
	out.DirectCPU = perCall(direct, out.IdleCores)
	out.RoutedCPU = perCall(routed, out.IdleCores)
	out.AddedCPU = out.RoutedCPU - out.DirectCPU
	out.PerCorePerSecond = 1e6 / out.AddedCPU
	return out, nil
}

// perCall returns the processor time of one call, in microseconds, without the
// processor time that the idle process uses.
func perCall(u usage, idleCores float64) float64 {
	busy := u.cpu.Seconds() - idleCores*u.wall.Seconds()
	return busy / overheadBusyCalls * 1e6
}

// busyCalls makes calls from many concurrent callers and measures the usage.
func busyCalls(ctx context.Context, call timedCall) (usage, error) {
	var failed error
	u := cpuDuring(func() {
		env := Env{Parallel: overheadConcurrency}
		_, failed = each(ctx, env, make([]struct{}, overheadBusyCalls), func(ctx context.Context, _ struct{}) (time.Duration, error) {
			return call(ctx)
		})
	})
	return u, failed
}

// overheadClient calls the stand-ins directly and through the router.
type overheadClient struct {
	fleet  *fleet.Fleet
	client *http.Client
	site   standin.PlatformConfig
	key    string
	number int
}

func (w *overheadClient) latencyCalls() []comparison {
	return []comparison{
		{"plain", overheadCalls, w.plainDirect, w.plainRouted},
		{"completion", overheadCompletions, w.completionDirect, w.completionRouted},
	}
}
