package experiment

import (
	"context"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/kvsched"
	"github.com/samphirequay/samphirequay/core/overload"
	"github.com/samphirequay/samphirequay/core/sched"
)

// overloadSeeds is the number of seeds that each load is replayed with.
const overloadSeeds = 8

// overloadLoad is a named pattern of arrivals: the usual bursts and extra ones.
type overloadLoad struct {
	name  string
	extra []overload.Burst
}

var overloadLoads = []overloadLoad{
	{"usual bursts", nil},
	{"burst of 2 for 8 s", []overload.Burst{{At: 14 * time.Second, For: 8 * time.Second, Factor: 2}}},
	{"burst of 3 for 8 s", []overload.Burst{{At: 14 * time.Second, For: 8 * time.Second, Factor: 3}}},
	{"burst of 5 for 4 s", []overload.Burst{{At: 14 * time.Second, For: 4 * time.Second, Factor: 5}}},
	{"burst of 2.5 each 5 s", []overload.Burst{
		{At: 3 * time.Second, For: 2 * time.Second, Factor: 2.5}, {At: 13 * time.Second, For: 2 * time.Second, Factor: 2.5},
		{At: 18 * time.Second, For: 2 * time.Second, Factor: 2.5}, {At: 23 * time.Second, For: 2 * time.Second, Factor: 2.5},
	}},
}

// OverloadFigures are the results of one load with one mechanism or none switched
// off.
type OverloadFigures struct {
	Load string `json:"load"`
	// Off is the mechanism that was switched off; empty for none.
	Off string `json:"off"`
	// InTime, Late and Refused are shares of all requests.
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"`
	// AtOnce is the share of the refusals that were sent within 120 ms.
	AtOnce float64 `json:"refusals_at_once"`
	// WastedTokens is the number of tokens per run that were read for requests that
	// were not served.
	WastedTokens float64 `json:"vain_tokens"`
	// Recovery is the time in seconds until the share of requests in time is as
	// high as before the burst.
	Recovery float64 `json:"recovery_s"`
}

// runOverload replays loads against the scheduler with each mechanism switched
// off in turn.
func runOverload(ctx context.Context, env Env) (*Report, error) {
	r := &Report{Experiment: "overload", Seed: env.Seed}
	var figures []OverloadFigures
	for _, load := range overloadLoads {
		for _, off := range append([]kvsched.Mechanism{""}, kvsched.Mechanisms()...) {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			f, seconds := replayOverload(env.Seed, load, off)
			figures = append(figures, f)
			r.addLine("load=%q off=%q in_time=%.3f late=%.3f refused=%.3f refusals_at_once=%.2f vain_tokens=%.0f recovery_s=%.1f",
				f.Load, f.Off, f.InTime, f.Late, f.Refused, f.AtOnce, f.WastedTokens, f.Recovery)
			if off == "" {
				r.Figures = append(r.Figures, overloadFigure(load.name, seconds))
			}
		}
		env.logf("overload: %s replayed", load.name)
	}
	r.Data = figures
	return r, nil
}

// replayOverload replays one load with overloadSeeds seeds. The returned seconds are
// the sums over all seeds.
func replayOverload(seed uint64, load overloadLoad, off kvsched.Mechanism) (OverloadFigures, []overload.Second) {
	f := OverloadFigures{Load: load.name, Off: string(off)}
	replay := overload.SamplePool(append(overload.UsualBursts(), load.extra...)...)
	replay.New = func(pool id.Pool, self id.Process) sched.Scheduler {
		return kvsched.New(kvsched.Options{Pool: pool, Self: self, Disabled: []kvsched.Mechanism{off}})
	}
	var seconds []overload.Second
	asked, refusals, atOnce := 0, 0, 0
	for i := range uint64(overloadSeeds) {
		one := replay.Run(seed + i)
		asked += one.Requests
		refusals += one.Refusals
		atOnce += one.ImmediateRefusals
		f.InTime += float64(one.InTime)
		f.Late += float64(one.Late)
		f.Refused += float64(one.Refused)
		f.WastedTokens += float64(one.WastedTokens) / overloadSeeds
		f.Recovery += one.Recovery(6, 22).Seconds() / overloadSeeds
		seconds = addSeconds(seconds, one.Seconds)
	}
	f.InTime /= float64(asked)
	f.Late /= float64(asked)
	f.Refused /= float64(asked)
	f.AtOnce = float64(atOnce) / float64(max(1, refusals))
	return f, seconds
}

func addSeconds(sum, more []overload.Second) []overload.Second {
	for i, s := range more {
		if i == len(sum) {
			sum = append(sum, overload.Second{})
		}
		sum[i].Requests += s.Requests
		sum[i].InTime += s.InTime
		sum[i].Late += s.Late
		sum[i].Refused += s.Refused
	}
	return sum
}

// overloadFigure plots the outcomes of requests by the second of their arrival.
func overloadFigure(name string, seconds []overload.Second) Figure {
	f := Figure{Name: "overload-" + strings.ReplaceAll(name, " ", "-"), Title: name, XLabel: "second of arrival", YLabel: "requests a run"}
	lines := []struct {
		name string
		of   func(s overload.Second) int
	}{
		{"asked", func(s overload.Second) int { return s.Requests }},
		{"in time", func(s overload.Second) int { return s.InTime }},
		{"late", func(s overload.Second) int { return s.Late }},
		{"refused", func(s overload.Second) int { return s.Refused }},
	}
	for _, line := range lines {
		series := Series{Name: line.name}
		for i, s := range seconds {
			series.X = append(series.X, float64(i))
			series.Y = append(series.Y, float64(line.of(s))/overloadSeeds)
		}
		f.Series = append(f.Series, series)
	}
	return f
}
