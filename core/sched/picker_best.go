package sched

// bestPicker picks the pair of the highest score; ties go by the pairs'
// seeded tie numbers.
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

// better orders pairs by score and tie.
func better(a, b *pair) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.tie > b.tie
}
