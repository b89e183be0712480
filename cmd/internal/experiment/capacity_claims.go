package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/daemon/opapi"
	"github.com/samphirequay/samphirequay/endpoint/wire"
)

// ClaimFigures are the cost of calls that must not run twice: the table's
// transactions and reads and the processor time, each per call.
type ClaimFigures struct {
	Daemons   int     `json:"daemons"`
	Calls     int     `json:"calls"`
	Failed    int     `json:"failed"`
	Rate      float64 `json:"per_second"`
	Writes    float64 `json:"transactions_a_call"`
	Reads     float64 `json:"reads_a_call"`
	CPUMicros float64 `json:"cpu_us_process"`
}

// capacityClaims sends calls, each with its own idempotency key, through the
// daemons.
func capacityClaims(ctx context.Context, _ Env, r *Report, out *CapacityFigures) error {
	for _, daemons := range []int{1, capacityDaemons} {
		f, err := claimOnce(ctx, daemons)
		if err != nil {
			return err
		}
		out.Claims = append(out.Claims, f)
		r.addLine("claim daemons=%d calls=%d failed=%d rate=%.0f/s transactions=%.3f_a_call reads=%.3f_a_call cpu=%.0fus_process",
			f.Daemons, f.Calls, f.Failed, f.Rate, f.Writes, f.Reads, f.CPUMicros)
	}
	return nil
}

func claimOnce(ctx context.Context, daemons int) (ClaimFigures, error) {
	out := ClaimFigures{Daemons: daemons, Calls: capacityClaimCount}
	site := overheadSite()
	site.Plains[0].Slots = claimSlots
	d := Deployment{Name: "claims", Site: site}
	fleetTeams, loadTeams := d.Teams(1)
	fleetTeams[0].MaxInFlight = claimSlots
	f, err := fleet.Start(ctx, fleet.Config{Sites: sitesOf(d), Daemons: daemons, Teams: fleetTeams, AdjustDocument: raiseTimeouts})
	if err != nil {
		return out, err
	}
	defer f.Close()
	if err := sleep(ctx, idleSettle); err != nil {
		return out, err
	}
	start := totalsOf(f)
	idle := cpuDuring(func() { err = sleep(ctx, idleTime) })
	idleDelta := totalsOf(f).since(start)
	if err != nil {
		return out, err
	}
	client := load.NewClient()
	defer client.CloseIdleConnections()
	start = totalsOf(f)
	var mu sync.Mutex
	busy := cpuDuring(func() {
		_, err = each(ctx, Env{Parallel: capacityClaimCallers}, make([]struct{}, capacityClaimCount), func(ctx context.Context, _ struct{}) (struct{}, error) {
			mu.Lock()
			out.Failed++
			number := out.Failed
			mu.Unlock()
			ok, err := claimedCall(ctx, client, f, site.PlainService, loadTeams[0].Key, number)
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
	delta := totalsOf(f).since(start)
	share := busy.wall.Seconds() / idle.wall.Seconds()
	out.Rate = answered / busy.wall.Seconds()
	out.Writes = (delta.writes - idleDelta.writes*share) / answered
	out.Reads = (delta.reads - idleDelta.reads*share) / answered
	out.CPUMicros = (busy.cpu.Seconds() - idle.cpu.Seconds()*share) * 1e6 / answered
	return out, err
}

// claimedCall makes one call; it returns false if the status is not 200.
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
