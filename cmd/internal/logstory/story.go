package logstory

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Fields of the daemons' lines.
const (
	fieldRequest  = "request"
	fieldEndpoint = "endpoint"
)

// eventEnd is the line that ends a request.
const eventEnd = "request"

// around is how far before a request's first and behind its last line other
// lines may bear on it.
const contextWindow = 5 * time.Second

// aboutEndpoints are the events that tell what became of an endpoint.
var endpointEvents = []string{
	"endpoint_changed", "endpoint_gone", "health_changed", "role_change_begun", "role_ordered", "role_change_ended",
}

// aboutDaemons are the events that tell what a daemon could rely on.
var daemonEvents = []string{
	"dependency_lost", "dependency_regained", "config_in_force", "tables_learnt", "member_stalled", "member_declared_dead",
	"daemon_leaving", "daemon_closing", "daemon_stopped", "daemon_started",
}

// ErrUnknown says that no line names the request.
var ErrUnknownRequest = errors.New("no line names this request: the id is wrong, the logs lack its daemon, or its lines were dropped")

// Story is what the logs tell of one request.
type Story struct {
	Request string
	// Own are the lines that name the request.
	Own []Line
	// Beside are lines on its endpoints and daemons at about that time, and on
	// the state of the pool while it waited.
	Beside []Line
	// Silent says where the logs tell nothing.
	Silent []string
	// Cause is the outcome in one sentence.
	Cause string
}

// Tell joins what the logs tell of a request.
func (l *Logs) Tell(request string) (*Story, error) {
	s := &Story{Request: request}
	for _, line := range l.Lines {
		if line.Fields[fieldRequest] == request {
			s.Own = append(s.Own, line)
		}
	}
	if len(s.Own) == 0 {
		return nil, ErrUnknownRequest
	}
	sortByTime(s.Own)
	s.findRelated(l)
	s.findCause(l)
	return s, nil
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// span is the time in which other lines may bear on the request.
func (s *Story) span() (from, to time.Time) {
	from = s.Own[0].At.Add(-contextWindow)
	to = s.Own[len(s.Own)-1].At.Add(contextWindow / 5)
	if took, ok := s.duration(); ok {
		from = from.Add(-took)
	}
	return from, to
}

// took is how long the request took, if its end is logged.
func (s *Story) duration() (time.Duration, bool) {
	for _, line := range s.Own {
		if line.Event == eventEnd {
			d, err := time.ParseDuration(line.Fields["took"])
			return d, err == nil
		}
	}
	return 0, false
}

func (s *Story) findRelated(l *Logs) {
	from, to := s.span()
	daemons, endpoints := map[string]bool{}, map[string]bool{}
	for _, line := range s.Own {
		daemons[line.Daemon] = true
		for _, field := range []string{fieldEndpoint, "prefill", "decode"} {
			if name := line.Fields[field]; name != "" {
				endpoints[name] = true
			}
		}
	}
	seen := map[string]bool{}
	for _, line := range l.Lines {
		if line.At.Before(from) || line.At.After(to) {
			continue
		}
		switch {
		case slices.Contains(endpointEvents, line.Event) && endpoints[line.Fields[fieldEndpoint]]:
			// All daemons learn the same of an endpoint: once is enough.
			key := line.Event + line.Text()
			if seen[key] {
				continue
			}
			seen[key] = true
		case slices.Contains(daemonEvents, line.Event) && daemons[line.Daemon]:
		case line.Event == "pool_state" && line.Fields["pool"] == s.service() && !line.At.Before(from.Add(contextWindow-time.Second)):
		default:
			continue
		}
		s.Beside = append(s.Beside, line)
	}
	sortByTime(s.Beside)
}

// service is the one that the request was sent to, if a line tells.
func (s *Story) service() string {
	for _, line := range s.Own {
		if name := line.Fields["service"]; name != "" {
			return name
		}
	}
	return ""
}

// judge says in a sentence what came of the request, and where the logs are silent.
func (s *Story) findCause(l *Logs) {
	var end *Line
	for i := range s.Own {
		if s.Own[i].Event == eventEnd {
			end = &s.Own[i]
		}
	}
	if end == nil {
		s.explainMissingEnd(l)
		return
	}
	f := end.Fields
	s.Cause = fmt.Sprintf("%s after %s at %s: %s", end.Fields["outcome"], f["took"], end.Daemon, f["why"])
	if f["why"] == "" {
		s.Cause = fmt.Sprintf("%s with status %s after %s at %s", f["outcome"], f["status"], f["took"], end.Daemon)
	}
	if reason := f["reason"]; reason != "" {
		s.Cause += "; not tried again: " + reason
	}
}

// noEnd tells of a request whose end is not logged.
func (s *Story) explainMissingEnd(l *Logs) {
	last := s.Own[len(s.Own)-1]
	s.Cause = fmt.Sprintf("its end is not logged; the last line is %s of %s", last.Event, last.Daemon)
	after := last.At
	for _, line := range l.Lines {
		if line.Daemon == last.Daemon && line.At.After(after) {
			after = line.At
		}
	}
	if after.Equal(last.At) {
		s.Silent = append(s.Silent, fmt.Sprintf("%s logs nothing behind %s: its process ended, or its log is cut", last.Daemon, after.Format(time.RFC3339Nano)))
		return
	}
	for _, line := range l.Lines {
		if line.Daemon == last.Daemon && line.Event == "daemon_started" && line.At.After(last.At) {
			s.Silent = append(s.Silent, fmt.Sprintf("%s was started anew at %s: its former process ended without a word",
				last.Daemon, line.At.Format(time.RFC3339Nano)))
			return
		}
	}
	if end := l.lastLineTime(); end.Sub(after) >= silentAfter {
		s.Silent = append(s.Silent, fmt.Sprintf("%s logs nothing behind %s, others do until %s: its process ended, stood still or was cut off",
			last.Daemon, after.Format(time.RFC3339Nano), end.Format(time.RFC3339Nano)))
		return
	}
	s.Silent = append(s.Silent, last.Daemon+" logs on: the request may still run, or its last line was dropped")
}

// fallsSilent is how long a daemon must log nothing while others do to count as
// silent: one that is alive logs a line on its pools each second, or on what it
// serves.
const silentAfter = 5 * time.Second

// end is the time of the last line of all.
func (l *Logs) lastLineTime() time.Time {
	var end time.Time
	for _, line := range l.Lines {
		if line.At.After(end) {
			end = line.At
		}
	}
	return end
}

// Text gives a line's pairs as they were logged.
func (l Line) Text() string {
	var b strings.Builder
	for i, key := range l.Order {
		if i > 0 {
			b.WriteByte(' ')
		}
		value := l.Fields[key]
		if strings.ContainsAny(value, " \"") {
			value = fmt.Sprintf("%q", value)
		}
		b.WriteString(key + "=" + value)
	}
	return b.String()
}
