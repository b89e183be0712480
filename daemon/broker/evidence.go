package broker

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/poison"
)

// evidence gathers what other daemons are to be told of requests that crash
// endpoints, this daemon's own apart from what it was told itself: if each
// daemon passed on to all what it learns, one break would cost a message for
// each pair of daemons.
type evidence struct {
	ledger *poison.Ledger

	mu sync.Mutex
	// told is the number of the ledger's last change that was gathered.
	gathered uint64
	own      poison.State
	learnt   poison.State
}

// merge takes evidence from another daemon. It returns whether any is new.
func (e *evidence) merge(wall time.Time, s poison.State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gatherOwn()
	isNew := e.ledger.Merge(wall, s)
	delta, number := e.ledger.Delta(e.gathered)
	e.gathered = number
	appendState(&e.learnt, delta)
	return isNew
}

// gatherOwn takes what has changed in the ledger since the last look: all that
// was learnt has been taken at once, so the rest is this daemon's own. The lock
// is held.
func (e *evidence) gatherOwn() {
	delta, number := e.ledger.Delta(e.gathered)
	e.gathered = number
	appendState(&e.own, delta)
}

// waits says whether there is anything to tell.
func (e *evidence) pending() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gatherOwn()
	return !empty(e.own) || !empty(e.learnt)
}

// take returns what is to be told, and begins anew.
func (e *evidence) take() (own, learnt poison.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own, learnt = e.own, e.learnt
	e.own, e.learnt = poison.State{}, poison.State{}
	return own, learnt
}

func empty(s poison.State) bool {
	return len(s.Crashes) == 0 && len(s.Cleared) == 0 && s.AllClearedUnixMS == 0
}

func appendState(to *poison.State, s poison.State) {
	to.Crashes = append(to.Crashes, s.Crashes...)
	to.Cleared = append(to.Cleared, s.Cleared...)
	to.AllClearedUnixMS = max(to.AllClearedUnixMS, s.AllClearedUnixMS)
}
