package sched

import "slices"

// cacheIndex finds the prefill endpoints that may have a prompt's first
// block. Only blocks that began a completed prefill's prompt are in it, and
// each leaves with its last endpoint's view of it.
type cacheIndex struct {
	owners map[uint64][]*endpoint
}

// affinityCandidates bounds the endpoints remembered for one first block.
const affinityCandidates = 8

// newCacheIndex returns an empty index.
func newCacheIndex() *cacheIndex {
	return &cacheIndex{owners: map[uint64][]*endpoint{}}
}

// add notes that an endpoint has a block that begins a prompt.
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

// stored notes that an endpoint has a block, if the block is known to begin a
// prompt.
func (x *cacheIndex) stored(block uint64, e *endpoint) {
	if _, ok := x.owners[block]; ok {
		x.add(block, e)
	}
}

// remove forgets that an endpoint has a block.
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

// find returns the endpoints that may have the block.
func (x *cacheIndex) find(block uint64) []*endpoint { return x.owners[block] }
