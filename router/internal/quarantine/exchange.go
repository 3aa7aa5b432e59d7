package quarantine

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"snipetally.example/router/internal/datagram"
	"snipetally.example/router/internal/home"
)

const (
	// tickInterval is the interval at which a router sends some verdicts to some
	// others, saves those that are not in the store yet, and asks for all as long as
	// it is not synchronized.
	tickInterval = 500 * time.Millisecond

	// digestPeers is the number of routers that verdicts are sent to at each tick, and
	// digestVerdicts the number of verdicts in a message.
	digestPeers    = 3
	digestVerdicts = 64

	// crashRepeat is when a crash is reported once more, as a datagram may be lost.
	crashRepeat = 150 * time.Millisecond

	// crashRuns is the number of runs in a message.
	crashRuns = 16
)

// Config configures an exchange.
type Config struct {
	// Address is the address to listen on, or invalid if Run is not called. Members returns
	// the addresses of the exchanges of the other routers that are alive. The ledger
	// calls it.
	Address netip.AddrPort
	Members func(now time.Time) []netip.AddrPort

	// Seeds returns the addresses of some other routers, which may be alive. They may
	// change. If it is nil, there are none.
	Seeds func() []netip.AddrPort

	// Name identifies this router in verdicts.
	Name string

	// Store keeps the verdicts. It must not be nil.
	Store Store

	// OnVerdict is told of each verdict that is new or has changed, and OnCrash of
	// each crash that another router reports. They must not block.
	OnVerdict func(Verdict)
	OnCrash   func(Crash)

	// ReportError is called with failures. It must not block.
	ReportError func(error)
}

// Exchange shares what a ledger learns with the other routers, and keeps its verdicts
// in a store. Its methods are safe for concurrent use.
type Exchange struct {
	config Config
	ledger *Ledger

	// synced says that the verdicts of the store or of another router were received.
	synced atomic.Bool

	// rereadDue says that the verdicts of the store are to be read again.
	rereadDue atomic.Bool

	// socket is open while Run runs.
	socket *datagram.Socket

	// mu guards the fields below, and is not held while the ledger is called. sound are
	// the sound starts and ends to be announced; announcing says that an announcement of
	// them is due.
	mu         sync.Mutex
	sound      map[Key]int
	announcing bool

	// cursor is where the next digest begins in the list of verdicts. It belongs to
	// the goroutine that ticks.
	cursor int
}

// NewExchange returns an exchange with an empty ledger. It opens no socket before Run.
func NewExchange(config Config) *Exchange {
	if config.Seeds == nil {
		config.Seeds = func() []netip.AddrPort { return nil }
	}
	e := &Exchange{config: config, socket: datagram.NewSocket(config.Address, config.ReportError), sound: make(map[Key]int)}
	e.synced.Store(!config.Address.IsValid()) // Without an address there is nobody to ask.
	e.ledger = NewLedger(time.Now(), config.Name, func(key Key) bool { return e.isHome(time.Now(), key) })
	return e
}

// Ledger returns the ledger.
func (e *Exchange) Ledger() *Ledger { return e.ledger }

// Synced reports whether the router knows the verdicts that were made before its
// start.
func (e *Exchange) Synced() bool { return e.synced.Load() }

// isHome reports whether this router saves and tries the verdicts on a key.
func (e *Exchange) isHome(now time.Time, key Key) bool {
	return home.Of(key.hash(), e.config.Address, e.config.Members(now)) == e.config.Address
}

// Run receives and sends messages until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	if err := e.socket.Open(ctx, datagram.Listen); err != nil {
		return fmt.Errorf("exchange verdicts: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return e.socket.ReceiveAll(ctx, e.receive) }, func(error) { cancel() })
	group.Add(func() error { return e.tickLoop(ctx) }, func(error) { cancel() })
	group.Add(func() error { return e.storeLoop(ctx) }, func(error) { cancel() })
	if err := group.Run(); err != nil {
		return fmt.Errorf("exchange verdicts: %w", err)
	}
	return nil
}

// tickLoop sends digests and questions until the context ends.
func (e *Exchange) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		if !e.Synced() {
			e.sendAll(message{Ask: true}, append(e.config.Members(now), e.config.Seeds()...))
		}
		if verdicts := e.nextDigest(); len(verdicts) > 0 {
			e.sendAll(message{Verdicts: verdicts}, sample(e.config.Members(now)))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("send verdicts: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// nextDigest returns the verdicts for the next message, all in turn.
func (e *Exchange) nextDigest() []Verdict {
	verdicts := e.ledger.Verdicts()
	if e.cursor >= len(verdicts) {
		e.cursor = 0
	}
	digest := verdicts[e.cursor:min(e.cursor+digestVerdicts, len(verdicts))]
	e.cursor += len(digest)
	return digest
}

// sample returns a random sample of the routers for a digest.
func sample(routers []netip.AddrPort) []netip.AddrPort {
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), digestPeers)]
}

// Check decides on a request and tells the other routers of a trial, a verdict, or a copy
// that is held back. See Ledger.Check.
func (e *Exchange) Check(run Run, sending bool) Decision {
	decision := e.ledger.Check(time.Now(), run, sending)
	if key, ok := run.requestKey(); ok && decision.Asked {
		e.sendAll(message{Asked: []Key{key}}, e.config.Members(time.Now()))
	}
	if decision.Trial || decision.Decided {
		e.announceVerdicts([]Verdict{decision.Verdict})
	}
	return decision
}

