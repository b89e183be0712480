package broker

import (
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/poison"
)

// evidence collects the evidence that is still to be sent to other daemons, about
// requests that crash endpoints. It separates this daemon's own evidence from evidence
// that it received: if each daemon forwarded received evidence to all, one crash would
// cost a message for each pair of daemons.
type evidence struct {
	ledger *poison.Ledger

	mu sync.Mutex
	// gathered is the number of the ledger's last change that was collected.
	gathered uint64
	own      poison.State
	learnt   poison.State
}

// merge merges evidence from another daemon into the ledger. It reports whether any
// was new.
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

// adopt merges evidence from another daemon without collecting it. It reports whether
// any was new.
func (e *evidence) adopt(wall time.Time, s poison.State) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gatherOwn()
	isNew := e.ledger.Merge(wall, s)
	_, e.gathered = e.ledger.Delta(e.gathered)
	return isNew
}

// gatherOwn collects the changes of the ledger since the last call. Received evidence
// is collected when it is merged, so all other changes are this daemon's own. The lock
// must be held.
func (e *evidence) gatherOwn() {
	delta, number := e.ledger.Delta(e.gathered)
	e.gathered = number
	appendState(&e.own, delta)
}

// pending reports whether there is evidence to send.
func (e *evidence) pending() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gatherOwn()
	return !empty(e.own) || !empty(e.learnt)
}

// take returns the pending evidence and clears it.
func (e *evidence) take() (own, learnt poison.State) {
	e.mu.Lock()
	defer e.mu.Unlock()
	own, learnt = e.own, e.learnt
	e.own, e.learnt = poison.State{}, poison.State{}
	return own, learnt
}

func empty(s poison.State) bool {
	return len(s.Crashes) == 0 && len(s.Cleared) == 0 && len(s.ClearedParts) == 0 && s.AllClearedUnixMS == 0
}

func appendState(to *poison.State, s poison.State) {
	to.Crashes = append(to.Crashes, s.Crashes...)
	to.Cleared = append(to.Cleared, s.Cleared...)
	to.ClearedParts = append(to.ClearedParts, s.ClearedParts...)
	to.AllClearedUnixMS = max(to.AllClearedUnixMS, s.AllClearedUnixMS)
}
