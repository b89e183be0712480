package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirequay/samphirequay/core/entry"
	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/core/rendezvous"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/core/sched"
)

// capacityDocument returns a configuration with the given numbers of endpoints,
// teams and models. Each model has a service, and a pool with an equal share of
// the endpoints.
func capacityDocument(endpoints, teams, models int) *live.Document {
	doc := &live.Document{Revision: 1}
	for i := range models {
		name := modelName(i)
		doc.Pools = append(doc.Pools, live.Pool{Name: id.Pool(name), EndpointSelector: live.LabelModel + "=" + name, Model: name, Version: "1"})
		doc.Services = append(doc.Services, live.Service{Name: id.Service(name), Type: live.ServiceModel, Pool: id.Pool(name)})
	}
	for i := range teams {
		name := fmt.Sprintf("team-%04d", i)
		doc.Teams = append(doc.Teams, live.Team{Name: id.Team(name), KeyHashes: []string{live.HashKey(name)}, MaxInFlight: 4096})
	}
	for i := range endpoints {
		role := live.RolePrefill
		if i/models%2 == 1 {
			role = live.RoleDecode
		}
		doc.Endpoints = append(doc.Endpoints, live.Endpoint{
			Name:    id.Endpoint(fmt.Sprintf("runner-%04d", i)),
			Labels:  live.Labels{live.LabelRole: string(role), live.LabelModel: modelName(i % models)},
			Address: fmt.Sprintf("10.%d.%d.%d:8000", i/62500, i/250%250, i%250+1),
			Domain:  domainName(i % targetDomains), Slots: 4, ChecksFencing: true,
		})
	}
	for from := range targetDomains {
		for to := range targetDomains {
			doc.Links = append(doc.Links, live.Link{
				Name: fmt.Sprintf("link-%d-%d", from, to), From: domainName(from), To: domainName(to), BytesPerSecond: 5e9,
			})
		}
	}
	return live.Normalize(doc)
}

func modelName(i int) string        { return fmt.Sprintf("model-%02d", i) }
func domainName(i int) id.Domain    { return id.Domain(fmt.Sprintf("domain-%d", i)) }
func memberName(i int) id.Daemon    { return id.Daemon(fmt.Sprintf("host-%03d", i)) }
func capacityRand(n int) *rand.Rand { return rand.New(rand.NewPCG(1, uint64(n))) }

// capacityCore measures operations of the core at sizes from the current one (22
// endpoints, 4 teams, 1 model) up to the target.
func capacityCore(_ context.Context, _ Env, r *Report, out *CapacityFigures) error {
	for _, s := range []struct{ endpoints, teams, models int }{
		{22, 4, 1}, {22, 900, 1}, {300, 900, 1}, {900, 900, 1}, {900, 900, 31},
	} {
		doc := capacityDocument(s.endpoints, s.teams, s.models)
		size := fmt.Sprintf("endpoints=%d teams=%d models=%d", s.endpoints, s.teams, s.models)
		r.measureOp(out, "schedule-request", size, scheduleStep(doc))
		if s.endpoints != 22 || s.teams != 4 {
			continue
		}
		if err := r.configOps(out, size, doc); err != nil {
			return err
		}
	}
	size := fmt.Sprintf("endpoints=%d teams=%d models=%d", targetEndpoints, targetTeams, targetModels)
	if err := r.configOps(out, size, capacityDocument(targetEndpoints, targetTeams, targetModels)); err != nil {
		return err
	}
	for _, n := range []int{9, 120, targetDaemons} {
		r.memberOps(out, n)
	}
	return nil
}

// scheduleStep returns an operation that takes a request through all stages in a
// pool's ledger: the want with its grant, and the progress of its phases. Half
// of the slots are in use.
func scheduleStep(doc *live.Document) func(int) { return scheduleStepWith(doc, func() {}) }

// scheduleStepWith is scheduleStep with a callback for each grant.
func scheduleStepWith(doc *live.Document, granted func()) func(int) {
	pool := doc.Pools[0].Name
	l := sched.NewLedger(sched.Options{
		Pool: pool, Self: id.Process{Daemon: "owner", Incarnation: 1}, Seed: 1, Settle: 1,
		Violation: func(name, detail string) { panic(name + ": " + detail) },
	})
	l.Configure(0, doc)
	l.Tick(2)
	now := time.Second
	keep := len(doc.Endpoints) / len(doc.Pools)
	var inUse []sched.Grant
	return func(i int) {
		now += 100 * time.Microsecond
		if len(inUse) >= keep {
			finish(l, now, inUse[0])
			inUse = append(inUse[:0], inUse[1:]...)
		}
		for _, a := range l.Want(now, capacityWant(doc, i)) {
			if a.Grant == nil {
				continue
			}
			for _, p := range []sched.Phase{sched.PhasePrefilling, sched.PhaseTransferring, sched.PhaseDecoding} {
				l.Progress(now, sched.Progress{Request: a.Grant.Request, Reservation: a.Grant.Reservation, Phase: p})
			}
			inUse = append(inUse, *a.Grant)
			granted()
		}
	}
}

