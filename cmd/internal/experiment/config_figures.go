package experiment

import (
	"context"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// settlePollInterval is the time between two checks whether all daemons have the
// newest revision.
const settlePollInterval = 100 * time.Millisecond

// settle waits until a daemon with the newest accepted revision runs at every
// member, at most configSettle.
func (c *changeDriver) settle(ctx context.Context) error {
	newest := c.newest()
	ctx, cancel := context.WithTimeout(ctx, configSettle)
	defer cancel()
	for !c.watch.allHave(newest, c.site.members()) {
		if sleep(ctx, settlePollInterval) != nil {
			// The figures count the revisions that are still missing.
			return nil
		}
	}
	return nil
}

// allHave reports whether a daemon with at least the given revision runs at every
// member.
func (w *configWatcher) allHave(revision uint64, members int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	have := 0
	for _, s := range w.lifetimes {
		if !s.ended && s.newest >= revision {
			have++
		}
	}
	return have == members
}

// figures summarizes the run.
func (c *changeDriver) figures(ctx context.Context) ConfigFigures {
	out := c.out
	out.Mode, out.Daemons = c.site.mode(), c.site.members()
	out.Accepted, out.Resent = len(c.accepted), c.resent
	out.LostAccepted = c.countLost(ctx)
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	out.Reverted, out.HalfApplied = c.watch.reverts, c.watch.halfApplied
	for _, phase := range []string{phaseCalm, phaseReplacing, phaseSlow, phaseLossy, phaseDown, phaseRaces} {
		p, never := c.phaseFigures(phase)
		out.Phases = append(out.Phases, p)
		out.NeverInForce += never
	}
	c.countRejoins(&out)
	return out
}

// phaseFigures summarizes the times of the changes of a phase. It includes the
// daemon processes that started before the acceptance and had the change in
// force before they ended. The second result counts the cases in which a process
// is still running without the change.
func (c *changeDriver) phaseFigures(phase string) (PhaseFigures, int) {
	out := PhaseFigures{Phase: phase}
	times := hdrhistogram.New(1, time.Minute.Milliseconds(), 3)
	never := 0
	for _, a := range c.accepted {
		if a.phase != phase {
			continue
		}
		out.Changes++
		for _, s := range c.watch.lifetimes {
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
					phase, a.revision, s.member, took, c.sinceStart(a.at), c.sinceStart(s.from), c.sinceStart(s.to), s.ended)
			}
			// The histogram ends at one minute; longer times count as never.
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

// sinceStart returns the offset of a time from the start of the run, for the
// progress output.
func (c *changeDriver) sinceStart(t time.Time) time.Duration {
	return t.Sub(c.watch.lifetimes[0].from).Round(time.Millisecond)
}

// countRejoins determines, for each daemon process that started during the run,
// the time from its first reply until the changes accepted before this reply were
// in force there.
func (c *changeDriver) countRejoins(out *ConfigFigures) {
	start := c.watch.lifetimes[0].from
	for _, s := range c.watch.lifetimes {
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

// countLost counts accepted changes that are missing in a daemon's history, occur
// twice or have another revision there, and accepted changes that are in no
// history. It also counts the daemons whose history cannot be read or at which the
// last accepted change is not in force. A daemon that started from a snapshot has
// no history before this snapshot.
func (c *changeDriver) countLost(ctx context.Context) int {
	lost := 0
	anywhere := make(map[string]bool)
	for member := range c.site.members() {
		at := rawOperator{address: c.site.address(member), key: c.site.key()}
		history, err := at.history(ctx, 0)
		if err != nil {
			c.env.logf("config history of member %d: %v", member, err)
			lost++
			continue
		}
		lost += c.countMissing(history, anywhere)
		doc, err := at.config(ctx)
		if err != nil || markerOf(doc, 0) != c.lastNumber() {
			c.env.logf("config member %d: marker %d, want %d: %v", member, markerOf(doc, 0), c.lastNumber(), err)
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

// countMissing counts the accepted changes that a history does not hold exactly
// once and at their revision, from the revision of its first entry on. It adds the
// ids in the history to anywhere.
func (c *changeDriver) countMissing(h opapi.History, anywhere map[string]bool) int {
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

// lastNumber returns the marker value of the newest accepted change.
func (c *changeDriver) lastNumber() int {
	var last acceptedChange
	for _, a := range c.accepted {
		if a.revision > last.revision {
			last = a
		}
	}
	return last.number
}
