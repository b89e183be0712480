package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/samphirequay/samphirequay/core/live"
)

const (
	// watchPause is between two looks at a daemon; it is the error of every
	// time that the experiment gives.
	watchPause = 15 * time.Millisecond
	// watchTimeout bounds one look.
	watchTimeout = 2 * time.Second
)

// watch looks at the configuration in force at every place all the time.
type watch struct {
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	stays  []*stay
	revert int
	half   int
}

// stay is one process at one place, from its first answer to its last.
type stay struct {
	place      int
	from, to   time.Time
	ended      bool
	first      uint64
	inForce    map[uint64]time.Time
	newest     uint64
	newestSeen *live.Document
}

func startWatch(site configSite) *watch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{cancel: cancel}
	for place := range site.places() {
		w.wg.Go(func() { w.follow(ctx, site, place) })
	}
	return w
}

func (w *watch) close() {
	w.cancel()
	w.wg.Wait()
}

// follow looks at one place until ctx ends. A look without an answer, or a new
// address, ends the stay.
func (w *watch) follow(ctx context.Context, site configSite, place int) {
	var now *stay
	var address string
	for ctx.Err() == nil {
		if at := site.address(place); at != address {
			address = at
			now = w.end(now)
		}
		if address != "" {
			now = w.look(ctx, rawOperator{address: address, key: site.key()}, place, now)
		}
		if sleep(ctx, watchPause) != nil {
			return
		}
	}
}

// look takes one answer.
func (w *watch) look(ctx context.Context, at rawOperator, place int, now *stay) *stay {
	once, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	doc, err := at.config(once)
	if err != nil {
		if ctx.Err() != nil {
			return now
		}
		return w.end(now)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now == nil {
		now = &stay{place: place, from: time.Now(), first: doc.Revision, newest: doc.Revision, inForce: map[uint64]time.Time{}}
		w.stays = append(w.stays, now)
	}
	w.note(now, doc)
	return now
}

// note takes what a daemon has in force.
func (w *watch) note(s *stay, doc *live.Document) {
	s.to = time.Now()
	if doc.Revision < s.newest {
		w.revert++
	}
	if markerOf(doc, 0) != markerOf(doc, 1) {
		w.half++
	}
	for rev := s.newest + 1; rev <= doc.Revision; rev++ {
		s.inForce[rev] = s.to
	}
	s.newest = max(s.newest, doc.Revision)
	s.newestSeen = doc
}

// end closes a stay.
func (w *watch) end(s *stay) *stay {
	if s == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s.ended = true
	return nil
}

// markerOf is the number of a marker in a document; 0 before the first change.
func markerOf(doc *live.Document, which int) int {
	for i := range doc.Teams {
		if doc.Teams[i].Name == markers[which] {
			return doc.Teams[i].MaxInFlight
		}
	}
	return 0
}
