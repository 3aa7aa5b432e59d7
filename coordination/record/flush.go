package record

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/pause"
	"snipetally.example/coordination/table"
)

const (
	// maxFlushRows is the maximum number of rows in one transaction of
	// outcomes.
	maxFlushRows = 16

	// maxUnrecordedWrites is the maximum number of records of unrecorded
	// attempts that are written concurrently.
	maxUnrecordedWrites = 64
)

// wake makes flushLoop write the dirty pages and the unrecorded attempts.
func (r *Recorder) wake() {
	select {
	case r.wakeups <- struct{}{}:
	default:
	}
}

// flushLoop writes outcomes in batches until the context ends.
func (r *Recorder) flushLoop(ctx context.Context) {
	for {
		select {
		case <-r.wakeups:
		case <-ctx.Done():
			return
		}
		if !pause.For(ctx, r.config.FlushDelay) {
			return
		}
		if r.flush(ctx) != nil {
			r.wake()
		}
	}
}

// flush writes the records of unrecorded attempts and all dirty pages. An error
// means that some are left.
func (r *Recorder) flush(ctx context.Context) error {
	r.flushMu.Lock()
	defer r.flushMu.Unlock()
	err := r.flushUnrecorded(ctx)
	for {
		pages := r.dirtyPages()
		if len(pages) == 0 {
			return err
		}
		if pageErr := r.flushPages(ctx, pages); pageErr != nil {
			return pageErr
		}
	}
}

// dirtyPages returns up to maxFlushRows pages that have unwritten outcomes.
func (r *Recorder) dirtyPages() []*page {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pages []*page
	for p := range r.dirty {
		if len(pages) == maxFlushRows {
			break
		}
		pages = append(pages, p)
	}
	return pages
}

// flushPages writes pages in one transaction. Each write checks the version of
// its row, so that an earlier write of the same page that arrives late can't
// replace a later one.
func (r *Recorder) flushPages(ctx context.Context, pages []*page) error {
	failed := r.storeLargeResponses(ctx, pages)
	var tx table.Transaction
	edits := make([]int, len(pages))
	for i, p := range pages {
		r.mu.Lock()
		value, err := encodePage(p.attempts, p.outcomes, r.isWritable)
		edits[i] = p.edits
		version := p.version
		r.mu.Unlock()
		if err != nil {
			return fmt.Errorf("flush outcomes: %w", err)
		}
		tx.Checks = append(tx.Checks, table.Check{Key: p.key, Version: version})
		tx.Writes = append(tx.Writes, table.Write{Key: p.key, Value: value})
	}
	err := r.commitPages(ctx, tx)
	if err != nil && errors.Is(err, table.ErrUnavailable) {
		return fmt.Errorf("flush outcomes: %w", err)
	}
	// The versions are read in both cases: after success because a commit does
	// not return them, otherwise because it may have taken effect. If they
	// can't be read, the next write fails its check and they are read again.
	r.refreshPages(ctx, pages)
	if err != nil {
		return fmt.Errorf("flush outcomes: %w", err)
	}
	r.markWritten(pages, edits, failed)
	if len(failed) > 0 {
		return fmt.Errorf("store large responses of %d pages: %w", len(failed), table.ErrUnavailable)
	}
	return nil
}

// commitPages commits a transaction of outcomes.
func (r *Recorder) commitPages(ctx context.Context, tx table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, r.config.CallTimeout)
	defer cancel()
	r.config.observe(ctx, StepFlush)
	r.count.transactions.Add(1)
	r.count.rows.Add(uint64(len(tx.Writes)))
	err := r.config.Table.Commit(ctx, tx)
	r.config.observe(ctx, StepFlushDone)
	if err != nil {
		return fmt.Errorf("commit pages: %w", err)
	}
	return nil
}

