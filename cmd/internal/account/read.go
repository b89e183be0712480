package account

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/samphirequay/samphirequay/cmd/internal/logstory"
)

// Log events that a summary evaluates.
const (
	eventRequest = "request"
	eventGranted = "granted"
	// eventCallGranted is a plain call's, for which the daemons queue calls.
	eventCallGranted = "call_granted"
	eventFailed      = "attempt_failed"
	eventWasted      = "prefill_wasted"
	eventResumed     = "stream_resumed"
	eventPoolState   = "pool_state"
	eventStarted     = "daemon_started"
)

// Values of log fields.
const (
	outcomeAnswered   = "answered"
	outcomeCallerGone = "caller_gone"
	// outcomeTeamLimit is the outcome of a request beyond its team's limit.
	outcomeTeamLimit = "team_limit"
	// outcomeNoEnd stands for an end that is not logged; daemons never log it.
	outcomeNoEnd  = "no_end"
	verdictNotRun = "not-run"
	stepPrefill   = "prefill"
	stepDecode    = "decode"
	kindStream    = "stream"
)

// ErrNoRequests means that the logs hold no end of a request on a route within the
// span.
var ErrNoRequests = errors.New("no line reports the end of a request on a route: these are not the logs of daemons, or no request ended in the span of time")

// attempt is one attempt of a caller as its daemon logged it.
type attempt struct {
	id, route, service, kind string
	daemon                   string
	team                     string
	fingerprint              string
	arrived                  time.Time
	took                     time.Duration
	target                   time.Duration
	// timeToAnswer is the time from the arrival to the answer, or to the first event
	// of a stream.
	timeToAnswer           time.Duration
	queueTime, prefillTime time.Duration
	outcome                string
	reason                 string
	notRun                 bool
	inTime                 bool
	failedTime             time.Duration
}

// builder collects the data of a summary from log lines.
type builder struct {
	span     Options
	attempts []*attempt
	// retries is the time that each attempt spent on failed attempts at endpoints,
	// by its id.
	retries map[string]time.Duration
	// granted holds the attempts that were granted engines, by their id.
	granted    map[string]*attempt
	wasted     []wastedPrompt
	pools      []poolLine
	unreadable int
	// daemons holds the daemons that logged, by name; last is the time of the newest
	// line.
	daemons map[string]*daemonTimes
	last    time.Time
}

// wastedPrompt is one prompt whose prefill was of no use.
type wastedPrompt struct {
	at     time.Time
	cause  string
	tokens int
}

type poolLine struct {
	at   time.Time
	pool Pool
}

func newBuilder(o Options) *builder {
	return &builder{span: o, retries: map[string]time.Duration{}, granted: map[string]*attempt{}, daemons: map[string]*daemonTimes{}}
}

// addLine evaluates one line. A line with fields that can't be parsed counts as
// unreadable.
func (b *builder) addLine(l *logstory.Line) {
	f := fields{values: l.Fields}
	b.recordDaemon(l)
	switch l.Event {
	case eventRequest:
		b.addAttempt(l, &f)
	case eventGranted, eventCallGranted:
		b.addGrant(l, &f)
	case eventFailed:
		b.addFailure(l, &f)
	case eventWasted:
		b.wasted = append(b.wasted, wastedPrompt{at: l.At, cause: "no decode: " + f.text("code"), tokens: f.number("tokens")})
	case eventResumed:
		b.wasted = append(b.wasted, wastedPrompt{at: l.At, cause: "prefill repeated for a resumed stream", tokens: f.number("tokens")})
	case eventPoolState:
		b.addPoolState(l, &f)
	}
	if f.err != nil {
		b.unreadable++
	}
}

// addGrant adds an attempt that was granted endpoints. It is used if the end of the
// attempt is not logged.
func (b *builder) addGrant(l *logstory.Line, f *fields) {
	id := f.text("request")
	if b.granted[id] != nil || f.text("route") == "" || !b.inSpan(l.At) {
		return
	}
	kind := f.text("kind")
	if l.Event == eventGranted {
		kind = kindStream
	}
	b.granted[id] = &attempt{
		id: id, route: f.text("route"), kind: kind, fingerprint: f.text("print"), arrived: l.At, outcome: outcomeNoEnd,
		daemon: l.Daemon,
	}
}

func (b *builder) addAttempt(l *logstory.Line, f *fields) {
	if f.text("route") == "" {
		return
	}
	a := &attempt{
		id:          f.text("request"),
		route:       f.text("route"),
		service:     f.text("service"),
		kind:        f.text("kind"),
		fingerprint: f.text("print"),
		took:        f.duration("took"),
		target:      f.duration("target"),
		outcome:     f.text("outcome"),
		reason:      f.text("reason"),
		team:        f.text("team"),
		notRun:      f.text("verdict") == verdictNotRun,
		inTime:      f.text("in_time") == "true",
		queueTime:   f.optional("waited"),
		prefillTime: f.optional("read"),
	}
	a.arrived = l.At.Add(-a.took)
	a.timeToAnswer = a.took
	if first := f.optional("first"); first > 0 {
		a.timeToAnswer = first
	}
	if f.err == nil && b.inSpan(a.arrived) {
		b.attempts = append(b.attempts, a)
	}
}

func (b *builder) inSpan(at time.Time) bool {
	return (b.span.From.IsZero() || !at.Before(b.span.From)) && (b.span.To.IsZero() || at.Before(b.span.To))
}

// addFailure evaluates a failed attempt at an endpoint. The prompt of an abandoned
// prefill counts as wasted, since the engine may have processed it. A decode that
// may have run loses the KV cache that it received; one that has not run leaves the
// cache to another decode engine.
func (b *builder) addFailure(l *logstory.Line, f *fields) {
	b.retries[f.text("request")] += f.duration("took")
	code := f.text("code")
	cause := ""
	switch f.text("step") {
	case stepPrefill:
		if code == "deadline" || code == outcomeCallerGone {
			cause = "prefill abandoned: " + code
		}
	case stepDecode:
		if f.text("verdict") != verdictNotRun {
			cause = "decode failed: " + code
		}
	}
	if cause != "" {
		b.wasted = append(b.wasted, wastedPrompt{at: l.At, cause: cause, tokens: f.number("tokens")})
	}
}

func (b *builder) addPoolState(l *logstory.Line, f *fields) {
	p := Pool{
		Pool:            f.text("pool"),
		Prefills:        f.number("prefills"),
		PrefillsWorking: f.number("prefills_working"),
		Decodes:         f.number("decodes"),
		DecodesRunning:  f.number("decodes_running"),
		Queued:          f.number("queued"),
	}
	if memory := f.number("memory"); memory > 0 {
		p.MemoryHeld = float64(f.number("memory_held")) / float64(memory)
	}
	b.pools = append(b.pools, poolLine{at: l.At, pool: p})
}

// fields parses a line's fields and keeps the first error.
type fields struct {
	values map[string]string
	err    error
}

func (f *fields) text(key string) string { return f.values[key] }

func (f *fields) setError(key string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %w", key, err)
	}
}

func (f *fields) duration(key string) time.Duration {
	d, err := time.ParseDuration(f.values[key])
	if err != nil {
		f.setError(key, err)
	}
	return d
}

// optional parses a duration; a missing field counts as 0.
func (f *fields) optional(key string) time.Duration {
	if f.values[key] == "" {
		return 0
	}
	return f.duration(key)
}

func (f *fields) number(key string) int {
	n, err := strconv.Atoi(f.values[key])
	if err != nil {
		f.setError(key, err)
	}
	return n
}
