package load

import "strings"

// Fault is what is wrong with an answer.
type Fault string

// The faults of an answer.
const (
	// FaultNone: the answer is whole and right, as far as it can be told.
	FaultNone Fault = ""
	// FaultLost: the answer, or a part of it, never came.
	FaultLost Fault = "lost"
	// FaultDoubled: a part of the answer, or its end, came twice.
	FaultDoubled Fault = "doubled"
	// FaultWrong: the answer holds text that isn't part of it, or is out of order.
	FaultWrong Fault = "wrong"
)

// answer collects the events of one answer, over all connections of a caller.
type answer struct {
	chunks       []string
	seen         map[string]struct{}
	lastID       string
	ends         int
	duplicates   int
	textAfterEnd int
}

func newAnswer() *answer {
	return &answer{seen: map[string]struct{}{}}
}

// add takes one event's text. It reports whether the event was new.
func (a *answer) add(eventID, text string) bool {
	if eventID != "" {
		if _, dup := a.seen[eventID]; dup {
			a.duplicates++
			return false
		}
		a.seen[eventID] = struct{}{}
		a.lastID = eventID
	}
	if a.ends > 0 && text != "" {
		a.textAfterEnd++
	}
	if text != "" {
		a.chunks = append(a.chunks, text)
	}
	return true
}

// text is what came so far.
func (a *answer) text() string { return strings.Join(a.chunks, "") }

// finish takes the end of the answer.
func (a *answer) finish() { a.ends++ }

// fault compares the answer with the expected text; known is false if there
// is none to compare with.
func (a *answer) fault(expected string, known bool) Fault {
	if a.duplicates > 0 || a.ends > 1 || a.textAfterEnd > 0 {
		return FaultDoubled
	}
	if known {
		if f := compare(a.chunks, expected); f != FaultNone {
			return f
		}
	}
	if a.ends == 0 {
		return FaultLost
	}
	return FaultNone
}

// compare finds the first chunk that is not where it belongs and names the fault.
func compare(chunks []string, expected string) Fault {
	at := 0
	for i, chunk := range chunks {
		if strings.HasPrefix(expected[at:], chunk) {
			at += len(chunk)
			continue
		}
		return mismatchFault(chunks, i, expected, at)
	}
	if at < len(expected) {
		return FaultLost
	}
	return FaultNone
}

// misplaced names the fault of a chunk that does not follow what came before.
func mismatchFault(chunks []string, i int, expected string, at int) Fault {
	if isDuplicate(chunks, i) {
		return FaultDoubled
	}
	if isSubsequence(chunks[i:], expected[at:]) {
		return FaultLost
	}
	return FaultWrong
}

// repeatsEarlier tells whether a chunk came before.
func isDuplicate(chunks []string, i int) bool {
	for _, earlier := range chunks[:i] {
		if earlier == chunks[i] {
			return true
		}
	}
	return false
}

// isSubsequence tells whether all chunks stand in the text in their order.
func isSubsequence(chunks []string, text string) bool {
	for _, chunk := range chunks {
		at := strings.Index(text, chunk)
		if at < 0 {
			return false
		}
		text = text[at+len(chunk):]
	}
	return true
}
