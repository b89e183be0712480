package sched

import "slices"

// cacheIndex maps the first block of a prompt to the prefill endpoints that may
// have it cached. It holds only first blocks of completed prefills; a block is
// removed once no endpoint's cache view contains it.
type cacheIndex struct {
	owners map[uint64][]*endpoint
}

// affinityCandidates bounds the endpoints indexed for one first block.
const affinityCandidates = 8

// newCacheIndex returns an empty cacheIndex.
func newCacheIndex() *cacheIndex {
	return &cacheIndex{owners: map[uint64][]*endpoint{}}
}

// add records that an endpoint has cached the first block of a prompt.
func (x *cacheIndex) add(block uint64, e *endpoint) {
	list := x.owners[block]
	if slices.Contains(list, e) {
		return
	}
	if len(list) >= affinityCandidates {
		list = slices.Delete(list, 0, 1)
	}
	x.owners[block] = append(list, e)
}

// stored records that an endpoint has cached a block, if the block is indexed as
// the first block of a prompt.
func (x *cacheIndex) stored(block uint64, e *endpoint) {
	if _, ok := x.owners[block]; ok {
		x.add(block, e)
	}
}

// remove removes an endpoint from the entry of a block.
func (x *cacheIndex) remove(block uint64, e *endpoint) {
	list, ok := x.owners[block]
	if !ok {
		return
	}
	if i := slices.Index(list, e); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(x.owners, block)
		return
	}
	x.owners[block] = list
}

// find returns the endpoints that may have cached the block.
func (x *cacheIndex) find(block uint64) []*endpoint { return x.owners[block] }
