// Package length learns how long answers get, by class, team and model. It
// keeps a small histogram for each combination, which forgets, within a bounded
// memory. It is pure code, is not safe for concurrent use and imports nothing
// of the router.
package length

import "math"

const (
	// buckets is the number of buckets of a histogram; each is a factor of the
	// square root of two wide, so that they reach to 65,536 tokens.
	buckets = 32

	// enough is the weight of samples from which a histogram speaks alone.
	enough = 20

	// keep is the factor by which old samples fade with each new one.
	keep = 0.995

	// PriorMean is the mean in tokens that is assumed without samples.
	PriorMean = 150
)

// Key names what a histogram is about. Empty fields stand for any value.
type Key struct {
	Class string
	Team  string
	Model string
}

// Estimator holds the histograms.
type Estimator struct {
	limit int
	seen  map[Key]*histogram
	tick  uint64
}

// histogram counts samples by bucket. Each sample weighs more than the older
// ones, by a factor that is taken out of all when it grows large.
type histogram struct {
	counts [buckets]float32
	weight float64
	next   float64
	used   uint64
}

// NewEstimator returns a book of at most limit histograms of about 160 bytes.
func NewEstimator(limit int) *Estimator {
	return &Estimator{limit: limit, seen: make(map[Key]*histogram)}
}

// Len returns the number of histograms.
func (b *Estimator) Len() int { return len(b.seen) }

// Observe takes in the length of an answer in tokens.
func (b *Estimator) Observe(key Key, tokens int) {
	b.tick++
	for _, k := range [...]Key{key, {Class: key.Class, Model: key.Model}, {Class: key.Class}} {
		b.histogram(k).add(bucket(float64(tokens)))
	}
}

// Mean returns the expected length in tokens of an answer that has already
// generated some tokens.
func (b *Estimator) Mean(key Key, generated int) float64 {
	h := b.find(key)
	if h == nil {
		return max(PriorMean, 2*float64(generated))
	}
	first := bucket(float64(generated))
	weight, sum := 0.0, 0.0
	for i := first; i < buckets; i++ {
		weight += float64(h.counts[i])
		sum += float64(h.counts[i]) * middle(i)
	}
	if weight <= 0 {
		return 2 * float64(generated)
	}
	return max(sum/weight, float64(generated))
}

// Quantile returns the length in tokens that the fraction q of answers stays
// under.
func (b *Estimator) Quantile(key Key, q float64) float64 {
	h := b.find(key)
	if h == nil {
		return PriorMean * 4 * q
	}
	left := q * h.weight
	for i := range buckets {
		left -= float64(h.counts[i])
		if left <= 0 {
			return upper(i)
		}
	}
	return upper(buckets - 1)
}

// find returns the most specific histogram with enough samples, else the most
// general one that has any.
func (b *Estimator) find(key Key) *histogram {
	var general *histogram
	for _, k := range [...]Key{key, {Class: key.Class, Model: key.Model}, {Class: key.Class}} {
		h, ok := b.seen[k]
		if !ok {
			continue
		}
		if h.weight/h.next >= enough {
			return h
		}
		general = h
	}
	return general
}

// histogram returns the histogram of the key and makes it if need be. When the
// book is full it forgets the one that was not used for longest among a few.
func (b *Estimator) histogram(key Key) *histogram {
	if h, ok := b.seen[key]; ok {
		h.used = b.tick
		return h
	}
	if len(b.seen) >= b.limit {
		b.forget()
	}
	h := &histogram{next: 1, used: b.tick}
	b.seen[key] = h
	return h
}

// forget drops the least recently used of a few histograms.
func (b *Estimator) forget() {
	const tries = 8
	var oldest Key
	least := uint64(math.MaxUint64)
	tried := 0
	for key, h := range b.seen {
		if h.used < least {
			oldest, least = key, h.used
		}
		tried++
		if tried == tries {
			break
		}
	}
	delete(b.seen, oldest)
}

// add counts a sample.
func (h *histogram) add(i int) {
	const large = 1e6
	h.counts[i] += float32(h.next)
	h.weight += h.next
	h.next /= keep
	if h.next < large {
		return
	}
	for j := range h.counts {
		h.counts[j] /= large
	}
	h.weight /= large
	h.next /= large
}

// bucket returns the bucket of a length.
func bucket(tokens float64) int {
	if tokens < 1 {
		return 0
	}
	return min(int(2*math.Log2(tokens)), buckets-1)
}

// middle returns the length in the middle of a bucket.
func middle(i int) float64 {
	return math.Exp2((float64(i) + 0.5) / 2)
}

// upper returns the upper bound of a bucket.
func upper(i int) float64 {
	return math.Exp2(float64(i+1) / 2)
}
