package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/samphirequay/samphirequay/core/member"
)

// Numbers of members and modes of the runs.
var (
	membershipSizes = []int{9, 30, 60, 120}
	membershipModes = []member.Mode{member.Mesh, member.Partial}
)

const (
	// loadedMembers is the number of members in the run with busy processors.
	loadedMembers = 30
	// membershipKills is the number of members killed in a run, one after the other.
	membershipKills = 4
	// membershipTarget is the fleet size that the fits are extrapolated to.
	membershipTarget = 420
	// membershipSteady is how long bytes and processor time are measured.
	membershipSteady = 8 * time.Second
	// membershipDomains is the number of failure domains of the members.
	membershipDomains = 5
)

// Limits for the control traffic and its cost, per daemon.
const (
	limitBytesPerSecond = 12e3
	limitCores          = 0.041
	limitMemoryBytes    = 128e6
)

// membershipRun is the configuration of one run.
type membershipRun struct {
	mode   member.Mode
	size   int
	loaded bool
}

// MembershipFigures are the results of one run. Traffic, cores and memory are per
// daemon: the values of the process divided by the number of members.
type MembershipFigures struct {
	Mode    member.Mode `json:"mode"`
	Members int         `json:"members"`
	// Loaded is true if all processors were kept busy during the run.
	Loaded bool `json:"loaded"`
	// LoadAverage is the one-minute load average of the host at the end of the run.
	LoadAverage float64 `json:"load_average"`
	JoinSeconds float64 `json:"join_seconds"`
	Kills       int     `json:"kills"`
	DetectP50   float64 `json:"detect_p50_seconds"`
	DetectP99   float64 `json:"detect_p99_seconds"`
	DetectMax   float64 `json:"detect_max_seconds"`
	// FalseInJoin counts the false deaths reported until the traffic was steady
	// after the join; FalseDeaths counts those after that.
	FalseInJoin  int     `json:"false_deaths_in_join"`
	FalseDeaths  int     `json:"false_deaths"`
	Undetected   int     `json:"undetected"`
	WireBytes    float64 `json:"wire_bytes_per_second"`
	FrameBytes   float64 `json:"frame_bytes_per_second"`
	Packets      float64 `json:"packets_per_second"`
	Messages     float64 `json:"messages_per_second"`
	Connections  float64 `json:"connections"`
	Cores        float64 `json:"cores"`
	HeapBytes    float64 `json:"heap_and_stack_bytes"`
	ProcessBytes float64 `json:"process_bytes"`
}

// runMembership performs the runs one after the other, so that each has the host's
// processors to itself.
func runMembership(ctx context.Context, env Env) (*Report, error) {
	report := &Report{Experiment: "membership", Seed: env.Seed}
	report.addLine("setup=one-process duties=membership transports=quic-each-on-its-own-socket steady=%s domains=%d", membershipSteady, membershipDomains)
	var figures []MembershipFigures
	for _, r := range membershipRuns() {
		env.logf("membership mode=%s members=%d loaded=%t", r.mode, r.size, r.loaded)
		f, err := memberOnce(ctx, env, r)
		if err != nil {
			return nil, fmt.Errorf("%s %d: %w", r.mode, r.size, err)
		}
		figures = append(figures, f)
		report.addMembership(f)
	}
	report.Data = figures
	for _, mode := range membershipModes {
		report.addMembershipFits(mode, figures)
	}
	report.Figures = membershipFigures(figures)
	return report, nil
}

func membershipRuns() []membershipRun {
	var runs []membershipRun
	for _, mode := range membershipModes {
		for _, n := range membershipSizes {
			runs = append(runs, membershipRun{mode: mode, size: n})
		}
		runs = append(runs, membershipRun{mode: mode, size: loadedMembers, loaded: true})
	}
	return runs
}

