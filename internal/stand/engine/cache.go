package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

// maxCacheEvents limits the cache events that are kept for readers.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of the hashes of prompt prefix blocks that need no prefill, with a log of insertions and
// evictions. Engine.mu guards it.
type prefixCache struct {
	capacity      int
	eventLossRate float64
	random        *rand.Rand
	byHash        map[uint64]*list.Element
	// lru has the most recently used hash in front.
	lru          *list.List
	lastSequence uint64
	events       []timedEvent
}

type timedEvent struct {
	at    time.Time
	event enginewire.CacheEvent
}

func newPrefixCache(capacity int, eventLossRate float64, seed uint64) *prefixCache {
	return &prefixCache{
		capacity:      capacity,
		eventLossRate: eventLossRate,
		random:        rand.New(rand.NewPCG(seed, uint64(capacity))),
		byHash:        make(map[uint64]*list.Element),
		lru:           list.New(),
	}
}

// access inserts the prompt's blocks and returns how many leading bytes were cached already.
func (c *prefixCache) access(prompt string, now time.Time) int {
	cachedBytes, prefixCached := 0, true
	digest := xxhash.New()
	for end := enginewire.PrefixBlockBytes; end <= len(prompt); end += enginewire.PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-enginewire.PrefixBlockBytes : end])
		prefixCached = c.touch(digest.Sum64(), now) && prefixCached
		if prefixCached {
			cachedBytes = end
		}
	}
	return cachedBytes
}

// touch makes the block the most recently used one, inserting it if needed, and reports whether it was cached already.
func (c *prefixCache) touch(hash uint64, now time.Time) bool {
	if element, ok := c.byHash[hash]; ok {
		c.lru.MoveToFront(element)
		return true
	}
	c.byHash[hash] = c.lru.PushFront(hash)
	c.appendEvent(enginewire.CacheEvent{PrefixHash: hash}, now)
	for c.lru.Len() > c.capacity {
		c.evictOldest(now)
	}
	return false
}

func (c *prefixCache) evictOldest(now time.Time) {
	oldest := c.lru.Back()
	hash := c.lru.Remove(oldest).(uint64)
	delete(c.byHash, hash)
	c.appendEvent(enginewire.CacheEvent{PrefixHash: hash, Evicted: true}, now)
}

// appendEvent numbers the event and appends it to the log. A fraction of eventLossRate is dropped, which readers see as
// a gap in the sequence numbers.
func (c *prefixCache) appendEvent(event enginewire.CacheEvent, now time.Time) {
	c.lastSequence++
	event.Sequence = c.lastSequence
	if c.eventLossRate > 0 && c.random.Float64() < c.eventLossRate {
		return
	}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the events with a higher sequence number that happened no later than until.
func (c *prefixCache) eventsAfter(sequence uint64, until time.Time) []enginewire.CacheEvent {
	events := []enginewire.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence > sequence && !timed.at.After(until) {
			events = append(events, timed.event)
		}
	}
	return events
}
