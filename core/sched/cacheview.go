package sched

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cacheView estimates which prefix blocks an engine has cached. It is bounded,
// its entries expire, and it is cleared after a gap in the engine's events or a
// restart of the engine.
type cacheView struct {
	blocks *simplelru.LRU[uint64, time.Duration]
	life   time.Duration
}

// newCacheView returns an empty view of at most size blocks, each valid for
// life; onRemove is called for each block that is removed from the view.
func newCacheView(size int, life time.Duration, onRemove func(block uint64)) *cacheView {
	onEvict := func(block uint64, _ time.Duration) { onRemove(block) }
	blocks, err := simplelru.NewLRU(max(1, size), onEvict)
	if err != nil {
		panic("sched: cache view: " + err.Error())
	}
	return &cacheView{blocks: blocks, life: life}
}

// store records that a block is cached.
func (c *cacheView) store(now time.Duration, block uint64) { c.blocks.Add(block, now) }

// drop records that a block is no longer cached.
func (c *cacheView) drop(block uint64) { c.blocks.Remove(block) }

// clear removes all blocks.
func (c *cacheView) clear() { c.blocks.Purge() }

// match counts the leading blocks of a prefix that are assumed to be cached.
// Since hashes are chained, a block is cached only together with its
// predecessors.
func (c *cacheView) match(now time.Duration, prefix []uint64) int {
	for i, block := range prefix {
		at, ok := c.blocks.Peek(block)
		if !ok || now-at > c.life {
			return i
		}
	}
	return len(prefix)
}
