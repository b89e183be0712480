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

// TestCapacityDocumentIsAccepted: what is measured must be a configuration that
// a daemon would take, in changes of the size that it takes.
func TestCapacityDocumentIsAccepted(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(targetEndpoints, targetTeams, targetModels)
	is.Equal(len(live.Check(doc)), 0)
	now := &live.Document{}
	for _, part := range parts(wholeChange(doc)) {
		next, faults := revision.Apply(now, part)
		is.Equal(len(faults), 0)
		now = next
	}
	is.Equal(len(now.Endpoints), targetEndpoints)
	is.Equal(len(live.NewIndex(now).Endpoints(doc.Pools[0].Name)), 30)
	_, faults := revision.Apply(now, capacityChange(doc))
	is.Equal(len(faults), 0)
}

// TestLearningNoticesARefusal: a change that does not apply must not be
// measured as one that does.
func TestLearningNoticesARefusal(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(22, 4, 1)
	l := newLearning(doc)
	l.learn(capacityChange(doc), 1)
	is.NoErr(l.check())
	missing := capacityChange(doc)
	missing.Ops[0].Name = "no such endpoint"
	l.learn(missing, 2)
	is.True(l.check() != nil)
}

// TestSchedulingGrants: the step that is measured must end in grants, or it
// would measure refusals.
func TestSchedulingGrants(t *testing.T) {
	is := is.New(t)
	doc := capacityDocument(22, 4, 1)
	granted := 0
	step := schedulingWith(doc, func() { granted++ })
	for i := range 200 {
		step(i)
	}
	is.Equal(granted, 200)
}

// TestMembersSeeADeath: three members on sockets of their own; one is killed.
func TestMembersSeeADeath(t *testing.T) {
	for _, mode := range membershipModes {
		t.Run(string(mode), func(t *testing.T) {
			is := is.New(t)
			g, err := newGathering(mode, 1)
			is.NoErr(err)
			defer g.close()
			is.NoErr(g.join(context.Background(), 3))
			victim := g.all[1]
			g.dead[victim.self.Daemon] = time.Now()
			victim.kill()
			for range 2 {
				is.Equal((<-g.deaths).of, victim.self.Daemon)
			}
			is.True(g.met())
		})
	}
}
