package sched

import (
	"github.com/rotisserie/eris"
	"k8s.io/apimachinery/pkg/labels"

	"github.com/samphirequay/samphirequay/core/id"
	"github.com/samphirequay/samphirequay/core/live"
)

// FindPool returns the pool of that name, or nil.
func FindPool(doc *live.Document, name id.Pool) *live.Pool {
	for i := range doc.Pools {
		if doc.Pools[i].Name == name {
			return &doc.Pools[i]
		}
	}
	return nil
}

// PoolEndpoints returns the pool's endpoints in the document's order.
func PoolEndpoints(doc *live.Document, pool *live.Pool) ([]*live.Endpoint, error) {
	selector, err := labels.Parse(pool.EndpointSelector)
	if err != nil {
		return nil, eris.Wrapf(err, "pool %s: endpoint selector %q", pool.Name, pool.EndpointSelector)
	}
	var found []*live.Endpoint
	for i := range doc.Endpoints {
		if selector.Matches(live.EndpointLabels(&doc.Endpoints[i])) {
			found = append(found, &doc.Endpoints[i])
		}
	}
	return found, nil
}

// LabelledRole returns the role in the endpoint's label.
func LabelledRole(e *live.Endpoint) live.Role {
	return live.Role(e.Labels[live.LabelRole])
}
