package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// migrationDelayFraction is the fraction of the drain timeout after which
	// streams are migrated off a draining server. Short streams have ended by
	// then, and the remaining time is enough for copying the KV caches. The
	// streams that are left are looked at again each migrationStepFraction until
	// migrationEndFraction, as some begin late or last longer than expected.
	migrationDelayFraction = 0.3
	migrationStepFraction  = 0.1
	migrationEndFraction   = 0.7

	// migrationTimeout bounds the copying of a run's KV cache while the run goes on, or if
	// the request may run again elsewhere instead.
	migrationTimeout = 1500 * time.Millisecond
)

const (
	// errNotMigrated means that a run could not be migrated.
	errNotMigrated = errors.ConstError("run not migrated")

	// errDestinationLeaves means that a server began to leave while the KV cache of a run that
	// goes on was copied to it.
	errDestinationLeaves = errors.ConstError("destination is leaving")

	// maxDestinations is the number of servers to which the KV cache of a run that goes on is copied
	// one after the other.
	maxDestinations = 3
)

// migrationResult is the result of a migration: the place where the run goes on,
// or an error. The place is never nil. On an error it holds the copy of the KV
// cache if the run stopped.
type migrationResult struct {
	*place
	err error

	// copyTime is how long the KV cache was copied while the run went on, and stopTime how long
	// the engine took to stop the run and to copy the rest, or zero if it was not ordered to.
	copyTime time.Duration
	stopTime time.Duration
}

// migrateStreams migrates streams off a server that drains or is gone, after a
// delay in which short streams end. If the server accepts requests again by
// then, as its entry was gone for a moment only, its streams stay. Whether a
// stream can be migrated depends on the plan that it began with.
func (r *relay) migrateStreams(server *backendServer) {
	if r.options.migrator == nil {
		return
	}
	leaving := &leavingServer{backendServer: server, since: time.Now(), drain: r.bounds.Load().DrainTimeout}
	var migrate func()
	migrate = func() {
		if r.acceptsAgain(server.Server) {
			return
		}
		step := fractionOf(leaving.drain, migrationStepFraction)
		last := time.Since(leaving.since)+step > fractionOf(leaving.drain, migrationEndFraction)
		r.migrateInTurn(leaving)
		if !last {
			time.AfterFunc(step, migrate)
		}
	}
	time.AfterFunc(fractionOf(leaving.drain, migrationDelayFraction), migrate)
}

// migrateInTurn migrates the streams that are on a leaving server one after the other. An engine
// copies KV caches in the order of the calls, so that a run which was stopped would wait for
// all copies that were asked for before. A migration that takes longer than migrationTimeout keeps
// the next one waiting no longer. What is known of a stream is looked at when its turn comes.
func (r *relay) migrateInTurn(leaving *leavingServer) {
	for _, p := range r.streams.startedOn(leaving.ID) {
		state, ok := r.streams.stateOn(p, leaving.ID)
		if !ok || r.acceptsAgain(leaving.Server) || !r.mustMigrate(p, state, leaving) {
			continue
		}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			p.migrateFrom(leaving)
		}()
		select {
		case <-ended:
		case <-time.After(migrationTimeout):
		}
	}
}

// mustMigrate reports whether a stream is on the lifetime of a server that leaves, can be migrated,
// and is not expected to end before the server does.
func (r *relay) mustMigrate(p *proxiedRequest, state streamState, leaving *leavingServer) bool {
	if r.startedAgain(leaving.Server) && state.addedAt.After(leaving.since) {
		return false // In the new lifetime of the server.
	}
	service, ok := p.index.servicesByName[leaving.Service]
	return ok && service.SupportsMigration && !p.endsBefore(leaving.since.Add(leaving.drain), state, service.TokensPerEvent)
}

// fractionOf returns a fraction of a duration.
func fractionOf(d time.Duration, fraction float64) time.Duration {
	return time.Duration(fraction * float64(d))
}

// acceptsAgain reports whether a server that was leaving is listed as accepting
// requests in the same lifetime.
func (r *relay) acceptsAgain(server Server) bool {
	current, ok := (*r.servers.Load())[server.ID]
	return ok && !current.Draining && current.sameLifetime(server)
}

// startedAgain reports whether a server that was leaving is listed in another
// lifetime.
func (r *relay) startedAgain(server Server) bool {
	current, ok := (*r.servers.Load())[server.ID]
	return ok && !current.sameLifetime(server)
}

// endsBefore reports whether a stream is expected to end before a time at its
// pace so far. It returns false for a stream that is already longer than
// expected, as the rest of it can't be estimated.
func (p *proxiedRequest) endsBefore(limit time.Time, state streamState, tokensPerEvent int) bool {
	expected := p.placementRequest.OutputTokens / max(tokensPerEvent, 1)
	if expected <= state.events {
		return false
	}
	pace := time.Since(state.firstEventAt) / time.Duration(state.events)
	return time.Now().Add(pace * time.Duration(expected-state.events)).Before(limit)
}

