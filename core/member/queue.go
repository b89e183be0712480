package member

import (
	"cmp"
	"slices"
)

// maxQueuedUpdates bounds the updates in a queue.
const maxQueuedUpdates = 1024

// update is a queued entry and the number of times it was sent.
type update struct {
	entry Entry
	sends int
}

// urgency returns the sort rank: states other than Alive are sent first.
func (u update) urgency() int {
	if u.entry.State == Alive {
		return 1
	}
	return 0
}

// updateQueue holds the updates to send, the newest of each daemon.
type updateQueue []update

// add queues a daemon's update in place of an earlier one.
func (n *updateQueue) add(e Entry) {
	*n = slices.DeleteFunc(*n, func(u update) bool { return u.entry.Process.Daemon == e.Process.Daemon })
	if len(*n) < maxQueuedUpdates {
		*n = append(*n, update{entry: e})
	}
}

// take returns up to limit entries for one message: by urgency first, then those
// sent least often. It drops entries that were sent repeats times.
func (n *updateQueue) take(limit, repeats int) []Entry {
	if len(*n) == 0 {
		return nil
	}
	slices.SortStableFunc(*n, func(a, b update) int {
		return cmp.Or(cmp.Compare(a.urgency(), b.urgency()), cmp.Compare(a.sends, b.sends))
	})
	out := make([]Entry, min(limit, len(*n)))
	for i := range out {
		(*n)[i].sends++
		out[i] = (*n)[i].entry
	}
	*n = slices.DeleteFunc(*n, func(u update) bool { return u.sends >= repeats })
	return out
}
