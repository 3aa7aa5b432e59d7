package feed_test

import (
	"context"
	"slices"
	"sync"
	"time"

	"snipetally.example/coordination/feed"
)

// fakeTable is a table with a change feed that runs on virtual time. Its clock
// is ahead of the follower's by skew.
type fakeTable struct {
	mu       sync.Mutex
	start    time.Time
	skew     time.Duration
	rows     map[string]string
	history  []feed.Change[string]
	oldest   int
	era      int64
	down     bool
	changed  chan struct{}
	requests int
	reads    int

	// lag delays each response after it was made.
	lag time.Duration

	// link carries the responses, if it is not nil.
	link *fakeLink

	// silences counts the beginnings and ends of silences. A call during which
	// it is odd or changes gets no response.
	silences int
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		start: time.Now(), skew: 1234 * time.Second,
		rows: make(map[string]string), changed: make(chan struct{}),
	}
}

// silence makes calls that are in progress, or arrive before the returned
// function is called, get no response.
func (f *fakeTable) silence() (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silences++
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.silences++
	}
}

// answer returns a response, unless the table was silent during the call.
func (f *fakeTable) answer(
	ctx context.Context, silences int, r feed.Response[string], received feed.Received,
) (feed.Response[string], error) {
	f.mu.Lock()
	lag, link := f.lag, f.link
	f.mu.Unlock()
	if f.silentSince(silences) {
		<-ctx.Done()
		return feed.Response[string]{}, ctx.Err()
	}
	select {
	case <-ctx.Done():
		return feed.Response[string]{}, ctx.Err()
	case <-time.After(lag):
	}
	if link == nil {
		return r, nil
	}
	size := 0
	for _, change := range r.Changes {
		size += len(change.Value)
	}
	if err := link.transfer(ctx, size, received, func() bool { return f.silentSince(silences) }); err != nil {
		return feed.Response[string]{}, err
	}
	return r, nil
}

// silentSince reports whether there was a silence since a count of silences.
func (f *fakeTable) silentSince(silences int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return silences%2 == 1 || silences != f.silences
}

// requestCount returns the number of calls.
func (f *fakeTable) requestCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests
}

// setLag sets the delay of responses.
func (f *fakeTable) setLag(lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lag = lag
}

func (f *fakeTable) clock() time.Duration { return time.Since(f.start) }

func (f *fakeTable) write(c feed.Change[string]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.Removed {
		delete(f.rows, c.Key)
	} else {
		f.rows[c.Key] = c.Value
	}
	c.Revision = int64(len(f.history) + 1)
	f.history = append(f.history, c)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeTable) put(key, value string) { f.write(feed.Change[string]{Key: key, Value: value}) }

func (f *fakeTable) remove(key string) { f.write(feed.Change[string]{Key: key, Removed: true}) }

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeTable) compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.oldest = len(f.history)
}

func (f *fakeTable) response(changes []feed.Change[string]) feed.Response[string] {
	return feed.Response[string]{
		Changes: changes, Revision: int64(len(f.history)), Clock: f.clock() + f.skew, Era: f.era,
	}
}

func (f *fakeTable) Read(ctx context.Context, received feed.Received) (feed.Response[string], error) {
	response, silences, err := f.readAll()
	if err != nil {
		return response, err
	}
	return f.answer(ctx, silences, response, received)
}

// readAll returns all rows and the count of silences.
func (f *fakeTable) readAll() (feed.Response[string], int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	f.reads++
	if f.down {
		return feed.Response[string]{}, 0, errDown
	}
	var all []feed.Change[string]
	for key, value := range f.rows {
		all = append(all, feed.Change[string]{Key: key, Value: value, Revision: f.lastChange(key)})
	}
	return f.response(all), f.silences, nil
}

// lastChange returns the revision of the last change of a row. The caller holds
// f.mu.
func (f *fakeTable) lastChange(key string) int64 {
	for _, c := range slices.Backward(f.history) {
		if c.Key == key {
			return c.Revision
		}
	}
	return 0
}

func (f *fakeTable) Watch(ctx context.Context, after int64, wait time.Duration, received feed.Received) (feed.Response[string], error) {
	deadline := time.After(wait)
	f.mu.Lock()
	f.requests++
	silences := f.silences
	f.mu.Unlock()
	for {
		f.mu.Lock()
		down, changed := f.down, f.changed
		known := f.oldest <= int(after) && int(after) <= len(f.history)
		var changes []feed.Change[string]
		if known {
			changes = f.history[after:]
		}
		response := f.response(changes)
		f.mu.Unlock()
		switch {
		case down:
			return feed.Response[string]{}, errDown
		case !known:
			return response, feed.ErrCompacted
		case len(changes) > 0 || wait == 0:
			return f.answer(ctx, silences, response, received)
		}
		select {
		case <-ctx.Done():
			return feed.Response[string]{}, ctx.Err()
		case <-deadline:
			f.mu.Lock()
			response := f.response(nil)
			f.mu.Unlock()
			return f.answer(ctx, silences, response, received)
		case <-changed:
		}
	}
}
