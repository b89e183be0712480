package experiment

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/app"
	"github.com/samphirequay/samphirequay/daemon/peer"
	"github.com/samphirequay/samphirequay/daemon/settings"
	"github.com/samphirequay/samphirequay/standin"
)

const (
	// idleSettle is the wait before a measurement at idle; idleTime is the
	// duration of the measurement.
	idleSettle = 4 * time.Second
	idleTime   = 5 * time.Second
)

// idleRun describes a fleet without load.
type idleRun struct {
	mode                              settings.MembershipMode
	daemons, endpoints, teams, models int
}

// IdleFigures are the cost of an idle fleet. Cores, Memory and Wire are per
// daemon: the values of the process divided by the number of daemons. Cores
// therefore includes a part of the stand-ins' processor time.
type IdleFigures struct {
	Mode      settings.MembershipMode `json:"mode"`
	Daemons   int                     `json:"daemons"`
	Endpoints int                     `json:"endpoints"`
	Teams     int                     `json:"teams"`
	Models    int                     `json:"models"`
	Cores     float64                 `json:"cores"`
	Memory    float64                 `json:"heap_and_stack_bytes"`
	Wire      float64                 `json:"wire_bytes_per_second"`
	// ProcessCores is the processor use of all daemons and stand-ins.
	ProcessCores float64 `json:"process_cores"`
	Reads        float64 `json:"table_reads_per_second"`
	Writes       float64 `json:"table_writes_per_second"`
	Questions    float64 `json:"questions_to_endpoints_per_second"`
}

// idleBase is the smallest run. Each other run differs from it in one size, and
// in the mode too for the runs in partial mode.
var idleBase = idleRun{mode: settings.MembershipMesh, daemons: 3, endpoints: 0, teams: 1, models: 1}

func idleRuns() []idleRun {
	var runs []idleRun
	add := func(change func(*idleRun)) {
		r := idleBase
		change(&r)
		runs = append(runs, r)
	}
	add(func(*idleRun) {})
	for _, n := range []int{9, 18, 30} {
		add(func(r *idleRun) { r.daemons = n })
	}
	for _, n := range []int{9, 30} {
		add(func(r *idleRun) { r.daemons, r.mode = n, settings.MembershipPartial })
	}
	for _, n := range []int{100, 300, 900} {
		add(func(r *idleRun) { r.endpoints = n })
	}
	for _, n := range []int{300, 900} {
		add(func(r *idleRun) { r.teams = n })
	}
	for _, n := range []int{11, 31} {
		add(func(r *idleRun) { r.models = n })
	}
	return runs
}

// capacityIdle measures idle daemons.
func capacityIdle(ctx context.Context, env Env, r *Report, out *CapacityFigures) error {
	for _, run := range idleRuns() {
		env.logf("capacity idle %+v", run)
		f, err := idleOnce(ctx, run)
		if err != nil {
			return err
		}
		out.Idle = append(out.Idle, f)
		r.addLine("idle mode=%s daemons=%d extra_endpoints=%d teams=%d models=%d cores=%.5f heap_and_stack=%.2fMB wire=%.0fB/s process_cores=%.4f "+
			"table_reads=%.2f/s table_writes=%.2f/s questions=%.1f/s",
			f.Mode, f.Daemons, f.Endpoints, f.Teams, f.Models, f.Cores, f.Memory/1e6, f.Wire, f.ProcessCores, f.Reads, f.Writes, f.Questions)
	}
	r.idleFits(out)
	return nil
}

func (r *Report) idleFits(out *CapacityFigures) {
	all := out.Idle
	pick := func(by func(IdleFigures) int, same func(IdleFigures) bool, of func(IdleFigures) float64) (x, y []float64) {
		for _, f := range all {
			if same(f) {
				x = append(x, float64(by(f)))
				y = append(y, of(f))
			}
		}
		return x, y
	}
	base := func(f IdleFigures, but string) bool {
		return f.Mode == idleBase.mode && (but == "daemons" || f.Daemons == idleBase.daemons) && (but == "endpoints" || f.Endpoints == idleBase.endpoints) &&
			(but == "teams" || f.Teams == idleBase.teams) && (but == "models" || f.Models == idleBase.models)
	}
	memory := func(f IdleFigures) float64 { return f.Memory }
	cores := func(f IdleFigures) float64 { return f.Cores }
	process := func(f IdleFigures) float64 { return f.ProcessCores }
	wire := func(f IdleFigures) float64 { return f.Wire }
	reads := func(f IdleFigures) float64 { return f.Reads }
	for _, fit := range []struct {
		of, by string
		key    func(IdleFigures) int
		value  func(IdleFigures) float64
		target float64
	}{
		{"idle cores of a daemon, mesh", "daemons", func(f IdleFigures) int { return f.Daemons }, cores, targetDaemons},
		{"idle bytes of a daemon, mesh", "daemons", func(f IdleFigures) int { return f.Daemons }, memory, targetDaemons},
		{"idle wire bytes/s of a daemon, mesh", "daemons", func(f IdleFigures) int { return f.Daemons }, wire, targetDaemons},
		{"table reads/s of a fleet", "daemons", func(f IdleFigures) int { return f.Daemons }, reads, targetDaemons},
		{"idle cores of the process, stand-ins included", "endpoints", func(f IdleFigures) int { return f.Endpoints }, process, targetEndpoints},
		{"idle bytes of a daemon", "endpoints", func(f IdleFigures) int { return f.Endpoints }, memory, targetEndpoints},
		{"idle bytes of a daemon", "teams", func(f IdleFigures) int { return f.Teams }, memory, targetTeams},
		{"idle cores of a daemon", "teams", func(f IdleFigures) int { return f.Teams }, cores, targetTeams},
		{"idle bytes of a daemon", "models", func(f IdleFigures) int { return f.Models }, memory, targetModels},
		{"idle cores of a daemon", "models", func(f IdleFigures) int { return f.Models }, cores, targetModels},
	} {
		x, y := pick(fit.key, func(f IdleFigures) bool { return base(f, fit.by) }, fit.value)
		r.addFit(out, fit.of, fit.by, x, y, fit.target)
	}
}