// memberOnce starts the members, measures them at idle, and kills some.
func memberOnce(ctx context.Context, env Env, r membershipRun) (MembershipFigures, error) {
	out := MembershipFigures{Mode: r.mode, Members: r.size, Loaded: r.loaded, Kills: membershipKills}
	before := memoryNow()
	g, err := newCluster(r.mode, env.Seed)
	if err != nil {
		return out, err
	}
	defer g.close()
	if r.loaded {
		defer keepBusy()()
	}
	begun := time.Now()
	if err := g.join(ctx, r.size); err != nil {
		return out, err
	}
	out.JoinSeconds = time.Since(begun).Seconds()
	if err := g.measureIdle(ctx, &out); err != nil {
		return out, err
	}
	after := memoryNow()
	n := float64(r.size)
	out.HeapBytes = (after.inUse - before.inUse) / n
	out.ProcessBytes = (after.resident - before.resident) / n
	err = g.killMembers(ctx, &out)
	out.LoadAverage = loadAverage()
	return out, err
}

// addMembership adds the line and the faults of a run.
func (r *Report) addMembership(f MembershipFigures) {
	r.addLine("mode=%s members=%d loaded=%t join=%.1fs kills=%d detect_p50=%.2fs detect_p99=%.2fs detect_max=%.2fs undetected=%d false_deaths=%d false_in_join=%d load_average=%.0f "+
		"wire=%.0fB/s frames=%.0fB/s packets=%.1f/s messages=%.1f/s connections=%.1f cores=%.5f heap_and_stack=%.0fkB process=%.0fkB",
		f.Mode, f.Members, f.Loaded, f.JoinSeconds, f.Kills, f.DetectP50, f.DetectP99, f.DetectMax, f.Undetected, f.FalseDeaths, f.FalseInJoin, f.LoadAverage,
		f.WireBytes, f.FrameBytes, f.Packets, f.Messages, f.Connections, f.Cores, f.HeapBytes/1e3, f.ProcessBytes/1e3)
	if f.FalseDeaths > 0 {
		r.addFault("%s %d loaded=%t: false_deaths=%d", f.Mode, f.Members, f.Loaded, f.FalseDeaths)
	}
	if f.Undetected > 0 {
		r.addFault("%s %d loaded=%t: undetected=%d", f.Mode, f.Members, f.Loaded, f.Undetected)
	}
}

// addMembershipFits adds linear fits through the unloaded runs.
func (r *Report) addMembershipFits(mode member.Mode, figures []MembershipFigures) {
	for _, m := range []struct {
		name  string
		limit float64
		of    func(MembershipFigures) float64
	}{
		{"wire_bytes_per_second", limitBytesPerSecond, func(f MembershipFigures) float64 { return f.WireBytes }},
		{"cores", limitCores, func(f MembershipFigures) float64 { return f.Cores }},
		{"heap_and_stack_bytes", limitMemoryBytes, func(f MembershipFigures) float64 { return f.HeapBytes }},
		{"detect_p99_seconds", 0, func(f MembershipFigures) float64 { return f.DetectP99 }},
	} {
		s := membershipSeries(mode, figures, m.of)
		l := fitLine(s.X, s.Y)
		r.addLine("fit mode=%s of=%s base=%.6g slope=%.6g r2=%.3f at_%d=%.6g limit=%g extrapolated=true",
			mode, m.name, l.Base, l.Slope, l.R2, membershipTarget, l.At(membershipTarget), m.limit)
	}
}

func membershipSeries(mode member.Mode, figures []MembershipFigures, of func(MembershipFigures) float64) Series {
	s := Series{Name: string(mode)}
	for _, f := range figures {
		if f.Mode == mode && !f.Loaded {
			s.X = append(s.X, float64(f.Members))
			s.Y = append(s.Y, of(f))
		}
	}
	return s
}

func membershipFigures(figures []MembershipFigures) []Figure {
	draw := func(name, title, label string, of func(MembershipFigures) float64) Figure {
		f := Figure{Name: name, Title: title, XLabel: "daemons", YLabel: label}
		for _, mode := range membershipModes {
			f.Series = append(f.Series, membershipSeries(mode, figures, of))
		}
		return f
	}
	return []Figure{
		draw("membership-bytes", "Membership traffic of one daemon", "bytes sent a second", func(f MembershipFigures) float64 { return f.WireBytes }),
		draw("membership-cores", "Membership processor time of one daemon", "cores", func(f MembershipFigures) float64 { return f.Cores }),
		draw("membership-detection", "Time until every survivor reports a killed daemon as dead, p99", "seconds", func(f MembershipFigures) float64 { return f.DetectP99 }),
	}
}
