package feed

import (
	"slices"
	"time"

	"snipetally.example/coordination/progress"
)

// A response with large rows takes long on a slow link, and shares the link with
// whatever else uses it. So there is one transfer at a time: while a response
// arrives, no further call is made, and the other calls are dropped.

// arriving returns the call whose response is arriving, or nil. If there are
// several, it is the one that began first.
func (f *Follower[T]) arriving(now time.Duration) *call {
	var first *call
	var firstBegun time.Duration
	for _, c := range f.calls() {
		bytes, begunAt, progressAt := c.progress()
		if bytes == 0 || now-progressAt >= fastRetryInterval {
			continue
		}
		if first == nil || begunAt < firstBegun {
			first, firstBegun = c, begunAt
		}
	}
	return first
}

// calls returns all calls in progress.
func (f *Follower[T]) calls() []*call {
	all := slices.Clone(f.short)
	if f.watch != nil {
		all = append(all, f.watch)
	}
	if f.indirect != nil {
		all = append(all, f.indirect)
	}
	return all
}

// keepOneTransfer drops all other calls while a response is arriving. A watch that
// has not begun to respond costs nothing and goes on.
func (f *Follower[T]) keepOneTransfer(now time.Duration) {
	kept := f.arriving(now)
	if kept == nil {
		return
	}
	if f.watch != nil && f.watch != kept {
		if bytes, _, _ := f.watch.progress(); bytes > 0 {
			f.dropWatch()
		}
	}
	if f.indirect != kept {
		f.dropIndirect()
	}
	f.short = slices.DeleteFunc(f.short, func(c *call) bool {
		if c != kept {
			c.drop()
		}
		return c != kept
	})
}

// quietSince returns since when no response has been arriving, as far as a follower
// has to wait for that: it may be in the future.
func (f *Follower[T]) quietSince(now time.Duration) time.Duration {
	c := f.arriving(now)
	if c == nil {
		return 0
	}
	_, _, progressAt := c.progress()
	return progressAt + fastRetryInterval
}

// expectedAnswer returns the time in which a short call should be answered, judged
// by the latest answer.
func (f *Follower[T]) expectedAnswer() time.Duration {
	return min(f.answerTime+f.answerTime/2, maxPatience)
}

// recordAnswer records how long the response to a short call took to begin.
func (f *Follower[T]) recordAnswer(c *call, now time.Duration) {
	bytes, begunAt, _ := c.progress()
	if bytes == 0 {
		begunAt = now
	}
	f.answerTime = begunAt - c.sent
}

// outageDue returns when the table counts as unreachable unless a short call is
// answered before.
func (f *Follower[T]) outageDue(now time.Duration) time.Duration {
	return max(f.askingSince+max(minPatience, f.expectedAnswer()), f.quietSince(now))
}

// noticeOutage records an outage if it is due.
func (f *Follower[T]) noticeOutage(now time.Duration) {
	if f.asking && !f.failing && len(f.short) > 0 && now >= f.outageDue(now) {
		f.failed(f.short[0], progress.ErrSilent)
	}
}
