// Package document finds, lists and compares the items of live configurations
// for the command line.
package document

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/samphirequay/samphirequay/core/live"
	"github.com/samphirequay/samphirequay/core/revision"
	"github.com/samphirequay/samphirequay/daemon/opapi"
)

// Kinds lists the kinds of items.
var Kinds = []live.Kind{live.KindTeam, live.KindPool, live.KindService, live.KindEndpoint, live.KindLink}

// Item is one item of a document.
type Item struct {
	Kind live.Kind
	Name string
	// Value is a pointer to the live type.
	Value any
}

// Items lists the items of one kind.
func Items(doc *live.Document, kind live.Kind) []Item {
	switch kind {
	case live.KindTeam:
		return collect(doc.Teams, kind, func(t *live.Team) string { return string(t.Name) })
	case live.KindService:
		return collect(doc.Services, kind, func(s *live.Service) string { return string(s.Name) })
	case live.KindPool:
		return collect(doc.Pools, kind, func(p *live.Pool) string { return string(p.Name) })
	case live.KindEndpoint:
		return collect(doc.Endpoints, kind, func(e *live.Endpoint) string { return string(e.Name) })
	case live.KindLink:
		return collect(doc.Links, kind, func(l *live.Link) string { return l.Name })
	default:
		return nil
	}
}

func collect[T any](values []T, kind live.Kind, name func(*T) string) []Item {
	items := make([]Item, 0, len(values))
	for i := range values {
		items = append(items, Item{Kind: kind, Name: name(&values[i]), Value: &values[i]})
	}
	return items
}

// Find returns the item of a kind with a name.
func Find(doc *live.Document, kind live.Kind, name string) (Item, bool) {
	for _, item := range Items(doc, kind) {
		if item.Name == name {
			return item, true
		}
	}
	return Item{}, false
}

// New returns a pointer to an empty item of a kind.
func New(kind live.Kind) (any, error) {
	switch kind {
	case live.KindTeam:
		return &live.Team{}, nil
	case live.KindService:
		return &live.Service{}, nil
	case live.KindPool:
		return &live.Pool{}, nil
	case live.KindEndpoint:
		return &live.Endpoint{}, nil
	case live.KindLink:
		return &live.Link{}, nil
	default:
		return nil, fmt.Errorf("unknown kind %q: must be one of %s", kind, KindNames())
	}
}

// KindNames lists the kinds for messages.
func KindNames() string {
	names := make([]string, len(Kinds))
	for i, k := range Kinds {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}

// Name returns the name within an item that New returned.
func Name(item any) string {
	switch v := item.(type) {
	case *live.Team:
		return string(v.Name)
	case *live.Service:
		return string(v.Name)
	case *live.Pool:
		return string(v.Name)
	case *live.Endpoint:
		return string(v.Name)
	case *live.Link:
		return v.Name
	default:
		return ""
	}
}

// PutOp returns the step that creates or replaces an item.
func PutOp(item Item) (opapi.Op, error) {
	raw, err := json.Marshal(item.Value)
	if err != nil {
		return opapi.Op{}, fmt.Errorf("%s %s: %w", item.Kind, item.Name, err)
	}
	return opapi.Op{Action: revision.ActionPut, Kind: item.Kind, Name: item.Name, Item: raw}, nil
}

// Diff lists the steps that change one document into another; defaults may be
// left out in both. Without prune it deletes no items.
func Diff(from, to *live.Document, prune bool) ([]opapi.Op, error) {
	from, to = live.Normalize(from), live.Normalize(to)
	var ops []opapi.Op
	for _, d := range revision.Diff(from, to) {
		if d.Action == revision.ActionDelete {
			if prune {
				ops = append(ops, opapi.Op{Action: d.Action, Kind: d.Kind, Name: d.Name})
			}
			continue
		}
		item, _ := Find(to, d.Kind, d.Name)
		put, err := PutOp(item)
		if err != nil {
			return nil, err
		}
		ops = append(ops, put)
	}
	return ops, nil
}
