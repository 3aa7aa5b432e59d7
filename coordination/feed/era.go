package feed

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
)

// ErrOutdatedEra means that a response belongs to an earlier era than a response before
// it. It says nothing about the table of today and must not be used.
const ErrOutdatedEra = errors.ConstError("response of an earlier era")

// Eras knows the newest era of a store, from the responses to all calls that a process
// makes to it: reads, watches and writes, also those that fail. A store that comes back
// from an older copy begins a new era. What was written since the copy is gone, and the
// revisions are given out again, so that revisions of two eras can't be compared.
//
// Its methods may be called from any goroutine. The zero Eras is ready for use; a store
// that names no era is in era zero.
type Eras struct {
	// mu guards the fields below. No other lock is taken while it is held.
	mu        sync.Mutex
	newest    int64
	listeners []func()
}

// Admit takes over the era that a response names. It is called before anything else of
// the response is used, and returns ErrOutdatedEra if the response must not be.
func (e *Eras) Admit(era int64) error {
	e.mu.Lock()
	known, listeners := e.newest, e.listeners
	e.newest = max(e.newest, era)
	e.mu.Unlock()
	switch {
	case era < known:
		return ErrOutdatedEra
	case era > known:
		for _, listener := range listeners {
			listener()
		}
	}
	return nil
}

// Newest returns the newest era.
func (e *Eras) Newest() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// notify has a function called when a new era begins. The function must not block.
func (e *Eras) notify(listener func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listeners = append(e.listeners, listener)
}

// noticeEra begins to read the table again if the store is in a new era. Watches and checks
// in progress name a revision of the earlier era, so that their responses mean nothing. A
// read names none and goes on; its response says to which era it belongs.
func (f *Follower[T]) noticeEra(now time.Duration) {
	newest := f.config.Eras.Newest()
	if newest == f.era {
		return
	}
	f.era = newest
	f.dropWatch()
	if f.indirect != nil && f.indirect.kind != ReadCall {
		f.dropIndirect()
	}
	if !f.copy.loaded {
		return // It is read already.
	}
	f.dropShort()
	f.copy.loaded = false
	f.eraNoticedAt = now
	f.nextShort = now + f.rereadDelay()
}

// rereadDelay returns a random part of the time over which followers spread the reads that
// a new era causes.
func (f *Follower[T]) rereadDelay() time.Duration {
	return time.Duration(rand.Int64N(int64(f.config.RereadSpread) + 1))
}

// beginEra prepares the copy for the rows of a response, and reports whether they are the
// first ones after a restore of the store. What disappears then may have been written after
// the copy that the store came back from, and will be written again.
func (f *Follower[T]) beginEra(now time.Duration, response Response[T]) (restored bool) {
	if _, loaded := f.AsOf(); loaded && response.Era != f.copy.era {
		f.beginGrace(now)
		restored = true
	}
	f.copy.era = response.Era
	return restored
}

// reportEra reports that the table was read for the first time in an era.
func (f *Follower[T]) reportEra(now time.Duration, response Response[T]) {
	f.config.OnEvent(Event{
		Restored: true, Era: response.Era, Rows: len(response.Changes), Kept: len(f.copy.removeAt),
		Age: f.age(now), Outage: now - f.eraNoticedAt,
	})
}
