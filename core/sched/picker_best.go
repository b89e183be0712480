package sched

// bestPicker picks the pair with the highest score; ties are broken by the
// pairs' seeded random tie numbers.
type bestPicker struct{}

func (bestPicker) pick(_ *cycle, pairs []pair) int {
	best := -1
	for i := range pairs {
		if best < 0 || better(&pairs[i], &pairs[best]) {
			best = i
		}
	}
	return best
}

// better reports whether a ranks before b, by score and then by tie.
func better(a, b *pair) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.tie > b.tie
}
