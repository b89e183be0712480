package logline

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
)

// Subject is the kind of object that a decision is about.
type Subject string

// The subjects that the explain command supports.
const (
	SubjectRequest   Subject = "request"
	SubjectEndpoint  Subject = "endpoint"
	SubjectPlacement Subject = "placement"
	SubjectChange    Subject = "change"
)

// Bounds of what the journal keeps about one id.
const (
	// MaxDecisionsPerID is the maximum number of decisions kept about one id;
	// the oldest are dropped first.
	MaxDecisionsPerID = 64
	// MaxDecisionText is the maximum length of a decision's text, in bytes;
	// longer texts are truncated.
	MaxDecisionText = 1024
)

// Decision is one recorded decision.
type Decision struct {
	At      time.Time
	Subject Subject
	ID      string
	Event   string
	// Text holds the key=value pairs of the line.
	Text string
}

type journalKey struct {
	subject Subject
	id      string
}

// Journal keeps the latest decisions in memory, by subject and id. The number of
// decisions is bounded; the least recently written ids are evicted first. It is
// safe for concurrent use.
type Journal struct {
	mu        sync.Mutex
	capacity  int
	decisions int
	entries   *simplelru.LRU[journalKey, []Decision]
}

// NewJournal returns a journal for at most capacity decisions; capacity must be
// at least MaxDecisionsPerID.
func NewJournal(capacity int) (*Journal, error) {
	if capacity < MaxDecisionsPerID {
		return nil, eris.Errorf("logline: the capacity of the journal is %d decisions, must be at least %d", capacity, MaxDecisionsPerID)
	}
	entries, err := simplelru.NewLRU[journalKey, []Decision](capacity, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "logline: create a journal of %d decisions", capacity)
	}
	return &Journal{capacity: capacity, entries: entries}, nil
}

// Add records a decision.
func (j *Journal) Add(d Decision) {
	if len(d.Text) > MaxDecisionText {
		d.Text = d.Text[:MaxDecisionText]
	}
	key := journalKey{d.Subject, d.ID}
	j.mu.Lock()
	defer j.mu.Unlock()
	list, _ := j.entries.Peek(key)
	if len(list) >= MaxDecisionsPerID {
		list = append([]Decision(nil), list[1:]...)
		j.decisions--
	}
	if !j.entries.Contains(key) {
		j.evict(j.capacity - 1)
	}
	j.entries.Add(key, append(list, d))
	j.decisions++
	j.evict(j.capacity)
}

// evict removes the least recently written ids until the journal holds at
// most limit decisions.
func (j *Journal) evict(limit int) {
	for j.decisions > limit {
		_, list, ok := j.entries.RemoveOldest()
		if !ok {
			return
		}
		j.decisions -= len(list)
	}
}

// Find returns the decisions about one id, oldest first.
func (j *Journal) Find(subject Subject, id string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	list, _ := j.entries.Peek(journalKey{subject, id})
	return append([]Decision(nil), list...)
}

// Len returns the number of decisions in the journal.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.decisions
}
