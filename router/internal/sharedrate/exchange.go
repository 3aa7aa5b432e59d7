package sharedrate

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/internal/datagram"
)

const (
	// tickInterval is the interval at which the membership view is refreshed, and at which
	// a router asks for the statements of others as long as it has none.
	tickInterval = 200 * time.Millisecond

	// pruneInterval is the interval at which what is no longer used is dropped, and
	// bucketTTL how long a bucket is kept that nobody asks for.
	pruneInterval = 10 * time.Second
	bucketTTL     = time.Minute

	// maxStatementsPerMessage is the number of statements in a message.
	maxStatementsPerMessage = 64

	// minValueChange is the relative change of a limit from which on the home is told.
	minValueChange = 0.01
)

// Config configures an exchange.
type Config struct {
	// Address is the address to listen on, or invalid if Run is not called; the router is
	// then the only one. Members returns the addresses of the exchanges of the other
	// routers that are alive, and Seeds those of some that may be, which may change; if
	// it is nil, there are none.
	Address netip.AddrPort
	Members func(now time.Time) []netip.AddrPort
	Seeds   func() []netip.AddrPort

	// Clock must not stop while the VM is suspended.
	Clock feed.Clock

	// SettleTime returns how long routers may disagree about which are alive.
	SettleTime func() time.Duration

	// OnChange is told when another router, the teller, says that a limit began or ended.
	// It must not block.
	OnChange func(key Key, statement Statement, teller netip.AddrPort)

	// OnLeaving is told when another router, the teller, says that a server leaves. It must not
	// block.
	OnLeaving func(key Key, teller netip.AddrPort)

	// OnBrittleness is told when another router, the teller, says that a server began or ended to
	// be brittle. It must not block.
	OnBrittleness func(key Key, said Brittleness, teller netip.AddrPort)

	// ReportError is called with failures. It must not block.
	ReportError func(error)

	// Listen opens the socket. If it is nil, it is a UDP socket at Address.
	Listen func(ctx context.Context, address netip.AddrPort) (net.PacketConn, error)
}

// Exchange gives permits and shares statements with the other routers. Its methods are
// safe for concurrent use.
type Exchange struct {
	config Config

	// synced says that the statements of another router were received, or that there is
	// none to wait for. heardUnsynced says that another router answered that it has none
	// either. startedAt is the time on the clock at which the exchange was created.
	synced        atomic.Bool
	heardUnsynced atomic.Bool
	startedAt     time.Duration

	// limited is the number of limits in force. Without any, nothing else is looked at
	// on a request's path.
	limited atomic.Int64

	// brittleServers is the number of servers that are known to be brittle.
	brittleServers atomic.Int64

	// socket is open while Run runs.
	socket *datagram.Socket

	// mu guards the fields below. It is a leaf: no function of the configuration is called
	// while it is held.
	mu         sync.Mutex
	statements statements
	view       *view
	buckets    map[Key]*bucket
	wanted     map[Key]*wanted

	// pending are the changes to be announced to all. announcing says that an
	// announcement is due.
	pending    map[Key]struct{}
	announcing bool

	// brittle are the statements on brittle servers, pendingBrittle those that are to be announced,
	// and rooms the places of the servers of which this router is the home.
	brittle        brittleness
	pendingBrittle map[Key]struct{}
	rooms          map[Key]*room

	// takeoverTime is how long a new home gives no places, and greeted how often each router was told
	// that this one has started.
	takeoverTime time.Duration
	greeted      map[netip.AddrPort]int

	// leases are the places of this router's requests by their numbers, and placeQuestions the requests
	// that wait for one.
	leases         map[uint32]*lease
	placeQuestions map[uint32]*placeQuestion

	// questions are the questions that wait for a home's answer, by their numbers;
	// lastQuestion is the number of the last one. silentUntil is until when homes that did
	// not answer are not asked.
	questions    map[uint32]*question
	lastQuestion uint32
	silentUntil  map[netip.AddrPort]time.Duration
}

// NewExchange returns an exchange that knows no limits. It opens no socket before Run.
func NewExchange(config Config) *Exchange {
	if config.Seeds == nil {
		config.Seeds = func() []netip.AddrPort { return nil }
	}
	now := config.Clock()
	e := &Exchange{
		config:      config,
		startedAt:   now,
		socket:      datagram.NewSocket(config.Address, config.ReportError),
		statements:  make(statements),
		view:        newView(config.Address, now, config.Seeds()),
		buckets:     make(map[Key]*bucket),
		wanted:      make(map[Key]*wanted),
		pending:     make(map[Key]struct{}),
		questions:   make(map[uint32]*question),
		silentUntil: make(map[netip.AddrPort]time.Duration),

		brittle:        make(brittleness),
		pendingBrittle: make(map[Key]struct{}),
		rooms:          make(map[Key]*room),
		leases:         make(map[uint32]*lease),
		placeQuestions: make(map[uint32]*placeQuestion),
		greeted:        make(map[netip.AddrPort]int),
		lastQuestion:   rand.Uint32(), // Others may remember numbers of the process before.
	}
	e.synced.Store(!config.Address.IsValid())
	return e
}

