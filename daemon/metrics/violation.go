package metrics

import "fmt"

// OnViolation sets what else is done when an invariant is violated, such as
// writing an error line. It is called outside of all locks of the registry.
func (r *Registry) OnViolation(f func(name, detail string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onViolation = f
}

// PanicOnViolation makes every violated invariant a panic; for tests.
func (r *Registry) PanicOnViolation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.panicOnFault = true
}

// Violation counts a violated invariant. The name comes from a bounded set,
// the detail is for the log.
func (r *Registry) Violation(name, detail string) {
	r.violations.Add(name, 1)
	r.mu.Lock()
	report := r.onViolation
	fatal := r.panicOnFault
	r.mu.Unlock()
	if report != nil {
		report(name, detail)
	}
	if fatal {
		panic(fmt.Sprintf("invariant violated: %s: %s", name, detail))
	}
}

// Violations returns how many invariants were violated since the start.
func (r *Registry) Violations() uint64 { return uint64(r.violations.Total()) }
