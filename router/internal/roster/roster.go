// Package roster lists some of the routers in the store, so that routers that don't know each
// other meet there, whatever seeds their settings name.
//
// The list has a few rows. A router reads it soon after its start and rarely after that. It
// introduces itself to the routers listed that it doesn't hear, and adds itself if fewer are
// listed that it hears than the list should have. Routers that hear each other share the
// reads: the more a router hears, the more rarely it reads.
package roster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

const (
	// rowCount is the number of rows of the list. minListed is the number of routers of
	// those that hear each other that should be listed. The rest is for others, and for
	// routers that have ended.
	rowCount  = 8
	minListed = 3

	// firstReadDelay is the time from the start to the first read, in which routers hear
	// their seeds, and firstReadSpread the time over which these reads are spread.
	firstReadDelay  = time.Second
	firstReadSpread = time.Second

	// settledInterval is the mean time between two reads of the routers that hear each
	// other. unsettledInterval is that of routers of which too few are listed, and of one
	// that is alone.
	settledInterval   = 30 * time.Second
	unsettledInterval = 4 * time.Second

	// tickInterval is the interval at which a router finds out whether to read.
	tickInterval = 500 * time.Millisecond

	// storeTimeout bounds a call to the store.
	storeTimeout = 2 * time.Second
)

// Store keeps rows. Its errors say nothing about whether a call took effect.
type Store interface {
	// Rows returns the values of all rows.
	Rows(ctx context.Context) ([][]byte, error)

	// Put writes a row and removes another one, unless remove is empty.
	Put(ctx context.Context, key string, value []byte, remove string) error
}

// Config configures a roster.
type Config struct {
	// Address is the address that others report to.
	Address netip.AddrPort

	// Store keeps the list and nothing else.
	Store Store

	// Live returns the addresses of the other routers that are heard.
	Live func(now time.Time) []netip.AddrPort

	// Introduce is told of routers that are listed and not heard. It sends them something
	// that lets them report to this one, and must not block.
	Introduce func(routers []netip.AddrPort)

	// OnReadAgain is told when the list was read, but for the first time. It must not block.
	OnReadAgain func()

	// OnListed is told when this router has added itself to the list, and which other one it
	// replaced, if any.
	OnListed func(replaced netip.AddrPort)

	// ReportError is called with failures. It must not block.
	ReportError func(error)
}

// Roster reads the list and keeps it up to date. Its fields belong to the goroutine of Run.
type Roster struct {
	config Config

	// listed is the list as of the last read, by row.
	listed map[int]netip.AddrPort

	// waited is the time since the last read, as a fraction of the interval between two, and
	// readAfter that after which the next one is due.
	waited    float64
	readAfter float64

	// hasRead says that the list was read.
	hasRead bool
}

// New returns a roster. It makes no call before Run.
func New(config Config) *Roster {
	return &Roster{config: config, listed: make(map[int]netip.AddrPort)}
}

// Run reads the list and keeps it up to date until the context ends.
func (r *Roster) Run(ctx context.Context) error {
	timer := time.NewTimer(firstReadDelay + rand.N(firstReadSpread))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return fmt.Errorf("keep list of routers: %w", ctx.Err())
		case <-timer.C:
		}
		timer.Reset(tickInterval)
		if live := r.config.Live(time.Now()); r.isDue(live) {
			r.read(ctx)
		}
	}
}

// isDue reports whether the list is to be read, a tick after the last time, or at the first
// one.
func (r *Roster) isDue(live []netip.AddrPort) bool {
	r.waited += tickInterval.Seconds() / r.interval(live).Seconds()
	if r.waited < r.readAfter {
		return false
	}
	first := r.readAfter == 0
	r.waited, r.readAfter = 0, 0.5+rand.Float64()
	if first {
		r.readAfter = rand.Float64() // Others have started at the same time.
	}
	return true
}

// interval returns the mean time between two reads of this router.
func (r *Roster) interval(live []netip.AddrPort) time.Duration {
	routers := time.Duration(1 + len(live))
	if len(live) == 0 || r.countListed(live) < r.wanted(live) {
		return unsettledInterval * routers
	}
	return settledInterval * routers
}

// wanted returns the number of this router and those that it hears that should be listed.
func (r *Roster) wanted(live []netip.AddrPort) int { return min(minListed, 1+len(live)) }

// countListed returns the number of this router and those that it hears that are listed.
func (r *Roster) countListed(live []netip.AddrPort) int {
	known := make(map[netip.AddrPort]struct{}, rowCount)
	for _, router := range r.listed {
		if router == r.config.Address || slices.Contains(live, router) {
			known[router] = struct{}{}
		}
	}
	return len(known)
}

// read reads the list, introduces this router to those listed that it doesn't hear, and adds
// it if too few are listed that it hears.
func (r *Roster) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := r.config.Store.Rows(ctx)
	if err != nil {
		r.config.ReportError(fmt.Errorf("read list of routers: %w", err))
		return
	}
	if r.hasRead {
		r.config.OnReadAgain()
	}
	r.hasRead = true
	before := r.listed
	r.listed = r.decode(rows)
	live := r.config.Live(time.Now())
	if unheard := r.unheard(live); len(unheard) > 0 {
		r.config.Introduce(unheard)
	}
	if r.countListed(live) < r.wanted(live) && !r.isListed() {
		r.add(ctx, before, live)
	}
}

// isListed reports whether this router is listed.
func (r *Roster) isListed() bool {
	for _, router := range r.listed {
		if router == r.config.Address {
			return true
		}
	}
	return false
}

// unheard returns the other routers that are listed and not among the live ones.
func (r *Roster) unheard(live []netip.AddrPort) []netip.AddrPort {
	var routers []netip.AddrPort
	for _, router := range r.listed {
		if router != r.config.Address && !slices.Contains(live, router) {
			routers = append(routers, router)
		}
	}
	return routers
}

// add lists this router in a row that is free, or else in that of a router that is not heard
// although it was listed at the read before and has been introduced to since.
func (r *Roster) add(ctx context.Context, before map[int]netip.AddrPort, live []netip.AddrPort) {
	var free, silent []int
	for row := range rowCount {
		switch router, taken := r.listed[row]; {
		case !taken:
			free = append(free, row)
		case before[row] == router && !slices.Contains(live, router):
			silent = append(silent, row)
		}
	}
	rows := free
	if len(free) == 0 {
		rows = silent
	}
	if len(rows) == 0 {
		return // Those listed may still answer.
	}
	row := rows[rand.IntN(len(rows))]
	if err := r.config.Store.Put(ctx, strconv.Itoa(row), encodeRow(row, r.config.Address), ""); err != nil {
		r.config.ReportError(fmt.Errorf("add to list of routers: %w", err))
		return // The next read shows whether it took effect.
	}
	replaced := r.listed[row]
	r.listed[row] = r.config.Address
	r.config.OnListed(replaced)
}
