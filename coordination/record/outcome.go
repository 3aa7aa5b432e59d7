package record

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/table"
)

const (
	// flushRows bounds the rows of one transaction of outcomes.
	flushRows = 16

	// lateEntries bounds the records that are written afterwards at once.
	lateEntries = 64
)

// page is a row that collects the outcomes of several attempts. Only the
// incarnation that opened it writes it. The book's mu guards it.
type page struct {
	key      string
	hour     string
	assigned []string
	outcomes map[string]*outcome

	// edits counts the outcomes that were added.
	edits int

	// version is that of the row when it was last seen.
	version uint64
}

// place assigns an attempt to the current page. The caller holds b.mu.
func (b *Recorder) place(a *Attempt) {
	at := hour(a.began)
	if b.page == nil || len(b.page.assigned) >= b.config.PageSize || b.page.hour != at {
		b.numbers++
		b.page = &page{
			key:      fmt.Sprintf("%s%s/%s/%08x", pageRoot, at, b.config.Incarnation, b.numbers),
			hour:     at,
			outcomes: make(map[string]*outcome),
		}
	}
	a.page = b.page
	a.page.assigned = append(a.page.assigned, a.id)
}

// end decides the outcome of an attempt for good and queues it to be written.
// The caller holds b.mu and has checked that the attempt has not ended.
func (b *Recorder) end(a *Attempt, o outcome) {
	if o.Response != nil && o.Response.size() > b.config.MaxInline && b.config.Store == nil {
		o.Omitted = true
	}
	a.phase = phaseEnded
	a.outcome = o
	close(a.ended)
	b.running--
	if !a.recorded {
		delete(b.attempts, a.id)
		return
	}
	if o.State != OutcomeDone && b.rows[a.at.name()] == a {
		delete(b.rows, a.at.name())
	}
	kept := o
	if o.Omitted {
		kept.Response = nil
	}
	a.page.outcomes[a.id] = &kept
	a.page.edits++
	b.dirty[a.page] = true
	b.unsaved[a.id] = a
	b.held += a.weight()
	b.wake()
}

// void forgets an attempt whose record certainly does not name it.
func (b *Recorder) void(a *Attempt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	a.outcome = outcome{Outcome: Outcome{State: OutcomeNotRun}}
	close(a.ended)
	b.running--
	b.forget(a)
}

// forget removes an attempt from memory. The caller holds b.mu.
func (b *Recorder) forget(a *Attempt) {
	delete(b.attempts, a.id)
	if b.rows[a.at.name()] == a {
		delete(b.rows, a.at.name())
	}
}

// wake makes the flusher look at the dirty pages.
func (b *Recorder) wake() {
	select {
	case b.kick <- struct{}{}:
	default:
	}
}

// flusher writes outcomes in batches until the context ends.
func (b *Recorder) flusher(ctx context.Context) {
	for {
		select {
		case <-b.kick:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, b.config.FlushDelay) {
			return
		}
		if b.flush(ctx) != nil {
			b.wake()
		}
	}
}

// flush writes the records that are late and all dirty pages. The error says
// that some are left.
func (b *Recorder) flush(ctx context.Context) error {
	b.flushing.Lock()
	defer b.flushing.Unlock()
	err := b.flushLate(ctx)
	for {
		pages := b.dirtyPages()
		if len(pages) == 0 {
			return err
		}
		if failure := b.flushPages(ctx, pages); failure != nil {
			return failure
		}
	}
}

// dirtyPages returns some of the pages that have unwritten outcomes.
func (b *Recorder) dirtyPages() []*page {
	b.mu.Lock()
	defer b.mu.Unlock()
	var pages []*page
	for p := range b.dirty {
		if len(pages) == flushRows {
			break
		}
		pages = append(pages, p)
	}
	return pages
}

// flushPages writes pages in one transaction. Each write checks the version of
// its row, so that an earlier write of the same page that arrives late can't
// replace a later one.
func (b *Recorder) flushPages(ctx context.Context, pages []*page) error {
	failed := b.storeLarge(ctx, pages)
	var tx table.Transaction
	edits := make([]int, len(pages))
	for i, p := range pages {
		b.mu.Lock()
		value, err := encodePage(p.assigned, p.outcomes, b.stored)
		edits[i] = p.edits
		version := p.version
		b.mu.Unlock()
		if err != nil {
			return fmt.Errorf("flush outcomes: %w", err)
		}
		tx.Checks = append(tx.Checks, table.Check{Key: p.key, Version: version})
		tx.Writes = append(tx.Writes, table.Write{Key: p.key, Value: value})
	}
	err := b.commitPages(ctx, tx)
	if err != nil && errors.Is(err, table.ErrUnavailable) {
		return fmt.Errorf("flush outcomes: %w", err)
	}
	// The versions are read in both cases: after success because a commit
	// does not tell them, otherwise because it may have taken effect. Without
	// them the next write fails its check, and they are read again.
	b.refreshPages(ctx, pages)
	if err != nil {
		return fmt.Errorf("flush outcomes: %w", err)
	}
	b.saved(pages, edits, failed)
	if len(failed) > 0 {
		return fmt.Errorf("large answers of %d pages: %w", len(failed), table.ErrUnavailable)
	}
	return nil
}

