package caller

import (
	"fmt"
	"io"
	"sync"

	"github.com/juju/errors"
)

// errBodyBudget means that the body budget is exhausted.
const errBodyBudget = errors.ConstError("body budget exhausted")

// sharedFraction is the fraction of the budget that unprotected requests may
// use.
const sharedFraction = 0.75

// bodyBudget bounds the total size of the request bodies in memory. A part of
// it is reserved for protected requests, so that a flood of other requests
// can't crowd them out.
type bodyBudget struct {
	size int64

	// mu guards used.
	mu   sync.Mutex
	used int64
}

// reserve takes n bytes from the budget and reports whether they were
// available.
func (b *bodyBudget) reserve(n int64, protected bool) bool {
	limit := b.size
	if !protected {
		limit = int64(sharedFraction * float64(b.size))
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > limit {
		return false
	}
	b.used += n
	return true
}

// release returns n bytes to the budget.
func (b *bodyBudget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// budgetReader reserves what it reads in a body budget.
type budgetReader struct {
	io.Reader

	budget    *bodyBudget
	protected bool

	// reserved is the number of bytes reserved. The owner of the reader
	// releases them.
	reserved int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.budget.reserve(int64(n), r.protected) {
		return 0, fmt.Errorf("read body: %w", errBodyBudget)
	}
	r.reserved += int64(n)
	return n, err
}
