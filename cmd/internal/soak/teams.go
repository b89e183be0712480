package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/daemon/gateway"
	"github.com/samphirequay/samphirequay/platform/platformtest"
)

// The teams of a run. All callers but two belong to the steady one.
const (
	// steadyTeam keeps its key and has no limit.
	steadyTeam = "steady"
	// turningTeam has its key replaced again and again; its caller goes on using
	// old ones.
	rotatingTeam = "turning"
	// smallTeam has a limit, which its caller exceeds.
	limitedTeam = "small"

	rotatingCaller = "c0"
	limitedCaller  = "c1"
)

const (
	// revokeTime is how long after a key was taken away a request with it may
	// still run, at any daemon whatever touches it.
	revocationTime = 2 * time.Second
	// turnEvery is the time between two replacements of the turning team's key.
	rotationInterval = 1500 * time.Millisecond
	// smallRate and smallBurst are the small team's limit, in requests; within
	// limitWindow it may be exceeded by limitOvershoot, a share, and by limitSlack.
	limitRate      = 2.0
	limitBurst     = 2.0
	limitWindow    = 4 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 8.0
)

// teamBounds are what the daemons are told of these.
func teamBounds(b *gateway.Bounds) {
	b.RevokeMS = float64(revocationTime.Milliseconds())
	b.QuotaWindowS = limitWindow.Seconds()
	b.QuotaOvershoot = limitOvershoot
	b.QuotaSlack = limitSlack
}

// teams knows who may send what.
type teams struct {
	mu sync.Mutex
	// keys are all that the turning team ever had, revoked when each but the last
	// was taken away.
	keys    []string
	revoked []time.Time
	// ranAt is when each request of the small team first ran.
	ranAt map[string]time.Time
}

func newTeams() *teams { return &teams{keys: []string{"turning-0"}, ranAt: map[string]time.Time{}} }

// rows are the teams as they lie in the store.
func (x *teams) rows() []any {
	x.mu.Lock()
	defer x.mu.Unlock()
	return []any{
		platformtest.Team(steadyTeam, 0, 0, "steady-key"),
		platformtest.Team(rotatingTeam, 0, 0, x.keys[len(x.keys)-1]),
		platformtest.Team(limitedTeam, limitRate, limitBurst, "small-key"),
	}
}

// next makes the turning team's next key; accepted is called once the store has
// taken the last one away.
func (x *teams) rotateKey() (accepted func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.keys = append(x.keys, fmt.Sprintf("turning-%d", len(x.keys)))
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.revoked = append(x.revoked, time.Now())
	}
}

// olderKeys is how far back the turning team's caller goes for a key.
const recentKeys = 4

// keyOf is the key that a caller sends, and which of the turning team's it is;
// draw chooses among so many.
func (x *teams) keyOf(caller string, draw func(n int) int) (key string, turn int) {
	switch caller {
	case limitedCaller:
		return "small-key", -1
	case rotatingCaller:
		x.mu.Lock()
		defer x.mu.Unlock()
		turn = len(x.keys) - 1 - draw(min(recentKeys, len(x.keys)))
		return x.keys[turn], turn
	default:
		return "steady-key", -1
	}
}

// teamOf is the team that a request's caller belongs to.
func teamOf(request string) string {
	caller, _, _ := strings.Cut(request, "-")
	switch caller {
	case rotatingCaller:
		return rotatingTeam
	case limitedCaller:
		return limitedTeam
	default:
		return steadyTeam
	}
}

// steady says whether a request's team is always served.
func isSteady(request string) bool { return teamOf(request) == steadyTeam }

// seen checks what a runner is told of a request's team.
func (x *teams) checkForwarded(j *checker, e *platformtest.Exchange) {
	if e.Key() != "" {
		j.violation("unasked: %s reached %s with its key", e.RequestID(), e.ID)
	}
	if team := e.Team(); team != teamOf(e.RequestID()) {
		j.violation("unasked: %s reached %s as one of team %q", e.RequestID(), e.ID, team)
	}
}

// ran notes a run.
func (x *teams) recordRun(request string) {
	if teamOf(request) != limitedTeam {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, again := x.ranAt[request]; !again {
		x.ranAt[request] = time.Now()
	}
}

// sentWith is a request of the turning team.
type keyedRequest struct {
	id       string
	keyIndex int
	at       time.Time
}

// settle judges the keys and the limit when nothing runs any more.
func (x *teams) checkFinal(j *checker, w *simulation, sent []keyedRequest) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, s := range sent {
		if s.keyIndex >= len(x.revoked) {
			continue
		}
		if late := s.at.Sub(x.revoked[s.keyIndex]); late > revocationTime && w.runs(s.id) > 0 {
			j.violation("revoked: %s was sent %v after its key was taken away, and ran", s.id, late)
		}
	}
	at := make([]time.Time, 0, len(x.ranAt))
	for _, t := range x.ranAt {
		at = append(at, t)
	}
	slices.SortFunc(at, time.Time.Compare)
	allowed := (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOvershoot) + limitSlack
	first := 0
	for i, t := range at {
		for t.Sub(at[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			j.violation("limit: %d requests of the small team ran within %v, %.1f may", n, limitWindow, allowed)
			return
		}
	}
}

// refusedTeam says whether an answer is one that a team's key or limit explains.
func isTeamRefusal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusTooManyRequests
}
