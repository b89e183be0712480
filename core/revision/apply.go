package revision

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// Apply returns the document after the change, at the next revision and with
// defaults filled in, or the faults that prevent the change from being accepted.
// doc is not modified.
func Apply(doc *live.Document, c Change) (*live.Document, []live.Fault) {
	next, faults := applyOps(doc, c)
	if len(faults) > 0 {
		return nil, faults
	}
	if faults = live.Check(next); len(faults) > 0 {
		return nil, faults
	}
	return next, nil
}

// applyOps applies the change without checking the resulting document.
func applyOps(doc *live.Document, c Change) (*live.Document, []live.Fault) {
	next := live.Clone(doc)
	var faults []live.Fault
	for i, op := range c.Ops {
		if err := applyOp(next, op); err != nil {
			faults = append(faults, live.Fault{Path: fmt.Sprintf("ops[%d]", i), Kind: op.Kind, Name: op.Name, Message: err.Error()})
		}
	}
	faults = append(faults, checkChange(c)...)
	if len(faults) > 0 {
		return nil, faults
	}
	next = live.Normalize(next)
	next.Revision = doc.Revision + 1
	return next, nil
}

func checkChange(c Change) []live.Fault {
	var faults []live.Fault
	if c.ID == "" || len(c.ID) > live.MaxNameBytes {
		faults = append(faults, live.Fault{Path: "id", Message: fmt.Sprintf("a change needs an id of 1 to %d bytes", live.MaxNameBytes)})
	}
	if len(c.Ops) == 0 || len(c.Ops) > MaxOps {
		faults = append(faults, live.Fault{Path: "ops", Message: fmt.Sprintf("a change needs 1 to %d ops", MaxOps)})
	}
	return faults
}

func applyOp(doc *live.Document, op Op) error {
	switch op.Kind {
	case live.KindTeam:
		return edit(&doc.Teams, op, func(t *live.Team) *id.Team { return &t.Name }, func(t *live.Team) *live.Labels { return &t.Labels })
	case live.KindService:
		return edit(&doc.Services, op, func(s *live.Service) *id.Service { return &s.Name }, func(s *live.Service) *live.Labels { return &s.Labels })
	case live.KindPool:
		return edit(&doc.Pools, op, func(p *live.Pool) *id.Pool { return &p.Name }, func(p *live.Pool) *live.Labels { return &p.Labels })
	case live.KindEndpoint:
		return edit(&doc.Endpoints, op, func(e *live.Endpoint) *id.Endpoint { return &e.Name }, func(e *live.Endpoint) *live.Labels { return &e.Labels })
	case live.KindLink:
		return edit(&doc.Links, op, func(l *live.Link) *string { return &l.Name }, nil)
	default:
		return fmt.Errorf("kind %q is unknown", op.Kind)
	}
}

// edit applies op to a list of items of one kind.
func edit[T any, N ~string](list *[]T, op Op, name func(*T) *N, labels func(*T) *live.Labels) error {
	at := slices.IndexFunc(*list, func(item T) bool { return string(*name(&item)) == op.Name })
	switch op.Action {
	case ActionPut:
		return put(list, at, op, name)
	case ActionDelete:
		if at < 0 {
			return fmt.Errorf("there is no %s %q to delete", op.Kind, op.Name)
		}
		*list = slices.Delete(*list, at, at+1)
		return nil
	case ActionLabel:
		if labels == nil {
			return fmt.Errorf("a %s has no labels", op.Kind)
		}
		if at < 0 {
			return fmt.Errorf("there is no %s %q to label", op.Kind, op.Name)
		}
		setLabels(labels(&(*list)[at]), op.Labels)
		return nil
	default:
		return fmt.Errorf("action %q is unknown", op.Action)
	}
}

func put[T any, N ~string](list *[]T, at int, op Op, name func(*T) *N) error {
	var item T
	d := json.NewDecoder(bytes.NewReader(op.Item))
	d.DisallowUnknownFields()
	if err := d.Decode(&item); err != nil {
		return fmt.Errorf("the item can't be read: %w", err)
	}
	if *name(&item) == "" {
		*name(&item) = N(op.Name)
	}
	if string(*name(&item)) != op.Name {
		return fmt.Errorf("the item's name is %q", *name(&item))
	}
	if at >= 0 {
		(*list)[at] = item
		return nil
	}
	*list = append(*list, item)
	return nil
}

func setLabels(labels *live.Labels, set live.Labels) {
	if *labels == nil {
		*labels = live.Labels{}
	}
	for k, v := range set {
		if v == "" {
			delete(*labels, k)
			continue
		}
		(*labels)[k] = v
	}
}

// Overlap lists the items that both changes modify, as "kind/name", in the order of a.
func Overlap(a, b Change) []string {
	var out []string
	for _, x := range a.Ops {
		sameItem := func(y Op) bool { return x.Kind == y.Kind && x.Name == y.Name }
		item := string(x.Kind) + "/" + x.Name
		if slices.ContainsFunc(b.Ops, sameItem) && !slices.Contains(out, item) {
			out = append(out, item)
		}
	}
	return out
}
