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
	// joinPause, and joinPauseEach for each member that is there, is the time
	// between two members' starts: a fleet that starts at once on one host
	// would measure its handshakes.
	joinPause     = 20 * time.Millisecond
	joinPauseEach = 3 * time.Millisecond
	// joinTimeout bounds the wait until all see all.
	joinTimeout = 3 * time.Minute
	// joinLook is the time between two looks at all members.
	joinLook = 250 * time.Millisecond
	// calm is the wait from then on for each connection to have found the size
	// of its packets; from there on, the news of the joining must have been told:
	// the traffic of a window no longer falls by a tenth.
	calm        = 15 * time.Second
	calmWindow  = 5 * time.Second
	calmWindows = 24
	// detectTimeout bounds the wait for a killed member's death to be known.
	detectTimeout = 30 * time.Second
	// seedCount is how many of the earlier members each one is told.
	seedCount = 3
	// deathsBuffer holds what is not yet read.
	deathsBuffer = 1 << 16
)

// gathering is a set of participants in this process.
type gathering struct {
	mode   member.Mode
	seed   uint64
	ca     *keys.DevCA
	all    []*participant
	dead   map[id.Daemon]time.Time
	deaths chan death
	falses int
}

func newGathering(mode member.Mode, seed uint64) (*gathering, error) {
	ca, err := keys.NewDevCA(time.Now())
	if err != nil {
		return nil, err
	}
	return &gathering{mode: mode, seed: seed, ca: ca, dead: map[id.Daemon]time.Time{}, deaths: make(chan death, deathsBuffer)}, nil
}

func (g *gathering) close() {
	for _, p := range g.all {
		p.close()
	}
}

// join starts n members one after the other and waits until all see all.
func (g *gathering) join(ctx context.Context, n int) error {
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
	for !g.met() {
		if err := sleep(ctx, joinLook); err != nil {
			return fmt.Errorf("not all of %d members see all: %w", n, err)
		}
	}
	return nil
}

// seeds are the earliest members.
func (g *gathering) seeds() []member.Host {
	var out []member.Host
	for _, p := range g.all[:min(seedCount, len(g.all))] {
		out = append(out, member.Host{Name: p.self.Daemon, Address: p.transport.Address()})
	}
	return out
}

// met tells whether all see all that were not killed.
func (g *gathering) met() bool {
	for _, p := range g.all {
		if _, killed := g.dead[p.self.Daemon]; !killed && p.sees() != len(g.all)-len(g.dead) {
			return false
		}
	}
	return true
}

// rest measures what the members cost while nothing happens.
func (g *gathering) rest(ctx context.Context, out *MembershipFigures) error {
	if err := g.calmDown(ctx); err != nil {
		return err
	}
	out.FalseInJoin = g.takeFalses()
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

// calmDown waits until the news of the joining has been told.
func (g *gathering) calmDown(ctx context.Context) error {
	if err := sleep(ctx, calm); err != nil {
		return err
	}
	last := math.Inf(1)
	for range calmWindows {
		at := g.traffic().wire
		if err := sleep(ctx, calmWindow); err != nil {
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

// sentTraffic is what all members have sent.
type sentTraffic struct{ wire, frames, packets, messages, connections float64 }

func (g *gathering) traffic() sentTraffic {
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

// killSome kills members one by one and takes the time until each survivor
// holds it for dead.
func (g *gathering) killSome(ctx context.Context, out *MembershipFigures) error {
	times := hdrhistogram.New(1, detectTimeout.Milliseconds(), 3)
	rng := rand.New(rand.NewPCG(g.seed, uint64(len(g.all))))
	for range membershipKills {
		// Not at a fixed point of anybody's period.
		if err := sleep(ctx, time.Duration(rng.Int64N(int64(time.Second)))); err != nil {
			return err
		}
		if err := g.killOne(ctx, rng, times, out); err != nil {
			return err
		}
	}
	out.FalseDeaths = g.takeFalses()
	out.DetectP50 = float64(times.ValueAtQuantile(50)) / 1e3
	out.DetectP99 = float64(times.ValueAtQuantile(99)) / 1e3
	out.DetectMax = float64(times.Max()) / 1e3
	return nil
}

func (g *gathering) killOne(ctx context.Context, rng *rand.Rand, times *hdrhistogram.Histogram, out *MembershipFigures) error {
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

// takeFalses gives the false deaths since it was last asked.
func (g *gathering) takeFalses() int {
	g.drain()
	n := g.falses
	g.falses = 0
	return n
}

// drain counts what was said before a kill: nobody was dead who is not known
// to be.
func (g *gathering) drain() {
	for {
		select {
		case d := <-g.deaths:
			g.count(d)
		default:
			return
		}
	}
}

// count takes a death as false unless it is of one that was killed.
func (g *gathering) count(d death) {
	if _, killed := g.dead[d.of]; !killed {
		g.falses++
	}
}

// sleep waits; it returns early with ctx's error.
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
