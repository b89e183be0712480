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

// The teams of a run, and the callers of two of them. All other callers belong to
// steadyTeam.
const (
	// steadyTeam has a fixed key and no limit.
	steadyTeam = "steady"
	// rotatingTeam has its key rotated regularly; its caller also uses old keys.
	rotatingTeam = "turning"
	// limitedTeam has a rate limit, which its caller exceeds.
	limitedTeam = "small"

	rotatingCaller = "c0"
	limitedCaller  = "c1"
)

const (
	// revocationTime is how long after the revocation of a key a request with it may
	// still run, at any daemon and under any fault.
	revocationTime = 2 * time.Second
	// rotationInterval is the time between two rotations of rotatingTeam's key.
	rotationInterval = 1500 * time.Millisecond
	// limitRate and limitBurst are the limit of limitedTeam, in requests per second
	// and in requests. Within limitWindow it may be exceeded by the share
	// limitOvershoot and by limitSlack requests.
	limitRate      = 2.0
	limitBurst     = 2.0
	limitWindow    = 4 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 8.0
)

// teamBounds sets these bounds in the settings of the daemons.
func teamBounds(b *gateway.Bounds) {
	b.RevokeMS = float64(revocationTime.Milliseconds())
	b.QuotaWindowS = limitWindow.Seconds()
	b.QuotaOvershoot = limitOvershoot
	b.QuotaSlack = limitSlack
}

// teams holds the keys of rotatingTeam and the runs of limitedTeam.
type teams struct {
	mu sync.Mutex
	// keys are all keys that rotatingTeam has had; revoked are the times of their
	// revocation, except for the last key.
	keys    []string
	revoked []time.Time
	// ranAt is the time of the first run of each request of limitedTeam.
	ranAt map[string]time.Time
}

func newTeams() *teams { return &teams{keys: []string{"turning-0"}, ranAt: map[string]time.Time{}} }

// rows returns the teams in the form in which the store holds them.
func (t *teams) rows() []any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return []any{
		platformtest.Team(steadyTeam, 0, 0, "steady-key"),
		platformtest.Team(rotatingTeam, 0, 0, t.keys[len(t.keys)-1]),
		platformtest.Team(limitedTeam, limitRate, limitBurst, "small-key"),
	}
}

// rotateKey adds a new key for rotatingTeam. The caller calls accepted once the
// store has removed the previous key.
func (t *teams) rotateKey() (accepted func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.keys = append(t.keys, fmt.Sprintf("turning-%d", len(t.keys)))
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.revoked = append(t.revoked, time.Now())
	}
}

// recentKeys is the number of latest keys from which rotatingTeam's caller chooses.
const recentKeys = 4

// keyOf returns the key for a caller's next request and its index among the keys of
// rotatingTeam, -1 for another team. draw returns a random number below n.
func (t *teams) keyOf(caller string, draw func(n int) int) (key string, index int) {
	switch caller {
	case limitedCaller:
		return "small-key", -1
	case rotatingCaller:
		t.mu.Lock()
		defer t.mu.Unlock()
		index = len(t.keys) - 1 - draw(min(recentKeys, len(t.keys)))
		return t.keys[index], index
	default:
		return "steady-key", -1
	}
}

// teamOf returns the team of the caller of a request, given the request's id.
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

// isSteady reports whether a request belongs to steadyTeam, whose key and limit
// never cause a refusal.
func isSteady(request string) bool { return teamOf(request) == steadyTeam }

// checkForwarded checks that a runner receives the right team of a request and not
// its key.
func (t *teams) checkForwarded(c *checker, e *platformtest.Exchange) {
	if e.Key() != "" {
		c.violation("unasked: %s reached %s with its key", e.RequestID(), e.ID)
	}
	if team := e.Team(); team != teamOf(e.RequestID()) {
		c.violation("unasked: %s reached %s under the wrong team %q", e.RequestID(), e.ID, team)
	}
}

// recordRun records the first run of a request of limitedTeam.
func (t *teams) recordRun(request string) {
	if teamOf(request) != limitedTeam {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, again := t.ranAt[request]; !again {
		t.ranAt[request] = time.Now()
	}
}

// keyedRequest is a request of rotatingTeam.
type keyedRequest struct {
	id       string
	keyIndex int
	at       time.Time
}

// checkFinal checks the revocations and the limit at the end of the run, when no
// request is running any more.
func (t *teams) checkFinal(c *checker, sim *simulation, sent []keyedRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range sent {
		if s.keyIndex >= len(t.revoked) {
			continue
		}
		if late := s.at.Sub(t.revoked[s.keyIndex]); late > revocationTime && sim.runs(s.id) > 0 {
			c.violation("revoked: %s was sent %v after the revocation of its key, and ran", s.id, late)
		}
	}
	times := make([]time.Time, 0, len(t.ranAt))
	for _, at := range t.ranAt {
		times = append(times, at)
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := (limitRate*limitWindow.Seconds()+limitBurst)*(1+limitOvershoot) + limitSlack
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			c.violation("limit: %d requests of the limited team ran within %v, %.1f allowed", n, limitWindow, allowed)
			return
		}
	}
}

// isTeamRefusal reports whether a status refuses a request for its team's key or
// limit.
func isTeamRefusal(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusTooManyRequests
}
