package feed_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/feed"
	"snipetally.example/coordination/seeds"
)

func init() { seeds.Fix() }

// removalGrace is how long a row is kept that is removed soon after an outage.
const removalGrace = 600 * time.Millisecond

const (
	errDown      = errors.ConstError("table unavailable")
	errMalformed = errors.ConstError("malformed row")
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
	down     bool
	changed  chan struct{}
	requests int

	// lag delays each response after it was made.
	lag time.Duration

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
func (f *fakeTable) answer(ctx context.Context, silences int, r feed.Response[string]) (feed.Response[string], error) {
	f.mu.Lock()
	silent := silences%2 == 1 || silences != f.silences
	lag := f.lag
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return feed.Response[string]{}, ctx.Err()
	}
	if lag == 0 {
		return r, nil
	}
	select {
	case <-ctx.Done():
		return feed.Response[string]{}, ctx.Err()
	case <-time.After(lag):
		return r, nil
	}
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
	return feed.Response[string]{Changes: changes, Revision: int64(len(f.history)), Clock: f.clock() + f.skew}
}

func (f *fakeTable) Read(ctx context.Context) (feed.Response[string], error) {
	response, silences, err := f.readAll()
	if err != nil {
		return response, err
	}
	return f.answer(ctx, silences, response)
}

// readAll returns all rows and the count of silences.
func (f *fakeTable) readAll() (feed.Response[string], int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
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

func (f *fakeTable) Watch(ctx context.Context, after int64, wait time.Duration) (feed.Response[string], error) {
	deadline := time.After(wait)
	f.mu.Lock()
	f.requests++
	silences := f.silences
	f.mu.Unlock()
	for {
		f.mu.Lock()
		down, oldest, changes, changed := f.down, f.oldest, f.history[after:], f.changed
		response := f.response(changes)
		f.mu.Unlock()
		switch {
		case down:
			return feed.Response[string]{}, errDown
		case int(after) < oldest:
			return feed.Response[string]{}, feed.ErrCompacted
		case len(changes) > 0 || wait == 0:
			return f.answer(ctx, silences, response)
		}
		select {
		case <-ctx.Done():
			return feed.Response[string]{}, ctx.Err()
		case <-deadline:
			f.mu.Lock()
			response := f.response(nil)
			f.mu.Unlock()
			return f.answer(ctx, silences, response)
		case <-changed:
		}
	}
}

// follow runs a follower of the table and returns it with a function that
// returns its copy.
func follow(t *testing.T, table *fakeTable) (*feed.Follower[string], func() map[string]string) {
	return followWithPause(t, table, 0)
}

// followWithPause is like follow, with a pause between watches.
func followWithPause(t *testing.T, table *fakeTable, pause time.Duration) (*feed.Follower[string], func() map[string]string) {
	var mu sync.Mutex
	var rows map[string]string
	follower := feed.NewFollower(feed.Config[string]{
		Source:       table,
		Clock:        table.clock,
		WatchWait:    2 * time.Second,
		LapseGrace:   2 * time.Second,
		RemovalGrace: removalGrace,
		WatchPause:   pause,
		Apply: func(next map[string]string) {
			mu.Lock()
			defer mu.Unlock()
			rows = next
		},
		OnEvent: func(feed.Event) {},
	})
	go func() { _ = follower.Run(t.Context()) }()
	return follower, func() map[string]string {
		synctest.Wait()
		mu.Lock()
		defer mu.Unlock()
		return maps.Clone(rows)
	}
}

func TestChangesArriveWithoutDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		_, rows := follow(t, table)
		g.Expect(rows()).To(gomega.Equal(map[string]string{"a": "1"}))
		table.put("b", "2")
		g.Expect(rows()).To(gomega.HaveKeyWithValue("b", "2"))
		table.remove("a")
		g.Expect(rows()).To(gomega.Equal(map[string]string{"b": "2"}))
	})
}

func TestUnusableRowRemovesOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		table.put("b", "2")
		_, rows := follow(t, table)
		g.Expect(rows()).To(gomega.HaveLen(2))
		table.write(feed.Change[string]{Key: "a", Err: errMalformed})
		g.Expect(rows()).To(gomega.Equal(map[string]string{"b": "2"}))
	})
}

func TestRowLapsedDuringOutageIsKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("returns", "1")
		table.put("gone", "1")
		_, rows := follow(t, table)
		g.Expect(rows()).To(gomega.HaveLen(2))

		table.setDown(true)
		time.Sleep(5 * time.Second)
		table.remove("returns")
		table.remove("gone")
		table.setDown(false)
		time.Sleep(time.Second)
		g.Expect(rows()).To(gomega.HaveLen(2))
		table.put("returns", "2")
		time.Sleep(3 * time.Second)
		g.Expect(rows()).To(gomega.Equal(map[string]string{"returns": "2"}))
	})
}

func TestCompactedFeedCausesFullRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		table.put("a", "1")
		table.put("b", "1")
		_, rows := follow(t, table)
		g.Expect(rows()).To(gomega.HaveLen(2))
		table.setDown(true)
		table.remove("a")
		table.compact()
		table.setDown(false)
		time.Sleep(5 * time.Second)
		g.Expect(rows()).To(gomega.Equal(map[string]string{"b": "1"}))
	})
}

func TestAsOfStopsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		table := newFakeTable()
		follower, _ := follow(t, table)
		synctest.Wait()
		_, known := follower.AsOf()
		g.Expect(known).To(gomega.BeTrue())
		time.Sleep(10 * time.Second)
		outageStart := table.clock()
		table.setDown(true)
		time.Sleep(20 * time.Second)
		asOf, _ := follower.AsOf()
		g.Expect(asOf).To(gomega.BeNumerically("<=", outageStart))
		table.setDown(false)
		time.Sleep(time.Second)
		asOf, _ = follower.AsOf()
		g.Expect(asOf).To(gomega.BeNumerically(">", outageStart))
	})
}

// TestCopyIsAtLeastAsNewAsAsOf runs random sequences of writes, outages and
// compactions, and checks that the copy holds whatever the table held at the
// time that AsOf returns, or something newer.
func TestCopyIsAtLeastAsNewAsAsOf(t *testing.T) {
	checkSteps(t, 5, 3000, runSteps)
}

// checkSteps draws sequences of steps up to a number, with pauses in milliseconds
// between them, and runs each in virtual time until one returns a failure.
func checkSteps(t *testing.T, maxStep, maxPause int, run func(t *testing.T, steps, pauses []int) string) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, maxStep), 1, 30).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(0, maxPause), len(steps), len(steps)).Draw(rt, "pauses in ms")
		var failure string
		synctest.Test(t, func(t *testing.T) { failure = run(t, steps, pauses) })
		if failure != "" {
			rt.Fatalf("%s", failure)
		}
	})
}

// runSteps writes increasing numbers to one row and returns a description of
// the first violation, or an empty string.
func runSteps(t *testing.T, steps, pauses []int) string {
	table := newFakeTable()
	follower, rows := follow(t, table)
	written := map[int]time.Duration{}
	number := 0
	for i, step := range steps {
		switch step {
		case 0:
			table.setDown(true)
		case 1:
			table.setDown(false)
		case 2:
			table.compact()
		default:
			number++
			written[number] = table.clock()
			table.put("n", fmt.Sprint(number))
		}
		time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
		if failure := compareWithWritten(follower, rows(), written); failure != "" {
			return failure
		}
	}
	return ""
}

// compareWithWritten returns a description of a number that was written to the
// row n before the time as of which the follower's copy counts as current but is
// missing there, or an empty string.
func compareWithWritten(follower *feed.Follower[string], rows map[string]string, written map[int]time.Duration) string {
	have := 0
	if _, err := fmt.Sscan(rows["n"], &have); err != nil {
		have = 0
	}
	asOf, known := follower.AsOf()
	for n, at := range written {
		if known && at < asOf && n > have {
			return fmt.Sprintf("copy has %d and is as of %v, but %d was written at %v", have, asOf, n, at)
		}
	}
	return ""
}

// TestRowRemovedAfterOutageIsRemovedSoon removes a row shortly after the table
// is back. The row must not be kept like one that lapsed during the outage.
func TestRowRemovedAfterOutageIsRemovedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		const pause = 500 * time.Millisecond
		table := newFakeTable()
		table.put("stays", "1")
		table.put("leaves", "1")
		_, rows := followWithPause(t, table, pause)
		g.Expect(rows()).To(gomega.HaveLen(2))
		table.setDown(true)
		time.Sleep(5 * time.Second)
		table.setDown(false)
		time.Sleep(time.Second)
		g.Expect(rows()).To(gomega.HaveLen(2))
		table.remove("leaves")
		time.Sleep(pause + removalGrace)
		g.Expect(rows()).To(gomega.Equal(map[string]string{"stays": "1"}))
	})
}
