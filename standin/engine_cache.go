package standin

import (
	"strconv"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/samphirequay/samphirequay/endpoint/wire"
	"github.com/valyala/fasthttp"
)

// maxCacheEvents bounds the cache events that an engine keeps.
const maxCacheEvents = 8192

// prefixCache tracks the prompt blocks whose KV cache an engine holds, and keeps
// the log of cache events.
type prefixCache struct {
	blocks     *simplelru.LRU[uint64, struct{}]
	size       int
	lag        time.Duration
	eventLoss  float64
	lastNumber uint64
	log        []timestamped[wire.CacheEventItem]
}

// newPrefixCache returns an empty cache.
func newPrefixCache(cfg EngineConfig) *prefixCache {
	return &prefixCache{
		blocks:    newLRU[uint64, struct{}](cfg.CacheBlocks),
		size:      cfg.CacheBlocks,
		lag:       cfg.CacheLag,
		eventLoss: cfg.CacheEventLoss,
	}
}

// hits returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *prefixCache) hits(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks.Get(block); !ok {
			return i
		}
	}
	return len(blocks)
}

// store adds blocks, evicts the least recently used blocks if the cache is full,
// and records the events.
func (c *prefixCache) store(now time.Time, blocks []uint64, f *faults) {
	for _, block := range blocks {
		if _, ok := c.blocks.Get(block); ok {
			continue
		}
		if c.blocks.Len() >= c.size {
			oldest, _, _ := c.blocks.RemoveOldest()
			c.recordEvent(now, oldest, false, f)
		}
		c.blocks.Add(block, struct{}{})
		c.recordEvent(now, block, true, f)
	}
}

// recordEvent numbers an event and appends it to the log. A lost event takes a
// number, but is not kept.
func (c *prefixCache) recordEvent(now time.Time, block uint64, stored bool, f *faults) {
	c.lastNumber++
	if f.draw(c.eventLoss) {
		return
	}
	item := wire.CacheEventItem{Number: c.lastNumber, Block: block, Stored: stored}
	c.log = append(c.log, timestamped[wire.CacheEventItem]{at: now, value: item})
	if len(c.log) > maxCacheEvents {
		c.log = c.log[len(c.log)-maxCacheEvents:]
	}
}

// eventsAfter lists the visible events with a number above the given one.
func (c *prefixCache) eventsAfter(now time.Time, number uint64) []wire.CacheEventItem {
	out := []wire.CacheEventItem{}
	for _, e := range c.log {
		if e.at.After(now.Add(-c.lag)) {
			break
		}
		if e.value.Number > number {
			out = append(out, e.value)
		}
	}
	return out
}

// serveCacheEvents returns the visible cache events whose numbers are above the
// query argument after.
func (e *Engine) serveCacheEvents(ctx *fasthttp.RequestCtx) {
	after, err := strconv.ParseUint(string(ctx.QueryArgs().Peek("after")), 10, 64)
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	setJSON(ctx, wire.CacheEvents{Events: e.memory.cache.eventsAfter(time.Now(), after)})
}
