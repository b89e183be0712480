package soak

import (
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// takeUpPolicy is how callers go on with streams that have broken off.
type takeUpPolicy struct {
	// tries is how often a caller takes one stream up, pause its wait before each time.
	tries int
	pause time.Duration
	// patience is how long callers wait for one response, total for all of a stream.
	patience, total time.Duration
}

// Callers of most scenarios try again at once; those of releases also wait for daemons that
// start again, for as long as their first request may take.
var (
	quickTakeUps   = takeUpPolicy{tries: 3, patience: callerTimeout, total: 4 * callerTimeout}
	patientTakeUps = takeUpPolicy{tries: 40, pause: 250 * time.Millisecond, patience: 10 * time.Second, total: 10 * time.Second}
)

// takeUpsOf returns how the callers of a scenario take streams up.
func takeUpsOf(s Scenario) takeUpPolicy {
	switch s {
	case Restarts:
		return takeUpPolicy{patience: callerTimeout}
	case Releases, Lagging:
		return patientTakeUps
	default:
		return quickTakeUps
	}
}

// takeUp goes on with a stream that has broken off, at random daemons.
func (c *caller) takeUp(o outcome, processes []*process) {
	if !o.kind.stream || !o.kind.repeatable {
		return
	}
	first, after, end := o.id, 0, o.sent.Add(c.takeUps.total)
	counts, wentOn := false, false
	for range c.takeUps.tries {
		after += platformtest.CountEvents(o.answer.Body)
		left := time.Until(end) - c.takeUps.pause
		if o.answered() || after == 0 || after == streamSize || left <= 0 {
			break
		}
		time.Sleep(c.takeUps.pause)
		p := processes[c.rng.IntN(len(processes))]
		software := o.software[0]
		served := c.simulation.serves(software)
		o = c.send(p, outcome{
			id: c.nextID(), kind: o.kind, after: after, resumes: first,
			patience: min(c.takeUps.patience, left), software: []string{software},
		})
		c.checker.check(o)
		c.versions.recordTakeUp(o.answered())
		if served && o.countsForShare() && c.simulation.serves(software) {
			counts = true
			wentOn = wentOn || platformtest.CountEvents(o.answer.Body) > 0
		}
	}
	if counts {
		c.versions.recordTakenUp(wentOn)
	}
}
