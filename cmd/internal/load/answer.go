package load

import "strings"

// Fault classifies an incorrect answer.
type Fault string

// The faults of an answer.
const (
	// FaultNone: no fault was detected.
	FaultNone Fault = ""
	// FaultLost: the answer or a part of it was not received.
	FaultLost Fault = "lost"
	// FaultDoubled: a part of the answer or its end marker was received twice.
	FaultDoubled Fault = "doubled"
	// FaultWrong: the answer contains unexpected text or is out of order.
	FaultWrong Fault = "wrong"
)

// answer collects the events of one answer over all its connections.
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

// add appends the text of one event. It returns false if an event with the same
// id was received before; events without an id count as new.
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

// text returns the text received so far.
func (a *answer) text() string { return strings.Join(a.chunks, "") }

// finish records an end marker.
func (a *answer) finish() { a.ends++ }

// fault classifies the answer. It compares the answer with the expected text
// only if known is true.
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

// compare returns the fault of the first chunk that does not match the expected
// text at its position.
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

// mismatchFault classifies chunk i, which does not match the expected text at
// offset at: doubled if an earlier chunk is equal, lost if the remaining chunks
// occur in order in the remaining text, otherwise wrong.
func mismatchFault(chunks []string, i int, expected string, at int) Fault {
	if isDuplicate(chunks, i) {
		return FaultDoubled
	}
	if isSubsequence(chunks[i:], expected[at:]) {
		return FaultLost
	}
	return FaultWrong
}

// isDuplicate reports whether chunk i equals an earlier chunk.
func isDuplicate(chunks []string, i int) bool {
	for _, earlier := range chunks[:i] {
		if earlier == chunks[i] {
			return true
		}
	}
	return false
}

// isSubsequence reports whether all chunks occur in the text in their order.
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
