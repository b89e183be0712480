package logline

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
)

// Subject is the kind of thing that a decision is about.
type Subject string

// The subjects that explain knows.
const (
	SubjectRequest   Subject = "request"
	SubjectEndpoint  Subject = "endpoint"
	SubjectPlacement Subject = "placement"
	SubjectChange    Subject = "change"
)

// Bounds of what the journal keeps of one subject.
const (
	// MaxDecisionsPerID is how many decisions about one id are kept; the oldest go first.
	MaxDecisionsPerID = 64
	// MaxDecisionText is how many bytes of a decision's text are kept.
	MaxDecisionText = 1024
)

// Decision is one recorded decision.
type Decision struct {
	At      time.Time
	Subject Subject
	ID      string
	Event   string
	// Text holds the pairs of the line, as key=value.
	Text string
}

type journalKey struct {
	subject Subject
	id      string
}

// Journal keeps the latest decisions in memory, by subject and id. It is
// bounded by the number of decisions; the ids that were written to longest ago
// go first.
type Journal struct {
	mu       sync.Mutex
	capacity int
	held     int
	entries  *simplelru.LRU[journalKey, []Decision]
}

// NewJournal returns a journal for at most capacity decisions.
func NewJournal(capacity int) (*Journal, error) {
	if capacity < MaxDecisionsPerID {
		return nil, eris.Errorf("logline: a journal of %d decisions; the least is %d", capacity, MaxDecisionsPerID)
	}
	entries, err := simplelru.NewLRU[journalKey, []Decision](capacity, nil)
	if err != nil {
		return nil, eris.Wrapf(err, "logline: journal of %d decisions", capacity)
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
		j.held--
	}
	if !j.entries.Contains(key) {
		j.makeRoom(j.capacity - 1)
	}
	j.entries.Add(key, append(list, d))
	j.held++
	j.makeRoom(j.capacity)
}

// makeRoom evicts the ids written to longest ago until at most keep decisions
// are held.
func (j *Journal) makeRoom(keep int) {
	for j.held > keep {
		_, list, ok := j.entries.RemoveOldest()
		if !ok {
			return
		}
		j.held -= len(list)
	}
}

// Find returns the decisions about one id, oldest first.
func (j *Journal) Find(subject Subject, id string) []Decision {
	j.mu.Lock()
	defer j.mu.Unlock()
	list, _ := j.entries.Peek(journalKey{subject, id})
	return append([]Decision(nil), list...)
}

// Len is how many decisions are held.
func (j *Journal) Len() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.held
}