// migrateFrom migrates the stream from a server to another one. It runs
// concurrently with the goroutine that serves the request, which learns the
// outcome when the stream at the old server is cut off. The line that it logs
// holds the IDs of the old and the new server in the keys from and to; to is
// empty if there is no other server. The keys known, copied and stopped hold for how
// long the server was known to leave, and the times of the copying before and after the
// order to stop the run, in milliseconds.
func (p *proxiedRequest) migrateFrom(server *leavingServer) {
	r := p.relay
	results := r.streams.beginMigration(p, server.ID)
	if results == nil {
		return
	}
	ctx, cancel := context.WithDeadline(p.request.Context(), p.migrationDeadline())
	defer cancel()
	migration := p.migrate(ctx, server.Server)
	migration.source = server
	if migration.err != nil && migration.kvCopy.Handle == "" {
		r.streams.cancelMigration(p, errors.Is(migration.err, ErrNoRun))
	}
	results <- migration
	r.options.log.StateChange().Str("request", p.info.AttemptID).Str("from", server.ID).Str("to", migration.choice.Server).
		AnErr("error", migration.err).Dur("known", time.Since(server.since)).Dur("copied", migration.copyTime).
		Dur("stopped", migration.stopTime).Msg("stream migration ended")
}

// migrationDeadline returns until when the copying of the KV cache is awaited.
// The run has stopped by then, so that a request that may not run again has
// nothing else to wait for.
func (p *proxiedRequest) migrationDeadline() time.Time {
	if p.class.Retryable() {
		return time.Now().Add(migrationTimeout)
	}
	return p.deadline
}

// migrate migrates the run to another server. If that begins to leave before the run is stopped, it
// tries a further one.
func (p *proxiedRequest) migrate(ctx context.Context, server Server) migrationResult {
	tried := []string{server.ID}
	for {
		migration := p.migrateAround(ctx, server, tried)
		tried = append(tried, migration.choice.Server)
		if !errors.Is(migration.err, errDestinationLeaves) || len(tried) > maxDestinations {
			return migration
		}
	}
}

// migrateAround picks a server that was not tried and has the KV cache of the run copied there, first
// while the run goes on, so that it is not stopped if there is no room for it. It
// takes a retry from the budget once the server is found.
func (p *proxiedRequest) migrateAround(ctx context.Context, server Server, tried []string) migrationResult {
	r := p.relay
	next, choice, err := p.pick(ctx, p.placementRequest, tried)
	if err != nil {
		return migrationResult{place: &place{}, err: fmt.Errorf("%w: %w", errNotMigrated, err)}
	}
	migration, reservation := migrationResult{place: next}, next.reservation
	target, ok := (*r.servers.Load())[choice.Server]
	if !ok {
		reservation.Done(time.Now(), placement.Canceled)
		migration.err = fmt.Errorf("%w: server %s gone", errNotMigrated, choice.Server)
		return migration
	}
	next.server = target
	takenAt := time.Now()
	if !p.take(takenAt, r.retryBudget.Take) {
		reservation.Done(takenAt, placement.Canceled)
		migration.err = fmt.Errorf("%w: retry budget used up", errNotMigrated)
		return migration
	}
	request := MigrationRequest{AttemptID: p.info.AttemptID, Source: server.Address, Destination: target.Address}
	migration.err = p.copyRun(ctx, request)
	migration.copyTime = time.Since(takenAt)
	if migration.err == nil && !r.accepts(target) {
		migration.err = errDestinationLeaves
	}
	if migration.err == nil && !r.streams.orderStop(p) {
		migration.err = fmt.Errorf("%w: its stream has ended", errNotMigrated)
	}
	if migration.err != nil {
		reservation.Done(time.Now(), placement.Canceled)
		p.giveBack(takenAt, r.retryBudget.Return)
		return migration
	}
	stoppedAt := time.Now()
	migration.kvCopy, migration.err = r.options.migrator.Migrate(ctx, request)
	migration.stopTime = time.Since(stoppedAt)
	if migration.err == nil && migration.kvCopy.Handle == "" {
		migration.err = fmt.Errorf("%w: engine named no copy", errNotMigrated)
	}
	if migration.err != nil {
		reservation.Done(time.Now(), placement.Canceled)
	}
	return migration
}

// copyRun copies the KV cache of a run that goes on.
func (p *proxiedRequest) copyRun(ctx context.Context, request MigrationRequest) error {
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	if err := p.relay.options.migrator.Copy(ctx, request); err != nil {
		return fmt.Errorf("copy run: %w", err)
	}
	return nil
}

// awaitMigration returns the place where a run goes on that was migrated: the
// server that has the copy of its KV cache or, if the migration failed, the server
// where the run stopped. It returns nil if there is neither.
func (p *proxiedRequest) awaitMigration(ctx context.Context) *place {
	results := p.relay.streams.takeMigration(p)
	if results == nil {
		return nil
	}
	select {
	case migration := <-results:
		p.runStopped = migration.kvCopy.Handle != ""
		if migration.err != nil {
			return p.placeAtSource(migration.place)
		}
		return migration.place
	case <-ctx.Done():
		go discardMigration(results)
		return nil
	}
}

// ranToEnd reports whether the run of a stream that ended with its connection has ended by
// itself, as far as that can be known. It has not if the router ordered its engine to stop it,
// which only the answer to the order can rule out. The answer is left to awaitMigration.
func (p *proxiedRequest) ranToEnd() bool {
	ended, results := p.relay.streams.endUnlessStopped(p)
	if results == nil {
		return ended
	}
	migration := <-results // It comes before the deadline of the migration.
	results <- migration
	ended, _ = p.relay.streams.endUnlessStopped(p)
	return ended
}

// discardMigration waits for a migration whose request has ended and releases
// its reservation at the new server.
func discardMigration(results chan migrationResult) {
	if migration := <-results; migration.err == nil {
		migration.reservation.Done(time.Now(), placement.Canceled)
	}
}

// dropMigration discards a migration that is still in progress when the request
// ends.
func (p *proxiedRequest) dropMigration() {
	if results := p.relay.streams.takeMigration(p); results != nil {
		go discardMigration(results)
	}
}
