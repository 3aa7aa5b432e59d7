package record

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// lastFlush bounds the writing of outcomes at the end of Drain.
const lastFlush = 10 * time.Second

// Recorder is one router's part in the records. Its methods are safe for
// concurrent use. Run has to be running while it is used.
type Recorder struct {
	config Config
	batch  *batcher
	kick   chan struct{}
	count  counters

	// flushing is held for a flush, so that there is one at a time. It is
	// taken before mu.
	flushing sync.Mutex

	// mu guards the fields below and the parts of attempts and pages that say
	// so. It is never held across a call to another party.
	mu       sync.Mutex
	draining bool

	// attempts are those of this incarnation by id, and rows the ones that
	// run or are done by row: running, not yet written, and recent ones.
	attempts map[string]*Attempt
	rows     map[string]*Attempt

	// unsaved are ended attempts whose outcome is not written, and late those
	// whose record is not.
	unsaved map[string]*Attempt
	late    map[string]*Attempt
	held    int
	running int
	numbers uint64

	page  *page
	dirty map[*page]bool

	// recent holds written attempts, oldest first.
	recent      []*Attempt
	recentBytes int

	// avoided are homes that failed, until the time.
	avoided map[string]time.Time
	claims  claims
}

// New returns a book.
func New(config Config) (*Recorder, error) {
	if config.Table == nil || config.VM == "" {
		return nil, fmt.Errorf("book without table or VM: %w", errors.NotValid)
	}
	config.setDefaults()
	b := &Recorder{
		config:   config,
		kick:     make(chan struct{}, 1),
		attempts: make(map[string]*Attempt),
		rows:     make(map[string]*Attempt),
		unsaved:  make(map[string]*Attempt),
		late:     make(map[string]*Attempt),
		dirty:    make(map[*page]bool),
		avoided:  make(map[string]time.Time),
		claims:   newClaims(),
	}
	b.batch = newBatcher(&b.config, &b.count)
	return b, nil
}

// Incarnation returns the name of this start of the router.
func (b *Recorder) Incarnation() string {
	return b.config.Incarnation
}

// Run does the book's work until the context ends. Drain comes before that.
func (b *Recorder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		b.batch.run(ctx)
		return nil
	})
	group.Go(func() error {
		b.flusher(ctx)
		return nil
	})
	group.Go(func() error {
		b.sweeper(ctx)
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run book: %w", err)
	}
	return nil
}

// Drain takes no further calls, waits for the attempts to end and writes all
// outcomes. When the context ends before, attempts that were not dispatched
// are settled as not run and the others as unknown. The error says that
// outcomes are left unwritten. Run has to be running.
func (b *Recorder) Drain(ctx context.Context) error {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	for ctx.Err() == nil && b.State().Running > 0 {
		sleep(ctx, backoffLimit)
	}
	b.seal()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlush)
	defer cancel()
	for {
		err := b.flush(ctx)
		if err == nil {
			return nil
		}
		if !sleep(ctx, jitter(backoffLimit)) {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// seal ends all attempts.
func (b *Recorder) seal() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.attempts {
		switch a.phase {
		case phaseWriting, phaseReady:
			b.end(a, outcome{Outcome: Outcome{State: OutcomeNotRun}})
		case phaseDispatched:
			b.end(a, outcome{Outcome: Outcome{State: OutcomeUnknown}})
		}
	}
}

// counters count since the start of the book.
type counters struct {
	transactions atomic.Uint64
	rows         atomic.Uint64
	removed      atomic.Uint64
	reads        atomic.Uint64
	objects      atomic.Uint64
	uncertain    atomic.Uint64
	late         atomic.Uint64
	doubtful     atomic.Uint64
	probes       atomic.Uint64
	direct       atomic.Uint64
	decisions    [Expired + 1]atomic.Uint64
}

// Counters count since the start of the book.
type Counters struct {
	// Transactions and Rows are the writes to the table, also those that
	// failed, and Removed the rows that were removed as expired.
	Transactions uint64
	Rows         uint64
	Removed      uint64
	Reads        uint64
	Objects      uint64

	// Uncertain is the number of transactions of begins whose answer was lost.
	Uncertain uint64

	// Late is the number of attempts that were refused at their dispatch
	// because the router had been paused.
	Late uint64

	// Doubtful is the number of keys that were attempted without a record and
	// turned out to be recorded by another router.
	Doubtful uint64

	// Probes is the number of questions to backend servers.
	Probes uint64

	// Direct is the number of begins that were written without their home
	// because the home failed.
	Direct uint64

	// Decisions holds the number of decisions by Kind.
	Decisions [Expired + 1]uint64
}

// State describes a book for a dump.
type State struct {
	VM          string
	Incarnation string
	Draining    bool

	// Running, Unsaved, Unrecorded and Recent count attempts that have not
	// ended, whose outcome is not written, whose record is not written, and
	// that are held to answer from memory.
	Running    int
	Unsaved    int
	Unrecorded int
	Recent     int

	// Held is the number of bytes of unwritten outcomes.
	Held     int
	Claims   int
	Avoided  []string
	Counters Counters
}

// State returns the present state.
func (b *Recorder) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	state := State{
		VM:          b.config.VM,
		Incarnation: b.config.Incarnation,
		Draining:    b.draining,
		Running:     b.running,
		Unsaved:     len(b.unsaved),
		Unrecorded:  len(b.late),
		Recent:      len(b.recent),
		Held:        b.held,
		Claims:      len(b.claims.rows),
		Counters:    b.count.snapshot(),
	}
	now := time.Now()
	for vm, until := range b.avoided {
		if now.Before(until) {
			state.Avoided = append(state.Avoided, vm)
		}
	}
	return state
}

// snapshot copies the counters.
func (c *counters) snapshot() Counters {
	s := Counters{
		Transactions: c.transactions.Load(),
		Rows:         c.rows.Load(),
		Removed:      c.removed.Load(),
		Reads:        c.reads.Load(),
		Objects:      c.objects.Load(),
		Uncertain:    c.uncertain.Load(),
		Late:         c.late.Load(),
		Doubtful:     c.doubtful.Load(),
		Probes:       c.probes.Load(),
		Direct:       c.direct.Load(),
	}
	for i := range c.decisions {
		s.Decisions[i] = c.decisions[i].Load()
	}
	return s
}
