package origin

import (
	"container/list"
	"hash/maphash"
	"sync"
	"time"
)

const (
	shardCount = 16
	// maxRecords bounds the records that a VM holds. The oldest are dropped first.
	maxRecords = 32768
	// maxTTL bounds how long a record is kept, whatever another VM states.
	maxTTL = 10 * time.Minute
)

// store holds records until they expire. It is safe for concurrent use.
type store struct {
	seed   maphash.Seed
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*list.Element
	// byAge holds *storedRecord, the oldest first.
	byAge *list.List
}

type storedRecord struct {
	Record
	expiresAt time.Time
}

func newStore() *store {
	s := &store{seed: maphash.MakeSeed()}
	for i := range s.shards {
		s.shards[i].records, s.shards[i].byAge = make(map[string]*list.Element), list.New()
	}
	return s
}

func (s *store) shard(attempt string) *shard {
	return &s.shards[maphash.String(s.seed, attempt)%shardCount]
}

// put stores a record unless the attempt has one. It drops those that have expired at the old end.
func (s *store) put(record Record, now time.Time) {
	part := s.shard(record.Attempt)
	part.mu.Lock()
	defer part.mu.Unlock()
	for oldest := part.byAge.Front(); oldest != nil; oldest = part.byAge.Front() {
		stored := oldest.Value.(*storedRecord)
		if now.Before(stored.expiresAt) && part.byAge.Len() < maxRecords/shardCount {
			break
		}
		part.byAge.Remove(oldest)
		delete(part.records, stored.Attempt)
	}
	if _, found := part.records[record.Attempt]; found {
		return
	}
	part.records[record.Attempt] = part.byAge.PushBack(&storedRecord{Record: record, expiresAt: now.Add(min(record.TTL, maxTTL))})
}

// get returns the record of the attempt, with the rest of its TTL.
func (s *store) get(attempt string, now time.Time) (Record, bool) {
	part := s.shard(attempt)
	part.mu.Lock()
	defer part.mu.Unlock()
	element, found := part.records[attempt]
	if !found {
		return Record{}, false
	}
	stored := element.Value.(*storedRecord)
	if !now.Before(stored.expiresAt) {
		return Record{}, false
	}
	record := stored.Record
	record.TTL = stored.expiresAt.Sub(now)
	return record, true
}
