package poison

import "time"

// Progress is how far an endpoint was with the answer to a request when it crashed. A
// request that crashes endpoints does so when they begin to run it, so that the one
// that was least far is the likeliest cause.
type Progress uint8

// The steps of an answer.
const (
	// Waiting: no part of the answer had come, or it is not known.
	Waiting Progress = iota
	// Begun: the first part had come less than SettledAnswer ago.
	Begun
	// Answering: the answer had been coming for longer.
	Answering
)

// SettledAnswer is how long an answer must have been coming before its request is
// only suspected of a crash if nothing else had just begun there.
const SettledAnswer = 250 * time.Millisecond

// String returns the name of the step for logs.
func (p Progress) String() string {
	switch p {
	case Waiting:
		return "waiting"
	case Begun:
		return "begun"
	case Answering:
		return "answering"
	default:
		return "unknown"
	}
}

// ProgressOf returns the progress of an answer; started tells whether its first part
// has come, and age how long ago.
func ProgressOf(started bool, age time.Duration) Progress {
	switch {
	case !started:
		return Waiting
	case age < SettledAnswer:
		return Begun
	default:
		return Answering
	}
}
