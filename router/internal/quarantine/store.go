package quarantine

import (
	"context"
	"fmt"
	"time"
)

const (
	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second

	// substituteDelay is how old an unsaved verdict is when routers save it that are
	// not its home.
	substituteDelay = 5 * time.Second

	// expireInterval is the interval at which old verdicts are dropped.
	expireInterval = time.Minute
)

// Store keeps rows. Its errors say nothing about whether a call took effect.
type Store interface {
	// Rows returns the values of all rows.
	Rows(ctx context.Context) ([][]byte, error)

	// Put writes a row and removes another one, unless remove is empty.
	Put(ctx context.Context, key string, value []byte, remove string) error

	// Remove removes a row.
	Remove(ctx context.Context, key string) error

	// Era returns a number that rises each time that the store comes back from an older
	// copy, as far as its responses have shown it. Rows may then be missing.
	Era() int64
}

// ReadAgain has the verdicts of the store read again soon, as routers that this one doesn't
// hear may have saved some. It does not block.
func (e *Exchange) ReadAgain() { e.rereadDue.Store(true) }

// storeLoop reads the verdicts of the store, and then saves new ones and removes old
// ones, until the context ends.
func (e *Exchange) storeLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	loaded := false
	var expiredAt time.Time
	savedEra := e.config.Store.Era()
	for {
		now := time.Now()
		if !loaded {
			savedEra = e.config.Store.Era() // Before the read, which a new era may overtake.
			loaded = e.load(ctx)
		}
		if loaded && e.rereadDue.Swap(false) {
			e.load(ctx)
		}
		if loaded {
			e.save(ctx, now)
		}
		if era := e.config.Store.Era(); loaded && era > savedEra && e.saveAgain(ctx, now) {
			savedEra = era
		}
		if now.Sub(expiredAt) >= expireInterval {
			e.removeExpired(ctx, now)
			expiredAt = now
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("save verdicts: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// load reads the verdicts of the store, and reports whether that worked.
func (e *Exchange) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := e.config.Store.Rows(ctx)
	if err != nil {
		e.config.ReportError(fmt.Errorf("read verdicts: %w", err))
		return false
	}
	var verdicts []Verdict
	for _, row := range rows {
		v, err := DecodeRow(row)
		if err != nil {
			e.config.ReportError(err)
			continue
		}
		verdicts = append(verdicts, v)
	}
	e.apply(verdicts)
	e.synced.Store(true)
	return true
}

// save writes the verdicts to the store that are not in it yet and whose home this
// router is, or that their home has left unsaved.
func (e *Exchange) save(ctx context.Context, now time.Time) {
	for _, v := range e.ledger.Verdicts() {
		if v.Saved || now.Sub(v.DecidedAt) < substituteDelay && !e.isHome(now, v.home()) {
			continue
		}
		if err := e.put(ctx, v); err != nil {
			e.config.ReportError(fmt.Errorf("save verdict: %w", err))
			return // Again at the next tick.
		}
		e.ledger.MarkSaved(v)
		v.Saved = true
		e.sendAll(message{Verdicts: []Verdict{v}}, e.config.Members(now))
	}
}

// saveAgain writes the verdicts whose home this router is, after the store came back from
// an older copy that may lack them. It reports whether all were written.
func (e *Exchange) saveAgain(ctx context.Context, now time.Time) bool {
	for _, v := range e.ledger.Verdicts() {
		if !v.Saved || !e.isHome(now, v.home()) {
			continue
		}
		if err := e.put(ctx, v); err != nil {
			e.config.ReportError(fmt.Errorf("save verdict again: %w", err))
			return false // Again at the next tick.
		}
	}
	return true
}

// removeExpired drops old verdicts, and the rows of those whose home this router is.
func (e *Exchange) removeExpired(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for _, v := range e.ledger.Expire(now) {
		if !v.Saved || !e.isHome(now, v.home()) {
			continue
		}
		if err := e.config.Store.Remove(ctx, rowKey(&v, v.Epoch)); err != nil {
			e.config.ReportError(fmt.Errorf("remove verdict: %w", err)) // The row is ignored.
		}
	}
}

// put writes the row of a verdict and removes that of its last epoch.
func (e *Exchange) put(ctx context.Context, v Verdict) error {
	row, value, err := EncodeRow(v)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := e.config.Store.Put(ctx, row, value, PreviousRow(v)); err != nil {
		return fmt.Errorf("write row %s: %w", row, err)
	}
	return nil
}
