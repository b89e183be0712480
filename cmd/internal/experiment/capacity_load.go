package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/platform/standin"
	"github.com/samphirequay/samphirequay/platform/wire"
)

// Sizes of the parts with load.
const (
	capacityDaemons      = 3
	capacityChangeCount  = 60
	capacityRate         = 0.6
	capacityRequestTime  = 10 * time.Second
	capacityClaimCount   = 3000
	capacityClaimCallers = 96
	claimSlots           = 4096
)

// ChangeFigures are the cost of one change at rest.
type ChangeFigures struct {
	Endpoints int     `json:"endpoints"`
	Teams     int     `json:"teams"`
	Models    int     `json:"models"`
	Daemons   int     `json:"daemons"`
	CPUMicros float64 `json:"cpu_us_a_daemon"`
	Frames    float64 `json:"frame_bytes_a_daemon"`
	Writes    float64 `json:"table_writes"`
}

// capacityChanges measures a change's cost against the configuration's size.
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
		r.add("change daemons=%d extra_endpoints=%d teams=%d models=%d cpu=%.0fus_a_daemon frames=%.0fB_a_daemon table_writes=%.2f",
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
	c := &changing{env: env, site: &ownFleet{fleet: f}}
	if err := c.grow(ctx, run); err != nil {
		return out, err
	}
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	at := sumOf(f)
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDid := sumOf(f).since(at)
	if err != nil {
		return out, err
	}
	at = sumOf(f)
	busy := cpuDuring(func() { err = c.changes(ctx, capacityChangeCount) })
	did := sumOf(f).since(at)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	n := float64(capacityChangeCount)
	daemons := float64(run.daemons)
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / n / daemons
	out.Frames = (did.frames - idleDid.frames*share) / n / daemons
	out.Writes = (did.writes - idleDid.writes*share) / n
	return out, err
}

// grow adds a run's teams and models by a change of their own: with the
// endpoints they would be more than one change may hold.
func (c *changing) grow(ctx context.Context, run idleRun) error {
	more := &live.Document{}
	run.grow(more)
	if len(more.Teams)+len(more.Pools) == 0 {
		return nil
	}
	req := opapi.ChangeRequest{ID: "grow", Author: "capacity", Ops: wholeChange(more).Ops}
	return c.propose(ctx, 0, req, 0)
}

// RequestFigures are the cost of a completion between daemons.
type RequestFigures struct {
	Completions    int     `json:"completions"`
	Rate           float64 `json:"per_second"`
	BrokerBytes    float64 `json:"broker_bytes"`
	BrokerMessages float64 `json:"broker_messages"`
	WireBytes      float64 `json:"wire_bytes"`
	CPUMicros      float64 `json:"cpu_us_process"`
}

// capacityRequests measures the messages between daemons for a completion. Of
// three daemons one owns the pool, so two in three completions need them.
func capacityRequests(ctx context.Context, env Env, r *Report, out *CapacityFigures) error {
	for _, d := range Deployments() {
		d.Profile.PlainShare = 0
		ofFleet, ofLoad := d.Teams(4)
		f, err := fleet.Start(ctx, fleet.Config{Sites: siteOf(d), Daemons: capacityDaemons, Teams: ofFleet})
		if err != nil {
			return err
		}
		figures, err := requestOnce(ctx, env, d, f, ofLoad)
		f.Close()
		if err != nil {
			return err
		}
		out.Requests = append(out.Requests, figures)
		r.add("request deployment=%s completions=%d rate=%.1f/s broker_messages=%.2f broker=%.0fB wire=%.0fB cpu=%.0fus_process of=every_completion remote_share=%.2f",
			d.Name, figures.Completions, figures.Rate, figures.BrokerMessages, figures.BrokerBytes, figures.WireBytes, figures.CPUMicros,
			float64(capacityDaemons-1)/capacityDaemons)
	}
	return nil
}

func requestOnce(ctx context.Context, env Env, d Deployment, f *fleet.Fleet, teams []load.Team) (RequestFigures, error) {
	var out RequestFigures
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	at := sumOf(f)
	var err error
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDid := sumOf(f).since(at)
	if err != nil {
		return out, err
	}
	env.Warmup, env.Duration = 0, capacityRequestTime
	spec := d.spec(env, f, teams, capacityRate*BoundOf(d.Site, d.Profile, d.FirstToken).Capacity)
	at = sumOf(f)
	var res *load.Result
	busy := cpuDuring(func() { res, err = load.Run(ctx, spec) })
	if err != nil {
		return out, err
	}
	did := sumOf(f).since(at)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	out.Completions = res.Total.Answered
	n := float64(max(out.Completions, 1))
	out.Rate = n / busy.wall.Seconds()
	out.BrokerBytes, out.BrokerMessages = did.broker/n, did.brokerMessages/n
	out.WireBytes = (did.wire - idleDid.wire*share) / n
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / n
	return out, nil
}

// InFlightFigures are the memory of streams that are being written.
type InFlightFigures struct {
	Streams int     `json:"streams"`
	Bytes   float64 `json:"heap_and_stack_bytes"`
	Cores   float64 `json:"cores"`
}

