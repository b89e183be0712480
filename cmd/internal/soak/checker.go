package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// checker checks the guarantees of the daemons and collects violations.
type checker struct {
	mu         sync.Mutex
	violations []string
	processes  []*process
	outcomes   map[string]int
	// refused and atMostOnce are requests to check at the end of the run: those
	// reported as not run, and those that may run at most once.
	refused    []string
	atMostOnce []string
	// left are requests of which only a part of the body was sent; they must not run.
	left []string
	// rotating are the requests of rotatingTeam.
	rotating []keyedRequest
}

func newChecker() *checker { return &checker{outcomes: map[string]int{}} }

// violation records a violated guarantee.
func (c *checker) violation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordLeft records a request whose caller has left in the middle of its body.
func (c *checker) recordLeft(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.left = append(c.left, id)
}

// allStable reports whether all daemons were stable at the given time.
func (c *checker) allStable(at time.Time) bool {
	for _, p := range c.processes {
		if !p.stable(at) {
			return false
		}
	}
	return true
}

// outcome is the result of one request as observed by its caller.
type outcome struct {
	id   string
	kind requestKind
	// after is the last event that the caller has of the stream which the request takes
	// up, resumes its request that brought the first one; 0 and empty for a new request.
	after   int
	resumes string
	// patience is how long the caller waits for the response.
	patience time.Duration
	// software are the versions that have written the events which the caller has of the
	// stream, the one that began it first.
	software []string
	// sent is when the request was sent and key the key it carried; keyIndex is the
	// index of the key among those of rotatingTeam, -1 for another team.
	sent     time.Time
	key      string
	keyIndex int
	// answer is the response; its status is 0 if the connection ended without one.
	answer  platformtest.Answer
	elapsed time.Duration
	// abandoned is set if the caller did not wait for the response.
	abandoned bool
	// stable is set if the daemon was stable at the start and at the end of the
	// request.
	stable bool
	// alone is set if the platform had no fault then either.
	alone bool
}

// answered reports whether the caller received a whole successful response.
func (o *outcome) answered() bool { return o.answer.Status == http.StatusOK && o.answer.Complete }

// check records an outcome and checks the guarantees that can be checked before the
// end of the run.
func (c *checker) check(o outcome) {
	c.mu.Lock()
	c.outcomes[fmt.Sprintf("%s %d", o.kind.name, o.answer.Status)]++
	if !o.kind.repeatable {
		c.atMostOnce = append(c.atMostOnce, o.id)
	}
	if o.answer.Status == http.StatusServiceUnavailable || o.answer.Status == http.StatusTooManyRequests {
		c.refused = append(c.refused, o.id)
	}
	if o.keyIndex >= 0 {
		c.rotating = append(c.rotating, keyedRequest{id: o.id, keyIndex: o.keyIndex, at: o.sent})
	}
	c.mu.Unlock()
	if o.answered() {
		c.checkAnswer(o)
	}
	if len(o.software) > 1 {
		c.violation("order: the caller of %s, which goes on after event %d of %q, has events of software %v", o.id, o.after, o.resumes, o.software)
	}
	if o.stable && o.elapsed > o.patience+slack {
		c.violation("time: %s (%s) took %v", o.id, o.kind.name, o.elapsed)
	}
	if o.answer.Status == http.StatusNotFound || o.answer.Status == http.StatusBadRequest {
		c.violation("denied: %s (%s) got %d", o.id, o.kind.name, o.answer.Status)
	}
	if isSteady(o.id) && isTeamRefusal(o.answer.Status) {
		c.violation("denied: %s (%s), whose team has a valid key and no limit, got %d", o.id, o.kind.name, o.answer.Status)
	}
}

func (c *checker) checkAnswer(o outcome) {
	switch {
	case !o.answer.Signed:
		c.violation("mixed: %s (%s) got a successful response without a signature", o.id, o.kind.name)
	case o.answer.Request != o.id:
		c.violation("mixed: %s (%s) got the response to %q", o.id, o.kind.name, o.answer.Request)
	case o.answer.Body != o.kind.body(o.id, o.after):
		c.violation("mixed or order: %s (%s) got a whole response with an unexpected body of %d bytes: %.200q", o.id, o.kind.name, len(o.answer.Body), o.answer.Body)
	}
}

// checkFinal checks the remaining guarantees at the end of the run, when no request
// is running any more.
func (c *checker) checkFinal(sim *simulation) {
	for _, id := range c.atMostOnce {
		if n := sim.runs(id); n > 1 {
			c.violation("twice: %s may run at most once and ran %d times", id, n)
		}
	}
	for _, id := range c.refused {
		if n := sim.runs(id); n > 0 {
			c.violation("refused: %s was reported as not run and ran %d times", id, n)
		}
	}
	for _, id := range c.left {
		if n := sim.runs(id); n > 0 {
			c.violation("unasked: of %s half of the body was sent, and it ran %d times", id, n)
		}
	}
	sim.arrivals.check(c)
	sim.versions.check(c)
	sim.teams.checkFinal(c, sim, c.rotating)
	for _, p := range c.processes {
		for _, exit := range p.unexpectedExits() {
			c.violation("ended: %s", exit)
		}
	}
}
