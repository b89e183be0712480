package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/daemon/gateway"
)

// The limit on retries: in any retryWindow a service gets at most retryRatio times the
// requests for it plus retrySlack arrivals beyond the first of each request, from all
// daemons together and under any fault.
const (
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 58.0
)

// retryBounds sets these bounds in the settings of the daemons.
func retryBounds(b *gateway.Bounds) {
	b.RepeatRatio = retryRatio
	b.RepeatSlack = retrySlack
	b.RepeatWindowS = retryWindow.Seconds()
}

// arrivals counts, by service, the requests that callers sent and what arrived at the
// runners beyond the first arrival of each request.
type arrivals struct {
	mu       sync.Mutex
	services map[string]*serviceArrivals
}

// serviceArrivals are the times, in order, of the requests and retries of one service.
type serviceArrivals struct {
	requests []time.Time
	retries  []time.Time
	// arrived is how often each request has arrived, prefilled whether a prefill of it
	// was accepted.
	arrived   map[string]int
	prefilled map[string]bool
}

func newArrivals() *arrivals { return &arrivals{services: map[string]*serviceArrivals{}} }

// of returns the arrivals of a service. The lock must be held.
func (a *arrivals) of(service string) *serviceArrivals {
	s := a.services[service]
	if s == nil {
		s = &serviceArrivals{arrived: map[string]int{}, prefilled: map[string]bool{}}
		a.services[service] = s
	}
	return s
}

// recordRequest records that a caller sends a request.
func (a *arrivals) recordRequest(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(service)
	s.requests = append(s.requests, time.Now())
}

// recordArrival records that a request reached a runner.
func (a *arrivals) recordArrival(service, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.of(service)
	s.arrived[id]++
	if s.arrived[id] > 1 {
		s.retries = append(s.retries, time.Now())
	}
}

// recordPrefill records that a runner accepted a prefill. The first one of a request is
// part of its first arrival.
func (a *arrivals) recordPrefill(service, id string) {
	a.mu.Lock()
	first := !a.of(service).prefilled[id]
	a.of(service).prefilled[id] = true
	a.mu.Unlock()
	if !first {
		a.recordArrival(service, id)
	}
}

// check records a violation for each service whose retries exceeded the limit: for the
// window that exceeded it most.
func (a *arrivals) check(c *checker) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, s := range a.services {
		if w := s.worstWindow(); w.excess() > 0 {
			c.violation("retries: %s got %s", name, w)
		}
	}
}

// summary returns a line for each service: its retries in the whole run, to be compared
// with those that the daemons have logged, and the window that came closest to the limit.
func (a *arrivals) summary() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, s := range a.services {
		out = append(out, fmt.Sprintf("retries: %s got %d in all, at most %s", name, len(s.retries), s.worstWindow()))
	}
	slices.Sort(out)
	return out
}

// window is a span of retryWindow, with the retries in it and those that are allowed.
type window struct {
	start   time.Time
	retries int
	allowed float64
}

func (w window) excess() float64 { return float64(w.retries) - w.allowed }

// String implements fmt.Stringer.
func (w window) String() string {
	return fmt.Sprintf("%d retries within %v from %s, %.0f are allowed", w.retries, retryWindow, w.start.UTC().Format("15:04:05.000"), w.allowed)
}

// worstWindow returns the window, among those that begin with a retry, whose retries
// exceed the limit most or come closest to it; an empty one if there was no retry.
func (s *serviceArrivals) worstWindow() window {
	worst := window{allowed: retrySlack}
	for i, start := range s.retries {
		w := window{start: start, retries: countFrom(s.retries, start), allowed: retryRatio*float64(s.requestsFor(start)) + retrySlack}
		if i == 0 || w.excess() > worst.excess() {
			worst = w
		}
	}
	return worst
}

// requestsFor returns the number of requests whose retries may arrive in the window from
// start: the most that were sent in it, in the window before it, or in the one that
// begins half a window before it.
func (s *serviceArrivals) requestsFor(start time.Time) int {
	return max(
		countFrom(s.requests, start),
		countFrom(s.requests, start.Add(-retryWindow/2)),
		countFrom(s.requests, start.Add(-retryWindow)),
	)
}

// countFrom counts the times within retryWindow from start.
func countFrom(times []time.Time, start time.Time) int {
	from, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	to, _ := slices.BinarySearchFunc(times, start.Add(retryWindow), time.Time.Compare)
	return to - from
}
