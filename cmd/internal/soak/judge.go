package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// Judge collects broken promises.
type checker struct {
	mu         sync.Mutex
	violations []string
	processes  []*process
	outcomes   map[string]int
	// refused and once are requests to look at when all is over: those that were
	// said not to have run, and those that may run once.
	refused    []string
	atMostOnce []string
	// turning are the requests of the team whose key is replaced.
	rotating []keyedRequest
}

// NewJudge returns a Judge that has found nothing.
func newChecker() *checker { return &checker{outcomes: map[string]int{}} }

// broken notes a broken promise.
func (j *checker) violation(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

// allCalm says whether no fault has touched any daemon for a while.
func (j *checker) allStable(at time.Time) bool {
	for _, p := range j.processes {
		if !p.stable(at) {
			return false
		}
	}
	return true
}

// outcome is what a caller saw of one request.
type outcome struct {
	id   string
	kind requestKind
	// sent is when it was sent, with which key; turn is which of the turning
	// team's, -1 for another's.
	sent     time.Time
	key      string
	keyIndex int
	// answer has no status where the connection ended without one.
	answer  platformtest.Answer
	elapsed time.Duration
	// left is set if the caller did not wait for the answer.
	abandoned bool
	// calm is set if no fault touched the daemon, from a while before to the end.
	stable bool
}

// answered says whether the caller was served.
func (o *outcome) answered() bool { return o.answer.Status == http.StatusOK && o.answer.Whole }

// take judges what can be judged at once.
func (j *checker) check(o outcome) {
	j.mu.Lock()
	j.outcomes[fmt.Sprintf("%s %d", o.kind.name, o.answer.Status)]++
	if !o.kind.repeatable {
		j.atMostOnce = append(j.atMostOnce, o.id)
	}
	if o.answer.Status == http.StatusServiceUnavailable || o.answer.Status == http.StatusTooManyRequests {
		j.refused = append(j.refused, o.id)
	}
	if o.keyIndex >= 0 {
		j.rotating = append(j.rotating, keyedRequest{id: o.id, keyIndex: o.keyIndex, at: o.sent})
	}
	j.mu.Unlock()
	if o.answered() {
		j.checkAnswer(o)
	}
	if o.stable && o.elapsed > callerTimeout+slack {
		j.violation("time: %s (%s) took %v", o.id, o.kind.name, o.elapsed)
	}
	if o.answer.Status == http.StatusNotFound || o.answer.Status == http.StatusBadRequest {
		j.violation("denied: %s (%s) got %d", o.id, o.kind.name, o.answer.Status)
	}
	if isSteady(o.id) && isTeamRefusal(o.answer.Status) {
		j.violation("denied: %s (%s), whose team has a good key and no limit, got %d", o.id, o.kind.name, o.answer.Status)
	}
}

func (j *checker) checkAnswer(o outcome) {
	switch {
	case !o.answer.Signed:
		j.violation("mixed: %s (%s) got a success without a signature", o.id, o.kind.name)
	case o.answer.Request != o.id:
		j.violation("mixed: %s (%s) got the answer to %q", o.id, o.kind.name, o.answer.Request)
	case o.answer.Body != o.kind.body(o.id):
		j.violation("mixed or order: %s (%s) got a whole answer of %d bytes that isn't its own: %.200q", o.id, o.kind.name, len(o.answer.Body), o.answer.Body)
	}
}

// settle judges what only the end shows: nothing runs any more.
func (j *checker) checkFinal(w *simulation) {
	for _, id := range j.atMostOnce {
		if n := w.runs(id); n > 1 {
			j.violation("twice: %s may run once and ran %d times", id, n)
		}
	}
	for _, id := range j.refused {
		if n := w.runs(id); n > 0 {
			j.violation("refused: %s was said not to have run and ran %d times", id, n)
		}
	}
	w.teams.checkFinal(j, w, j.rotating)
	for _, p := range j.processes {
		for _, end := range p.unexpectedExits() {
			j.violation("ended: %s", end)
		}
	}
}
