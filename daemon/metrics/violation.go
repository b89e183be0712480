package metrics

import "fmt"

// OnViolation sets a function that is called for each violated invariant, for
// example to log an error. It is called without any lock of the registry held.
func (r *Registry) OnViolation(f func(name, detail string)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onViolation = f
}

// PanicOnViolation makes every violated invariant cause a panic; for tests.
func (r *Registry) PanicOnViolation() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.panicOnViolation = true
}

// Violation counts and reports a violated invariant. The name must come from a
// bounded set; the detail is for the log.
func (r *Registry) Violation(name, detail string) {
	r.violations.Add(name, 1)
	r.mu.Lock()
	report := r.onViolation
	fatal := r.panicOnViolation
	r.mu.Unlock()
	if report != nil {
		report(name, detail)
	}
	if fatal {
		panic(fmt.Sprintf("invariant violated: %s: %s", name, detail))
	}
}

// Violations returns the number of violations since the start.
func (r *Registry) Violations() uint64 { return uint64(r.violations.Total()) }