// idleOnce starts a fleet and measures it at idle.
func idleOnce(ctx context.Context, run idleRun) (IdleFigures, error) {
	out := IdleFigures{Mode: run.mode, Daemons: run.daemons, Endpoints: run.endpoints, Teams: run.teams, Models: run.models}
	standIns, err := run.standInBytes()
	if err != nil {
		return out, err
	}
	before := memoryNow()
	f, err := fleet.Start(ctx, fleet.Config{
		Sites: []standin.PlatformConfig{run.site()}, Daemons: run.daemons, AdjustDocument: run.addItems,
		AdjustSettings: func(s *settings.Settings) { s.Membership.Mode = run.mode },
	})
	if err != nil {
		return out, fmt.Errorf("%+v: %w", run, err)
	}
	defer f.Close()
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	n := float64(run.daemons)
	start := totalsOf(f)
	u := cpuDuring(func() { err = sleep(ctx, idleTime) })
	delta := totalsOf(f).since(start)
	seconds := u.wall.Seconds()
	out.ProcessCores = u.cpu.Seconds() / seconds
	out.Cores = out.ProcessCores / n
	out.Wire = delta.wire / seconds / n
	out.Reads, out.Writes = delta.reads/seconds, delta.writes/seconds
	out.Questions = delta.questions / seconds
	out.Memory = (memoryNow().inUse - before.inUse - standIns) / n
	return out, err
}

// site returns the bunker site with run.endpoints additional engines in the
// model's pool.
func (run idleRun) site() standin.PlatformConfig {
	site := standin.Bunker()
	engines := len(site.Engines)
	for i := range run.endpoints {
		e := site.Engines[i%engines]
		e.Name = fmt.Sprintf("more-%04d", i)
		site.Engines = append(site.Engines, e)
	}
	return site
}

// standInBytes measures the memory of the stand-ins alone, before they get any
// requests.
func (run idleRun) standInBytes() (float64, error) {
	before := memoryNow()
	p, err := standin.StartPlatform(run.site())
	if err != nil {
		return 0, err
	}
	defer p.Close()
	return memoryNow().inUse - before.inUse, nil
}

// addItems adds teams, and models without endpoints, to the configuration.
func (run idleRun) addItems(doc *live.Document) {
	for i := range run.teams - 1 {
		name := fmt.Sprintf("team-%04d", i)
		doc.Teams = append(doc.Teams, live.Team{Name: id.Team(name), KeyHashes: []string{live.HashKey(name)}})
	}
	for i := range run.models - 1 {
		name := modelName(i)
		doc.Pools = append(doc.Pools, live.Pool{Name: id.Pool(name), EndpointSelector: live.LabelModel + "=" + name, Model: name, Version: "1"})
		doc.Services = append(doc.Services, live.Service{Name: id.Service(name), Type: live.ServiceModel, Pool: id.Pool(name)})
	}
}

// totals are counters of all daemons and the table since their start.
type totals struct{ wire, frames, messages, broker, brokerMessages, reads, writes, questions float64 }

// brokerKind is the kind of the messages that pair requests: the first kind that
// package app declares.
const brokerKind peer.Kind = 1

// metricOf reads a counter of a daemon; it returns 0 if the daemon has no counter
// of that name or the value is not a number.
func metricOf(d *app.Daemon, name string) float64 {
	v := d.Metrics().Get(name)
	if v == nil {
		return 0
	}
	n, err := strconv.ParseFloat(v.String(), 64)
	if err != nil {
		return 0
	}
	return n
}

func totalsOf(f *fleet.Fleet) totals {
	var s totals
	for i := range f.Members() {
		daemon := f.Daemon(i)
		if daemon == nil {
			continue
		}
		s.wire += float64(daemon.Transport().Wire().SentBytes)
		for kind, k := range daemon.Transport().Traffic() {
			s.frames += float64(k.SentBytes)
			s.messages += float64(k.Sent)
			if kind == brokerKind {
				s.broker += float64(k.SentBytes)
				s.brokerMessages += float64(k.Sent)
			}
		}
		s.questions += metricOf(daemon, "reports_asked")
	}
	table := f.Platform().Table.Counters()
	s.reads, s.writes = float64(table.Reads), float64(table.Transactions)
	return s
}

func (s totals) since(e totals) totals {
	return totals{
		wire: s.wire - e.wire, frames: s.frames - e.frames, messages: s.messages - e.messages,
		broker: s.broker - e.broker, brokerMessages: s.brokerMessages - e.brokerMessages,
		reads: s.reads - e.reads, writes: s.writes - e.writes, questions: s.questions - e.questions,
	}
}
