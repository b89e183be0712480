package logline

import (
	"fmt"

	"github.com/go-logfmt/logfmt"
)

// Decisions writes each decision as a log line and records it in a journal.
type Decisions struct {
	logger  *Logger
	journal *Journal
}

// NewDecisions returns Decisions that write to the logger and the journal.
func NewDecisions(logger *Logger, journal *Journal) *Decisions {
	return &Decisions{logger: logger, journal: journal}
}

// Decide logs and records one decision. The line contains the subject and the
// id that the explain command takes.
func (d *Decisions) Decide(subject Subject, id, event string, kv ...any) {
	pairs := make([]any, 0, len(kv)+4)
	pairs = append(pairs, "kind", string(subject), "id", id)
	pairs = append(pairs, kv...)
	d.logger.Event(event, pairs...)
	d.journal.Add(Decision{
		At:      d.logger.now(),
		Subject: subject,
		ID:      id,
		Event:   event,
		Text:    encodePairs(kv),
	})
}

// RecordOnly records a decision in the journal only. It serves decisions that a line
// already reports under another id.
func (d *Decisions) RecordOnly(subject Subject, id, event string, kv ...any) {
	d.journal.Add(Decision{At: d.logger.now(), Subject: subject, ID: id, Event: event, Text: encodePairs(kv)})
}

// Find returns the recorded decisions about one id, oldest first.
func (d *Decisions) Find(subject Subject, id string) []Decision {
	return d.journal.Find(subject, id)
}

// encodePairs encodes the pairs in the format of a log line.
func encodePairs(kv []any) string {
	encoded, err := logfmt.MarshalKeyvals(kv...)
	if err != nil {
		return fmt.Sprint(kv...)
	}
	return string(encoded)
}
