package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"godwitcart/internal/wire/enginewire"
)

// maxCacheEvents is how many cache events are kept for readers.
const maxCacheEvents = 4096

// prefixCache holds the blocks of prompt prefixes that need no recomputation, the least
// recently used evicted first, and the log of its changes. Its owner's lock guards it.
type prefixCache struct {
	limit  int
	loss   float64
	random *rand.Rand
	byHash map[uint64]*list.Element
	// recent has the most recently used hash in front.
	recent   *list.List
	sequence uint64
	events   []timedEvent
}

type timedEvent struct {
	at    time.Time
	event enginewire.CacheEvent
}

func newPrefixCache(limit int, loss float64, seed uint64) *prefixCache {
	return &prefixCache{
		limit:  limit,
		loss:   loss,
		random: rand.New(rand.NewPCG(seed, uint64(limit))),
		byHash: make(map[uint64]*list.Element),
		recent: list.New(),
	}
}

// use stores the prompt's blocks and returns how many leading bytes were stored already.
func (c *prefixCache) use(prompt string, now time.Time) int {
	cached, hit := 0, true
	digest := xxhash.New()
	for end := enginewire.PrefixBlockBytes; end <= len(prompt); end += enginewire.PrefixBlockBytes {
		_, _ = digest.WriteString(prompt[end-enginewire.PrefixBlockBytes : end])
		hit = c.touch(digest.Sum64(), now) && hit
		if hit {
			cached = end
		}
	}
	return cached
}

// touch makes the block the most recently used one and reports whether it was stored.
func (c *prefixCache) touch(hash uint64, now time.Time) bool {
	if element, ok := c.byHash[hash]; ok {
		c.recent.MoveToFront(element)
		return true
	}
	c.byHash[hash] = c.recent.PushFront(hash)
	c.log(enginewire.CacheEvent{PrefixHash: hash}, now)
	for c.recent.Len() > c.limit {
		c.evictOldest(now)
	}
	return false
}

func (c *prefixCache) evictOldest(now time.Time) {
	oldest := c.recent.Back()
	hash := c.recent.Remove(oldest).(uint64)
	delete(c.byHash, hash)
	c.log(enginewire.CacheEvent{PrefixHash: hash, Evicted: true}, now)
}

// log numbers the event; some are dropped, which readers see as a gap.
func (c *prefixCache) log(event enginewire.CacheEvent, now time.Time) {
	c.sequence++
	event.Sequence = c.sequence
	if c.loss > 0 && c.random.Float64() < c.loss {
		return
	}
	c.events = append(c.events, timedEvent{at: now, event: event})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents/2:]
	}
}

// eventsAfter returns the events after a sequence that had happened by the time.
func (c *prefixCache) eventsAfter(sequence uint64, by time.Time) []enginewire.CacheEvent {
	events := []enginewire.CacheEvent{}
	for _, timed := range c.events {
		if timed.event.Sequence > sequence && !timed.at.After(by) {
			events = append(events, timed.event)
		}
	}
	return events
}
