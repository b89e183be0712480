package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// Bounds of a run with misbehaving callers.
const (
	// minMisbehavingPause and maxMisbehavingPause bound the time between the starts of two faults.
	minMisbehavingPause = 300 * time.Millisecond
	maxMisbehavingPause = 1500 * time.Millisecond
	// floodConns is how many connections a flood opens: more than a daemon may have.
	floodConns = 400
	// leavers and slowReaders are the numbers of callers that leave in the middle of a body and
	// that read slowly.
	leavers     = 2
	slowReaders = 2
	// leaverBody is the length that a leaver states, of which it sends half.
	leaverBody = 60_000
	// longAnswer is the length of the answers that are read slowly, more than sockets hold.
	longAnswer = 8 << 20
	// slowPiece is read each slowPause.
	slowPiece = 64 << 10
	slowPause = 20 * time.Millisecond
	// slowLimit is the time within which a slow reader that is not kept from it has read all; a
	// daemon that stops waits for longer.
	slowLimit = (gracePeriodS - 1) * time.Second
	// lateStop is the time after a SIGTERM from which a daemon may cut no request that it takes.
	lateStop = 3 * time.Second
	pathLong = "/long/"
)

// planMisbehavingCallers draws planned stops, floods of connections, and starts beside returns of the
// store, which overlap.
func (r *run) planMisbehavingCallers(rng *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := minMisbehavingPause; at < length; at += between(rng, minMisbehavingPause, maxMisbehavingPause) {
		for _, f := range r.misbehavingFaults(rng) {
			f.start += at
			if f.duration == 0 {
				f.duration = between(rng, minFaultDuration, maxFaultDuration)
			}
			out = append(out, f)
		}
	}
	return inOrder(out, length)
}

// misbehavingFaults draws one fault, or a return of the store and the starts beside it.
func (r *run) misbehavingFaults(rng *rand.Rand) []fault {
	p := r.processes[rng.IntN(len(r.processes))]
	switch rng.IntN(6) {
	case 0, 1:
		return []fault{r.flood(p)}
	case 2:
		starting := []*process{p}
		if rng.IntN(2) == 0 {
			starting = r.processes
		}
		kill := signalFault(fmt.Sprintf("kill %d daemons beside it", len(starting)), syscall.SIGKILL, starting...)
		kill.start = between(rng, 0, maxFaultDuration)
		return []fault{r.restoreFault(rng), kill}
	default:
		f := signalFault("stop "+p.name, syscall.SIGTERM, p)
		f.duration = gracePeriodS * time.Second
		return []fault{f}
	}
}

// flood returns a fault that opens more connections to a daemon than it has descriptors.
func (r *run) flood(p *process) fault {
	var mu sync.Mutex
	var conns []net.Conn
	return fault{
		name:      fmt.Sprintf("%d connections to %s", floodConns, p.name),
		processes: []*process{p},
		inject: func() {
			for range floodConns {
				c, err := net.DialTimeout("tcp", p.settings.Listen.Callers, time.Second)
				if err != nil {
					return // the daemon is gone
				}
				mu.Lock()
				conns = append(conns, c)
				mu.Unlock()
			}
		},
		revert: func() {
			mu.Lock()
			defer mu.Unlock()
			for _, c := range conns {
				_ = c.Close()
			}
		},
	}
}

// misbehavingCallers counts what callers that leave early or read slowly have seen.
type misbehavingCallers struct{ left, whole, cut, refused atomic.Int64 }

func (h *misbehavingCallers) summary() string {
	return fmt.Sprintf("bodies_broken_off=%d long_answers=%d cut_by_faults=%d not_begun=%d", h.left.Load(), h.whole.Load(), h.cut.Load(), h.refused.Load())
}

