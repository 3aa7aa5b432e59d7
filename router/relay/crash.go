package relay

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/hop"
	"snipetally.example/router/internal/quarantine"
)

const (
	// crashCollectTime is how long the broken attempts at a server are collected
	// before the server is checked. When it ends, its connections break within
	// milliseconds.
	crashCollectTime = 20 * time.Millisecond

	// crashCheckTimeout bounds the connection by which a server is checked.
	crashCheckTimeout = 300 * time.Millisecond

	// crashRecheckInterval is the interval at which a server that ended is checked
	// again while it is listed. In between it gets requests only if all others are
	// suspended too.
	crashRecheckInterval = time.Second
)

// crashDetector tells servers that ended from those that broke off a response. Both
// show as broken connections, but a server that has ended refuses new ones. A
// server that can't be reached is not taken for one that ended.
type crashDetector struct {
	// mu guards collecting, which holds the broken attempts at servers that are
	// about to be checked.
	mu         sync.Mutex
	collecting map[serverLifetime]*crashCheck
}

// crashCheck is a check of one server.
type crashCheck struct {
	// runs are the runs whose attempts broke.
	runs []quarantine.Run

	// done is closed when the check is over.
	done chan struct{}
}

// newCrashDetector returns a detector without checks.
func newCrashDetector() *crashDetector {
	return &crashDetector{collecting: make(map[serverLifetime]*crashCheck)}
}

// recordBroken records a run at a server whose attempt broke and has the server checked.
// The returned channel is closed when the check is over.
func (r *relay) recordBroken(s *backendServer, run quarantine.Run) <-chan struct{} {
	d := r.crashes
	d.mu.Lock()
	defer d.mu.Unlock()
	check, ok := d.collecting[s.lifetime()]
	if !ok {
		check = &crashCheck{done: make(chan struct{})}
		d.collecting[s.lifetime()] = check
		time.AfterFunc(crashCollectTime, func() { r.checkServer(s, check) })
	}
	check.runs = append(check.runs, run)
	return check.done
}

// recordBroken records that the connection of the last attempt broke. crashCheck tells when
// it is known whether the server ended.
func (p *proxiedRequest) recordBroken(target *backendServer) {
	run := p.run
	run.Started = p.started
	p.crashCheck = p.relay.recordBroken(target, run)
}

// checkServer ends the collection of broken attempts at a server and finds out
// whether the server has ended.
func (r *relay) checkServer(s *backendServer, check *crashCheck) {
	defer close(check.done)
	r.crashes.mu.Lock()
	delete(r.crashes.collecting, s.lifetime())
	r.crashes.mu.Unlock()
	if !r.refusesConnections(s) {
		return
	}
	r.metrics.crashes.Inc(1)
	r.logCrash(s, check.runs)
	r.quarantine.ReportCrash(quarantine.Crash{Engine: s.engineHash(), Runs: check.runs})
}

// refusesConnections reports whether a server has ended. If so, the server is suspended
// as long as that is the case and it is listed.
func (r *relay) refusesConnections(s *backendServer) bool {
	if !errors.Is(connect(s.Address), syscall.ECONNREFUSED) {
		return false
	}
	r.balancer.Suspend(s.ID, time.Now().Add(crashRecheckInterval+crashCheckTimeout))
	time.AfterFunc(crashRecheckInterval, func() {
		if r.accepts(s) {
			r.refusesConnections(s)
		}
	})
	return true
}

// handlePeerCrash suspends a server whose crash another router saw.
func (r *relay) handlePeerCrash(crash quarantine.Crash) {
	for _, s := range *r.servers.Load() {
		if s.engineHash() == crash.Engine {
			r.balancer.Suspend(s.ID, time.Now().Add(crashRecheckInterval+crashCheckTimeout))
			return
		}
	}
}

// connect opens a connection to an address and closes it.
func connect(address string) error {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return err //nolint:wrapcheck // The caller looks at its kind only.
	}
	return conn.Close() //nolint:wrapcheck // As above.
}

// maxCrashParts and maxCrashDigests are the numbers of prompt parts and of requests in the
// line about a crash.
const (
	maxCrashParts   = 32
	maxCrashDigests = 16
)

// logCrash logs that a server ended. The keys broken and unstarted hold the number of
// this router's attempts there that broke, and of those that had delivered nothing.
// parts holds the IDs of the prompts' parts of the latter, those in most of them
// first, and digests the digests of the requests whose attempts broke.
func (r *relay) logCrash(s *backendServer, runs []quarantine.Run) {
	unstarted := 0
	counts := make(map[uint64]int)
	for _, run := range runs {
		if run.Started {
			continue
		}
		unstarted++
		for _, part := range run.Parts {
			counts[part]++
		}
	}
	ids := make([]uint64, 0, len(counts))
	for id := range counts {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b uint64) int { return counts[b] - counts[a] })
	var parts, digests []string
	for _, run := range runs[:min(len(runs), maxCrashDigests)] {
		digests = append(digests, run.Request.String())
	}
	for _, id := range ids[:min(len(ids), maxCrashParts)] {
		parts = append(parts, quarantine.PartName(id))
	}
	r.options.log.StateChange().Str("server", s.ID).Str("service", s.Service).Str("address", s.Address).
		Int("broken", len(runs)).Int("unstarted", unstarted).Strs("parts", parts).
		Strs("digests", digests).Msg("backend server crashed")
}

// connectionBroke reports whether an attempt without a complete response failed
// because its connection broke. One that timed out was cut on the way.
func connectionBroke(ctx context.Context, result attemptResult, err error) bool {
	return result == incomplete && ctx.Err() == nil && !errors.Is(err, errUnsigned) &&
		!errors.Is(err, hop.ErrUnmatchedResponses) && !errors.Is(err, syscall.ETIMEDOUT)
}
