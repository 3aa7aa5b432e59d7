package record

import (
	"fmt"
)

// page is a row that collects the outcomes of several attempts. Only the
// incarnation that created it writes it. The recorder's mu guards it.
type page struct {
	key      string
	hour     string
	attempts []string
	outcomes map[string]*storedOutcome

	// edits counts the outcomes that were added, so that a flush can tell
	// whether more were added while it wrote the page.
	edits int

	// version is the version of the row when it was last read.
	version uint64
}

// assignPage assigns an attempt to the current page, or to a new one if the
// current page is full or of another hour. The caller holds r.mu.
func (r *Recorder) assignPage(a *Attempt) {
	hour := hourString(a.startedAt)
	if r.page == nil || len(r.page.attempts) >= r.config.PageSize || r.page.hour != hour {
		r.sequence++
		r.page = &page{
			key:      fmt.Sprintf("%s%s/%s/%08x", pagePrefix, hour, r.config.Incarnation, r.sequence),
			hour:     hour,
			outcomes: make(map[string]*storedOutcome),
		}
	}
	a.page = r.page
	a.page.attempts = append(a.page.attempts, a.id)
}

// endAttempt sets the final outcome of an attempt and queues it to be written.
// The caller holds r.mu and has checked that the attempt has not ended.
func (r *Recorder) endAttempt(a *Attempt, o storedOutcome) {
	if o.Response != nil && o.Response.size() > r.config.MaxInline && r.config.Store == nil {
		o.Omitted = true
	}
	a.phase = phaseEnded
	a.outcome = o
	close(a.ended)
	r.running--
	if !a.recorded {
		delete(r.attempts, a.id)
		return
	}
	if o.State != OutcomeDone && r.byLocation[a.location.name()] == a {
		delete(r.byLocation, a.location.name())
	}
	stored := o
	if o.Omitted {
		stored.Response = nil
	}
	a.page.outcomes[a.id] = &stored
	a.page.edits++
	r.dirty[a.page] = true
	r.unsaved[a.id] = a
	r.heldBytes += a.memorySize()
	r.wake()
}

// discard ends and forgets an attempt that is certain not to be named by its
// record.
func (r *Recorder) discard(a *Attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.phase == phaseEnded {
		return
	}
	a.phase = phaseEnded
	a.outcome = storedOutcome{Outcome: Outcome{State: OutcomeNotRun}}
	close(a.ended)
	r.running--
	r.forget(a)
}

// forget removes an attempt from memory. The caller holds r.mu.
func (r *Recorder) forget(a *Attempt) {
	delete(r.attempts, a.id)
	if r.byLocation[a.location.name()] == a {
		delete(r.byLocation, a.location.name())
	}
}

// moveToRecent moves an attempt whose outcome was written to the recent ones,
// which are bounded by the bytes of their responses. The caller holds r.mu.
func (r *Recorder) moveToRecent(id string) {
	a := r.unsaved[id]
	if a == nil || a.unrecorded {
		return
	}
	delete(r.unsaved, id)
	r.heldBytes -= a.memorySize()
	r.recent = append(r.recent, a)
	r.recentBytes += a.memorySize()
	for r.recentBytes > r.config.MaxRecentBytes && len(r.recent) > 0 {
		oldest := r.recent[0]
		r.recent[0] = nil
		r.recent = r.recent[1:]
		r.recentBytes -= oldest.memorySize()
		r.forget(oldest)
	}
}

// memorySize returns the approximate number of bytes that an ended attempt
// occupies in memory.
func (a *Attempt) memorySize() int {
	const overhead = 512
	if a.outcome.Response == nil {
		return overhead
	}
	return overhead + a.outcome.Response.size()
}