// startMisbehavingCallers starts the callers that leave in the middle of a body and that read slowly.
func (r *run) startMisbehavingCallers(done <-chan struct{}, wg *sync.WaitGroup) {
	for i := range leavers {
		wg.Go(func() { r.repeat(done, fmt.Sprintf("leaver%d", i), r.leave) })
	}
	for i := range slowReaders {
		wg.Go(func() { r.repeat(done, fmt.Sprintf("slow%d", i), r.readSlowly) })
	}
}

// repeat lets a caller act until done is closed. Each time it has a request id of its own.
func (r *run) repeat(done <-chan struct{}, name string, act func(rng *rand.Rand, id string)) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, uint64(len(name))+uint64(name[len(name)-1])))
	for n := 1; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * meanCallerPause)))):
		}
		act(rng, fmt.Sprintf("%s-%d", name, n))
	}
}

// leave sends a request with half of its body and closes the connection. It must never run.
func (r *run) leave(rng *rand.Rand, id string) {
	p := r.processes[rng.IntN(len(r.processes))]
	conn, err := net.DialTimeout("tcp", p.callerProxy.Address(), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	request := platformtest.Request{
		Method: "POST", Target: pathOnce + "x", Host: callHost, ID: id, Body: strings.Repeat("b", leaverBody),
		Patience: callerTimeout, Fields: []string{platformtest.KeyField("steady-key")},
	}
	text := request.Text()
	if _, err := io.WriteString(conn, text[:len(text)-leaverBody/2]); err != nil {
		return
	}
	time.Sleep(time.Duration(rng.Int64N(int64(maxAbandonDelay))))
	r.misbehaving.left.Add(1)
	r.checker.recordLeft(id)
}

// readSlowly reads a long answer slowly. One that has begun must arrive whole, unless its daemon
// is killed, or was being stopped for so long that no caller should have come; late in a stop,
// one is refused or arrives whole.
func (r *run) readSlowly(rng *rand.Rand, id string) {
	p := r.processes[rng.IntN(len(r.processes))]
	start := time.Now()
	conn, err := net.DialTimeout("tcp", p.settings.Listen.Callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	// A small window, so that the answer waits in the daemon.
	_ = conn.(*net.TCPConn).SetReadBuffer(slowPiece)
	_ = conn.SetDeadline(start.Add(2 * gracePeriodS * time.Second))
	request := platformtest.Request{
		Method: "GET", Target: pathLong + "x", Host: callHost, ID: id, Patience: routeTimeMS * time.Millisecond,
		Fields: []string{platformtest.KeyField("steady-key")},
	}
	r.simulation.arrivals.recordRequest(plainSvc)
	if _, err := io.WriteString(conn, request.Text()); err != nil {
		return
	}
	answer, err := platformtest.ReadAnswer(&pacedReader{conn})
	if err != nil || answer.Status != http.StatusOK {
		r.misbehaving.refused.Add(1)
		return
	}
	r.checkLongAnswer(p, id, answer, start)
}

func (r *run) checkLongAnswer(p *process, id string, answer platformtest.Answer, start time.Time) {
	took := time.Since(start)
	switch {
	case answer.Complete && answer.Body != longBody(id):
		r.checker.violation("mixed: %s got a whole answer of %d bytes that is not its own", id, len(answer.Body))
	case answer.Complete:
		r.misbehaving.whole.Add(1)
	case p.killedSince(start) || p.stopsWithoutCallers(start) || took > slowLimit:
		r.misbehaving.cut.Add(1)
	default:
		r.checker.violation("cut: %s at %s, which was not killed, ended after %d of %d bytes and %v", id, p.name, len(answer.Body), longAnswer, took)
	}
}

// longBody returns the body of a long answer to a request.
func longBody(id string) string { return strings.Repeat(id+"\n", longAnswer/(len(id)+1)) }

// pacedReader reads slowly.
type pacedReader struct{ from io.Reader }

// Read implements io.Reader.
func (p *pacedReader) Read(b []byte) (int, error) {
	time.Sleep(slowPause)
	return p.from.Read(b[:min(len(b), slowPiece)])
}
