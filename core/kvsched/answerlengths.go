package kvsched

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxAnswerLengths is how many answers the distribution of lengths rests on.
	maxAnswerLengths = 64
	// minAnswerLengths is how many it takes until the distribution is used.
	minAnswerLengths = 8
	// overlongShare is the share of its length so far that an answer is taken to add which is
	// longer than all that were seen.
	overlongShare = 0.1
	// quantileSteps is the number of distinct quantiles.
	quantileSteps = 1024
)

// answerLengths is the distribution of the lengths of answers, relative to what was expected of
// each. An answer that has outgrown its expectation ends at no predictable time, but among
// hundreds the share that ends soon is known.
type answerLengths struct {
	recent []float64
	next   int
	sorted []float64
}

// add adds an answer that ended.
func (a *answerLengths) add(ratio float64) {
	if len(a.recent) < maxAnswerLengths {
		a.recent = append(a.recent, ratio)
	} else {
		a.recent[a.next] = ratio
		a.next = (a.next + 1) % maxAnswerLengths
	}
	a.sorted = append(a.sorted[:0], a.recent...)
	slices.Sort(a.sorted)
}

// expected returns the length at which an answer ends that is longer than the given one, as a
// quantile of those seen. Lengths are relative to what was expected.
func (a *answerLengths) expected(longer, quantile float64) float64 {
	if len(a.sorted) < minAnswerLengths {
		return max(1, longer*(1+overlongShare))
	}
	first, _ := slices.BinarySearch(a.sorted, longer)
	rest := a.sorted[first:]
	if len(rest) == 0 {
		return longer * (1 + overlongShare)
	}
	return max(rest[int(quantile*float64(len(rest)))], longer)
}

// leavesIn predicts how many tokens a granted request will generate until it ends. Each request
// has a quantile of its own, so that the ends of many are spread as those of earlier ones were.
func (l *Ledger) leavesIn(r *reservation) float64 {
	output := max(1, r.output)
	quantile := float64(xxhash.Sum64String(string(r.want.Request))%quantileSteps) / quantileSteps
	if r.decodingAt == 0 {
		wait := r.grantedAt + l.firstToken.expected(r.want.PromptTokens) - l.now
		return l.answers.expected(0, quantile)*output + max(0, wait.Seconds())*l.decodeRate.perSecond()
	}
	progress := (l.now - r.decodingAt).Seconds() * l.decodeRate.perSecond() / output
	return (l.answers.expected(progress, quantile) - progress) * output
}
