package feed

// Verify calls the store for changes at once, also while the follower is idle; Confirmed tells
// of the answer. A call that waits for changes is cancelled for it, one that doesn't is not: the
// next one follows it. It has no effect while the table is read as a whole, or while the store
// doesn't answer and is called again in any case.
func (f *Follower) Verify() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fullRead || f.lost {
		return
	}
	f.verify = true
	f.skipWait = true
	if f.waiting {
		f.interruptWait()
	}
	f.wakeUp()
}