// ReportCrash records a crash that this router saw and tells the other routers.
func (e *Exchange) ReportCrash(crash Crash) {
	verdicts := e.ledger.RecordCrash(time.Now(), e.config.Name, crash)
	e.announceCrash(crash)
	time.AfterFunc(crashRepeat, func() { e.announceCrash(crash) })
	e.announceVerdicts(verdicts)
}

// announceCrash sends a crash to all routers, in several messages if it has many runs.
func (e *Exchange) announceCrash(crash Crash) {
	members := e.config.Members(time.Now())
	if len(crash.Runs) == 0 {
		e.sendAll(message{Crashes: []Crash{crash}}, members)
	}
	for runs := range slices.Chunk(crash.Runs, crashRuns) {
		e.sendAll(message{Crashes: []Crash{{Engine: crash.Engine, Runs: runs}}}, members)
	}
}

// ReportStart records that a request started soundly, and tells the other routers if
// that is evidence.
func (e *Exchange) ReportStart(run Run) {
	relevant, lifted := e.ledger.RecordStart(time.Now(), run)
	e.announceSoundLater(relevant)
	e.announceVerdicts(lifted)
}

// ReportEnd records that a server ran a request to its end, and tells the other routers
// if that is evidence.
func (e *Exchange) ReportEnd(run Run) {
	relevant, lifted := e.ledger.RecordEnd(time.Now(), run)
	e.announceSoundLater(relevant)
	e.announceVerdicts(lifted)
}

// announceSoundLater announces sound starts or ends together with those that follow soon.
func (e *Exchange) announceSoundLater(relevant []Key) {
	if len(relevant) == 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, key := range relevant {
		e.sound[key]++
	}
	if !e.announcing {
		e.announcing = true
		time.AfterFunc(e.randomDelay(), e.announceSound)
	}
}

// announceSound sends the sound starts and ends that are still evidence to all routers.
func (e *Exchange) announceSound() {
	e.mu.Lock()
	sound := e.sound
	e.sound, e.announcing = make(map[Key]int), false
	e.mu.Unlock()
	maps.DeleteFunc(sound, func(key Key, _ int) bool { return !e.ledger.Tracks(key) })
	if len(sound) > 0 {
		e.sendAll(message{Sound: sound}, e.config.Members(time.Now()))
	}
}

// randomDelay returns the delay of an announcement that other routers may make first.
func (e *Exchange) randomDelay() time.Duration {
	return datagram.AnnouncementDelay(len(e.config.Members(time.Now())))
}

// announceVerdicts sends verdicts that this router made to all routers.
func (e *Exchange) announceVerdicts(verdicts []Verdict) {
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
		e.config.OnVerdict(v)
	}
	e.sendAll(message{Verdicts: verdicts}, e.config.Members(time.Now()))
}

// announceLater announces verdicts that other routers make by the same evidence, unless
// one of them was first.
func (e *Exchange) announceLater(verdicts []Verdict) {
	if len(verdicts) == 0 {
		return
	}
	for _, v := range verdicts {
		e.config.OnVerdict(v)
	}
	time.AfterFunc(e.randomDelay(), func() {
		left := slices.DeleteFunc(verdicts, e.ledger.Heard)
		if len(left) > 0 {
			e.sendAll(message{Verdicts: left}, e.config.Members(time.Now()))
		}
	})
}

// Lift ends the verdicts that name a request or part, as an operator decides, at all
// routers. It returns those that were in force.
func (e *Exchange) Lift(named Key) []Verdict {
	lifted := e.ledger.Lift(time.Now(), named)
	e.announceVerdicts(lifted)
	return lifted
}

// receive handles a message of another router.
func (e *Exchange) receive(sender netip.AddrPort, data []byte) error {
	m, err := decode(data)
	if err != nil {
		return err
	}
	now := time.Now()
	for _, crash := range m.Crashes {
		e.config.OnCrash(crash)
		e.announceLater(e.ledger.RecordCrash(now, sender.Addr().String(), crash))
	}
	for key, n := range m.Sound {
		e.announceLater(e.ledger.ApplySound(now, key, n))
	}
	for _, key := range m.Asked {
		e.ledger.ApplyAsk(now, key)
	}
	e.apply(m.Verdicts)
	if m.Answer {
		e.synced.Store(true)
	}
	if m.Ask && e.Synced() {
		e.answer(sender)
	}
	return nil
}

// apply takes over verdicts of another router or of the store.
func (e *Exchange) apply(verdicts []Verdict) {
	for _, v := range e.ledger.Apply(time.Now(), verdicts) {
		e.config.OnVerdict(v)
	}
}

// answer sends all verdicts to a router.
func (e *Exchange) answer(to netip.AddrPort) {
	for verdicts := range slices.Chunk(e.ledger.Verdicts(), digestVerdicts) {
		e.sendAll(message{Verdicts: verdicts}, []netip.AddrPort{to})
	}
	e.sendAll(message{Answer: true}, []netip.AddrPort{to})
}

// sendAll sends a message to routers, in several datagrams if it is too long for one.
func (e *Exchange) sendAll(m message, routers []netip.AddrPort) {
	if !e.socket.IsOpen() || len(routers) == 0 {
		return
	}
	data, err := encode(m)
	if err != nil {
		e.config.ReportError(err)
		return
	}
	if first, second, ok := m.split(); ok && len(data) > datagram.MaxSize {
		e.sendAll(first, routers)
		e.sendAll(second, routers)
		return
	}
	e.socket.Send(data, routers)
}
