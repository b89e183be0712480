package experiment

import (
	"bytes"
	"strings"
	"sync"
)

// attemptLog parses the daemons' log lines and records the attempts of each
// request. It is an io.Writer for the log of a fleet.
type attemptLog struct {
	mu       sync.Mutex
	attempts map[string][]string
	// errorLines holds the first lines at level error, for the report.
	errorLines []string
}

// maxErrorLines bounds the number of stored error lines.
const maxErrorLines = 8

func newAttemptLog() *attemptLog {
	return &attemptLog{attempts: map[string][]string{}}
}

// Write implements io.Writer. It expects whole lines.
func (l *attemptLog) Write(p []byte) (int, error) {
	if bytes.Contains(p, []byte("level=error")) {
		l.addErrorLine(string(p))
	}
	if !bytes.Contains(p, []byte("event=paired")) {
		return len(p), nil
	}
	var request, attempt string
	for _, field := range strings.Fields(string(p)) {
		if v, ok := strings.CutPrefix(field, "id="); ok {
			request = v
		}
		if v, ok := strings.CutPrefix(field, "attempt="); ok {
			attempt = v
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[request] = append(l.attempts[request], attempt)
	return len(p), nil
}

func (l *attemptLog) addErrorLine(line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.errorLines) < maxErrorLines {
		l.errorLines = append(l.errorLines, strings.TrimSpace(line))
	}
}

// attemptsOf returns the attempts of a request.
func (l *attemptLog) attemptsOf(request string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.attempts[request]...)
}
