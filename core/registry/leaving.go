package registry

import "github.com/samphirequay/samphirequay/core/id"

// maxSaidLeaving bounds the recorded endpoints that have said that they leave. It is
// several times the largest fleet, so that none is forgotten while it is present.
const maxSaidLeaving = 4096

// MarkLeaving records an endpoint's own word that it leaves. The word belongs to this
// start of the endpoint and is final: an entry may be written late, lapse or return. It
// reports whether this was not recorded before.
func (l *List) MarkLeaving(name id.Endpoint) bool {
	_, known := l.saidLeaving.Get(name)
	l.saidLeaving.Add(name, struct{}{})
	return !known
}

// leaves reports whether an endpoint leaves, by its entry or by its own word. An endpoint
// that is looked up is the last to be forgotten.
func (l *List) leaves(e *Endpoint) bool {
	_, said := l.saidLeaving.Get(e.Name)
	return said || e.Leaving
}
