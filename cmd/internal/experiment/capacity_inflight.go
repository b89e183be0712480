package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/fleet"
	"github.com/samphirequay/samphirequay/cmd/internal/load"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// InFlightFigures are the memory and processor use of open streams.
type InFlightFigures struct {
	Streams int     `json:"streams"`
	Bytes   float64 `json:"heap_and_stack_bytes"`
	Cores   float64 `json:"cores"`
	// Received is the rate at which callers received the streams, in bytes per
	// second.
	Received float64 `json:"received_bytes_per_second"`
	Events   float64 `json:"events_per_second"`
}

// capacityInFlight measures the memory of streams in flight. The result includes
// the memory of the callers and of the stand-ins.
func capacityInFlight(ctx context.Context, _ Env, r *Report, out *CapacityFigures) error {
	site := overheadSite()
	site.Engines[1].Slots = claimSlots
	site.Engines[1].DecodeTokenMS = 10
	d := Deployment{Name: "in-flight", Site: site}
	fleetTeams, loadTeams := d.Teams(1)
	fleetTeams[0].MaxInFlight = claimSlots
	f, err := fleet.Start(ctx, fleet.Config{Sites: sitesOf(d), Daemons: 1, Teams: fleetTeams, AdjustDocument: raiseTimeouts})
	if err != nil {
		return err
	}
	defer f.Close()
	before := memoryNow()
	s := &streams{fleet: f, model: site.ModelService, key: loadTeams[0].Key}
	defer s.close()
	var x, y []float64
	for _, n := range []int{0, 80, 160, 240} {
		if err := s.open(ctx, n); err != nil {
			return err
		}
		if err := sleep(ctx, time.Second); err != nil {
			return err
		}
		got, events := s.received.bytes.Load(), s.received.lines.Load()
		u := cpuDuring(func() { err = sleep(ctx, 2*time.Second) })
		seconds := u.wall.Seconds()
		if err != nil {
			return err
		}
		figures := InFlightFigures{Streams: n, Bytes: memoryNow().inUse - before.inUse, Cores: u.cpu.Seconds() / seconds}
		figures.Received = float64(s.received.bytes.Load()-got) / seconds
		figures.Events = float64(s.received.lines.Load()-events) / seconds / linesPerEvent
		out.InFlight = append(out.InFlight, figures)
		r.addLine("in-flight streams=%d heap_and_stack=%.2fMB process_cores=%.3f events=%.0f/s received=%.0fB/s",
			n, figures.Bytes/1e6, figures.Cores, figures.Events, figures.Received)
		x, y = append(x, float64(n)), append(y, figures.Bytes)
	}
	r.addFit(out, "bytes of a process, callers and stand-ins included", "streams", x, y, targetRequests*float64(inFlightSeconds)/targetDaemons)
	return nil
}

// inFlightSeconds is how long a request is in flight at the target size:
// 1.8 million tokens per second divided by 6,600 requests per second give 273
// tokens per request, at 50 ms each.
const inFlightSeconds = 14

// raiseTimeouts sets long limits for waiting and for the whole request, so that
// requests wait for a slot.
func raiseTimeouts(doc *live.Document) {
	for i := range doc.Services {
		doc.Services[i].PatienceMS = int((time.Minute).Milliseconds())
		doc.Services[i].TimeoutMS = int((10 * time.Minute).Milliseconds())
	}
}

// linesPerEvent is the number of lines of an event in a stream: the id, the data
// and an empty line.
const linesPerEvent = 3

// streams holds the open response bodies of streamed completions.
type streams struct {
	received counter
	fleet    *fleet.Fleet
	model    string
	key      string
	opened   []io.Closer
}

// open opens streams until there are n.
func (s *streams) open(ctx context.Context, n int) error {
	client := load.NewClient()
	for len(s.opened) < n {
		body := strings.NewReader(fmt.Sprintf(`{"model":%q,"prompt":"stream %d","max_tokens":4000,"stream":true}`, s.model, len(s.opened)))
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
		go s.discard(resp.Body)
	}
	return nil
}

// discard reads and counts a stream until close closes it. The error is expected
// and dropped.
func (s *streams) discard(body io.Reader) { _, _ = io.Copy(&s.received, body) }

func (s *streams) close() {
	for _, c := range s.opened {
		_ = c.Close()
	}
}
