package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// settleLook is the time between looks at whether all daemons have all.
const settleLook = 100 * time.Millisecond

// settle waits until all daemons that run have the newest accepted revision.
func (c *changing) settle(ctx context.Context) error {
	newest := c.newest()
	ctx, cancel := context.WithTimeout(ctx, configSettle)
	defer cancel()
	for !c.watch.allHave(newest, c.site.places()) {
		if sleep(ctx, settleLook) != nil {
			// What is missing shows in the figures.
			return nil
		}
	}
	return nil
}

// allHave tells whether at all places a daemon runs that has a revision.
func (w *watch) allHave(revision uint64, places int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	have := 0
	for _, s := range w.stays {
		if !s.ended && s.newest >= revision {
			have++
		}
	}
	return have == places
}

// figures sums up.
func (c *changing) figures(ctx context.Context) ConfigFigures {
	out := c.out
	out.Mode, out.Daemons = c.site.mode(), c.site.places()
	out.Accepted, out.Resent = len(c.accepted), c.resent
	out.LostAccepted = c.lost(ctx)
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	out.Reverted, out.HalfApplied = c.watch.revert, c.watch.half
	for _, phase := range []string{phaseCalm, phaseReplacing, phaseSlow, phaseLossy, phaseDown, phaseRaces} {
		p, never := c.phaseFigures(phase)
		out.Phases = append(out.Phases, p)
		out.NeverInForce += never
	}
	c.rejoins(&out)
	return out
}

// phaseFigures takes the times of a phase's changes at the daemons that ran
// from before the acceptance until the change was in force there. It counts
// apart those that go on without it.
func (c *changing) phaseFigures(phase string) (PhaseFigures, int) {
	out := PhaseFigures{Phase: phase}
	times := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	never := 0
	for _, a := range c.accepted {
		if a.phase != phase {
			continue
		}
		out.Changes++
		for _, s := range c.watch.stays {
			if !s.from.Before(a.at) || s.first >= a.revision {
				continue
			}
			at, ok := s.inForce[a.revision]
			if !ok && !s.ended {
				never++
			}
			if !ok {
				continue
			}
			took := max(at.Sub(a.at), 0)
			out.Samples++
			if took > configLimit {
				out.OverLimit++
				c.env.logf("config late phase=%s revision=%d place=%d took=%s accepted_at=%s stay=%s..%s ended=%t",
					phase, a.revision, s.place, took, c.since(a.at), c.since(s.from), c.since(s.to), s.ended)
			}
			// Longer than the histogram's minute is counted as never.
			if times.RecordValue(max(took.Milliseconds(), 1)) != nil {
				never++
			}
		}
	}
	out.P50MS = float64(times.ValueAtQuantile(50))
	out.P99MS = float64(times.ValueAtQuantile(99))
	out.MaxMS = float64(times.Max())
	return out, never
}

// since is a time in the run, for the progress.
func (c *changing) since(t time.Time) time.Duration {
	return t.Sub(c.watch.stays[0].from).Round(time.Millisecond)
}

// rejoins takes, for each daemon that was started during the run, the time
// until it had what was accepted before its first answer.
func (c *changing) rejoins(out *ConfigFigures) {
	start := c.watch.stays[0].from
	for _, s := range c.watch.stays {
		if s.ended {
			out.Ended++
		}
		if s.from.Sub(start) < time.Second {
			continue
		}
		var before uint64
		for _, a := range c.accepted {
			if a.at.Before(s.from) {
				before = max(before, a.revision)
			}
		}
		at, ok := s.inForce[before]
		switch {
		case s.first >= before:
			out.Rejoined++
		case ok:
			out.Rejoined++
			out.RejoinMaxMS = max(out.RejoinMaxMS, float64(at.Sub(s.from).Milliseconds()))
		case !s.ended:
			out.NeverInForce++
		}
	}
}

// lost counts the accepted changes that the daemons' histories lack, or hold
// twice or at another revision, and the daemons at which another change than
// the last accepted one is in force. A daemon that began with a snapshot has no
// history before it.
func (c *changing) lost(ctx context.Context) int {
	lost := 0
	anywhere := make(map[string]bool)
	for place := range c.site.places() {
		at := rawOperator{address: c.site.address(place), key: c.site.key()}
		history, err := at.history(ctx, 0)
		if err != nil {
			c.env.logf("config history of place %d: %v", place, err)
			lost++
			continue
		}
		lost += c.missingIn(history, anywhere)
		doc, err := at.config(ctx)
		if err != nil || markerOf(doc, 0) != c.lastNumber() {
			c.env.logf("config place %d: marker %d, want %d: %v", place, markerOf(doc, 0), c.lastNumber(), err)
			lost++
		}
	}
	for _, a := range c.accepted {
		if !anywhere[a.id] {
			lost++
		}
	}
	return lost
}

// missingIn counts what a history lacks behind its first entry.
func (c *changing) missingIn(h opapi.History, anywhere map[string]bool) int {
	if len(h.Entries) == 0 {
		return 0
	}
	at := make(map[string][]uint64, len(h.Entries))
	for _, e := range h.Entries {
		at[e.ID] = append(at[e.ID], e.Revision)
		anywhere[e.ID] = true
	}
	missing := 0
	for _, a := range c.accepted {
		if a.revision >= h.Entries[0].Revision && !slices.Equal(at[a.id], []uint64{a.revision}) {
			missing++
		}
	}
	return missing
}

// lastNumber is the marker of the newest accepted change.
func (c *changing) lastNumber() int {
	var last acceptedChange
	for _, a := range c.accepted {
		if a.revision > last.revision {
			last = a
		}
	}
	return last.number
}