// Run receives and sends messages until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	listen := e.config.Listen
	if listen == nil {
		listen = datagram.Listen
	}
	if err := e.socket.Open(ctx, listen); err != nil {
		return fmt.Errorf("share rates: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	group.Add(func() error { return e.socket.ReceiveAll(ctx, e.receive) }, func(error) { cancel() })
	group.Add(func() error { return e.tickLoop(ctx) }, func(error) { cancel() })
	if err := group.Run(); err != nil {
		return fmt.Errorf("share rates: %w", err)
	}
	return nil
}

// tickLoop refreshes the view and drops what is no longer used until the context ends.
func (e *Exchange) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pruneAt := e.config.Clock() + pruneInterval
	repeatAt := e.config.Clock() + repeatInterval
	for {
		now := e.refresh()
		e.tickPlaces(now)
		if now >= repeatAt {
			repeatAt = now + repeatInterval
			e.repeatLeaving(now)
		}
		if !e.Synced() {
			e.askForStatements(now)
		}
		if now >= pruneAt {
			pruneAt = now + pruneInterval
			e.prune(now)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("refresh routers: %w", ctx.Err())
		case <-ticker.C:
		}
	}
}

// refresh brings the membership view up to date, unless it is, and returns the time on the
// clock.
func (e *Exchange) refresh() time.Duration {
	now := e.config.Clock()
	e.mu.Lock()
	fresh := now-e.view.refreshedAt < tickInterval/2
	e.mu.Unlock()
	if fresh {
		return now
	}
	members, seeds, settle := e.config.Members(time.Now()), e.config.Seeds(), e.config.SettleTime()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.nameSeeds(now, seeds)
	e.view.refresh(now, members, settle)
	return now
}

// prune drops what is no longer used.
func (e *Exchange) prune(now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.statements.dropExpired(now)
	e.countLimited()
	e.prunePlaces(now)
	maps.DeleteFunc(e.buckets, func(_ Key, b *bucket) bool { return now-b.updatedAt > bucketTTL })
	maps.DeleteFunc(e.wanted, func(_ Key, w *wanted) bool { return now-w.from > bucketTTL && !w.asking })
	maps.DeleteFunc(e.silentUntil, func(_ netip.AddrPort, until time.Duration) bool { return now > until })
}

// countLimited counts the limits in force. The caller holds e.mu.
func (e *Exchange) countLimited() {
	n := int64(0)
	for _, s := range e.statements {
		if s.Limited {
			n++
		}
	}
	e.limited.Store(n)
}

// Observe records what a response says, apart from the time of the statement, which is set here.
// If it names no limit, that holds from the time on the clock at which its request was sent: a
// server that named one since then may have written the response before.
func (e *Exchange) Observe(key Key, said Statement, sentAt time.Duration) {
	if !said.Limited && !said.Leaving && e.limited.Load() == 0 {
		return
	}
	now := e.config.Clock()
	next := said
	next.At = now
	if !said.Limited {
		next.At = sentAt
	}
	e.mu.Lock()
	known := e.statements[key]
	changed := e.statements.apply(key, next)
	home := e.view.home(key)
	if changed.any() {
		e.countLimited()
		e.announceLater(key)
	}
	e.mu.Unlock()
	difference := max(said.PerSecond-known.PerSecond, known.PerSecond-said.PerSecond)
	if said.Limited && (changed.limit || difference > minValueChange*known.PerSecond) {
		e.sendAll(message{sentAt: now, Statements: []keyedStatement{{Key: key, Statement: next}}}, []netip.AddrPort{home})
	}
}

// receive handles a message of another router.
func (e *Exchange) receive(sender netip.AddrPort, data []byte) error {
	now := e.config.Clock()
	if len(data) > 0 && data[0] == placesKind {
		m, err := decodePlaces(now, data)
		if err == nil {
			e.receivePlaces(now, sender, m)
		}
		return err
	}
	m, err := decode(now, data)
	if err != nil {
		return err
	}
	e.hear(m.Statements, sender)
	switch {
	case m.Ask.Number != 0:
		e.answer(sender, m.Ask)
	case m.Answer.Number != 0:
		e.recordAnswer(sender, m.Answer)
	}
	switch m.Sync {
	case syncAsk:
		if !e.Synced() {
			e.sendAll(message{Sync: syncNothing}, []netip.AddrPort{sender})
			break
		}
		e.answerSync(sender)
	case syncNothing:
		e.heardUnsynced.Store(true)
	case syncAnswer:
		e.mu.Lock()
		e.view.countRouters(now, m.Routers)
		e.mu.Unlock()
		e.synced.Store(true)
	}
	return nil
}

// hear takes over statements of another router.
func (e *Exchange) hear(heard []keyedStatement, teller netip.AddrPort) {
	if len(heard) == 0 {
		return
	}
	var limits, leaving []keyedStatement
	e.mu.Lock()
	for _, s := range heard {
		changed := e.statements.apply(s.Key, s.Statement)
		if changed.limit {
			limits = append(limits, s)
		}
		if changed.leaving {
			leaving = append(leaving, s)
		}
		if known := e.statements[s.Key]; known.Limited == s.Limited && known.Leaving == s.Leaving {
			delete(e.pending, s.Key)
		}
	}
	if len(limits) > 0 {
		e.countLimited()
	}
	e.mu.Unlock()
	for _, s := range limits {
		e.config.OnChange(s.Key, s.Statement, teller)
	}
	for _, s := range leaving {
		e.config.OnLeaving(s.Key, teller)
	}
}

// sendAll sends a message to routers.
func (e *Exchange) sendAll(m message, routers []netip.AddrPort) {
	if !e.socket.IsOpen() || len(routers) == 0 {
		return
	}
	data, err := encode(m)
	if err != nil {
		e.config.ReportError(err)
		return
	}
	e.socket.Send(data, routers)
}
