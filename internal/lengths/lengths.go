// Package lengths keeps online distributions of output lengths.
//
// A Book holds one histogram for each service, class and client account that it has seen
// lately. Old observations lose weight, so a distribution follows its account. A key with few
// observations borrows from its class, the class from its service, and the service from a
// prior. The memory of a Book is bounded by its capacity.
package lengths

import (
	"container/list"
	"math"
	"math/bits"
	"sync"
)

const (
	// MaxTokens is the longest output that is told apart; longer ones count as this long.
	MaxTokens = 1 << 17
	// linearBuckets is the number of buckets of one token each at the start.
	linearBuckets = 8
	// bucketsPerOctave is the number of buckets for each doubling of the length.
	bucketsPerOctave = 4
	bucketCount      = linearBuckets + (17-3)*bucketsPerOctave

	// maxWeight is the weight of observations at which a histogram halves its weights.
	maxWeight = 2048
	// borrowedWeight is the weight of the parent distribution, in observations.
	borrowedWeight = 4
	// refreshAfter is the number of observations after which a well filled curve is rebuilt.
	refreshAfter = 32
	// DefaultCapacity is the number of keys that a Book holds by default.
	DefaultCapacity = 1024

	// priorMedian and priorSigma describe the log-normal prior, in tokens.
	priorMedian = 150
	priorSigma  = 1.2
)

// bounds[i] is the lowest length in bucket i; bounds[bucketCount] is MaxTokens.
var bounds = computeBounds()

// prior is the curve of a service of which nothing has been seen.
var prior = newPrior()

func computeBounds() [bucketCount + 1]float64 {
	var edges [bucketCount + 1]float64
	for i := range edges {
		if i < linearBuckets {
			edges[i] = float64(i)
			continue
		}
		octave := (i - linearBuckets) / bucketsPerOctave
		step := (i - linearBuckets) % bucketsPerOctave
		edges[i] = float64(int(linearBuckets)<<octave) * (1 + float64(step)/bucketsPerOctave)
	}
	return edges
}

func newPrior() *Curve {
	var weights [bucketCount]float64
	cumulative := func(tokens float64) float64 {
		return 0.5 * math.Erfc(-math.Log(max(tokens, 0.5)/priorMedian)/(priorSigma*math.Sqrt2))
	}
	for i := range weights {
		weights[i] = cumulative(bounds[i+1]) - cumulative(bounds[i])
	}
	return newCurve(&weights)
}

// bucketOf returns the bucket of an output of tokens.
func bucketOf(tokens int) int {
	if tokens < linearBuckets {
		return max(tokens, 0)
	}
	if tokens >= MaxTokens {
		return bucketCount - 1
	}
	octave := bits.Len(uint(tokens)) - 4
	step := (tokens >> (octave + 1)) & (bucketsPerOctave - 1)
	return linearBuckets + octave*bucketsPerOctave + step
}

// NextChange returns the number of tokens produced at which the conditional figures of a
// running generation are next worth computing anew.
func NextChange(produced int) int {
	return int(bounds[min(bucketOf(produced)+1, bucketCount)])
}

// Key names a distribution. An empty Account stands for the class, and an empty Account and
// Class for the service.
type Key struct {
	Service string
	Class   string
	Account string
}

// parent returns the key that k borrows from, and false for a service.
func (k Key) parent() (Key, bool) {
	switch {
	case k.Account != "":
		return Key{Service: k.Service, Class: k.Class}, true
	case k.Class != "":
		return Key{Service: k.Service}, true
	default:
		return Key{}, false
	}
}

// histogram is the decayed histogram of one key.
type histogram struct {
	key     Key
	weights [bucketCount]float32
	total   float64
	pending int
	curve   *Curve
}

// add counts one output and halves the weights at maxWeight.
func (h *histogram) add(tokens int) {
	h.weights[bucketOf(tokens)]++
	h.total++
	h.pending++
	if h.total < maxWeight {
		return
	}
	h.total = 0
	for i := range h.weights {
		h.weights[i] /= 2
		h.total += float64(h.weights[i])
	}
}

// blend returns the curve of the histogram with its parent at borrowedWeight.
func (h *histogram) blend(parent *Curve) *Curve {
	var weights [bucketCount]float64
	for i := range weights {
		borrowed := parent.survival[i] - parent.survival[i+1]
		weights[i] = float64(h.weights[i]) + borrowedWeight*borrowed
	}
	return newCurve(&weights)
}

// Book holds the distributions of all keys. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	capacity int
	entries  map[Key]*list.Element
	recent   *list.List
}

// NewBook returns a Book of at most capacity keys; zero means DefaultCapacity.
func NewBook(capacity int) *Book {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Book{capacity: capacity, entries: make(map[Key]*list.Element), recent: list.New()}
}

// Observe counts one complete output for the key, its class and its service.
func (b *Book) Observe(key Key, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for more := true; more; key, more = key.parent() {
		b.entry(key).add(tokens)
	}
}

// Curve returns the current distribution of the key.
func (b *Book) Curve(key Key) *Curve {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.curve(key)
}

func (b *Book) curve(key Key) *Curve {
	element, found := b.entries[key]
	if !found {
		return b.parentCurve(key)
	}
	b.recent.MoveToFront(element)
	h := element.Value.(*histogram)
	if h.curve == nil || h.pending >= min(refreshAfter, 1+int(h.total/8)) {
		h.curve = h.blend(b.parentCurve(key))
		h.pending = 0
	}
	return h.curve
}

func (b *Book) parentCurve(key Key) *Curve {
	parent, found := key.parent()
	if !found {
		return prior
	}
	return b.curve(parent)
}

// entry returns the histogram of the key and evicts the one used longest ago when full.
func (b *Book) entry(key Key) *histogram {
	if element, found := b.entries[key]; found {
		b.recent.MoveToFront(element)
		return element.Value.(*histogram)
	}
	if b.recent.Len() >= b.capacity {
		oldest := b.recent.Back()
		delete(b.entries, oldest.Value.(*histogram).key)
		b.recent.Remove(oldest)
	}
	h := &histogram{key: key}
	b.entries[key] = b.recent.PushFront(h)
	return h
}

// Len returns the number of keys held.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.recent.Len()
}
