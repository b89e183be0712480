package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

const (
	// watchPollInterval is the time between two polls of a daemon. It limits the
	// precision of all times that the experiment measures.
	watchPollInterval = 15 * time.Millisecond
	// watchPollTimeout is the timeout of one poll.
	watchPollTimeout = 2 * time.Second
)

// configWatcher polls the configuration in force at every member. It counts reverts
// to an older revision, and replies that hold only a part of a change.
type configWatcher struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	lifetimes   []*lifetime
	reverts     int
	halfApplied int
}

// lifetime is the observed lifetime of one daemon process of a member: from its
// first reply to its last. inForce holds the time at which each revision was first
// seen in force.
type lifetime struct {
	member     int
	from, to   time.Time
	ended      bool
	first      uint64
	inForce    map[uint64]time.Time
	newest     uint64
	newestSeen *live.Document
}

func startConfigWatcher(site configSite) *configWatcher {
	ctx, cancel := context.WithCancel(context.Background())
	w := &configWatcher{cancel: cancel}
	for member := range site.members() {
		w.wg.Go(func() { w.follow(ctx, site, member) })
	}
	return w
}

func (w *configWatcher) close() {
	w.cancel()
	w.wg.Wait()
}

// follow polls one member until ctx ends. A failed poll or a new address ends the
// lifetime of the process.
func (w *configWatcher) follow(ctx context.Context, site configSite, member int) {
	var current *lifetime
	var address string
	for ctx.Err() == nil {
		if at := site.address(member); at != address {
			address = at
			current = w.end(current)
		}
		if address != "" {
			current = w.poll(ctx, rawOperator{address: address, key: site.key()}, member, current)
		}
		if sleep(ctx, watchPollInterval) != nil {
			return
		}
	}
}

// poll requests the configuration once. It returns the current lifetime, or nil if
// the daemon did not reply.
func (w *configWatcher) poll(ctx context.Context, at rawOperator, member int, current *lifetime) *lifetime {
	once, cancel := context.WithTimeout(ctx, watchPollTimeout)
	defer cancel()
	doc, err := at.config(once)
	if err != nil {
		if ctx.Err() != nil {
			return current
		}
		return w.end(current)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if current == nil {
		current = &lifetime{member: member, from: time.Now(), first: doc.Revision, newest: doc.Revision, inForce: map[uint64]time.Time{}}
		w.lifetimes = append(w.lifetimes, current)
	}
	w.record(current, doc)
	return current
}

// record updates a lifetime with the document in force at its daemon.
func (w *configWatcher) record(l *lifetime, doc *live.Document) {
	l.to = time.Now()
	if doc.Revision < l.newest {
		w.reverts++
	}
	if markerOf(doc, 0) != markerOf(doc, 1) {
		w.halfApplied++
	}
	for rev := l.newest + 1; rev <= doc.Revision; rev++ {
		l.inForce[rev] = l.to
	}
	l.newest = max(l.newest, doc.Revision)
	l.newestSeen = doc
}

// end marks a lifetime as ended and returns nil.
func (w *configWatcher) end(l *lifetime) *lifetime {
	if l == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l.ended = true
	return nil
}

// markerOf returns the number of a marker in a document; 0 before the first change.
func markerOf(doc *live.Document, which int) int {
	for i := range doc.Teams {
		if doc.Teams[i].Name == markers[which] {
			return doc.Teams[i].MaxInFlight
		}
	}
	return 0
}
