package member

import (
	"cmp"
	"slices"
)

// maxUpdates bounds the updates that wait to be sent on.
const maxQueuedUpdates = 1024

// update is news to be sent on with other messages.
type update struct {
	entry Entry
	sends int
}

// urgency puts bad news before the rest.
func (u update) urgency() int {
	if u.entry.State == Alive {
		return 1
	}
	return 0
}

// news waits to be sent on, the newest of each daemon.
type updateQueue []update

// put adds news of a daemon in place of what waited of it.
func (n *updateQueue) add(e Entry) {
	*n = slices.DeleteFunc(*n, func(u update) bool { return u.entry.Process.Daemon == e.Process.Daemon })
	if len(*n) < maxQueuedUpdates {
		*n = append(*n, update{entry: e})
	}
}

// take gives up to so many entries for one message, bad news first, then what
// was sent least often, and drops what was sent often enough.
func (n *updateQueue) take(most, repeats int) []Entry {
	if len(*n) == 0 {
		return nil
	}
	slices.SortStableFunc(*n, func(a, b update) int {
		return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.sends, b.sends))
	})
	out := make([]Entry, min(most, len(*n)))
	for i := range out {
		(*n)[i].sends++
		out[i] = (*n)[i].entry
	}
	*n = slices.DeleteFunc(*n, func(u update) bool { return u.sends >= repeats })
	return out
}
