package logstory

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Field names of the daemons' log lines.
const (
	fieldRequest  = "request"
	fieldEndpoint = "endpoint"
)

// eventEnd is the event that a daemon logs at the end of a request.
const eventEnd = "request"

// contextWindow is the time before a request's first line in which lines about its
// endpoints and daemons count as related. After its last line, a fifth of this
// time counts.
const contextWindow = 5 * time.Second

// endpointEvents are the events that report changes of an endpoint.
var endpointEvents = []string{
	"endpoint_changed", "endpoint_gone", "endpoint_leaving", "endpoint_limit", "endpoint_backoff", "endpoint_backoff_ended", "endpoint_path_cut", "endpoint_path_healed", "crash_recorded", "health_changed", "role_change_begun", "role_ordered",
	"role_change_ended",
}

// poolEvents are the events that report the state of a pool.
var poolEvents = []string{"pool_state", "call_pool_state"}

// daemonEvents are the events that report the state of a daemon, its peers and its
// dependencies.
var daemonEvents = []string{
	"dependency_lost", "dependency_regained", "config_in_force", "tables_learnt", "member_stalled", "member_declared_dead", "call_owner_silent", "call_owner_back",
	"daemon_leaving", "daemon_closing", "daemon_stopped", "daemon_started",
}

// ErrUnknownRequest means that no line names the request.
var ErrUnknownRequest = errors.New("no line names this request: the id is wrong, the logs lack its daemon, or its lines were dropped")

// Timeline holds the log lines about one request and its outcome.
type Timeline struct {
	Request string
	// Own are the lines that name the request.
	Own []Line
	// Beside are lines about its endpoints and daemons at about that time, and
	// about the state of the pool during the request.
	Beside []Line
	// Silent describes gaps in the logs.
	Silent []string
	// Cause describes the outcome in one sentence.
	Cause string
}

// Explain collects the lines about a request and derives its outcome. It returns
// ErrUnknownRequest if no line names the request.
func (l *Logs) Explain(request string) (*Timeline, error) {
	s := &Timeline{Request: request}
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

// span returns the time range in which other lines count as related.
func (s *Timeline) span() (from, to time.Time) {
	from = s.Own[0].At.Add(-contextWindow)
	to = s.Own[len(s.Own)-1].At.Add(contextWindow / 5)
	if took, ok := s.duration(); ok {
		from = from.Add(-took)
	}
	return from, to
}

// duration returns how long the request took, and false if its end is not logged.
func (s *Timeline) duration() (time.Duration, bool) {
	for _, line := range s.Own {
		if line.Event == eventEnd {
			d, err := time.ParseDuration(line.Fields["took"])
			return d, err == nil
		}
	}
	return 0, false
}

func (s *Timeline) findRelated(l *Logs) {
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
			// All daemons log the same change of an endpoint: keep it once.
			key := line.Event + line.Text()
			if seen[key] {
				continue
			}
			seen[key] = true
		case slices.Contains(daemonEvents, line.Event) && daemons[line.Daemon]:
		case slices.Contains(poolEvents, line.Event) && line.Fields["pool"] == s.service() && !line.At.Before(from.Add(contextWindow-time.Second)):
		default:
			continue
		}
		s.Beside = append(s.Beside, line)
	}
	sortByTime(s.Beside)
}

// service returns the service that the request was sent to, or an empty name if no
// line names it.
func (s *Timeline) service() string {
	for _, line := range s.Own {
		if name := line.Fields["service"]; name != "" {
			return name
		}
	}
	return ""
}

// findCause sets Cause from the line of the request's end. Without such a line it
// explains why the end may be missing.
func (s *Timeline) findCause(l *Logs) {
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

// explainMissingEnd sets Cause and Silent for a request whose end is not logged.
func (s *Timeline) explainMissingEnd(l *Logs) {
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
	s.Silent = append(s.Silent, last.Daemon+" continues to log: the request may still run, or its last line was dropped")
}

// silentAfter is how long a daemon must log nothing while others do to count as
// silent: a running daemon logs the state of its pools each second, or the
// requests that it serves.
const silentAfter = 5 * time.Second

// lastLineTime returns the time of the newest line of all daemons.
func (l *Logs) lastLineTime() time.Time {
	var end time.Time
	for _, line := range l.Lines {
		if line.At.After(end) {
			end = line.At
		}
	}
	return end
}

// Text returns the pairs of Fields as they were logged.
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
