package standin

import "github.com/hashicorp/golang-lru/v2/simplelru"

// Runs is how often a request or an idempotency key was run.
type Runs struct {
	Name string `json:"name"`
	Runs int    `json:"runs"`
}

// runCounter counts runs by name for the most recently run names, at most
// maxCountedKeys.
type runCounter struct {
	runs *simplelru.LRU[string, int]
}

// newRunCounter returns an empty counter.
func newRunCounter() runCounter { return runCounter{runs: newLRU[string, int](maxCountedKeys)} }

// newLRU returns a map of at most size entries that evicts the least recently
// used one.
func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	lru, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below 1
	}
	return lru
}

// add counts a run and returns the number of runs of that name so far.
func (c runCounter) add(name string) int {
	n, _ := c.runs.Get(name)
	c.runs.Add(name, n+1)
	return n + 1
}

// list returns the counts, the least recently run name first.
func (c runCounter) list() []Runs {
	out := make([]Runs, 0, c.runs.Len())
	for _, name := range c.runs.Keys() {
		n, _ := c.runs.Peek(name)
		out = append(out, Runs{Name: name, Runs: n})
	}
	return out
}
