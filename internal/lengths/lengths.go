// Package lengths estimates distributions of output lengths online.
//
// An Estimator keeps one histogram for each recently used combination of service, class and client
// account. Older observations are weighted down, so that a distribution follows changes of its
// account. A key with few observations is smoothed with its class, the class with its service, and the
// service with a fixed prior. The capacity of an Estimator limits its memory.
package lengths

import (
	"container/list"
	"math"
	"math/bits"
	"sync"
)

const (
	// MaxTokens is the longest output length that is distinguished. Longer outputs count in the last
	// bucket.
	MaxTokens = 1 << 17
	// linearBuckets is the number of one-token buckets at the start.
	linearBuckets = 8
	// bucketsPerOctave is the number of buckets per doubling of the length.
	bucketsPerOctave = 4
	bucketCount      = linearBuckets + (17-3)*bucketsPerOctave

	// maxWeight is the total weight at which a histogram halves all its weights.
	maxWeight = 2048
	// parentWeight is the weight of the parent distribution, in observations.
	parentWeight = 4
	// rebuildInterval is the number of observations after which a curve is rebuilt. A histogram with few
	// observations is rebuilt sooner.
	rebuildInterval = 32
	// DefaultCapacity is the default number of keys in an Estimator.
	DefaultCapacity = 1024

	// priorMedian and priorSigma parameterize the log-normal prior. The median is in tokens.
	priorMedian = 150
	priorSigma  = 1.2
)

// bounds[i] is the lowest length in bucket i. bounds[bucketCount] is MaxTokens.
var bounds = computeBounds()

// prior is the curve of a service without observations.
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

// bucketOf returns the bucket for an output of the given number of tokens.
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

// NextBucketBound returns the number of produced tokens at which the conditional values of a running
// generation should be computed again.
func NextBucketBound(produced int) int {
	return int(bounds[min(bucketOf(produced)+1, bucketCount)])
}

// Key identifies a distribution. A Key without Account identifies a class, and one without Account and
// Class a service.
type Key struct {
	Service string
	Class   string
	Account string
}

// parent returns the key whose distribution smooths that of k. It returns false if k is a service.
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

// histogram is a key's histogram, with older observations weighted down.
type histogram struct {
	key          Key
	weights      [bucketCount]float32
	totalWeight  float64
	sinceRebuild int
	curve        *Curve
}

// add counts one output, and halves the weights when their total reaches maxWeight.
func (h *histogram) add(tokens int) {
	h.weights[bucketOf(tokens)]++
	h.totalWeight++
	h.sinceRebuild++
	if h.totalWeight < maxWeight {
		return
	}
	h.totalWeight = 0
	for i := range h.weights {
		h.weights[i] /= 2
		h.totalWeight += float64(h.weights[i])
	}
}

// blendWithParent returns the curve of the histogram plus the parent's distribution at parentWeight.
func (h *histogram) blendWithParent(parent *Curve) *Curve {
	var weights [bucketCount]float64
	for i := range weights {
		parentShare := parent.survival[i] - parent.survival[i+1]
		weights[i] = float64(h.weights[i]) + parentWeight*parentShare
	}
	return newCurve(&weights)
}

// Estimator estimates the distributions of many keys. It is safe for concurrent use.
type Estimator struct {
	mu       sync.Mutex
	capacity int
	elements map[Key]*list.Element
	lru      *list.List
}

// NewEstimator returns an Estimator for at most capacity keys. A capacity of zero or less means
// DefaultCapacity.
func NewEstimator(capacity int) *Estimator {
	if capacity <= 0 {
		capacity = DefaultCapacity
	}
	return &Estimator{capacity: capacity, elements: make(map[Key]*list.Element), lru: list.New()}
}

// Observe records the length of one complete output for the key, its class and its service.
func (e *Estimator) Observe(key Key, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for ok := true; ok; key, ok = key.parent() {
		e.histogram(key).add(tokens)
	}
}

// Curve returns the key's current distribution.
func (e *Estimator) Curve(key Key) *Curve {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.curve(key)
}

func (e *Estimator) curve(key Key) *Curve {
	element, found := e.elements[key]
	if !found {
		return e.parentCurve(key)
	}
	e.lru.MoveToFront(element)
	h := element.Value.(*histogram)
	if h.curve == nil || h.sinceRebuild >= min(rebuildInterval, 1+int(h.totalWeight/8)) {
		h.curve = h.blendWithParent(e.parentCurve(key))
		h.sinceRebuild = 0
	}
	return h.curve
}

func (e *Estimator) parentCurve(key Key) *Curve {
	parent, found := key.parent()
	if !found {
		return prior
	}
	return e.curve(parent)
}

// histogram returns the key's histogram. If the key is new and the Estimator is full, it evicts the
// least recently used key.
func (e *Estimator) histogram(key Key) *histogram {
	if element, found := e.elements[key]; found {
		e.lru.MoveToFront(element)
		return element.Value.(*histogram)
	}
	if e.lru.Len() >= e.capacity {
		oldest := e.lru.Back()
		delete(e.elements, oldest.Value.(*histogram).key)
		e.lru.Remove(oldest)
	}
	h := &histogram{key: key}
	e.elements[key] = e.lru.PushFront(h)
	return h
}

// Len returns the number of keys.
func (e *Estimator) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lru.Len()
}
