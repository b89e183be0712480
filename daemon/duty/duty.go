// Package duty runs one long-lived job of the daemon in a goroutine of its
// own. Work reaches it through a bounded ring; between two pieces of work it
// ticks when its next time is due. All state of the job belongs to that
// goroutine, so the deterministic core behind it needs no locks.
package duty

import (
	"context"
	"math"
	"time"

	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/ring"
)

// Never is what a tick returns that has nothing due.
const Never = time.Duration(math.MaxInt64)

const (
	// DefaultRing bounds the pieces of work that wait.
	DefaultRing = 1024
	// minWait and maxWait bound the time between two ticks.
	minWait = time.Millisecond
	maxWait = time.Second
	// afterWork is how soon behind a piece of work the duty ticks: the work may
	// have brought the next time forward.
	afterWork = 5 * time.Millisecond
	// behindEvery is the least pause between two measurements of how long work
	// waits: each costs the duty two wake-ups.
	behindEvery = 500 * time.Millisecond
)

// Config of a Duty.
type Config struct {
	// Name of its ring in the metrics.
	Name string
	// Ring bounds the pieces of work that wait. Default DefaultRing.
	Ring int
	// Now is the time since the daemon's start.
	Now func() time.Duration
	// Tick does what is due and returns when it wants to be called next.
	Tick func(now time.Duration) time.Duration
	// Behind, if set, is told within the duty how long a piece of work waited,
	// twice a second at most. All else that the duty is given waits as long.
	Behind  func(late time.Duration)
	Metrics *metrics.Registry
	// Ready, if set, holds the duty back until it is closed.
	Ready <-chan struct{}
}

// Duty is a running job.
type Duty struct {
	cfg  Config
	in   *ring.Ring[func(now time.Duration)]
	ctx  context.Context
	stop context.CancelFunc
	done chan struct{}

	// measuring is set while a measurement waits in the ring, measuredAt is when
	// the last one ended, and late what it showed.
	measuring  bool
	measuredAt time.Duration
	late       *metrics.Gauge
}

// Start starts a duty.
func Start(cfg Config) *Duty {
	if cfg.Ring == 0 {
		cfg.Ring = DefaultRing
	}
	d := &Duty{
		cfg:  cfg,
		in:   ring.New[func(time.Duration)](cfg.Name, cfg.Ring, ring.Block, cfg.Metrics),
		done: make(chan struct{}),
	}
	if cfg.Metrics != nil {
		d.late = cfg.Metrics.Gauge("duty_"+cfg.Name+"_behind", metrics.UnitMilliseconds, "How long work waited for the duty "+cfg.Name+", last measured.")
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	go d.run()
	return d
}

// Context ends when the duty is closed.
func (d *Duty) Context() context.Context { return d.ctx }

// Close ends the duty; work that waits is dropped.
func (d *Duty) Close() {
	d.stop()
	<-d.done
}

// Post gives the duty a piece of work. It waits while the ring is full and
// returns false when the duty is closed. The duty's own work must not call it.
func (d *Duty) Post(work func(now time.Duration)) bool { return d.PostContext(d.ctx, work) }

// PostLater is Post for the duty's own work: it waits in a goroutine of its own.
func (d *Duty) PostLater(work func(now time.Duration)) {
	go d.Post(work)
}

// PostContext is Post that gives up when ctx ends.
func (d *Duty) PostContext(ctx context.Context, work func(now time.Duration)) bool {
	if d.ctx.Err() != nil {
		return false
	}
	return d.in.Put(ctx, work)
}

// Query runs read within the duty and waits for it. It returns false when the
// duty is closed; read then does not run any more.
func (d *Duty) Query(read func(now time.Duration)) bool {
	done := make(chan struct{})
	work := func(now time.Duration) {
		read(now)
		close(done)
	}
	if !d.Post(work) {
		return false
	}
	select {
	case <-done:
		return true
	case <-d.done:
	}
	// The duty has ended: read has run wholly or will never run.
	select {
	case <-done:
		return true
	default:
		return false
	}
}

func (d *Duty) waitReady() bool {
	if d.cfg.Ready == nil {
		return true
	}
	select {
	case <-d.cfg.Ready:
		return true
	case <-d.ctx.Done():
		return false
	}
}

func (d *Duty) run() {
	defer close(d.done)
	if !d.waitReady() {
		return
	}
	timer := time.NewTimer(minWait)
	defer timer.Stop()
	due := d.cfg.Now() + minWait
	for {
		select {
		case <-d.ctx.Done():
			return
		case work := <-d.in.Chan():
			work(d.cfg.Now())
			if soon := d.cfg.Now() + afterWork; soon < due {
				due = soon
				timer.Reset(afterWork)
			}
		case <-timer.C:
			now := d.cfg.Now()
			d.measure(now)
			next := d.cfg.Tick(now)
			wait := min(max(next-d.cfg.Now(), minWait), maxWait)
			due = d.cfg.Now() + wait
			timer.Reset(wait)
		}
	}
}

// measure puts a piece of work of its own into the ring, which finds out how
// long work waits there.
func (d *Duty) measure(now time.Duration) {
	if d.measuring || now < d.measuredAt+behindEvery {
		return
	}
	d.measuring = true
	d.PostLater(func(then time.Duration) {
		d.measuring = false
		d.measuredAt = then
		d.tellBehind(then - now)
	})
}

func (d *Duty) tellBehind(late time.Duration) {
	if d.late != nil {
		d.late.Set(float64(late) / float64(time.Millisecond))
	}
	if d.cfg.Behind != nil {
		d.cfg.Behind(late)
	}
}