// commitPages commits a transaction of outcomes.
func (b *Recorder) commitPages(ctx context.Context, tx table.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, b.config.CallTimeout)
	defer cancel()
	b.config.observe(ctx, StepFlush)
	b.count.transactions.Add(1)
	b.count.rows.Add(uint64(len(tx.Writes)))
	err := b.config.Table.Commit(ctx, tx)
	b.config.observe(ctx, StepFlushDone)
	if err != nil {
		return fmt.Errorf("commit pages: %w", err)
	}
	return nil
}

// refreshPages learns the versions of pages that will be written again.
func (b *Recorder) refreshPages(ctx context.Context, pages []*page) {
	keys := make([]string, 0, len(pages))
	for _, p := range pages {
		keys = append(keys, p.key)
	}
	rows, err := readRows(ctx, &b.config, &b.count, keys...)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range pages {
		p.version = rows[i].Version
	}
}

// saved notes the outcomes that were written. Attempts on them become recent.
func (b *Recorder) saved(pages []*page, edits []int, failed map[*page]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, p := range pages {
		if edits[i] != p.edits || failed[p] {
			continue
		}
		delete(b.dirty, p)
		for _, id := range p.assigned {
			b.keepRecent(id)
		}
	}
}

// keepRecent moves a written attempt to the recent ones, which are bounded by
// the bytes of their answers. The caller holds b.mu.
func (b *Recorder) keepRecent(id string) {
	a := b.unsaved[id]
	if a == nil || a.late {
		return
	}
	delete(b.unsaved, id)
	b.held -= a.weight()
	b.recent = append(b.recent, a)
	b.recentBytes += a.weight()
	for b.recentBytes > b.config.Recent && len(b.recent) > 0 {
		oldest := b.recent[0]
		b.recent[0] = nil
		b.recent = b.recent[1:]
		b.recentBytes -= oldest.weight()
		b.forget(oldest)
	}
}

// weight returns the approximate number of bytes that an ended attempt holds.
func (a *Attempt) weight() int {
	const fixed = 512
	if a.outcome.Response == nil {
		return fixed
	}
	return fixed + a.outcome.Response.size()
}

// storeLarge writes the large answers of pages to the object store and returns
// the pages of which some could not be written.
func (b *Recorder) storeLarge(ctx context.Context, pages []*page) map[*page]bool {
	failed := make(map[*page]bool)
	for _, p := range pages {
		for id, o := range b.large(p) {
			object, err := b.storeAnswer(ctx, p.hour, id, o.Response)
			if err != nil {
				failed[p] = true
				break
			}
			b.mu.Lock()
			o.object = object
			b.mu.Unlock()
		}
	}
	return failed
}

// large returns the outcomes of a page whose answers have to be stored.
func (b *Recorder) large(p *page) map[string]*outcome {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := make(map[string]*outcome)
	for id, o := range p.outcomes {
		if !b.stored(o) {
			found[id] = o
		}
	}
	return found
}

// stored reports whether an outcome can be written to its page: its answer is
// small or is an object already. The caller holds b.mu.
func (b *Recorder) stored(o *outcome) bool {
	return o.Response == nil || o.object != "" || o.Response.size() <= b.config.MaxInline
}

// storeAnswer writes an answer as an object and returns its name.
func (b *Recorder) storeAnswer(ctx context.Context, hour, attempt string, a *Response) (string, error) {
	data, err := encodeAnswer(a)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	name := objectRoot + hour + "/" + attempt
	b.count.objects.Add(1)
	if err := b.config.Store.Put(ctx, name, data); err != nil {
		return "", fmt.Errorf("store answer: %w", err)
	}
	return name, nil
}

// flushLate writes the records of attempts that were made without one. The
// error says that some are left.
func (b *Recorder) flushLate(ctx context.Context) error {
	for {
		late := b.someLate()
		if len(late) == 0 {
			return nil
		}
		var written atomic.Int64
		var writers sync.WaitGroup
		for _, a := range late {
			writers.Go(func() {
				if b.writeLate(ctx, a) {
					written.Add(1)
				}
			})
		}
		writers.Wait()
		if written.Load() == 0 {
			return fmt.Errorf("%d records not written: %w", len(late), table.ErrUnavailable)
		}
	}
}

// someLate returns some of the attempts whose record is not written.
func (b *Recorder) someLate() []*Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	var late []*Attempt
	for _, a := range b.late {
		if len(late) == lateEntries {
			break
		}
		late = append(late, a)
	}
	return late
}

// writeLate writes the record of one such attempt and reports whether the table
// decided. A conflict says that the key was begun elsewhere too, and may have
// run twice.
func (b *Recorder) writeLate(ctx context.Context, a *Attempt) bool {
	verdict := b.submitOnce(ctx, a.entry)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch verdict {
	case CommitApplied:
	case CommitConflict, CommitClaimed:
		b.count.doubtful.Add(1)
	default:
		return false
	}
	delete(b.late, a.id)
	a.late = false
	if a.phase == phaseEnded && !b.dirty[a.page] {
		b.keepRecent(a.id)
	}
	return true
}
