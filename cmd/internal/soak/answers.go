package soak

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// answer sends a runner's response to a request and counts the run. Responses
// contain the request id, so that the checker detects swapped responses.
func (s *simulation) answer(r *runner, x *platformtest.Exchange) {
	if x.RequestID() != "" {
		s.teams.checkForwarded(s.checker, x)
	}
	if s.refuses(r, x) {
		s.arrivals.recordArrival(r.Service, x.RequestID())
		x.Refuse(http.StatusServiceUnavailable)
		return
	}
	s.recordArrival(r, x)
	if !x.ShouldRun() {
		before := r.Stage()
		x.AnswerNormally()
		if r.Stage() != before {
			s.registerStage(r)
		}
		return
	}
	number := requestNumber(x.RequestID())
	runs := s.recordRun(r, x.RequestID())
	s.teams.recordRun(x.RequestID())
	if r.Stage() == "" && number%failEvery == 0 {
		x.Respond(http.StatusInternalServerError, "failed", x.Signed())
		return
	}
	if r.Stage() == "" {
		respondPlain(x, s.isUnframed(number))
		return
	}
	s.versions.recordRun(s.checker, r, x)
	to := streamSize
	if s.troubles(number, breakEvery) && runs == 1 {
		to = streamSize / 2
	}
	if s.isUnframed(number) {
		streamUnframed(x, to)
		return
	}
	streamFramed(x, to, number%silentEvery == 0 && runs == 1)
}

// isUnframed reports whether the answer to a request ends with its connection.
func (s *simulation) isUnframed(number int) bool { return s.unframed && number%unframedEvery == 0 }

// respondPlain answers a plain call, without a length if unframed is set.
func respondPlain(x *platformtest.Exchange, unframed bool) {
	body := plainBody(x.RequestID())
	if strings.HasPrefix(string(x.Request.URI().Path()), pathLong) {
		body = longBody(x.RequestID())
	}
	if !unframed {
		x.Respond(http.StatusOK, body, x.Signed(), "Content-Type: text/plain")
		return
	}
	x.Write(x.Head(http.StatusOK, x.Signed(), "Content-Type: text/plain") + "\r\n" + body)
	_ = x.Conn.Close()
}

// streamUnframed answers with the events up to one, without chunks. If more would follow, it
// breaks off inside the next one.
func streamUnframed(x *platformtest.Exchange, to int) {
	x.BeginUnframedStream()
	for n := x.FirstEvent(); n <= to; n++ {
		x.Write(event(x.Runner, n))
		time.Sleep(x.Gap)
	}
	if to < streamSize {
		next := event(x.Runner, to+1)
		x.Write(next[:len(next)-1])
	}
	_ = x.Conn.Close()
}

// streamFramed answers with the events up to one, in chunks. If more would follow, it breaks
// off. With a silence it is silent before the middle event, for longer or shorter than
// daemons wait before they look for another runner.
func streamFramed(x *platformtest.Exchange, to int, silence bool) {
	x.BeginStream()
	for n := x.FirstEvent(); n <= to; n++ {
		if silence && n == streamSize/2 {
			x.Silence(minSilence + rand.N(maxSilence-minSilence))
		}
		x.Chunk(event(x.Runner, n))
		time.Sleep(x.Gap)
	}
	if to == streamSize {
		x.Write("0\r\n\r\n")
		return
	}
	_ = x.Conn.Close()
}

// refuses reports whether a runner refuses a request by design.
func (s *simulation) refuses(r *runner, x *platformtest.Exchange) bool {
	if x.IsControl() || x.Misdirected() {
		return false
	}
	if s.overloaded.Load() && rand.IntN(acceptEvery) != 0 {
		return true
	}
	return x.ShouldRun() && s.troubles(requestNumber(x.RequestID()), refuseEvery)
}

// troubles reports whether runners refuse or interrupt a request, one in so many, by design.
func (s *simulation) troubles(number, every int) bool { return !s.sound && number%every == 0 }

// recordArrival records what reaches a runner that does not refuse it by design.
func (s *simulation) recordArrival(r *runner, x *platformtest.Exchange) {
	switch {
	case x.IsControl():
	case x.WantsPrefill() && r.Stage() == "prefill" && !x.Misdirected():
		s.arrivals.recordPrefill(r.Service, x.RequestID())
	default:
		s.arrivals.recordArrival(r.Service, x.RequestID())
	}
}

// acceptEvery: overloaded runners accept one in so many requests.
const acceptEvery = 10

// Runners refuse each request whose number is a multiple of refuseEvery. Plain runners
// fail the multiples of failEvery, and engines interrupt the first run of the multiples
// of breakEvery in mid-stream. Answers to the multiples of unframedEvery end with their
// connection. Of the other streams the first run of the multiples of silentEvery is silent
// for a while.
const (
	refuseEvery   = 17
	failEvery     = 23
	breakEvery    = 19
	unframedEvery = 3
	silentEvery   = 31
)

// minSilence and maxSilence bound the silence of a sound runner.
const (
	minSilence = 500 * time.Millisecond
	maxSilence = 2500 * time.Millisecond
)

// failsByDesign reports whether the runners' refusals and failures keep a request
// from being served.
func failsByDesign(id string, k requestKind) bool {
	n := requestNumber(id)
	switch {
	case n%refuseEvery == 0:
		return true
	case k.stream:
		return n%breakEvery == 0 && !k.repeatable
	default:
		return n%failEvery == 0
	}
}

// requestNumber returns the number at the end of a request id; 1 if there is none.
func requestNumber(id string) int {
	n, err := strconv.Atoi(id[strings.LastIndex(id, "-")+1:])
	if err != nil {
		return 1
	}
	return n
}

// plainBody returns the body of a plain runner's response to a request.
func plainBody(request string) string { return "answer to " + request }

// recordRun counts a run and returns the number of runs of the request so far. It
// reports a violation if the runner received the request after drainTime, unless
// a recent fault affects a daemon or the platform.
func (s *simulation) recordRun(r *runner, request string) int {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runCounts[request]++
	late := !r.leaving.IsZero() && now.After(r.leaving.Add(drainTime))
	if late && s.checker.allStable(now) && s.stable(now) {
		s.checker.violation("draining: %s ran at %s, %v after the runner was registered as leaving", request, r.ID, now.Sub(r.leaving))
	}
	return s.runCounts[request]
}

// runs returns the number of runs of a request.
func (s *simulation) runs(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCounts[request]
}
