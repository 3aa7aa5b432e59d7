package record

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"snipetally.example/coordination/pause"
)

// finalFlushTimeout bounds the writing of outcomes at the end of Drain.
const finalFlushTimeout = 10 * time.Second

// Recorder keeps the records of one router's attempts. Its methods are safe for
// concurrent use. Run has to be running while it is used.
type Recorder struct {
	config  Config
	batch   *batcher
	wakeups chan struct{}
	count   counters

	// flushMu is held during a flush, so that there is one at a time. It is
	// taken before mu.
	flushMu sync.Mutex

	// mu guards the fields below and those parts of attempts and pages that say
	// so. It is never held across a call to another process.
	mu       sync.Mutex
	draining bool

	// attempts holds the attempts of this incarnation by id, and byLocation the
	// recorded ones by the name of their location: those that run, those that
	// are done but not yet written, and recent ones.
	attempts   map[string]*Attempt
	byLocation map[string]*Attempt

	// unsaved holds ended attempts whose outcome is not written yet, and
	// unrecorded those whose record is not written yet.
	unsaved    map[string]*Attempt
	unrecorded map[string]*Attempt
	heldBytes  int
	running    int
	sequence   uint64

	page  *page
	dirty map[*page]bool

	// recent holds attempts whose outcome was written, oldest first.
	recent      []*Attempt
	recentBytes int

	// avoidedUntil holds the homes that failed, each with the time until which
	// no request is sent to it.
	avoidedUntil map[string]time.Time
	claims       claims
}

// New returns a recorder. The error satisfies errors.NotValid if the config has
// no table or VM.
func New(config Config) (*Recorder, error) {
	if config.Table == nil || config.VM == "" {
		return nil, fmt.Errorf("recorder without table or VM: %w", errors.NotValid)
	}
	config.setDefaults()
	r := &Recorder{
		config:       config,
		wakeups:      make(chan struct{}, 1),
		attempts:     make(map[string]*Attempt),
		byLocation:   make(map[string]*Attempt),
		unsaved:      make(map[string]*Attempt),
		unrecorded:   make(map[string]*Attempt),
		dirty:        make(map[*page]bool),
		avoidedUntil: make(map[string]time.Time),
		claims:       newClaims(),
	}
	r.batch = newBatcher(&r.config, &r.count)
	return r, nil
}

// Incarnation returns the unique name of this start of the router.
func (r *Recorder) Incarnation() string {
	return r.config.Incarnation
}

// Run does the recorder's background work until the context ends. Call Drain
// before that.
func (r *Recorder) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		r.batch.run(ctx)
		return nil
	})
	group.Go(func() error {
		r.flushLoop(ctx)
		return nil
	})
	group.Go(func() error {
		r.sweepLoop(ctx)
		return nil
	})
	if err := group.Wait(); err != nil {
		return fmt.Errorf("run recorder: %w", err)
	}
	return nil
}

// Drain refuses further calls, waits for the attempts to end and writes all
// outcomes. When the context ends first, attempts that were not dispatched are
// settled as not run and the others as unknown. An error means that outcomes
// are left unwritten. Run has to be running.
func (r *Recorder) Drain(ctx context.Context) error {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	for ctx.Err() == nil && r.State().Running > 0 {
		pause.For(ctx, maxBackoff)
	}
	r.endAll()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalFlushTimeout)
	defer cancel()
	for {
		err := r.flush(ctx)
		if err == nil {
			return nil
		}
		if !pause.For(ctx, jitter(maxBackoff)) {
			return fmt.Errorf("drain: %w", err)
		}
	}
}

// endAll ends all attempts, undispatched ones as not run and dispatched ones as
// unknown.
func (r *Recorder) endAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.attempts {
		switch a.phase {
		case phaseWriting, phaseReady:
			r.endAttempt(a, storedOutcome{Outcome: Outcome{State: OutcomeNotRun}})
		case phaseDispatched:
			r.endAttempt(a, storedOutcome{Outcome: Outcome{State: OutcomeUnknown}})
		}
	}
}

// counters are the atomic form of Counters.
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

// Counters count events since the recorder was created.
type Counters struct {
	// Transactions and Rows count the writes to the table, including failed
	// ones, and Removed the rows that were removed as expired.
	Transactions uint64
	Rows         uint64
	Removed      uint64
	Reads        uint64
	Objects      uint64

	// Uncertain is the number of transactions of records whose response was
	// lost.
	Uncertain uint64

	// Late is the number of attempts whose dispatch was refused because too
	// much time had passed, for instance because the router was paused.
	Late uint64

	// Doubtful is the number of keys that were attempted without a record and
	// turned out to be recorded by another router.
	Doubtful uint64

	// Probes is the number of probes of backend servers.
	Probes uint64

	// Direct is the number of records that were written without the home of
	// their row because the home failed.
	Direct uint64

	// Decisions holds the number of decisions by Kind.
	Decisions [Expired + 1]uint64
}

// State is the state of a recorder for diagnostic dumps.
type State struct {
	VM          string
	Incarnation string
	Draining    bool

	// Running counts attempts that have not ended, Unsaved those whose outcome
	// is not written, Unrecorded those whose record is not written, and Recent
	// those that are kept to answer repetitions from memory.
	Running    int
	Unsaved    int
	Unrecorded int
	Recent     int

	// Held is the size of the unwritten outcomes in bytes.
	Held     int
	Claims   int
	Avoided  []string
	Counters Counters
}

// State returns the current state.
func (r *Recorder) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := State{
		VM:          r.config.VM,
		Incarnation: r.config.Incarnation,
		Draining:    r.draining,
		Running:     r.running,
		Unsaved:     len(r.unsaved),
		Unrecorded:  len(r.unrecorded),
		Recent:      len(r.recent),
		Held:        r.heldBytes,
		Claims:      len(r.claims.current),
		Counters:    r.count.snapshot(),
	}
	now := time.Now()
	for vm, until := range r.avoidedUntil {
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
