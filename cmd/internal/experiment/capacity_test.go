package experiment

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
)

func TestFitLine(t *testing.T) {
	is := is.New(t)
	l := fitLine([]float64{9, 30, 60}, []float64{118, 160, 220})
	is.Equal(l.At(420), 940.0)
	is.Equal(l.Slope, 2.0)
}

// TestCapacityDocumentIsAccepted checks that a daemon would accept the measured
// configuration, split into changes of the permitted size.
func TestCapacityDocumentIsAccepted(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(targetEndpoints, targetTeams, targetModels)
	is.Equal(len(live.Check(doc)), 0)
	now := &live.Document{}
	for _, part := range splitChange(fullChange(doc)) {
		next, faults := revision.Apply(now, part)
		is.Equal(len(faults), 0)
		now = next
	}
	is.Equal(len(now.Endpoints), targetEndpoints)
	is.Equal(len(live.NewIndex(now).Endpoints(doc.Pools[0].Name)), 30)
	_, faults := revision.Apply(now, capacityChange(doc))
	is.Equal(len(faults), 0)
}

// TestRecordFollowerDetectsARefusal guards against measuring a change that the
// follower refuses as if it had been applied.
func TestRecordFollowerDetectsARefusal(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(22, 4, 1)
	l := newRecordFollower(doc)
	l.learn(capacityChange(doc), 1)
	is.NoErr(l.check())
	missing := capacityChange(doc)
	missing.Ops[0].Name = "no such endpoint"
	l.learn(missing, 2)
	is.True(l.check() != nil)
}

// TestScheduleStepGrants checks that the measured operation ends in a grant each
// time; otherwise the experiment would measure refusals.
func TestScheduleStepGrants(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(22, 4, 1)
	granted := 0
	step := scheduleStepWith(doc, func() { granted++ })
	for i := range 200 {
		step(i)
	}
	is.Equal(granted, 200)
}

// TestMembersDetectADeath kills one of three members, each with its own socket,
// and waits until both survivors report its death.
func TestMembersDetectADeath(t *testing.T) {
	for _, mode := range membershipModes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			g, err := newCluster(mode, 1)
			is.NoErr(err)
			defer g.close()
			is.NoErr(g.join(context.Background(), 3))
			victim := g.all[1]
			g.dead[victim.self.Daemon] = time.Now()
			victim.kill()
			for range 2 {
				is.Equal((<-g.deaths).of, victim.self.Daemon)
			}
			is.True(g.converged())
		})
	}
}
