package revision

import (
	"reflect"

	"github.com/samphirequay/samphirequay/core/live"
)

// Difference is one item that differs between two documents.
type Difference struct {
	Kind live.Kind
	Name string
	// Action is ActionPut for a new or changed item, ActionDelete for a
	// removed one.
	Action string
}

// Diff lists the items in which b differs from a, by kind: new and changed items
// in the order of b, then removed ones in the order of a.
func Diff(a, b *live.Document) []Difference {
	var out []Difference
	out = append(out, diffItems(live.KindTeam, a.Teams, b.Teams, func(t live.Team) string { return string(t.Name) })...)
	out = append(out, diffItems(live.KindService, a.Services, b.Services, func(s live.Service) string { return string(s.Name) })...)
	out = append(out, diffItems(live.KindPool, a.Pools, b.Pools, func(p live.Pool) string { return string(p.Name) })...)
	out = append(out, diffItems(live.KindEndpoint, a.Endpoints, b.Endpoints, func(e live.Endpoint) string { return string(e.Name) })...)
	out = append(out, diffItems(live.KindLink, a.Links, b.Links, func(l live.Link) string { return l.Name })...)
	return out
}

func diffItems[T any](kind live.Kind, a, b []T, name func(T) string) []Difference {
	old := make(map[string]T, len(a))
	for _, item := range a {
		old[name(item)] = item
	}
	var out []Difference
	kept := make(map[string]bool, len(b))
	for _, item := range b {
		kept[name(item)] = true
		before, ok := old[name(item)]
		if !ok || !reflect.DeepEqual(before, item) {
			out = append(out, Difference{Kind: kind, Name: name(item), Action: ActionPut})
		}
	}
	for _, item := range a {
		if !kept[name(item)] {
			out = append(out, Difference{Kind: kind, Name: name(item), Action: ActionDelete})
		}
	}
	return out
}

// DocumentAt returns the document at a revision, if the follower still holds it.
func (f *Follower) DocumentAt(rev uint64) (*live.Document, bool) {
	for _, d := range f.documents {
		if d.Revision == rev {
			return d, true
		}
	}
	return nil, false
}

// Diff lists the differences between two revisions; it returns false if the
// follower no longer holds both documents.
func (f *Follower) Diff(a, b uint64) ([]Difference, bool) {
	before, ok := f.DocumentAt(a)
	if !ok {
		return nil, false
	}
	after, ok := f.DocumentAt(b)
	if !ok {
		return nil, false
	}
	return Diff(before, after), true
}
