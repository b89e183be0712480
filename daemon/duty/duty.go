// Package duty runs a long-lived job of the daemon as an event loop in its own
// goroutine. Work items reach the loop through a bounded ring; between work
// items the loop calls Tick when it is due. All state of the job belongs to that
// goroutine, so the deterministic core that it drives needs no locks.
package duty

import (
	"context"
	"math"
	"time"

	"github.com/samphirequay/samphirequay/daemon/metrics"
	"github.com/samphirequay/samphirequay/daemon/ring"
)

// Never is returned by a Tick that does not need to be called again. Such a Tick
// is still called at least once a second.
const Never = time.Duration(math.MaxInt64)

const (
	// DefaultRing is the default capacity of the ring, in work items.
	DefaultRing = 1024
	// minTickInterval and maxTickInterval bound the time from one tick to the next.
	minTickInterval = time.Millisecond
	maxTickInterval = time.Second
	// workTickDelay is the maximum time from a work item to the next tick, since the
	// item may have made a tick due earlier.
	workTickDelay = 5 * time.Millisecond
	// measureInterval is the minimum time between two measurements of the queueing
	// delay: each costs the duty two wake-ups.
	measureInterval = 500 * time.Millisecond
)

// Config of a Duty.
type Config struct {
	// Name is the name of the ring in the metrics.
	Name string
	// Ring is the capacity of the ring, in work items. Default DefaultRing.
	Ring int
	// Now returns the time since the daemon's start.
	Now func() time.Duration
	// Tick performs the work that is due at now and returns the time of its next
	// call. It may be called earlier or later: 1 ms to 1 s after the last call, and
	// soon after each work item.
	Tick func(now time.Duration) time.Duration
	// OnDelay, if set, is called in the duty's goroutine with the time for which a
	// work item waited in the ring, at most twice a second. All other work items
	// wait as long.
	OnDelay func(late time.Duration)
	Metrics *metrics.Registry
	// Ready, if set, delays the first tick and work item until it is closed.
	Ready <-chan struct{}
}

// Duty is a running job.
type Duty struct {
	cfg   Config
	queue *ring.Ring[func(now time.Duration)]
	ctx   context.Context
	stop  context.CancelFunc
	done  chan struct{}

	// measuring is set while a measurement waits in the ring, measuredAt is the
	// time at which the last one ended, and delayGauge is the gauge of its result.
	measuring  bool
	measuredAt time.Duration
	delayGauge *metrics.Gauge
}

// Start starts a duty.
func Start(cfg Config) *Duty {
	if cfg.Ring == 0 {
		cfg.Ring = DefaultRing
	}
	d := &Duty{
		cfg:   cfg,
		queue: ring.New[func(time.Duration)](cfg.Name, cfg.Ring, ring.Block, cfg.Metrics),
		done:  make(chan struct{}),
	}
	if cfg.Metrics != nil {
		d.delayGauge = cfg.Metrics.Gauge("duty_"+cfg.Name+"_behind", metrics.UnitMilliseconds, "Queueing delay of the duty "+cfg.Name+", as last measured.")
	}
	d.ctx, d.stop = context.WithCancel(context.Background())
	go d.run()
	return d
}

// Context returns a context that ends when the duty is closed.
func (d *Duty) Context() context.Context { return d.ctx }

// Close stops the duty and waits for its goroutine to end. Waiting work items
// are dropped.
func (d *Duty) Close() {
	d.stop()
	<-d.done
}

// Post puts a work item into the ring. It blocks while the ring is full and
// returns false if the duty is closed. It must not be called from the duty's own
// goroutine, which would then wait for itself.
func (d *Duty) Post(work func(now time.Duration)) bool { return d.PostContext(d.ctx, work) }

// PostLater is Post for the duty's own goroutine: it waits in a new goroutine.
func (d *Duty) PostLater(work func(now time.Duration)) {
	go d.Post(work)
}

// PostContext is Post with a bounded wait: it returns false if ctx ends while the
// ring is full. Closing the duty does not end the wait.
func (d *Duty) PostContext(ctx context.Context, work func(now time.Duration)) bool {
	if d.ctx.Err() != nil {
		return false
	}
	return d.queue.Put(ctx, work)
}

// Query runs read in the duty's goroutine and waits for its end. It returns
// false if the duty is closed before read has run; read then never runs.
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
	// The duty has ended: read has either completed or will never run.
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
	timer := time.NewTimer(minTickInterval)
	defer timer.Stop()
	due := d.cfg.Now() + minTickInterval
	for {
		select {
		case <-d.ctx.Done():
			return
		case work := <-d.queue.Chan():
			work(d.cfg.Now())
			if soon := d.cfg.Now() + workTickDelay; soon < due {
				due = soon
				timer.Reset(workTickDelay)
			}
		case <-timer.C:
			now := d.cfg.Now()
			d.measureDelay(now)
			next := d.cfg.Tick(now)
			wait := min(max(next-d.cfg.Now(), minTickInterval), maxTickInterval)
			due = d.cfg.Now() + wait
			timer.Reset(wait)
		}
	}
}

// measureDelay measures the queueing delay with a work item of its own, unless
// the last measurement has not ended or is too recent.
func (d *Duty) measureDelay(now time.Duration) {
	if d.measuring || now < d.measuredAt+measureInterval {
		return
	}
	d.measuring = true
	d.PostLater(func(then time.Duration) {
		d.measuring = false
		d.measuredAt = then
		d.reportDelay(then - now)
	})
}

func (d *Duty) reportDelay(late time.Duration) {
	if d.delayGauge != nil {
		d.delayGauge.Set(float64(late) / float64(time.Millisecond))
	}
	if d.cfg.OnDelay != nil {
		d.cfg.OnDelay(late)
	}
}