// refreshPages reads the versions of pages, which the next write of them
// checks.
func (r *Recorder) refreshPages(ctx context.Context, pages []*page) {
	keys := make([]string, 0, len(pages))
	for _, p := range pages {
		keys = append(keys, p.key)
	}
	rows, err := readRows(ctx, &r.config, &r.count, keys...)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range pages {
		p.version = rows[i].Version
	}
}

// markWritten marks pages as written, except failed ones and those to which
// outcomes were added since. The attempts on them become recent.
func (r *Recorder) markWritten(pages []*page, edits []int, failed map[*page]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, p := range pages {
		if edits[i] != p.edits || failed[p] {
			continue
		}
		delete(r.dirty, p)
		for _, id := range p.attempts {
			r.moveToRecent(id)
		}
	}
}

// storeLargeResponses writes the large responses of pages to the object store.
// It returns the pages of which some response could not be written.
func (r *Recorder) storeLargeResponses(ctx context.Context, pages []*page) map[*page]bool {
	failed := make(map[*page]bool)
	for _, p := range pages {
		for id, o := range r.largeOutcomes(p) {
			object, err := r.storeResponse(ctx, p.hour, id, o.Response)
			if err != nil {
				failed[p] = true
				break
			}
			r.mu.Lock()
			o.object = object
			r.mu.Unlock()
		}
	}
	return failed
}

// largeOutcomes returns the outcomes of a page whose responses have yet to be
// written to the object store.
func (r *Recorder) largeOutcomes(p *page) map[string]*storedOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(map[string]*storedOutcome)
	for id, o := range p.outcomes {
		if !r.isWritable(o) {
			found[id] = o
		}
	}
	return found
}

// isWritable reports whether an outcome can be written to its page, because its
// response is small or already stored as an object. The caller holds r.mu.
func (r *Recorder) isWritable(o *storedOutcome) bool {
	return o.Response == nil || o.object != "" || o.Response.size() <= r.config.MaxInline
}

// storeResponse writes a response as an object and returns the object's name.
func (r *Recorder) storeResponse(ctx context.Context, hour, attempt string, response *Response) (string, error) {
	data, err := encodeResponse(response)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	name := objectPrefix + hour + "/" + attempt
	r.count.objects.Add(1)
	if err := r.config.Store.Put(ctx, name, data); err != nil {
		return "", fmt.Errorf("store response: %w", err)
	}
	return name, nil
}

// flushUnrecorded writes the records of attempts that were granted without one.
// An error means that some are left.
func (r *Recorder) flushUnrecorded(ctx context.Context) error {
	for {
		pending := r.someUnrecorded()
		if len(pending) == 0 {
			return nil
		}
		var written atomic.Int64
		var writers sync.WaitGroup
		for _, a := range pending {
			writers.Go(func() {
				if r.writeUnrecorded(ctx, a) {
					written.Add(1)
				}
			})
		}
		writers.Wait()
		if written.Load() == 0 {
			return fmt.Errorf("%d records not written: %w", len(pending), table.ErrUnavailable)
		}
	}
}

// someUnrecorded returns up to maxUnrecordedWrites attempts whose record is not
// written.
func (r *Recorder) someUnrecorded() []*Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pending []*Attempt
	for _, a := range r.unrecorded {
		if len(pending) == maxUnrecordedWrites {
			break
		}
		pending = append(pending, a)
	}
	return pending
}

// writeUnrecorded writes the record of an unrecorded attempt and reports
// whether that is decided. A conflict means that another attempt was made for
// the key, which may have run twice.
func (r *Recorder) writeUnrecorded(ctx context.Context, a *Attempt) bool {
	result := r.submitOnce(ctx, a.entry)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch result {
	case CommitApplied:
	case CommitConflict, CommitClaimed:
		r.count.doubtful.Add(1)
	default:
		return false
	}
	delete(r.unrecorded, a.id)
	a.unrecorded = false
	if a.phase == phaseEnded && !r.dirty[a.page] {
		r.moveToRecent(a.id)
	}
	return true
}
