package engine

import (
	"container/list"
	"time"

	wire "github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// BytesPerToken is the size of one cached token's keys and values.
const BytesPerToken = wire.BytesPerToken

const keptEvents = 4096

// cache holds prefix blocks in least-recently-used order. Its engine's mutex
// guards it.
type cache struct {
	capacity unit.Tokens
	blocks   map[wire.Block]*list.Element
	order    *list.List
	events   []wire.CacheEvent
	sequence uint64
}

type cached struct {
	block        wire.Block
	parent       wire.Block
	organisation identity.Organisation
	uses         int
	lastUse      time.Time
}

func newCache(capacity unit.Tokens) *cache {
	return &cache{capacity: capacity, blocks: make(map[wire.Block]*list.Element), order: list.New()}
}

func (c *cache) size() unit.Tokens {
	return unit.Tokens(c.order.Len()) * wire.BlockTokens
}

// hit counts how many leading blocks are held, and marks them used.
func (c *cache) hit(blocks []wire.Block) int {
	for i, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			return i
		}
		held := element.Value.(*cached)
		held.uses++
		held.lastUse = time.Now()
		c.order.MoveToFront(element)
	}
	return len(blocks)
}

// store takes in blocks of one prefix that follow parent, which is zero for its
// start.
func (c *cache) store(organisation identity.Organisation, parent wire.Block, blocks []wire.Block) {
	for _, block := range blocks {
		before := parent
		parent = block
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		held := &cached{block: block, parent: before, organisation: organisation, lastUse: time.Now()}
		c.blocks[block] = c.order.PushFront(held)
		c.event(block, true)
	}
	for c.size() > c.capacity {
		c.evict()
	}
}

func (c *cache) evict() {
	oldest := c.order.Back()
	block := oldest.Value.(*cached).block
	c.order.Remove(oldest)
	delete(c.blocks, block)
	c.event(block, false)
}

func (c *cache) event(block wire.Block, stored bool) {
	c.sequence++
	c.events = append(c.events, wire.CacheEvent{
		Sequence: c.sequence, Stored: stored, Block: block, Tokens: wire.BlockTokens,
	})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
	}
}

func (c *cache) entries() []wire.Entry {
	var entries []wire.Entry
	for element := c.order.Front(); element != nil; element = element.Next() {
		held := element.Value.(*cached)
		entries = append(entries, wire.Entry{
			ID:           held.block.ID(),
			Organisation: held.organisation,
			Block:        held.block,
			Parent:       held.parent,
			Tokens:       wire.BlockTokens,
			Bytes:        unit.Bytes(wire.BlockTokens) * BytesPerToken,
			Uses:         held.uses,
			LastUseAgeMS: time.Since(held.lastUse).Milliseconds(),
		})
	}
	return entries
}
