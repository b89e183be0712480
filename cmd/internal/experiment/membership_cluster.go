package experiment

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/member"
	"github.com/samphirequay/samphirequay/daemon/keys"
)

const (
	// The time between the starts of two members is joinPause, plus joinPauseEach
	// for each member that has been started. If all members started at the same
	// time on one host, the experiment would measure their handshakes.
	joinPause     = 20 * time.Millisecond
	joinPauseEach = 3 * time.Millisecond
	// joinTimeout bounds the wait until every member sees all others.
	joinTimeout = 3 * time.Minute
	// joinPollInterval is the time between two checks of all members.
	joinPollInterval = 250 * time.Millisecond
	// settleTime is the wait after the join, in which each connection discovers
	// its packet size. After it, traffic is measured in windows of steadyWindow,
	// at most maxSteadyWindows of them. Membership updates about the join have
	// been disseminated once the traffic of a window falls by less than a tenth.
	settleTime       = 15 * time.Second
	steadyWindow     = 5 * time.Second
	maxSteadyWindows = 24
	// detectTimeout bounds the wait until all survivors report a killed member as
	// dead.
	detectTimeout = 30 * time.Second
	// seedCount is the number of the earliest members that each new member gets as
	// seeds.
	seedCount = 3
	// deathsBuffer is the number of death reports that can wait to be read.
	deathsBuffer = 1 << 16
)

// cluster is a set of participants in this process. dead holds the killed ones.
type cluster struct {
	mode        member.Mode
	seed        uint64
	ca          *keys.DevCA
	all         []*participant
	dead        map[id.Daemon]time.Time
	deaths      chan deathReport
	falseDeaths int
}

func newCluster(mode member.Mode, seed uint64) (*cluster, error) {
	ca, err := keys.NewDevCA(time.Now())
	if err != nil {
		return nil, err
	}
	return &cluster{mode: mode, seed: seed, ca: ca, dead: map[id.Daemon]time.Time{}, deaths: make(chan deathReport, deathsBuffer)}, nil
}

func (g *cluster) close() {
	for _, p := range g.all {
		p.close()
	}
}