func finish(l sched.Scheduler, now time.Duration, g sched.Grant) {
	l.Progress(now, sched.Progress{Request: g.Request, Reservation: g.Reservation, Phase: sched.PhaseDone, OutputTokens: 20})
}

// capacityWant returns a request with a prompt of 2,000 tokens, which has 31
// whole blocks.
func capacityWant(doc *live.Document, i int) sched.Want {
	w := sched.Want{
		Request: id.Request(fmt.Sprintf("01HZX%021d", i)), Team: doc.Teams[i%len(doc.Teams)].Name,
		Service: doc.Services[0].Name, Pool: doc.Pools[0].Name, From: id.Process{Daemon: memberName(7), Incarnation: 1764700000000000000},
		PromptTokens: 2000, OutputTokens: 200, Priority: 5, Domain: domainName(1), Attempt: 1,
		Fingerprint: "0123456789abcdef0123456789abcdef",
	}
	for b := range uint64(wantBlocks) {
		w.Prefix = append(w.Prefix, (uint64(i%100)+1)*0x9e3779b97f4a7c15+b)
	}
	return w
}

// wantBlocks is the number of whole blocks in a prompt of 2,000 tokens.
const wantBlocks = 31

// configOps measures the operations that a daemon performs for each change of the
// configuration.
func (r *Report) configOps(out *CapacityFigures, size string, doc *live.Document) error {
	change := capacityChange(doc)
	r.measureOp(out, "config-propose", size, func(int) {
		// The daemon that receives the proposal validates the whole document.
		if _, faults := revision.Apply(doc, change); len(faults) > 0 {
			panic(faults[0].Error())
		}
	})
	r.measureOp(out, "config-index", size, func(int) { live.NewIndex(doc) })
	follower := newRecordFollower(doc)
	r.measureOp(out, "config-learn", size, func(i int) { follower.learn(change, i) })
	l := sched.NewLedger(sched.Options{Pool: doc.Pools[0].Name, Self: id.Process{Daemon: "owner", Incarnation: 1}, Settle: 1, Violation: func(string, string) {}})
	now := time.Duration(0)
	r.measureOp(out, "config-schedule", size, func(int) {
		now += time.Millisecond
		l.Configure(now, doc)
	})
	return follower.check()
}

// memberOps measures the membership view and the operations that iterate over
// all members.
func (r *Report) memberOps(out *CapacityFigures, n int) {
	size := fmt.Sprintf("daemons=%d", n)
	m := member.New(member.DefaultConfig(member.Partial), memberEntry(0), 0, capacityRand(n))
	now := time.Duration(0)
	beat := uint64(0)
	receive := func(i int) {
		beat++
		from := memberEntry(1 + i%(n-1))
		from.Beat = beat
		m.Receive(now, member.Message{Kind: member.Probe, Seq: beat, From: from})
	}
	for i := range n - 1 {
		receive(i)
	}
	r.measureOp(out, "member-receive", size, receive)
	r.measureOp(out, "member-view", size, func(int) { m.View() })
	var names []id.Daemon
	var candidates []entry.Candidate
	for i := range n {
		names = append(names, memberName(i))
		candidates = append(candidates, entry.Candidate{Daemon: memberName(i), Domain: domainName(i % targetDomains), Address: memberEntry(i).CallerAddress, State: member.Alive})
	}
	r.measureOp(out, "owner-of-a-pool", size, func(i int) { rendezvous.Owner(modelName(i%targetModels), names) })
	rng := capacityRand(n)
	r.measureOp(out, "entry-answer", size, func(int) { entry.NewAnswer(entry.DefaultConfig(), candidates, names[0], rng) })
}

func memberEntry(i int) member.Entry {
	return member.Entry{
		Process: id.Process{Daemon: memberName(i), Incarnation: 1764700000000000000}, State: member.Alive,
		Domain: domainName(i % targetDomains), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:443", i/250, i%250+1), Revision: 1234567, InFlight: 40,
	}
}