// capacityInFlight measures the memory of streams in flight; the callers' and
// the stand-ins' part is in it.
func capacityInFlight(ctx context.Context, _ Env, r *Report, out *CapacityFigures) error {
	site := overheadSite()
	site.Engines[1].Slots = claimSlots
	site.Engines[1].DecodeTokenMS = 10
	d := Deployment{Name: "in-flight", Site: site}
	ofFleet, ofLoad := d.Teams(1)
	ofFleet[0].MaxInFlight = claimSlots
	f, err := fleet.Start(ctx, fleet.Config{Sites: siteOf(d), Daemons: 1, Teams: ofFleet, Change: patient})
	if err != nil {
		return err
	}
	defer f.Close()
	before := memoryNow()
	s := &streams{fleet: f, model: site.ModelService, key: ofLoad[0].Key}
	defer s.close()
	var x, y []float64
	for _, n := range []int{0, 200, 400, 800} {
		if err := s.open(ctx, n); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		u := cpuDuring(func() { err = sleep(ctx, 2*time.Second) })
		if err != nil {
			return err
		}
		figures := InFlightFigures{Streams: n, Bytes: memoryNow().inUse - before.inUse, Cores: u.cpu.Seconds() / u.wall.Seconds()}
		out.InFlight = append(out.InFlight, figures)
		r.add("in-flight streams=%d heap_and_stack=%.2fMB process_cores=%.3f", n, figures.Bytes/1e6, figures.Cores)
		x, y = append(x, float64(n)), append(y, figures.Bytes)
	}
	r.fit(out, "bytes of a process, callers and stand-ins included", "streams", x, y, targetRequests*float64(inFlightSeconds)/targetDaemons)
	return nil
}

// inFlightSeconds is how long a request of the target is in flight: 1.8 million
// tokens by 6,600 requests a second are 273 tokens, at 50 ms each.
const inFlightSeconds = 14

// patient lets requests wait for a slot.
func patient(doc *live.Document) {
	for i := range doc.Services {
		doc.Services[i].PatienceMS = int((time.Minute).Milliseconds())
		doc.Services[i].TimeoutMS = int((10 * time.Minute).Milliseconds())
	}
}

// streams holds answers open.
type streams struct {
	fleet  *fleet.Fleet
	model  string
	key    string
	opened []io.Closer
}

// open opens streams until there are n.
func (s *streams) open(ctx context.Context, n int) error {
	client := load.NewClient()
	for len(s.opened) < n {
		body := strings.NewReader(fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":100000,"stream":true}`, s.model, len(s.opened)))
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.fleet.CallerAddresses()[0]+opapi.PathCompletions, body)
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+s.key)
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			resp.Body.Close()
			return fmt.Errorf("stream %d: status %d", len(s.opened), resp.StatusCode)
		}
		s.opened = append(s.opened, resp.Body)
		go readAway(resp.Body)
	}
	return nil
}

// readAway reads a stream until it is closed, which is its only end.
func readAway(body io.Reader) { _, _ = io.Copy(io.Discard, body) }

func (s *streams) close() {
	for _, c := range s.opened {
		_ = c.Close()
	}
}

// ClaimFigures are the store's work for calls that must not run twice.
type ClaimFigures struct {
	Daemons   int     `json:"daemons"`
	Calls     int     `json:"calls"`
	Failed    int     `json:"failed"`
	Rate      float64 `json:"per_second"`
	Writes    float64 `json:"transactions_a_call"`
	Reads     float64 `json:"reads_a_call"`
	CPUMicros float64 `json:"cpu_us_process"`
}

// capacityClaims makes calls with a key of their own through the daemons.
func capacityClaims(ctx context.Context, _ Env, r *Report, out *CapacityFigures) error {
	for _, daemons := range []int{1, capacityDaemons} {
		f, err := claimOnce(ctx, daemons)
		if err != nil {
			return err
		}
		out.Claims = append(out.Claims, f)
		r.add("claim daemons=%d calls=%d failed=%d rate=%.0f/s transactions=%.3f_a_call reads=%.3f_a_call cpu=%.0fus_process",
			f.Daemons, f.Calls, f.Failed, f.Rate, f.Writes, f.Reads, f.CPUMicros)
	}
	return nil
}

func claimOnce(ctx context.Context, daemons int) (ClaimFigures, error) {
	out := ClaimFigures{Daemons: daemons, Calls: capacityClaimCount}
	site := overheadSite()
	site.Plains[0].Slots = claimSlots
	d := Deployment{Name: "claims", Site: site}
	ofFleet, ofLoad := d.Teams(1)
	ofFleet[0].MaxInFlight = claimSlots
	f, err := fleet.Start(ctx, fleet.Config{Sites: siteOf(d), Daemons: daemons, Teams: ofFleet, Change: patient})
	if err != nil {
		return out, err
	}
	defer f.Close()
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	at := sumOf(f)
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDid := sumOf(f).since(at)
	if err != nil {
		return out, err
	}
	client := load.NewClient()
	defer client.CloseIdleConnections()
	at = sumOf(f)
	var mu sync.Mutex
	busy := cpuDuring(func() {
		_, err = each(ctx, Env{Parallel: capacityClaimCallers}, make([]struct{}, capacityClaimCount), func(ctx context.Context, _ struct{}) (struct{}, error) {
			mu.Lock()
			out.Failed++
			number := out.Failed
			mu.Unlock()
			ok, err := claimedCall(ctx, client, f, site.PlainService, ofLoad[0].Key, number)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				out.Rate++
			}
			return struct{}{}, err
		})
	})
	answered := out.Rate
	out.Failed = capacityClaimCount - int(answered)
	did := sumOf(f).since(at)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	out.Rate = answered / busy.wall.Seconds()
	out.Writes = (did.writes - idleDid.writes*share) / answered
	out.Reads = (did.reads - idleDid.reads*share) / answered
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / answered
	return out, err
}

// claimedCall makes one call; false if it was refused.
func claimedCall(ctx context.Context, client *http.Client, f *fleet.Fleet, service, key string, number int) (bool, error) {
	addresses := f.CallerAddresses()
	url := "http://" + addresses[number%len(addresses)] + opapi.PathServices + service + "/stems/confirm"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(plainBody)))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set(wire.HeaderIdempotencyKey, fmt.Sprintf("claim-%d", number))
	resp, err := client.Do(req)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK, err
}
