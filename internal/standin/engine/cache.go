package engine

import (
	"container/list"
	"time"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// BytesPerToken is the size of the attention keys and values of one cached
// token.
const BytesPerToken = wire.BytesPerToken

// maxCacheEvents limits how many of the latest cache events are kept.
const maxCacheEvents = 4096

// cache is a prefix cache with least-recently-used eviction. It is guarded by
// the mutex of its engine.
type cache struct {
	capacity unit.Tokens
	blocks   map[wire.Block]*list.Element
	recent   *list.List
	events   []wire.CacheEvent
	sequence uint64
}

// cacheEntry is a cached block; parent is the block before it in the prefix.
type cacheEntry struct {
	block        wire.Block
	parent       wire.Block
	organisation identity.Organisation
	uses         int
	lastUse      time.Time
}

func newCache(capacity unit.Tokens) *cache {
	return &cache{capacity: capacity, blocks: make(map[wire.Block]*list.Element), recent: list.New()}
}

func (c *cache) size() unit.Tokens {
	return unit.Tokens(c.recent.Len()) * wire.BlockTokens
}

// touchPrefix returns how many leading blocks are cached, and marks these as
// recently used.
func (c *cache) touchPrefix(blocks []wire.Block) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		entry := element.Value.(*cacheEntry)
		entry.uses++
		entry.lastUse = time.Now()
		c.recent.MoveToFront(element)
	}
	return len(blocks)
}

// store caches consecutive blocks of a prefix. parent is the block before the
// first of them, or zero at the start of the prefix.
func (c *cache) store(organisation identity.Organisation, parent wire.Block, blocks []wire.Block) {
	for _, block := range blocks {
		previous := parent
		parent = block
		if element, ok := c.blocks[block]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		entry := &cacheEntry{block: block, parent: previous, organisation: organisation, lastUse: time.Now()}
		c.blocks[block] = c.recent.PushFront(entry)
		c.recordEvent(block, true)
	}
	for c.size() > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	oldest := c.recent.Back()
	block := oldest.Value.(*cacheEntry).block
	c.recent.Remove(oldest)
	delete(c.blocks, block)
	c.recordEvent(block, false)
}

func (c *cache) recordEvent(block wire.Block, stored bool) {
	c.sequence++
	c.events = append(c.events, wire.CacheEvent{
		Sequence: c.sequence, Stored: stored, Block: block, Tokens: wire.BlockTokens,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

func (c *cache) entries() []wire.Entry {
	var entries []wire.Entry
	for element := c.recent.Front(); element != nil; element = element.Next() {
		entry := element.Value.(*cacheEntry)
		entries = append(entries, wire.Entry{
			ID:           entry.block.ID(),
			Organisation: entry.organisation,
			Block:        entry.block,
			Parent:       entry.parent,
			Tokens:       wire.BlockTokens,
			Bytes:        unit.Bytes(wire.BlockTokens) * BytesPerToken,
			Hits:         entry.uses,
			LastUseAgeMS: time.Since(entry.lastUse).Milliseconds(),
		})
	}
	return entries
}