// join starts n members one after the other and waits until every member sees all
// others.
func (g *cluster) join(ctx context.Context, n int) error {
	for i := range n {
		name := id.Daemon(fmt.Sprintf("host-%03d", i))
		domain := id.Domain(fmt.Sprintf("domain-%d", i%membershipDomains))
		p, err := startParticipant(g, name, domain, g.seeds())
		if err != nil {
			return err
		}
		g.all = append(g.all, p)
		if err := sleep(ctx, joinPause+time.Duration(i)*joinPauseEach); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	for !g.converged() {
		if err := sleep(ctx, joinPollInterval); err != nil {
			return fmt.Errorf("%d members do not all see each other: %w", n, err)
		}
	}
	return nil
}

// seeds returns the earliest members.
func (g *cluster) seeds() []member.Host {
	var out []member.Host
	for _, p := range g.all[:min(seedCount, len(g.all))] {
		out = append(out, member.Host{Name: p.self.Daemon, Address: p.transport.Address()})
	}
	return out
}

// converged reports whether every member that was not killed sees all such members.
func (g *cluster) converged() bool {
	for _, p := range g.all {
		if _, killed := g.dead[p.self.Daemon]; !killed && p.sees() != len(g.all)-len(g.dead) {
			return false
		}
	}
	return true
}

// measureIdle measures the traffic and processor use of the members at idle.
func (g *cluster) measureIdle(ctx context.Context, out *MembershipFigures) error {
	if err := g.awaitSteady(ctx); err != nil {
		return err
	}
	out.FalseInJoin = g.takeFalseDeaths()
	before := g.traffic()
	var err error
	u := cpuDuring(func() { err = sleep(ctx, membershipSteady) })
	after := g.traffic()
	daemonSeconds := u.wall.Seconds() * float64(len(g.all))
	out.WireBytes = (after.wire - before.wire) / daemonSeconds
	out.FrameBytes = (after.frames - before.frames) / daemonSeconds
	out.Packets = (after.packets - before.packets) / daemonSeconds
	out.Messages = (after.messages - before.messages) / daemonSeconds
	out.Connections = after.connections / float64(len(g.all))
	out.Cores = u.cpu.Seconds() / daemonSeconds
	return err
}

// awaitSteady waits until the updates about the join have been disseminated.
func (g *cluster) awaitSteady(ctx context.Context) error {
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	last := math.Inf(1)
	for range maxSteadyWindows {
		at := g.traffic().wire
		if err := sleep(ctx, steadyWindow); err != nil {
			return err
		}
		sent := g.traffic().wire - at
		if sent > 0.9*last {
			return nil
		}
		last = sent
	}
	return nil
}

// sentTraffic is the traffic that all members have sent, and the number of their
// connections.
type sentTraffic struct{ wire, frames, packets, messages, connections float64 }

func (g *cluster) traffic() sentTraffic {
	var sum sentTraffic
	for _, p := range g.all {
		w := p.transport.Wire()
		sum.wire += float64(w.SentBytes)
		sum.packets += float64(w.SentPackets)
		sum.connections += float64(w.Connections)
		for _, k := range p.transport.Traffic() {
			sum.frames += float64(k.SentBytes)
			sum.messages += float64(k.Sent)
		}
	}
	return sum
}

// killMembers kills members one after the other, and measures the time until each
// survivor reports the killed member as dead.
func (g *cluster) killMembers(ctx context.Context, out *MembershipFigures) error {
	times := hdrhistogram.New(1, detectTimeout.Milliseconds(), 3)
	rng := rand.New(rand.NewPCG(g.seed, uint64(len(g.all))))
	for range membershipKills {
		// A random delay avoids a fixed phase relative to the members' periods.
		if err := sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))); err != nil {
			return err
		}
		if err := g.killMember(ctx, rng, times, out); err != nil {
			return err
		}
	}
	out.FalseDeaths = g.takeFalseDeaths()
	out.DetectP50 = float64(times.ValueAtQuantile(50)) / 1e3
	out.DetectP99 = float64(times.ValueAtQuantile(99)) / 1e3
	out.DetectMax = float64(times.Max()) / 1e3
	return nil
}

func (g *cluster) killMember(ctx context.Context, rng *rand.Rand, times *hdrhistogram.Histogram, out *MembershipFigures) error {
	var alive []*participant
	for _, p := range g.all {
		if _, killed := g.dead[p.self.Daemon]; !killed {
			alive = append(alive, p)
		}
	}
	victim := alive[rng.IntN(len(alive))]
	g.drain()
	at := time.Now()
	g.dead[victim.self.Daemon] = at
	victim.kill()
	missing := len(alive) - 1
	timeout := time.NewTimer(detectTimeout)
	defer timeout.Stop()
	for missing > 0 {
		select {
		case d := <-g.deaths:
			if d.of != victim.self.Daemon {
				g.count(d)
				continue
			}
			missing--
			if err := times.RecordValue(max(d.at.Sub(at).Milliseconds(), 1)); err != nil {
				return err
			}
		case <-timeout.C:
			out.Undetected += missing
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// takeFalseDeaths returns the number of false deaths since the previous call.
func (g *cluster) takeFalseDeaths() int {
	g.drain()
	n := g.falseDeaths
	g.falseDeaths = 0
	return n
}

// drain handles the death reports received so far. Before a kill, all reports about
// members that were not killed earlier are false.
func (g *cluster) drain() {
	for {
		select {
		case d := <-g.deaths:
			g.count(d)
		default:
			return
		}
	}
}

// count counts a death report as false unless its subject was killed.
func (g *cluster) count(d deathReport) {
	if _, killed := g.dead[d.of]; !killed {
		g.falseDeaths++
	}
}

// sleep waits for d; it returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
