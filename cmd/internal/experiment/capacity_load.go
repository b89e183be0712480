package experiment

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/standin"
)

// Parameters of the parts with load. capacityRate is a share of the capacity.
const (
	capacityDaemons      = 3
	capacityChangeCount  = 60
	capacityRate         = 0.6
	capacityRequestTime  = 10 * time.Second
	capacityClaimCount   = 3000
	capacityClaimCallers = 96
	claimSlots           = 4096
)

// ChangeFigures are the cost of one configuration change on an idle fleet.
type ChangeFigures struct {
	Endpoints int     `json:"endpoints"`
	Teams     int     `json:"teams"`
	Models    int     `json:"models"`
	Daemons   int     `json:"daemons"`
	CPUMicros float64 `json:"cpu_us_a_daemon"`
	Frames    float64 `json:"frame_bytes_a_daemon"`
	Writes    float64 `json:"table_writes"`
}

// capacityChanges measures the cost of a change for two sizes of the
// configuration.
func capacityChanges(ctx context.Context, env Env, r *Report, out *CapacityFigures) error {
	for _, run := range []idleRun{
		{mode: idleBase.mode, daemons: capacityDaemons, teams: 1, models: 1},
		{mode: idleBase.mode, daemons: capacityDaemons, endpoints: targetEndpoints, teams: targetTeams, models: targetModels},
	} {
		f, err := changeOnce(ctx, env, run)
		if err != nil {
			return err
		}
		out.Changes = append(out.Changes, f)
		r.addLine("change daemons=%d extra_endpoints=%d teams=%d models=%d cpu=%.0fus_a_daemon frames=%.0fB_a_daemon table_writes=%.2f",
			f.Daemons, f.Endpoints, f.Teams, f.Models, f.CPUMicros, f.Frames, f.Writes)
	}
	return nil
}

func changeOnce(ctx context.Context, env Env, run idleRun) (ChangeFigures, error) {
	out := ChangeFigures{Endpoints: run.endpoints, Teams: run.teams, Models: run.models, Daemons: run.daemons}
	f, err := fleet.Start(ctx, fleet.Config{Sites: []standin.PlatformConfig{run.site()}, Daemons: run.daemons})
	if err != nil {
		return out, err
	}
	defer f.Close()
	c := &changeDriver{env: env, site: &inProcessFleet{fleet: f}}
	if err := c.addItems(ctx, run); err != nil {
		return out, err
	}
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	start := totalsOf(f)
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDelta := totalsOf(f).since(start)
	if err != nil {
		return out, err
	}
	start = totalsOf(f)
	busy := cpuDuring(func() { err = c.changes(ctx, capacityChangeCount) })
	delta := totalsOf(f).since(start)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	n := float64(capacityChangeCount)
	daemons := float64(run.daemons)
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / n / daemons
	out.Frames = (delta.frames - idleDelta.frames*share) / n / daemons
	out.Writes = (delta.writes - idleDelta.writes*share) / n
	return out, err
}

// addItems adds the teams and models of a run in a separate change: together
// with the endpoints they would exceed the size limit of one change.
func (c *changeDriver) addItems(ctx context.Context, run idleRun) error {
	more := &live.Document{}
	run.addItems(more)
	if len(more.Teams)+len(more.Pools) == 0 {
		return nil
	}
	req := opapi.ChangeRequest{ID: "grow", Author: "capacity", Ops: fullChange(more).Ops}
	return c.propose(ctx, 0, req, 0)
}

// RequestFigures are the cost of a completion that is handled by several daemons.
// Bytes, messages, lines and processor time are per completion.
type RequestFigures struct {
	Completions    int     `json:"completions"`
	Rate           float64 `json:"per_second"`
	BrokerBytes    float64 `json:"broker_bytes"`
	BrokerMessages float64 `json:"broker_messages"`
	WireBytes      float64 `json:"wire_bytes"`
	CPUMicros      float64 `json:"cpu_us_process"`
	// LogBytes and LogLines are the log output of all daemons.
	LogBytes float64 `json:"log_bytes"`
	LogLines float64 `json:"log_lines"`
}

// counter counts the bytes and lines that are written to it.
type counter struct{ bytes, lines atomic.Int64 }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	c.lines.Add(int64(bytes.Count(p, []byte{'\n'})))
	return len(p), nil
}

// capacityRequests measures the messages between daemons for a completion. One
// of three daemons owns the pool, so two of three completions need messages.
func capacityRequests(ctx context.Context, env Env, r *Report, out *CapacityFigures) error {
	for _, d := range Deployments() {
		d.Profile.PlainShare = 0
		fleetTeams, loadTeams := d.Teams(4)
		logged := &counter{}
		f, err := fleet.Start(ctx, fleet.Config{Sites: sitesOf(d), Daemons: capacityDaemons, Teams: fleetTeams, Log: logged})
		if err != nil {
			return err
		}
		figures, err := requestOnce(ctx, env, d, f, loadTeams, logged)
		f.Close()
		if err != nil {
			return err
		}
		out.Requests = append(out.Requests, figures)
		r.addLine("request deployment=%s completions=%d rate=%.1f/s broker_messages=%.2f broker=%.0fB wire=%.0fB cpu=%.0fus_process log=%.0fB log_lines=%.1f of=every_completion remote_share=%.2f",
			d.Name, figures.Completions, figures.Rate, figures.BrokerMessages, figures.BrokerBytes, figures.WireBytes, figures.CPUMicros, figures.LogBytes, figures.LogLines,
			float64(capacityDaemons-1)/capacityDaemons)
	}
	return nil
}

func requestOnce(ctx context.Context, env Env, d Deployment, f *fleet.Fleet, teams []load.Team, logged *counter) (RequestFigures, error) {
	var out RequestFigures
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	start := totalsOf(f)
	var err error
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDelta := totalsOf(f).since(start)
	if err != nil {
		return out, err
	}
	env.Warmup, env.Duration = 0, capacityRequestTime
	spec := d.spec(env, f, teams, capacityRate*BoundOf(d.Site, d.Profile, d.FirstToken).Capacity)
	start = totalsOf(f)
	logBytes, logLines := logged.bytes.Load(), logged.lines.Load()
	var res *load.Result
	busy := cpuDuring(func() { res, err = load.Run(ctx, spec) })
	if err != nil {
		return out, err
	}
	delta := totalsOf(f).since(start)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	out.Completions = res.Total.Answered
	n := float64(max(out.Completions, 1))
	out.Rate = n / busy.wall.Seconds()
	out.BrokerBytes, out.BrokerMessages = delta.broker/n, delta.brokerMessages/n
	out.LogBytes = float64(logged.bytes.Load()-logBytes) / n
	out.LogLines = float64(logged.lines.Load()-logLines) / n
	out.WireBytes = (delta.wire - idleDelta.wire*share) / n
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / n
	return out, nil
}
