// Package length estimates the lengths of answers by class, team and model. It
// keeps a small histogram with decaying samples for each combination, within
// bounded memory. It is pure code, is not safe for concurrent use and imports
// no other package of the router.
package length

import "math"

const (
	// bucketCount is the number of buckets of a histogram; the bounds of each
	// are a factor of the square root of two apart, so that they reach to
	// 65,536 tokens.
	bucketCount = 32

	// minSamples is the weight of samples, as a multiple of that of a new one,
	// from which a histogram is used rather than a more general one.
	minSamples = 20

	// decay is the factor by which the weight of old samples decreases with
	// each new one.
	decay = 0.995

	// PriorMean is the mean in tokens that is assumed without samples.
	PriorMean = 150
)

// Key identifies a histogram. Empty fields stand for any value.
type Key struct {
	Class string
	Team  string
	Model string
}

// Estimator holds the histograms.
type Estimator struct {
	limit      int
	histograms map[Key]*histogram
	samples    uint64
}

// histogram counts samples by bucket. Rather than decay the older samples, each
// new one gets a larger weight; all weights are scaled down when they grow too
// large.
type histogram struct {
	counts     [bucketCount]float32
	weight     float64
	nextWeight float64
	lastUsed   uint64
}

// NewEstimator returns an estimator with at most limit histograms of about 160
// bytes.
func NewEstimator(limit int) *Estimator {
	return &Estimator{limit: limit, histograms: make(map[Key]*histogram)}
}

// Len returns the number of histograms.
func (e *Estimator) Len() int { return len(e.histograms) }

// Observe adds the length of an answer in tokens.
func (e *Estimator) Observe(key Key, tokens int) {
	e.samples++
	for _, k := range [...]Key{key, {Class: key.Class, Model: key.Model}, {Class: key.Class}} {
		e.histogram(k).add(bucket(float64(tokens)))
	}
}

// Mean returns the expected length in tokens of an answer, given the number of
// tokens that it has already generated.
func (e *Estimator) Mean(key Key, generated int) float64 {
	h := e.find(key)
	if h == nil {
		return max(PriorMean, 2*float64(generated))
	}
	first := bucket(float64(generated))
	weight, sum := 0.0, 0.0
	for i := first; i < bucketCount; i++ {
		weight += float64(h.counts[i])
		sum += float64(h.counts[i]) * bucketMidpoint(i)
	}
	if weight <= 0 {
		return 2 * float64(generated)
	}
	return max(sum/weight, float64(generated))
}

// Quantile returns the length in tokens below which the fraction q of answers
// stays.
func (e *Estimator) Quantile(key Key, q float64) float64 {
	h := e.find(key)
	if h == nil {
		return PriorMean * 4 * q
	}
	left := q * h.weight
	for i := range bucketCount {
		left -= float64(h.counts[i])
		if left <= 0 {
			return bucketUpper(i)
		}
	}
	return bucketUpper(bucketCount - 1)
}

// find returns the most specific histogram with enough samples, else the most
// general one that exists, or nil.
func (e *Estimator) find(key Key) *histogram {
	var fallback *histogram
	for _, k := range [...]Key{key, {Class: key.Class, Model: key.Model}, {Class: key.Class}} {
		h, ok := e.histograms[k]
		if !ok {
			continue
		}
		if h.weight/h.nextWeight >= minSamples {
			return h
		}
		fallback = h
	}
	return fallback
}

// histogram returns the histogram of the key and creates it if needed, for
// which a full estimator evicts another one.
func (e *Estimator) histogram(key Key) *histogram {
	if h, ok := e.histograms[key]; ok {
		h.lastUsed = e.samples
		return h
	}
	if len(e.histograms) >= e.limit {
		e.evict()
	}
	h := &histogram{nextWeight: 1, lastUsed: e.samples}
	e.histograms[key] = h
	return h
}

// evict drops the least recently used of a few arbitrary histograms.
func (e *Estimator) evict() {
	const tries = 8
	var oldest Key
	least := uint64(math.MaxUint64)
	tried := 0
	for key, h := range e.histograms {
		if h.lastUsed < least {
			oldest, least = key, h.lastUsed
		}
		tried++
		if tried == tries {
			break
		}
	}
	delete(e.histograms, oldest)
}

// add counts a sample in bucket i.
func (h *histogram) add(i int) {
	const large = 1e6
	h.counts[i] += float32(h.nextWeight)
	h.weight += h.nextWeight
	h.nextWeight /= decay
	if h.nextWeight < large {
		return
	}
	for j := range h.counts {
		h.counts[j] /= large
	}
	h.weight /= large
	h.nextWeight /= large
}

// bucket returns the bucket of a length.
func bucket(tokens float64) int {
	if tokens < 1 {
		return 0
	}
	return min(int(2*math.Log2(tokens)), bucketCount-1)
}

// bucketMidpoint returns the length in the middle of a bucket.
func bucketMidpoint(i int) float64 {
	return math.Exp2((float64(i) + 0.5) / 2)
}

// bucketUpper returns the upper bound of a bucket.
func bucketUpper(i int) float64 {
	return math.Exp2(float64(i+1) / 2)
}
